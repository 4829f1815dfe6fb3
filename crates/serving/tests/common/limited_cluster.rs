//! Simulation of nodes that share upstreams with rate limits, in virtual time.

use {
    super::{
        DATA_CENTRE, address, addresses,
        cold_cluster::{ColdReturn, Report},
        config, plain_instance,
    },
    rand::{RngExt as _, SeedableRng as _},
    rand_pcg::Pcg64Mcg,
    std::{
        collections::{BTreeMap, VecDeque},
        ops::Range,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::oneshot::Receiver,
    turmerictack_model::rate::RequestRate,
    turmerictack_serving::{
        directory::{Instance, PoolKey, Upstream},
        interfaces::StatedLimit,
        load::UpstreamOutcome,
        membership::{HEARTBEAT_INTERVAL, LeaderStatus, heartbeats_per_interval},
        queue::{SchedulingParams, Ticket},
        retry_budget::RetryBudgetConfig,
        tables::{Placement, Tables},
    },
};

const STEP: Duration = Duration::from_millis(5);
const SERVICE_TIME: Duration = Duration::from_millis(300);
/// Time after a limit was first stated from which it has to be kept.
pub const STABLE_TIME: Duration = Duration::from_secs(3);
/// Time after which a node that passed on an answer with a limit has to keep it.
const SLACK: Duration = Duration::from_millis(500);
/// Window in which the requests to an upstream are counted.
pub const WINDOW: Duration = Duration::from_secs(4);

/// What happens in a simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub nodes: usize,
    pub upstreams: usize,
    /// Requests per second that each limited upstream takes.
    pub rate: f64,
    /// Upstreams that state no limit, the last ones.
    pub unlimited: usize,
    /// Requests per second from clients, over all nodes.
    pub demand: f64,
    /// Number of nodes that get the requests of clients.
    pub busy_nodes: usize,
    pub length: Duration,
    /// Time for which clients send nothing, so that all buckets fill.
    pub pause: Range<f64>,
    /// Nodes that the others can't reach, and when.
    pub cut: (usize, Range<f64>),
    /// Time at which node 0 starts again, with empty tables.
    pub restart: Option<f64>,
    /// Time at which the limits are lifted.
    pub lifted: Option<f64>,
    /// Cold upstreams, the first ones.
    pub cold: Option<ColdReturn>,
    /// Time that a request may wait.
    pub max_wait: Duration,
    pub seed: u64,
}

impl Scenario {
    pub fn new(nodes: usize, seed: u64) -> Self {
        Self {
            nodes,
            upstreams: 3,
            rate: 2.2,
            unlimited: 0,
            demand: 15.0,
            busy_nodes: nodes,
            length: Duration::from_secs(30),
            pause: 0.0..0.0,
            cut: (0, 0.0..0.0),
            restart: None,
            lifted: None,
            cold: None,
            max_wait: Duration::from_millis(1_000),
            seed,
        }
    }
}

struct Waiting {
    ticket: Ticket,
    expires_at: Instant,
    assigned: Receiver<Arc<Upstream>>,
}

pub(super) struct Node {
    pub(super) tables: Tables,
    waiting: Vec<Waiting>,
    pub(super) incarnation: u64,
    /// Position in the round of heartbeats.
    next_peer: usize,
    /// Time at which each upstream first stated a limit to this node.
    stated: BTreeMap<usize, Duration>,
}

pub(super) struct Running {
    pub(super) node: usize,
    upstream: Arc<Upstream>,
    until: Instant,
}

/// A request that reached an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Send {
    /// Time since the start.
    pub at: Duration,
    pub upstream: usize,
    /// Whether the node had passed on an answer with the limit early enough to know it.
    pub knows_limit: bool,
}

/// A simulation, and what was seen in it.
pub struct LimitedCluster {
    pub(super) scenario: Scenario,
    pub(super) start: Instant,
    pub now: Instant,
    pub(super) nodes: Vec<Node>,
    /// Heartbeats on their way, with the time of their arrival.
    pub(super) delayed: VecDeque<(Instant, usize, Report)>,
    pub(super) running: Vec<Running>,
    rng: Pcg64Mcg,
    due: f64,
    pool: PoolKey,
    pub sends: Vec<Send>,
    pub requests: usize,
    pub refused: usize,
    pub timed_out: usize,
    pub waits: Vec<Duration>,
    /// Time of the first statement of each upstream.
    pub first_stated: Vec<Option<Duration>>,
}

pub(super) fn new_node(scenario: &Scenario, at: usize, now: Instant, incarnation: u64) -> Node {
    let retry_budget =
        RetryBudgetConfig { ratio: 0.2, window: Duration::from_secs(10), burst: 100.0 };
    let seed = scenario.seed * 1_000 + at as u64 + incarnation * 1_000_000;
    let tables = Tables::new(seed, retry_budget);
    assert!(tables.update_config(scenario.cold.as_ref().map_or(config(1), ColdReturn::config)));
    for upstream in 0..scenario.upstreams {
        let instance = Instance { slots: 200, ..plain_instance(upstream) };
        let instance = match &scenario.cold {
            Some(cold) => cold.instance(upstream, instance),
            None => instance,
        };
        tables.directory.lock().insert(format!("p{upstream}"), instance);
    }
    tables.rebuild_upstreams(now);
    tables.balancer.lock().loads.allowances.set_own(format!("n{at}"));
    tables.balancer.lock().loads.allowances.set_own_address(address(at));
    tables.peers.lock().set_registered(now, addresses(scenario.nodes));
    Node { tables, waiting: Vec::new(), incarnation, next_peer: 0, stated: BTreeMap::new() }
}

impl LimitedCluster {
    pub fn new(scenario: Scenario) -> Self {
        let start = Instant::now();
        let nodes: Vec<Node> =
            (0..scenario.nodes).map(|at| new_node(&scenario, at, start, 1)).collect();
        // The nodes know each other before the first limit is stated.
        for (to, node) in nodes.iter().enumerate() {
            for from in (0..scenario.nodes).filter(|from| *from != to) {
                record_heartbeat(&node.tables, start, from, 1);
            }
        }
        Self {
            start,
            now: start,
            nodes,
            delayed: VecDeque::new(),
            running: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(scenario.seed),
            due: 0.0,
            pool: ("bookings".to_owned(), None),
            sends: Vec::new(),
            requests: 0,
            refused: 0,
            timed_out: 0,
            waits: Vec::new(),
            first_stated: vec![None; scenario.upstreams],
            scenario,
        }
    }

    pub fn run(mut self) -> Self {
        let mut steps = 0_usize;
        while self.elapsed() < self.scenario.length {
            self.now += STEP;
            steps += 1;
            self.restart_if_due();
            self.play_cold_return();
            self.receive_heartbeats();
            self.finish_requests();
            let phases = HEARTBEAT_INTERVAL.as_millis() / STEP.as_millis();
            for node in 0..self.nodes.len() {
                if (steps + node).is_multiple_of(phases as usize) {
                    self.heartbeat(node);
                }
            }
            self.receive_requests();
            self.poll_waiting();
        }
        self
    }

    pub fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    fn is_within(&self, range: &Range<f64>) -> bool {
        range.contains(&self.elapsed().as_secs_f64())
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let (count, during) = &self.scenario.cut;
        self.is_within(during) && (from < *count) != (to < *count)
    }

    fn restart_if_due(&mut self) {
        if self.scenario.restart.is_some_and(|at| self.elapsed().as_secs_f64() >= at) {
            self.scenario.restart = None;
            let incarnation = self.nodes[0].incarnation + 1;
            self.nodes[0] = new_node(&self.scenario, 0, self.now, incarnation);
            self.running.retain(|r| r.node != 0);
        }
    }

    fn stated(&self, upstream: usize) -> StatedLimit {
        let is_lifted = self.scenario.lifted.is_some_and(|at| self.elapsed().as_secs_f64() >= at);
        if is_lifted || upstream >= self.scenario.upstreams - self.scenario.unlimited {
            StatedLimit::Unlimited
        } else {
            StatedLimit::Limited(RequestRate::from_per_second(self.scenario.rate))
        }
    }

    fn finish_requests(&mut self) {
        let (done, running) =
            std::mem::take(&mut self.running).into_iter().partition(|r| self.now >= r.until);
        self.running = running;
        for Running { node, upstream, .. } in done {
            let at = upstream_number(&upstream);
            let stated = self.stated(at);
            if matches!(stated, StatedLimit::Limited(_)) {
                let elapsed = self.elapsed();
                self.first_stated[at].get_or_insert(elapsed);
                self.nodes[node].stated.entry(at).or_insert(elapsed);
            }
            let tables = &self.nodes[node].tables;
            tables.apply_stated_limit(self.now, &upstream, stated);
            let mut balancer = tables.balancer.lock();
            balancer.loads.release(self.now, upstream.key, UpstreamOutcome::Success);
            drop(balancer);
            tables.dispatch_waiting(self.now, &self.pool);
        }
    }

    fn heartbeat(&mut self, from: usize) {
        let nodes = self.nodes.len();
        let first = self.nodes[from].next_peer;
        let sender = &self.nodes[from];
        let (loads, limits) = {
            let loads = &mut sender.tables.balancer.lock().loads;
            if first == 0 {
                loads.mark_reported();
                loads.allowances.mark_reported(self.now);
            }
            (loads.local_loads(self.now), loads.allowances.to_report(self.now))
        };
        let next = (first + heartbeats_per_interval(nodes - 1)).min(nodes);
        let report = Report { from, incarnation: sender.incarnation, loads, limits };
        let delay = self.scenario.cold.as_ref().map_or(Duration::ZERO, |c| c.heartbeat_delay);
        let receivers: Vec<usize> =
            (first..next).filter(|to| *to != from && !self.is_cut(from, *to)).collect();
        let arrives_at = self.now + delay;
        self.delayed.extend(receivers.into_iter().map(|to| (arrives_at, to, report.clone())));
        self.nodes[from].next_peer = next % nodes;
        self.receive_heartbeats();
        let sender = &self.nodes[from];
        sender.tables.expire_reports(self.now);
        sender.tables.dispatch_all_waiting(self.now);
    }

    fn receive_requests(&mut self) {
        if self.is_within(&self.scenario.pause) {
            return;
        }
        self.due += self.scenario.demand * STEP.as_secs_f64() * self.rng.random_range(0.0..2.0);
        while self.due >= 1.0 {
            self.due -= 1.0;
            self.requests += 1;
            let node = self.rng.random_range(0..self.scenario.busy_nodes);
            let params = SchedulingParams {
                priority: 0,
                is_client_retry: false,
                is_resumption: false,
                dispatch_by: self.now + self.scenario.max_wait / 2,
                expires_at: self.now + self.scenario.max_wait,
                prompt_tokens: 0,
            };
            let tables = &self.nodes[node].tables;
            match tables.place(self.now, &self.pool, params, &[], &DATA_CENTRE.to_owned()) {
                Placement::Assigned(upstream) => {
                    self.waits.push(Duration::ZERO);
                    self.send(node, upstream);
                }
                Placement::Queued(ticket, assigned) => {
                    let expires_at = params.expires_at;
                    self.nodes[node].waiting.push(Waiting { ticket, expires_at, assigned });
                }
                Placement::WaitTooLong(_) | Placement::Unavailable | Placement::Evacuated => {
                    self.refused += 1;
                }
            }
        }
    }

    fn poll_waiting(&mut self) {
        for node in 0..self.nodes.len() {
            for mut waiting in std::mem::take(&mut self.nodes[node].waiting) {
                if let Ok(upstream) = waiting.assigned.try_recv() {
                    let max_wait = self.scenario.max_wait;
                    self.waits.push(max_wait - waiting.expires_at.duration_since(self.now));
                    self.send(node, upstream);
                } else if self.now >= waiting.expires_at {
                    self.nodes[node].tables.cancel_wait(&self.pool, waiting.ticket);
                    self.timed_out += 1;
                } else {
                    self.nodes[node].waiting.push(waiting);
                }
            }
        }
    }

    fn send(&mut self, node: usize, upstream: Arc<Upstream>) {
        let (at, number) = (self.elapsed(), upstream_number(&upstream));
        let knows_limit =
            self.nodes[node].stated.get(&number).is_some_and(|stated| at >= *stated + SLACK);
        self.sends.push(Send { at, upstream: number, knows_limit });
        let until = self.now + SERVICE_TIME.mul_f64(self.rng.random_range(0.5..1.5));
        self.running.push(Running { node, upstream, until });
    }

    /// Requests to one upstream from the time on at which its limit has to be kept, or in `during`.
    fn counted(&self, upstream: usize, during: Range<f64>) -> Vec<Duration> {
        let Some(stated) = self.first_stated[upstream] else { return Vec::new() };
        let from = (stated + STABLE_TIME).as_secs_f64().max(during.start);
        let of_upstream = self.sends.iter().filter(|s| s.upstream == upstream && s.knows_limit);
        let is_counted = |at: &Duration| (from..during.end).contains(&at.as_secs_f64());
        of_upstream.map(|s| s.at).filter(is_counted).collect()
    }

    /// Largest number of requests to a limited upstream in a window.
    pub fn most_in_window(&self, during: Range<f64>) -> usize {
        let limited = 0..self.scenario.upstreams - self.scenario.unlimited;
        let most = |upstream| {
            let times = self.counted(upstream, during.clone());
            let count = |(first, at): (usize, &Duration)| {
                times.partition_point(|t| *t < *at + WINDOW) - first
            };
            times.iter().enumerate().map(count).max().unwrap_or(0)
        };
        limited.map(most).max().unwrap_or(0)
    }

    /// Share of the rates that was used from the time on at which they have to be kept.
    pub fn used_share(&self, during: Range<f64>) -> f64 {
        let limited = 0..self.scenario.upstreams - self.scenario.unlimited;
        let (mut sends, mut allowed) = (0, 0.0);
        for upstream in limited {
            let Some(stated) = self.first_stated[upstream] else { continue };
            let from = (stated + STABLE_TIME).as_secs_f64().max(during.start);
            sends += self.counted(upstream, during.clone()).len();
            allowed += self.scenario.rate * (during.end - from);
        }
        sends as f64 / allowed
    }

    /// Requests to an upstream that are allowed in a window.
    pub fn allowed_in_window(&self) -> f64 {
        1.5 * WINDOW.as_secs_f64() * self.scenario.rate + 5.0
    }
}

fn upstream_number(upstream: &Upstream) -> usize {
    upstream.instance[1..].parse().unwrap()
}

pub(super) fn record_heartbeat(to: &Tables, now: Instant, from: usize, incarnation: u64) {
    let status = LeaderStatus::default();
    let name = format!("n{from}");
    to.peers.lock().record_heartbeat(now, &name, &address(from), incarnation, status);
}
