//! Simulation of nodes under load to which the last of several groups return, in virtual time.

use {
    super::{DATA_CENTRE, addresses, config, group_head},
    rand::{RngExt as _, SeedableRng as _},
    rand_pcg::Pcg64Mcg,
    std::{
        ops::Range,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::oneshot::Receiver,
    turmerictack_serving::{
        directory::{Instance, PoolKey, Upstream},
        load::{OVERLOAD_COOLDOWN, UpstreamOutcome},
        membership::{HEARTBEAT_INTERVAL, heartbeats_per_interval},
        queue::{SchedulingParams, Ticket},
        retry_budget::RetryBudgetConfig,
        tables::{Placement, Tables},
    },
};

const GROUPS: usize = 6;
pub const SLOTS: u32 = 48;
/// Requests that an engine takes beyond its slots.
const ENGINE_QUEUE: usize = 4;
const STEP: Duration = Duration::from_millis(5);
const LATENCY_TARGET: Duration = Duration::from_millis(250);
const MAX_WAIT: Duration = Duration::from_millis(1_500);
/// Time to the first event without any wait, the part of it in which the engine reads nothing else,
/// and the mean time from there to the end, at a warm engine.
const FIRST_EVENT: Duration = Duration::from_millis(100);
const READ: Duration = Duration::from_millis(12);
const STREAM: Duration = Duration::from_millis(1_000);
const RETURN_AT: Duration = Duration::from_secs(5);
/// Time after the return in which requests are counted.
const COUNTED: Duration = Duration::from_secs(5);
/// Speed of an engine that has just started.
const COLD_SPEED: f64 = 0.2;

/// What limits a group that returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    Slots,
    /// A quarter of the slots, and all of them after 10 s.
    FixedSlowStart,
    Pace,
}

#[derive(Clone, Debug)]
pub struct Scenario {
    pub nodes: usize,
    pub limit: Limit,
    /// Number of groups that return, of six.
    pub returning: usize,
    /// Time in which a group that returns gets warm.
    pub cold: Duration,
    /// Time after the return in which it is as slow as at first.
    pub relapse: Range<f64>,
    /// Nodes that are lost 0.5 s after the return.
    pub lost_nodes: usize,
    /// Whether the first node starts again 0.5 s after the return.
    pub restart: bool,
    pub seed: u64,
}

impl Scenario {
    pub fn new(nodes: usize, limit: Limit, cold: Duration, seed: u64) -> Self {
        Self {
            nodes,
            limit,
            returning: 1,
            cold,
            relapse: 0.0..0.0,
            lost_nodes: 0,
            restart: false,
            seed,
        }
    }
}

impl Scenario {
    fn groups_before(&self) -> usize {
        GROUPS - self.returning
    }
}

/// What callers got after the return, and how the group was used.
#[derive(Debug, Default)]
pub struct Outcome {
    pub requests: usize,
    pub late: usize,
    pub rejected: usize,
    /// Mean share of the slots that the group could have used, and were free, while requests waited.
    pub idle: f64,
    /// Most requests in flight at a group before it can have answered any.
    pub first_burst: usize,
    /// Longest time to a first event of a request that was sent to the group in a relapse, after its
    /// first second.
    pub slowest: Duration,
}

struct Request {
    node: usize,
    received_at: Instant,
    state: State,
}

enum State {
    Waiting(Ticket, Receiver<Arc<Upstream>>),
    Running { upstream: Arc<Upstream>, sent_at: Instant, first_at: Option<Instant>, until: Instant },
    Rejected(Arc<Upstream>),
}

pub struct ReturningCluster {
    scenario: Scenario,
    start: Instant,
    now: Instant,
    nodes: Vec<Tables>,
    next_peers: Vec<usize>,
    requests: Vec<Request>,
    /// Time until which each engine reads prompts.
    reading_until: Vec<Instant>,
    in_flight: Vec<usize>,
    rng: Pcg64Mcg,
    pool: PoolKey,
    due: f64,
    idle_steps: f64,
    pub outcome: Outcome,
}

fn new_node(scenario: &Scenario, seed: u64, now: Instant, groups: usize) -> Tables {
    let retry_budget =
        RetryBudgetConfig { ratio: 0.2, window: Duration::from_secs(10), burst: 100.0 };
    let tables = Tables::new(seed, retry_budget);
    let mut config = config(1);
    for service in config.services.values_mut() {
        service.paces_returns = scenario.limit == Limit::Pace;
    }
    assert!(tables.update_config(config));
    for at in 0..groups {
        list_group(&tables, at, SLOTS);
    }
    tables.rebuild_upstreams(now);
    tables.peers.lock().set_registered(now, addresses(scenario.nodes));
    tables
}

fn list_group(tables: &Tables, at: usize, slots: u32) {
    let group = Instance { slots, ..group_head(at) };
    tables.directory.lock().insert(format!("e{at}"), group);
}

impl ReturningCluster {
    pub fn new(scenario: Scenario) -> Self {
        let start = Instant::now();
        let node = |at| {
            new_node(&scenario, scenario.seed * 1_000 + at as u64, start, scenario.groups_before())
        };
        Self {
            start,
            now: start,
            nodes: (0..scenario.nodes).map(node).collect(),
            next_peers: (0..scenario.nodes).map(|at| at * 7 % scenario.nodes).collect(),
            requests: Vec::new(),
            reading_until: vec![start; GROUPS],
            in_flight: vec![0; GROUPS],
            rng: Pcg64Mcg::seed_from_u64(scenario.seed),
            pool: ("models".to_owned(), Some("m".to_owned())),
            due: 0.0,
            idle_steps: 0.0,
            outcome: Outcome::default(),
            scenario,
        }
    }

    pub fn run(mut self) -> Outcome {
        let phases = (HEARTBEAT_INTERVAL.as_millis() / STEP.as_millis()) as usize;
        let mut steps = 0;
        while self.now < self.start + RETURN_AT + COUNTED + MAX_WAIT {
            self.now += STEP;
            steps += 1;
            self.apply_events();
            self.advance();
            for node in (0..self.nodes.len()).filter(|node| (steps + node).is_multiple_of(phases)) {
                self.heartbeat(node);
            }
            self.receive_requests();
            self.observe();
        }
        self.outcome.idle = self.idle_steps * STEP.as_secs_f64() / COUNTED.as_secs_f64();
        self.outcome
    }

    /// Time since the return; `None` before it.
    fn since_return(&self) -> Option<Duration> {
        self.now.checked_duration_since(self.start + RETURN_AT)
    }

    fn is_counted(&self, received_at: Instant) -> bool {
        let from = self.start + RETURN_AT;
        (from..from + COUNTED).contains(&received_at)
    }

    fn apply_events(&mut self) {
        let Some(since) = self.since_return() else { return };
        let ramp = since.as_secs_f64() / 10.0;
        let slots = match self.scenario.limit {
            Limit::FixedSlowStart => (f64::from(SLOTS) * (0.25 + 0.75 * ramp.min(1.0))) as u32,
            Limit::Slots | Limit::Pace => SLOTS,
        };
        if since.is_zero() || self.scenario.limit == Limit::FixedSlowStart {
            for tables in &self.nodes {
                for at in self.scenario.groups_before()..GROUPS {
                    list_group(tables, at, slots);
                }
                tables.rebuild_upstreams(self.now);
            }
        }
        if since == Duration::from_millis(500) {
            let remaining = self.nodes.len() - self.scenario.lost_nodes;
            self.nodes.truncate(remaining);
            if self.scenario.restart {
                self.nodes[0] = new_node(&self.scenario, 1, self.now, GROUPS);
            }
            let is_lost = |node| node >= remaining || self.scenario.restart && node == 0;
            let (lost, kept) =
                std::mem::take(&mut self.requests).into_iter().partition(|r| is_lost(r.node));
            self.requests = kept;
            lost.iter().for_each(|r: &Request| self.leave(&r.state));
        }
    }

    /// Speed of an engine relative to a warm one.
    fn speed(&self, engine: usize) -> f64 {
        let Some(since) = self.since_return().filter(|_| engine >= self.scenario.groups_before())
        else {
            return 1.0;
        };
        if self.scenario.relapse.contains(&since.as_secs_f64()) {
            return COLD_SPEED;
        }
        let warmth = since.as_secs_f64() / self.scenario.cold.as_secs_f64().max(f64::EPSILON);
        COLD_SPEED + (1.0 - COLD_SPEED) * warmth.min(1.0)
    }

    fn send(&mut self, received_at: Instant, upstream: Arc<Upstream>) -> State {
        let engine = engine_of(&upstream);
        if self.in_flight[engine] >= SLOTS as usize + ENGINE_QUEUE {
            self.count_rejection(received_at);
            return State::Rejected(upstream);
        }
        self.in_flight[engine] += 1;
        let speed = self.speed(engine);
        let read = self.reading_until[engine].max(self.now) + READ.div_f64(speed);
        self.reading_until[engine] = read;
        let first_at = read + (FIRST_EVENT - READ).div_f64(speed);
        let relapse = &self.scenario.relapse;
        let since = self.since_return().unwrap_or_default().as_secs_f64();
        if engine >= self.scenario.groups_before()
            && (relapse.start + 1.0..relapse.end).contains(&since)
        {
            self.outcome.slowest = self.outcome.slowest.max(first_at - self.now);
        }
        let until = first_at + STREAM.mul_f64(self.rng.random_range(0.4..1.6));
        if self.is_counted(received_at) && first_at > received_at + LATENCY_TARGET {
            self.outcome.late += 1;
        }
        State::Running { upstream, sent_at: self.now, first_at: Some(first_at), until }
    }

    fn count_rejection(&mut self, received_at: Instant) {
        self.outcome.rejected += usize::from(self.is_counted(received_at));
    }

    fn leave(&mut self, state: &State) {
        if let State::Running { upstream, .. } = state {
            self.in_flight[engine_of(upstream)] -= 1;
        }
    }

    fn advance(&mut self) {
        for mut request in std::mem::take(&mut self.requests) {
            let node = request.node;
            match &mut request.state {
                State::Waiting(ticket, assigned) => {
                    if let Ok(upstream) = assigned.try_recv() {
                        request.state = self.send(request.received_at, upstream);
                    } else if self.now >= request.received_at + MAX_WAIT {
                        self.nodes[node].cancel_wait(&self.pool, *ticket);
                        self.count_rejection(request.received_at);
                        continue;
                    }
                }
                State::Running { upstream, sent_at, first_at, until } => {
                    if first_at.is_some_and(|at| self.now >= at) {
                        *first_at = None;
                        let mut balancer = self.nodes[node].balancer.lock();
                        let elapsed = self.now - *sent_at;
                        let usual = balancer.response_times.median(&self.pool);
                        balancer.loads.record_response(self.now, upstream.key, elapsed, usual);
                        balancer.response_times.record(&self.pool, elapsed);
                    }
                    let key = upstream.key;
                    if self.now >= *until {
                        self.leave(&request.state);
                        self.release(node, key, UpstreamOutcome::Success);
                        continue;
                    }
                    let mut balancer = self.nodes[node].balancer.lock();
                    balancer.loads.record_progress(self.now, key, None);
                }
                State::Rejected(upstream) => {
                    let outcome = UpstreamOutcome::Cooldown(OVERLOAD_COOLDOWN);
                    self.release(node, upstream.key, outcome);
                    continue;
                }
            }
            self.requests.push(request);
        }
    }

    fn release(&self, node: usize, key: u32, outcome: UpstreamOutcome) {
        let tables = &self.nodes[node];
        tables.balancer.lock().loads.release(self.now, key, outcome);
        tables.dispatch_waiting(self.now, &self.pool);
    }

    fn heartbeat(&mut self, from: usize) {
        let nodes = self.nodes.len();
        let first = self.next_peers[from] % nodes;
        let next = (first + heartbeats_per_interval(nodes - 1)).min(nodes);
        let sender = &self.nodes[from];
        let (loads, paces) = {
            let loads = &mut sender.balancer.lock().loads;
            if first == 0 {
                loads.mark_reported();
            }
            (loads.local_loads(self.now), loads.paces.to_report(self.now))
        };
        let name = format!("n{from}");
        for to in (first..next).filter(|to| *to != from) {
            let receiver = &mut self.nodes[to].balancer.lock().loads;
            receiver.merge_peer_loads(self.now, &name, &loads);
            receiver.merge_peer_paces(self.now, &name, &paces);
        }
        sender.expire_reports(self.now);
        sender.dispatch_all_waiting(self.now);
        self.next_peers[from] = next % nodes;
    }

    fn receive_requests(&mut self) {
        // Nine tenths of what all groups serve, which is more than they serve without the last one.
        let per_group = f64::from(SLOTS) / (FIRST_EVENT + STREAM).as_secs_f64();
        let per_second = per_group * GROUPS as f64 * 0.9;
        self.due += per_second * STEP.as_secs_f64() * self.rng.random_range(0.0..2.0);
        while self.due >= 1.0 {
            self.due -= 1.0;
            let (node, received_at) = (self.rng.random_range(0..self.nodes.len()), self.now);
            self.outcome.requests += usize::from(self.is_counted(received_at));
            let params = SchedulingParams {
                priority: 0,
                is_client_retry: false,
                is_resumption: false,
                dispatch_by: received_at + LATENCY_TARGET - FIRST_EVENT,
                expires_at: received_at + MAX_WAIT,
                prompt_tokens: 0,
            };
            let data_centre = DATA_CENTRE.to_owned();
            let state =
                match self.nodes[node].place(self.now, &self.pool, params, &[], &data_centre) {
                    Placement::Assigned(upstream) => self.send(received_at, upstream),
                    Placement::Queued(ticket, assigned) => State::Waiting(ticket, assigned),
                    Placement::WaitTooLong(_) | Placement::Unavailable | Placement::Evacuated => {
                        self.count_rejection(received_at);
                        continue;
                    }
                };
            self.requests.push(Request { node, received_at, state });
        }
    }

    fn observe(&mut self) {
        let Some(since) = self.since_return().filter(|since| *since < COUNTED) else { return };
        let is_waiting = self.requests.iter().any(|r| matches!(r.state, State::Waiting(..)));
        let speed = if self.scenario.cold.is_zero() { 1.0 } else { COLD_SPEED };
        let first_event = FIRST_EVENT.div_f64(speed);
        for engine in self.scenario.groups_before()..GROUPS {
            let in_flight = self.in_flight[engine];
            if is_waiting {
                let usable = f64::from(SLOTS) * self.speed(engine);
                let idle = (usable - in_flight as f64).max(0.0) / usable;
                self.idle_steps += idle / self.scenario.returning as f64;
            }
            if since < first_event {
                self.outcome.first_burst = self.outcome.first_burst.max(in_flight);
            }
        }
    }
}

fn engine_of(upstream: &Upstream) -> usize {
    upstream.instance[1..].parse().unwrap()
}
