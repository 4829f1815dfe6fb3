//! Simulation of a load burst in virtual time: several nodes share the same groups.

mod common;

use {
    common::{DATA_CENTRE, config, group_head},
    rand::{RngExt as _, SeedableRng as _},
    rand_pcg::Pcg64Mcg,
    rstest::rstest,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::oneshot::Receiver,
    turmerictack_serving::{
        directory::{Instance, PoolKey, Upstream},
        load::UpstreamOutcome,
        queue::{SchedulingParams, Ticket, wait_deadline},
        retry_budget::RetryBudgetConfig,
        tables::{Placement, Tables},
    },
};

const NODES: usize = 9;
const GROUPS: usize = 8;
const SLOTS: u32 = 17;
/// Mean time for which a request occupies a slot.
const SERVICE_TIME: Duration = Duration::from_millis(1_000);
/// Time from a send to the first event.
const FIRST_EVENT_LATENCY: Duration = Duration::from_millis(170);
const LATENCY_TARGET: Duration = Duration::from_millis(250);
const TIMEOUT: Duration = Duration::from_secs(6);
const STEP: Duration = Duration::from_millis(5);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
const WARM_UP: Duration = Duration::from_secs(3);
const BURST: Duration = Duration::from_secs(6);
const BASE_LOAD: f64 = 0.6;
const BURST_LOAD: f64 = 1.4;
/// Required on-time requests as a share of those a perfect scheduler could serve (issue 11).
const MIN_ON_TIME_SHARE: f64 = 0.9;

enum State {
    Queued(Ticket, Receiver<Arc<Upstream>>),
    Running(Arc<Upstream>, Instant),
}

struct SimulatedRequest {
    node: usize,
    received_at: Instant,
    params: SchedulingParams,
    state: State,
}

struct Simulation {
    rng: Pcg64Mcg,
    pool: PoolKey,
    nodes: Vec<Tables>,
    requests: Vec<SimulatedRequest>,
    counted_from: Instant,
    counted_until: Instant,
    on_time: usize,
}

fn nodes() -> Vec<Tables> {
    let retry_budget =
        RetryBudgetConfig { ratio: 0.2, window: Duration::from_secs(10), burst: 100.0 };
    let node = |seed| {
        let tables = Tables::new(seed, retry_budget);
        assert!(tables.update_config(config(1)));
        for at in 0..GROUPS {
            let group = Instance { slots: SLOTS, ..group_head(at) };
            tables.directory.lock().insert(format!("e{at}"), group);
        }
        tables.rebuild_upstreams(Instant::now());
        tables
    };
    (0..NODES as u64).map(node).collect()
}

impl Simulation {
    fn arrive(&mut self, now: Instant) {
        let node = self.rng.random_range(0..NODES);
        // Client timeouts differ.
        let deadline = now + TIMEOUT.mul_f64(self.rng.random_range(0.85..1.0));
        let params = SchedulingParams {
            priority: 0,
            is_client_retry: false,
            is_resumption: false,
            dispatch_by: now + LATENCY_TARGET - FIRST_EVENT_LATENCY,
            expires_at: wait_deadline(now, deadline, false),
            prompt_tokens: 0,
        };
        let placement =
            self.nodes[node].place(now, &self.pool, params, &[], &DATA_CENTRE.to_owned());
        let state = match placement {
            Placement::Assigned(upstream) => self.start(now, now, upstream),
            Placement::Queued(ticket, assigned) => State::Queued(ticket, assigned),
            Placement::WaitTooLong(_) | Placement::Unavailable | Placement::Evacuated => return,
        };
        self.requests.push(SimulatedRequest { node, received_at: now, params, state });
    }

    fn start(&mut self, received_at: Instant, now: Instant, upstream: Arc<Upstream>) -> State {
        let is_counted = received_at >= self.counted_from && received_at < self.counted_until;
        if is_counted && now + FIRST_EVENT_LATENCY <= received_at + LATENCY_TARGET {
            self.on_time += 1;
        }
        let service_time = SERVICE_TIME.mul_f64(self.rng.random_range(0.4..1.6));
        State::Running(upstream, now + service_time)
    }

    fn advance(&mut self, now: Instant) {
        for request in std::mem::take(&mut self.requests) {
            let SimulatedRequest { node, received_at, params, state } = request;
            let state = match state {
                State::Queued(ticket, mut assigned) => match assigned.try_recv() {
                    Ok(upstream) => self.start(received_at, now, upstream),
                    Err(_) if now >= params.expires_at => {
                        self.nodes[node].cancel_wait(&self.pool, ticket);
                        continue;
                    }
                    Err(_) => State::Queued(ticket, assigned),
                },
                State::Running(upstream, until) if now >= until => {
                    let tables = &self.nodes[node];
                    tables.balancer.lock().loads.release(
                        now,
                        upstream.key,
                        UpstreamOutcome::Success,
                    );
                    tables.dispatch_waiting(now, &self.pool);
                    continue;
                }
                running => running,
            };
            self.requests.push(SimulatedRequest { node, received_at, params, state });
        }
    }

    fn exchange_heartbeats(&self, now: Instant) {
        for (from, tables) in self.nodes.iter().enumerate() {
            let mut balancer = tables.balancer.lock();
            balancer.loads.mark_reported();
            let loads = balancer.loads.local_loads(now);
            drop(balancer);
            let node = format!("n{from}");
            for (_, other) in self.nodes.iter().enumerate().filter(|(to, _)| *to != from) {
                other.balancer.lock().loads.merge_peer_loads(now, &node, &loads);
            }
        }
        for tables in &self.nodes {
            tables.dispatch_all_waiting(now);
        }
    }
}

/// Requests served on time in a burst, as a share of the capacity of permanently full groups.
fn served_in_burst(seed: u64) -> f64 {
    let start = Instant::now();
    let burst_from = start + WARM_UP;
    let burst_until = burst_from + BURST;
    let mut simulation = Simulation {
        rng: Pcg64Mcg::seed_from_u64(seed),
        pool: ("models".to_owned(), Some("m".to_owned())),
        nodes: nodes(),
        requests: Vec::new(),
        counted_from: burst_from,
        counted_until: burst_until,
        on_time: 0,
    };
    let capacity = GROUPS as f64 * f64::from(SLOTS) / SERVICE_TIME.as_secs_f64();
    let mut now = start;
    let mut next_heartbeat = start;
    while now < burst_until + TIMEOUT {
        now += STEP;
        simulation.advance(now);
        if now >= next_heartbeat {
            next_heartbeat += HEARTBEAT_INTERVAL;
            simulation.exchange_heartbeats(now);
        }
        let in_burst = now >= burst_from && now < burst_until;
        let load = if in_burst { BURST_LOAD } else { BASE_LOAD };
        let mut expected_arrivals = capacity * load * STEP.as_secs_f64();
        while expected_arrivals > 0.0 {
            if simulation.rng.random::<f64>() < expected_arrivals.min(1.0) {
                simulation.arrive(now);
            }
            expected_arrivals -= 1.0;
        }
    }
    simulation.on_time as f64 / (capacity * BURST.as_secs_f64())
}

#[rstest]
fn burst_capacity_goes_to_requests_that_can_be_on_time(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let share = served_in_burst(seed);
    assert!(share >= MIN_ON_TIME_SHARE, "{share:.3} of the capacity served on time");
}
