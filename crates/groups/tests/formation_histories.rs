//! Randomized simulation of engines, orders, leading nodes and the store, with the invariants
//! checked at every step. `HISTORIES` sets the number of seeds and `FIRST_SEED` the first one;
//! failing seeds are printed.

mod fabric;

use {
    fabric::{ENGINE_TIMES, LOAD_TIME, SimulatedCluster, data_centre_of},
    rand::{RngExt as _, SeedableRng as _, seq::IndexedRandom as _},
    rand_pcg::Pcg64Mcg,
    rstest::rstest,
    std::{
        collections::{BTreeMap, BTreeSet},
        env,
        time::{Duration, Instant},
    },
    turmerictack_groups::{
        formation::{
            ClusterView, Departures, EngineInstance, GroupPlanner, LoadLimits, ModelProfile,
            ModelsByService, Order, OrderResult, Phase,
        },
        plan::Plan,
    },
    turmerictack_model::ids::{DataCentre, InstanceId, Version},
};

const STEP: Duration = Duration::from_millis(100);
const FAULTS_UNTIL: Duration = Duration::from_secs(30);
const RECOVERY_TIME: Duration = Duration::from_secs(25);
const LIMITS: LoadLimits = LoadLimits { per_second: 5.0, concurrent: 7 };
/// Maximum number of loads that start in any window of five seconds: the rate limit, a tenth of it,
/// and three.
const MAX_LOADS_IN_WINDOW: usize = 30;
const LOAD_WINDOW: Duration = Duration::from_secs(5);
const DEFAULT_HISTORIES: u64 = 300;

/// Node that may be the leader.
struct Node {
    planner: GroupPlanner,
    departures: Departures,
    plan: Option<(Plan, Version)>,
    view: BTreeMap<InstanceId, EngineInstance>,
    /// When the store showed the view.
    view_at: Option<Duration>,
    results: Vec<(InstanceId, Order, OrderResult)>,
    paused_until: Duration,
    plan_read_at: Duration,
}

/// Time after which a node reads the stored plan again.
const MAX_PLAN_AGE: Duration = Duration::from_secs(2);

impl Node {
    fn new() -> Self {
        Self {
            planner: GroupPlanner::new(ENGINE_TIMES, LIMITS),
            departures: Departures::default(),
            plan: None,
            view: BTreeMap::new(),
            view_at: None,
            results: Vec::new(),
            paused_until: Duration::ZERO,
            plan_read_at: Duration::ZERO,
        }
    }

    fn become_leader(&mut self) {
        self.plan = None;
        self.planner.reset_progress();
    }
}

/// Rates of delayed orders and of concurrent leaders.
#[derive(Clone, Copy)]
struct FaultRates {
    /// Periods with delayed orders, per second.
    delays_per_second: f64,
    /// Share of the orders delayed in such a period.
    delayed_share: f64,
    /// Periods with a second leader, per second.
    second_leader_per_second: f64,
    /// Evacuations of a data centre, per second.
    evacuations_per_second: f64,
    /// Planned shutdowns of engines, per second.
    shutdowns_per_second: f64,
}

const MODERATE: FaultRates = FaultRates {
    delays_per_second: 0.05,
    delayed_share: 0.35,
    second_leader_per_second: 0.1,
    evacuations_per_second: 0.0,
    shutdowns_per_second: 0.0,
};
const HEAVY: FaultRates = FaultRates {
    delays_per_second: 0.4,
    delayed_share: 0.6,
    second_leader_per_second: 0.3,
    evacuations_per_second: 0.0,
    shutdowns_per_second: 0.0,
};
const EVACUATIONS: FaultRates = FaultRates { evacuations_per_second: 0.1, ..MODERATE };
const SHUTDOWNS: FaultRates = FaultRates { shutdowns_per_second: 0.4, ..MODERATE };
/// Time that a closing head needs for its requests where engines shut down.
const LONG_REQUESTS: Duration = Duration::from_secs(7);

struct Simulation {
    rates: FaultRates,
    rng: Pcg64Mcg,
    origin: Instant,
    cluster: SimulatedCluster,
    nodes: Vec<Node>,
    stored: (Plan, Version),
    store_down_until: Duration,
    delays_until: Duration,
    second_leader_until: Duration,
    evacuated_until: Duration,
}

fn models() -> ModelsByService {
    let large = ModelProfile { group_size: 4, work_share: 0.5, load_time: LOAD_TIME };
    let small = ModelProfile { group_size: 2, work_share: 0.5, load_time: LOAD_TIME };
    let by_name = BTreeMap::from([("large".to_owned(), large), ("small".to_owned(), small)]);
    BTreeMap::from([("models".to_owned(), by_name)])
}

impl Simulation {
    fn new(seed: u64, rates: FaultRates) -> Self {
        let mut cluster = SimulatedCluster::new(2, 8);
        if rates.shutdowns_per_second > 0.0 {
            cluster.close_time = LONG_REQUESTS;
        }
        Self {
            rates,
            rng: Pcg64Mcg::seed_from_u64(seed),
            origin: Instant::now(),
            cluster,
            nodes: vec![Node::new(), Node::new()],
            stored: (Plan::default(), 0),
            store_down_until: Duration::ZERO,
            delays_until: Duration::ZERO,
            second_leader_until: Duration::ZERO,
            evacuated_until: Duration::ZERO,
        }
    }

    /// Evacuated data centres.
    fn evacuated(&self) -> BTreeSet<DataCentre> {
        let is_evacuated = self.cluster.now < self.evacuated_until;
        is_evacuated.then(|| data_centre_of("d1")).into_iter().collect()
    }

    fn chance(&mut self, per_second: f64) -> bool {
        self.rng.random::<f64>() < per_second * STEP.as_secs_f64()
    }

    fn random_duration(&mut self, seconds: std::ops::Range<f64>) -> Duration {
        Duration::from_secs_f64(self.rng.random_range(seconds))
    }

    /// A random running engine.
    fn random_engine(&mut self) -> InstanceId {
        let up: Vec<InstanceId> = self
            .cluster
            .engines
            .iter()
            .filter(|(_, e)| e.is_up())
            .map(|(id, _)| id.clone())
            .collect();
        up.choose(&mut self.rng).cloned().unwrap_or_default()
    }

    fn inject_faults(&mut self) {
        let now = self.cluster.now;
        if self.chance(0.3) {
            let (id, after) = (self.random_engine(), self.random_duration(1.0..5.0));
            self.cluster.trace.push(format!("{now:?} crash {id}"));
            self.cluster.crash(&id, Some(after));
        }
        if self.chance(0.05) {
            let id = self.random_engine();
            self.cluster.crash(&id, None);
        }
        if self.chance(0.15) {
            let (id, until) = (self.random_engine(), now + self.random_duration(1.0..10.0));
            if let Some(engine) = self.cluster.engines.get_mut(&id) {
                engine.partitioned_until = until;
            }
        }
        if self.chance(0.05) {
            let until = now + self.random_duration(3.0..10.0);
            for engine in self.cluster.engines.values_mut().filter(|e| e.domain == "d1") {
                engine.partitioned_until = until;
            }
        }
        if self.chance(0.05) {
            let id = self.random_engine();
            if let Some(engine) = self.cluster.engines.get_mut(&id) {
                engine.leaving = true;
            }
        }
        if self.chance(self.rates.delays_per_second) {
            self.delays_until = now + self.random_duration(1.0..5.0);
        }
        if self.chance(0.05) {
            self.store_down_until = now + self.random_duration(1.0..5.0);
        }
        if self.chance(self.rates.second_leader_per_second) {
            self.second_leader_until = now + self.random_duration(0.5..4.0);
            self.nodes[1].become_leader();
        }
        if self.chance(0.1) {
            self.nodes[0].paused_until = now + self.random_duration(0.5..5.0);
        }
        if self.chance(0.1) {
            self.nodes.swap(0, 1);
            self.nodes[0].become_leader();
        }
        if self.chance(0.05) {
            self.nodes[0] = Node::new();
        }
        let shutdowns = self.rates.shutdowns_per_second;
        if shutdowns > 0.0 && self.chance(shutdowns) {
            let (id, is_announced) = (self.random_engine(), self.rng.random::<bool>());
            let extra = self.random_duration(0.0..4.0);
            self.cluster.trace.push(format!("{now:?} shutdown {id} announced {is_announced}"));
            self.cluster.shut_down(&id, is_announced, extra);
        }
        let evacuations = self.rates.evacuations_per_second;
        if evacuations > 0.0 && self.chance(evacuations) {
            self.evacuated_until = now + self.random_duration(2.0..10.0);
        }
    }

    /// Sends an order; partitioned engines do not receive it.
    fn send_order(&mut self, id: &InstanceId, order: &Order) -> OrderResult {
        let now = self.cluster.now;
        let in_delay_window = now < self.delays_until;
        let (is_up, is_partitioned, started) = match self.cluster.engines.get(id) {
            Some(e) => (e.is_up(), now < e.partitioned_until, e.started),
            None => return OrderResult::Gone,
        };
        if is_partitioned || self.cluster.engines[id].removed {
            return OrderResult::Unanswered;
        }
        if !is_up || !self.cluster.engines[id].is_listening(now) {
            return OrderResult::Refused;
        }
        if in_delay_window && self.rng.random::<f64>() < self.rates.delayed_share {
            let at = now + self.random_duration(2.0..12.0);
            self.cluster.delayed_orders.push((at, id.clone(), started, order.clone()));
            return OrderResult::Unanswered;
        }
        let result = self.cluster.apply(id, order);
        if in_delay_window && self.rng.random::<f64>() < 0.1 {
            return OrderResult::Unanswered;
        }
        result
    }

    /// Lets a node read the list of instances, whether it is the leader or not.
    fn read_store(&mut self, index: usize) {
        let now = self.cluster.now;
        if now < self.nodes[index].paused_until || now < self.store_down_until {
            return;
        }
        // A node that resumes after a pause acts once on the view from before the pause.
        let current = self.cluster.listed();
        let node = &mut self.nodes[index];
        if now >= node.paused_until + STEP {
            node.view = current;
            node.view_at = Some(now);
        }
        for (id, engine) in &node.view {
            let group = engine.membership.as_ref().map(|m| &m.group);
            node.departures.observe(self.origin + now, id, engine.started, group);
        }
    }

    fn run_node(&mut self, index: usize) {
        let now = self.cluster.now;
        let instant = self.origin + now;
        if now < self.nodes[index].paused_until {
            return;
        }
        let results = std::mem::take(&mut self.nodes[index].results);
        for (id, order, result) in results {
            self.nodes[index].planner.record_result(instant, &id, &order, result);
        }
        let node = &mut self.nodes[index];
        if node.plan.is_none() || now >= node.plan_read_at + MAX_PLAN_AGE {
            if now < self.store_down_until {
                node.plan = None;
                return;
            }
            if node.plan.as_ref().is_some_and(|(_, version)| *version != self.stored.1) {
                node.planner.reset_progress();
            }
            node.plan = Some(self.stored.clone());
            node.plan_read_at = now;
        }
        let Some((plan, version)) = self.nodes[index].plan.clone() else { return };
        let view = ClusterView {
            engines: self.nodes[index].view.clone(),
            unreachable: BTreeSet::new(),
            progressing: BTreeSet::new(),
            has_traffic: true,
            incomplete_since: self.nodes[index].departures.by_group(),
            evacuated: self.evacuated(),
            confirmed_at: self.nodes[index].view_at.map(|at| self.origin + at),
            unlisted: BTreeSet::new(),
        };
        let actions = self.nodes[index].planner.next_actions(instant, &models(), &view, &plan);
        for (id, _, order) in actions.orders {
            let domain = self.cluster.engines.get(&id).map_or("", |engine| &engine.domain);
            if view.evacuated.contains(&data_centre_of(domain)) {
                let violation = format!("order to evacuated {id} at {now:?}: {order:?}");
                self.cluster.violations.push(violation);
            }
            let result = self.send_order(&id, &order);
            self.cluster.trace.push(format!("{now:?} node{index} {id} {order:?} {result:?}"));
            self.nodes[index].results.push((id, order, result));
        }
        if let Some(next) = actions.new_plan {
            let accepted = now >= self.store_down_until && self.stored.1 == version;
            if accepted {
                self.stored = (next, version + 1);
                self.nodes[index].plan = Some(self.stored.clone());
            } else {
                self.nodes[index].plan = None;
            }
        }
    }

    fn step(&mut self) {
        self.cluster.advance(STEP);
        self.read_store(0);
        self.read_store(1);
        self.run_node(0);
        if self.cluster.now < self.second_leader_until {
            self.run_node(1);
        }
    }

    fn run(&mut self) {
        while self.cluster.now < FAULTS_UNTIL && self.cluster.violations.is_empty() {
            self.inject_faults();
            self.step();
        }
        self.second_leader_until = Duration::ZERO;
        self.evacuated_until = Duration::ZERO;
        for node in &mut self.nodes {
            node.paused_until = Duration::ZERO;
        }
        let end = self.cluster.now + RECOVERY_TIME;
        while self.cluster.now < end && self.cluster.violations.is_empty() {
            self.step();
        }
    }

    /// Groups that could serve and do not, after the faults have stopped.
    fn unserved_groups(&self) -> Vec<String> {
        let mut failures = Vec::new();
        let mut free: BTreeMap<&str, usize> = BTreeMap::new();
        let planned: BTreeSet<&InstanceId> =
            self.stored.0.groups.values().flat_map(|g| &g.members).collect();
        for (id, engine) in &self.cluster.engines {
            if engine.is_up() && !engine.leaving && !planned.contains(id) {
                *free.entry(&engine.domain).or_default() += 1;
            }
        }
        for (domain, count) in free {
            if count >= 4 {
                failures.push(format!("{domain} has {count} idle instances"));
            }
        }
        for (name, group) in &self.stored.0.groups {
            let Some(head) = group.head().and_then(|h| self.cluster.engines.get(h)) else {
                continue;
            };
            let all_up = group
                .members
                .iter()
                .all(|m| self.cluster.engines.get(m).is_some_and(|e| e.is_up() && !e.leaving));
            let phase = head.member.as_ref().map(|m| m.phase);
            if all_up && phase != Some(Phase::Open) {
                failures.push(format!("{name} does not serve: {phase:?}"));
            }
        }
        for (name, group) in self.stored.0.groups.iter().filter(|(_, g)| g.retiring) {
            let held = group
                .members
                .iter()
                .filter(|m| self.cluster.engines.get(*m).is_some_and(|e| e.is_up() && !e.leaving))
                .count();
            if held > 0 {
                failures.push(format!("{name} is not removed and still holds {held} instances"));
            }
        }
        failures
    }

    fn excess_loads(&self) -> Option<usize> {
        let starts = &self.cluster.load_starts;
        let in_window = |from: &Duration| {
            starts.iter().filter(|at| *at >= from && **at < *from + LOAD_WINDOW).count()
        };
        starts.iter().map(in_window).max().filter(|most| *most > MAX_LOADS_IN_WINDOW)
    }
}

/// Runs the history of a seed, prints the end of its trace if it fails, and returns the failures.
fn run_history(seed: u64, rates: FaultRates) -> Vec<String> {
    run_simulation(seed, Simulation::new(seed, rates))
}

/// Like [`run_history`], with engines that accept joins with old epochs.
fn run_history_without_fencing(seed: u64, rates: FaultRates) -> Vec<String> {
    let mut simulation = Simulation::new(seed, rates);
    simulation.cluster.accepts_old_epochs = true;
    run_simulation(seed, simulation)
}

fn run_simulation(seed: u64, mut simulation: Simulation) -> Vec<String> {
    simulation.run();
    let mut failures = simulation.cluster.violations.clone();
    if failures.is_empty() {
        failures.extend(simulation.unserved_groups());
    }
    failures
        .extend(simulation.excess_loads().map(|n| format!("load rate exceeded: {n} loads in 5 s")));
    if !failures.is_empty() {
        let trace = &simulation.cluster.trace;
        let from = trace.len().saturating_sub(60);
        println!("seed {seed}: {failures:?}\n{}", trace[from..].join("\n"));
    }
    failures
}

/// Seeds whose histories have failed before: a head that rejoined because of delayed orders, two
/// leaders, a load overwritten by a delayed order, a response used after it was outdated.
const REGRESSION_SEEDS: [u64; 15] =
    [34, 36, 38, 51, 52, 1351, 1524, 3166, 3778, 4540, 5195, 5517, 6133, 7444, 8237];

#[rstest]
fn regression_seeds_pass() {
    for seed in REGRESSION_SEEDS {
        assert_eq!(run_history(seed, MODERATE), Vec::<String>::new(), "seed {seed}");
    }
}

/// Seeds that have failed at the higher rates: members that rejoined removed groups because of
/// delayed orders.
const HEAVY_REGRESSION_SEEDS: [u64; 2] = [12, 58];

#[rstest]
fn heavy_regression_seeds_pass() {
    for seed in HEAVY_REGRESSION_SEEDS {
        assert_eq!(run_history(seed, HEAVY), Vec::<String>::new(), "seed {seed}");
    }
}

#[rstest]
fn histories_violate_no_invariant_and_end_with_all_groups_serving(
    #[values(MODERATE, HEAVY, EVACUATIONS, SHUTDOWNS)] rates: FaultRates,
) {
    let count = env::var("HISTORIES").ok().and_then(|n| n.parse().ok());
    let first = env::var("FIRST_SEED").ok().and_then(|n| n.parse().ok()).unwrap_or(0);
    let mut failed = Vec::new();
    for seed in first..first + count.unwrap_or(DEFAULT_HISTORIES) {
        let failures = run_history(seed, rates);
        if !failures.is_empty() {
            failed.push((seed, failures));
        }
    }
    assert!(
        failed.is_empty(),
        "{} histories failed: {:?}",
        failed.len(),
        &failed[..failed.len().min(10)]
    );
}

/// Engines reject joins with an epoch lower than one that they have seen, whether or not they check
/// fencing tokens, which orders do not carry. Without that, delayed joins would break promises.
#[rstest]
fn rejection_of_joins_with_old_epochs_is_needed() {
    let has_failures = |seed: &u64| !run_history_without_fencing(*seed, HEAVY).is_empty();
    assert!((0..30).any(|seed| has_failures(&seed)));
}
