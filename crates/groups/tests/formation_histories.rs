//! Random histories of engines, orders, nodes in charge and the store, with the rules checked at
//! every step. `HISTORIES` sets how many seeds are played; a failing seed is printed.

mod fabric;

use {
    fabric::{Fabric, LOAD, STALL},
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
            Departures, EngineInstance, Formation, LoadLimits, ModelProfile, Models, Order,
            OrderResult, Phase, View,
        },
        plan::Plan,
    },
    turmerictack_model::ids::{InstanceId, Version},
};

const STEP: Duration = Duration::from_millis(100);
const FAULTS_UNTIL: Duration = Duration::from_secs(30);
const CALM_FOR: Duration = Duration::from_secs(25);
const LIMITS: LoadLimits = LoadLimits { per_second: 5.0, at_once: 7 };
/// Loads that may begin in any five seconds: the rate, a tenth of it, and three.
const MAX_LOADS_IN_WINDOW: usize = 30;
const LOAD_WINDOW: Duration = Duration::from_secs(5);
const DEFAULT_HISTORIES: u64 = 300;

/// A node that may be in charge.
struct Node {
    formation: Formation,
    departures: Departures,
    plan: Option<(Plan, Version)>,
    view: BTreeMap<InstanceId, EngineInstance>,
    answers: Vec<(InstanceId, Order, OrderResult)>,
    frozen_until: Duration,
    confirmed: Duration,
}

/// Time for which a node acts on the plan without another look.
const PLAN_TIMEOUT: Duration = Duration::from_secs(2);

impl Node {
    fn new() -> Self {
        Self {
            formation: Formation::new(STALL, LIMITS),
            departures: Departures::default(),
            plan: None,
            view: BTreeMap::new(),
            answers: Vec::new(),
            frozen_until: Duration::ZERO,
            confirmed: Duration::ZERO,
        }
    }

    fn take_charge(&mut self) {
        self.plan = None;
        self.formation.forget_progress();
    }
}

/// How often orders are late, and two nodes are in charge.
#[derive(Clone, Copy)]
struct Weather {
    /// Times of late orders, a second.
    late_per_second: f64,
    /// Part of the orders that are late at such a time.
    late_share: f64,
    /// Times with a second node in charge, a second.
    second_per_second: f64,
}

const USUAL: Weather = Weather { late_per_second: 0.05, late_share: 0.35, second_per_second: 0.1 };
const ROUGH: Weather = Weather { late_per_second: 0.4, late_share: 0.6, second_per_second: 0.3 };

struct World {
    weather: Weather,
    rng: Pcg64Mcg,
    origin: Instant,
    fabric: Fabric,
    nodes: Vec<Node>,
    stored: (Plan, Version),
    store_down_until: Duration,
    late_until: Duration,
    second_until: Duration,
}

fn models() -> Models {
    let large = ModelProfile { size: 4, share: 0.5, load: LOAD };
    let small = ModelProfile { size: 2, share: 0.5, load: LOAD };
    let by_name = BTreeMap::from([("large".to_owned(), large), ("small".to_owned(), small)]);
    BTreeMap::from([("models".to_owned(), by_name)])
}

impl World {
    fn new(seed: u64, weather: Weather) -> Self {
        Self {
            weather,
            rng: Pcg64Mcg::seed_from_u64(seed),
            origin: Instant::now(),
            fabric: Fabric::new(2, 8),
            nodes: vec![Node::new(), Node::new()],
            stored: (Plan::default(), 0),
            store_down_until: Duration::ZERO,
            late_until: Duration::ZERO,
            second_until: Duration::ZERO,
        }
    }

    fn chance(&mut self, per_second: f64) -> bool {
        self.rng.random::<f64>() < per_second * STEP.as_secs_f64()
    }

    fn within(&mut self, seconds: std::ops::Range<f64>) -> Duration {
        Duration::from_secs_f64(self.rng.random_range(seconds))
    }

    fn any_engine(&mut self) -> InstanceId {
        let up: Vec<InstanceId> = self
            .fabric
            .engines
            .iter()
            .filter(|(_, e)| e.is_up())
            .map(|(id, _)| id.clone())
            .collect();
        up.choose(&mut self.rng).cloned().unwrap_or_default()
    }

    fn inject(&mut self) {
        let now = self.fabric.now;
        if self.chance(0.3) {
            let (id, after) = (self.any_engine(), self.within(1.0..5.0));
            self.fabric.trace.push(format!("{now:?} crash {id}"));
            self.fabric.crash(&id, Some(after));
        }
        if self.chance(0.05) {
            let id = self.any_engine();
            self.fabric.crash(&id, None);
        }
        if self.chance(0.15) {
            let (id, until) = (self.any_engine(), now + self.within(1.0..10.0));
            if let Some(engine) = self.fabric.engines.get_mut(&id) {
                engine.cut_until = until;
            }
        }
        if self.chance(0.05) {
            let until = now + self.within(3.0..10.0);
            for engine in self.fabric.engines.values_mut().filter(|e| e.domain == "d1") {
                engine.cut_until = until;
            }
        }
        if self.chance(0.05) {
            let id = self.any_engine();
            if let Some(engine) = self.fabric.engines.get_mut(&id) {
                engine.leaving = true;
            }
        }
        if self.chance(self.weather.late_per_second) {
            self.late_until = now + self.within(1.0..5.0);
        }
        if self.chance(0.05) {
            self.store_down_until = now + self.within(1.0..5.0);
        }
        if self.chance(self.weather.second_per_second) {
            self.second_until = now + self.within(0.5..4.0);
            self.nodes[1].take_charge();
        }
        if self.chance(0.1) {
            self.nodes[0].frozen_until = now + self.within(0.5..5.0);
        }
        if self.chance(0.1) {
            self.nodes.swap(0, 1);
            self.nodes[0].take_charge();
        }
        if self.chance(0.05) {
            self.nodes[0] = Node::new();
        }
    }

    /// Gives an order; engines that are cut off from control don't get it.
    fn order(&mut self, id: &InstanceId, order: &Order) -> OrderResult {
        let now = self.fabric.now;
        let late_window = now < self.late_until;
        let (is_up, is_cut, started) = match self.fabric.engines.get(id) {
            Some(e) => (e.is_up(), now < e.cut_until, e.started),
            None => return OrderResult::Gone,
        };
        if is_cut || self.fabric.engines[id].gone {
            return OrderResult::Unanswered;
        }
        if !is_up {
            return OrderResult::Gone;
        }
        if late_window && self.rng.random::<f64>() < self.weather.late_share {
            let at = now + self.within(2.0..12.0);
            self.fabric.late.push((at, id.clone(), started, order.clone()));
            return OrderResult::Unanswered;
        }
        let result = self.fabric.apply(id, order);
        if late_window && self.rng.random::<f64>() < 0.1 {
            return OrderResult::Unanswered;
        }
        result
    }

    /// Lets a node read the store, whether it is in charge or not.
    fn read_store(&mut self, index: usize) {
        let now = self.fabric.now;
        if now < self.nodes[index].frozen_until || now < self.store_down_until {
            return;
        }
        // A node that thaws acts once on the view that it froze with.
        let fresh = self.fabric.listed();
        let node = &mut self.nodes[index];
        let stale = std::mem::replace(&mut node.view, fresh);
        if now < node.frozen_until + STEP {
            node.view = stale;
        }
        for (id, engine) in &node.view {
            let group = engine.membership.as_ref().map(|m| &m.group);
            node.departures.observe(self.origin + now, id, engine.started, group);
        }
    }

    fn run_node(&mut self, index: usize) {
        let now = self.fabric.now;
        let instant = self.origin + now;
        if now < self.nodes[index].frozen_until {
            return;
        }
        let answers = std::mem::take(&mut self.nodes[index].answers);
        for (id, order, result) in answers {
            self.nodes[index].formation.answered(instant, &id, &order, result);
        }
        let node = &mut self.nodes[index];
        if node.plan.is_none() || now >= node.confirmed + PLAN_TIMEOUT {
            if now < self.store_down_until {
                node.plan = None;
                return;
            }
            if node.plan.as_ref().is_some_and(|(_, version)| *version != self.stored.1) {
                node.formation.forget_progress();
            }
            node.plan = Some(self.stored.clone());
            node.confirmed = now;
        }
        let Some((plan, version)) = self.nodes[index].plan.clone() else { return };
        let view = View {
            engines: self.nodes[index].view.clone(),
            unreachable: BTreeSet::new(),
            progressing: BTreeSet::new(),
            has_traffic: true,
            incomplete: self.nodes[index].departures.by_group(),
        };
        let steps = self.nodes[index].formation.step(instant, &models(), &view, &plan);
        for (id, _, order) in steps.orders {
            let result = self.order(&id, &order);
            self.fabric.trace.push(format!("{now:?} node{index} {id} {order:?} {result:?}"));
            self.nodes[index].answers.push((id, order, result));
        }
        if let Some(next) = steps.replace {
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
        self.fabric.advance(STEP);
        self.read_store(0);
        self.read_store(1);
        self.run_node(0);
        if self.fabric.now < self.second_until {
            self.run_node(1);
        }
    }

    fn play(&mut self) {
        while self.fabric.now < FAULTS_UNTIL && self.fabric.broken_rules.is_empty() {
            self.inject();
            self.step();
        }
        self.second_until = Duration::ZERO;
        for node in &mut self.nodes {
            node.frozen_until = Duration::ZERO;
        }
        let end = self.fabric.now + CALM_FOR;
        while self.fabric.now < end && self.fabric.broken_rules.is_empty() {
            self.step();
        }
    }

    /// Groups that could serve and don't, once all is calm.
    fn unserved(&self) -> Vec<String> {
        let mut wrong = Vec::new();
        let mut free: BTreeMap<&str, usize> = BTreeMap::new();
        let planned: BTreeSet<&InstanceId> =
            self.stored.0.groups.values().flat_map(|g| &g.members).collect();
        for (id, engine) in &self.fabric.engines {
            if engine.is_up() && !engine.leaving && !planned.contains(id) {
                *free.entry(&engine.domain).or_default() += 1;
            }
        }
        for (domain, count) in free {
            if count >= 4 {
                wrong.push(format!("{domain} leaves {count} instances idle"));
            }
        }
        for (name, group) in &self.stored.0.groups {
            let Some(head) = group.head().and_then(|h| self.fabric.engines.get(h)) else {
                continue;
            };
            let all_up = group
                .members
                .iter()
                .all(|m| self.fabric.engines.get(m).is_some_and(|e| e.is_up() && !e.leaving));
            let phase = head.member.as_ref().map(|m| m.phase);
            if all_up && phase != Some(Phase::Open) {
                wrong.push(format!("{name} does not serve: {phase:?}"));
            }
        }
        for (name, group) in self.stored.0.groups.iter().filter(|(_, g)| g.retiring) {
            let held = group
                .members
                .iter()
                .filter(|m| self.fabric.engines.get(*m).is_some_and(|e| e.is_up() && !e.leaving))
                .count();
            if held > 0 {
                wrong.push(format!("{name} is never dissolved and holds {held} instances"));
            }
        }
        wrong
    }

    fn too_many_loads(&self) -> Option<usize> {
        let starts = &self.fabric.load_starts;
        let in_window = |from: &Duration| {
            starts.iter().filter(|at| *at >= from && **at < *from + LOAD_WINDOW).count()
        };
        starts.iter().map(in_window).max().filter(|most| *most > MAX_LOADS_IN_WINDOW)
    }
}

/// Plays a history, prints its end if something is wrong, and gives what is.
fn play(seed: u64, weather: Weather) -> Vec<String> {
    let mut world = World::new(seed, weather);
    world.play();
    let mut wrong = world.fabric.broken_rules.clone();
    if wrong.is_empty() {
        wrong.extend(world.unserved());
    }
    wrong.extend(world.too_many_loads().map(|n| format!("CEILING: {n} loads in 5 s")));
    if !wrong.is_empty() {
        let trace = &world.fabric.trace;
        let from = trace.len().saturating_sub(60);
        println!("seed {seed}: {wrong:?}\n{}", trace[from..].join("\n"));
    }
    wrong
}

/// Seeds whose histories once failed: a head brought back by late orders, two nodes in charge,
/// a load that a late order had overwritten, an answer that outlived what it said.
const SEEDS_THAT_FAILED: [u64; 15] =
    [34, 36, 38, 51, 52, 1351, 1524, 3166, 3778, 4540, 5195, 5517, 6133, 7444, 8237];

#[rstest]
fn seeds_that_failed_once_hold() {
    for seed in SEEDS_THAT_FAILED {
        assert_eq!(play(seed, USUAL), Vec::<String>::new(), "seed {seed}");
    }
}

/// The same with many late orders: members that these brought back into dissolved groups.
const ROUGH_SEEDS_THAT_FAILED: [u64; 2] = [12, 58];

#[rstest]
fn rough_seeds_that_failed_once_hold() {
    for seed in ROUGH_SEEDS_THAT_FAILED {
        assert_eq!(play(seed, ROUGH), Vec::<String>::new(), "seed {seed}");
    }
}

#[rstest]
fn no_history_breaks_a_rule_and_all_that_can_serve_does(#[values(USUAL, ROUGH)] weather: Weather) {
    let count = env::var("HISTORIES").ok().and_then(|n| n.parse().ok());
    let first = env::var("FIRST_SEED").ok().and_then(|n| n.parse().ok()).unwrap_or(0);
    let mut failed = Vec::new();
    for seed in first..first + count.unwrap_or(DEFAULT_HISTORIES) {
        let wrong = play(seed, weather);
        if !wrong.is_empty() {
            failed.push((seed, wrong));
        }
    }
    assert!(
        failed.is_empty(),
        "{} histories failed: {:?}",
        failed.len(),
        &failed[..failed.len().min(10)]
    );
}
