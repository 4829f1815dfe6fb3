//! Simulation of a cluster with many nodes, which learn of each other's load late, in virtual time.

mod common;

use {
    common::{DATA_CENTRE, config, group_head},
    rand::{RngExt as _, SeedableRng as _},
    rand_pcg::Pcg64Mcg,
    rstest::rstest,
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
    turmerictack_serving::{
        directory::{Instance, PoolKey, Upstream},
        load::UpstreamOutcome,
        membership::{HEARTBEAT_INTERVAL, MAX_HEARTBEATS_PER_INTERVAL},
        queue::SchedulingParams,
        retry_budget::RetryBudgetConfig,
        tables::{Placement, Tables},
    },
};

const NODES: usize = 85;
const SLOTS: u32 = 15;
/// Load relative to the slots of all groups.
const LOAD: f64 = 0.5;
const MEAN_SERVICE_TIME: Duration = Duration::from_millis(1_000);
const STEP: Duration = Duration::from_millis(5);
const LENGTH: Duration = Duration::from_secs(12);
/// Requests sent to groups whose slots are all taken, per thousand, while half of all slots are
/// free.
const MAX_CROWDED_PER_THOUSAND: usize = 10;

struct Running {
    node: usize,
    upstream: Arc<Upstream>,
    until: Instant,
}

/// Requests, and those of them that met a full group.
fn simulate(seed: u64, groups: usize) -> (usize, usize) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let pool: PoolKey = ("models".to_owned(), Some("m".to_owned()));
    let retry_budget =
        RetryBudgetConfig { ratio: 0.2, window: Duration::from_secs(10), burst: 100.0 };
    let start = Instant::now();
    let nodes: Vec<Tables> = (0..NODES)
        .map(|node| {
            let tables = Tables::new(seed * 1_000 + node as u64, retry_budget);
            assert!(tables.update_config(config(1)));
            for at in 0..groups {
                let group = Instance { slots: SLOTS, ..group_head(at) };
                tables.directory.lock().insert(format!("e{at}"), group);
            }
            tables.rebuild_upstreams(start);
            tables
        })
        .collect();
    // Nodes start their rounds of heartbeats at different times.
    let mut cursors: Vec<usize> = (0..NODES).map(|_| rng.random_range(0..NODES)).collect();
    let arrivals_per_step = groups as f64 * f64::from(SLOTS) * LOAD * STEP.as_secs_f64()
        / MEAN_SERVICE_TIME.as_secs_f64();
    let (mut requests, mut crowded, mut due) = (0, 0, 0.0);
    let mut running: Vec<Running> = Vec::new();
    let mut in_flight: BTreeMap<u32, u32> = BTreeMap::new();
    let (mut now, mut next_heartbeat) = (start, start);
    while now < start + LENGTH {
        now += STEP;
        running.retain(|r| {
            if now < r.until {
                return true;
            }
            let tables = &nodes[r.node];
            tables.balancer.lock().loads.release(now, r.upstream.key, UpstreamOutcome::Success);
            tables.dispatch_waiting(now, &pool);
            *in_flight.entry(r.upstream.key).or_default() -= 1;
            false
        });
        if now >= next_heartbeat {
            next_heartbeat += HEARTBEAT_INTERVAL;
            for (node, cursor) in cursors.iter_mut().enumerate() {
                exchange_heartbeats(now, &nodes, node, cursor);
            }
        }
        due += arrivals_per_step * rng.random_range(0.0..2.0);
        while due >= 1.0 {
            due -= 1.0;
            let node = rng.random_range(0..NODES);
            let params = SchedulingParams {
                priority: 0,
                is_client_retry: false,
                is_resumption: false,
                dispatch_by: now + Duration::from_millis(100),
                expires_at: now + Duration::from_millis(1_500),
                prompt_tokens: 0,
            };
            let placement = nodes[node].place(now, &pool, params, &[], &DATA_CENTRE.to_owned());
            requests += 1;
            let Placement::Assigned(upstream) = placement else {
                crowded += 1;
                continue;
            };
            let count = in_flight.entry(upstream.key).or_default();
            crowded += usize::from(*count >= SLOTS);
            *count += 1;
            let until = now + MEAN_SERVICE_TIME.mul_f64(rng.random_range(0.4..1.6));
            running.push(Running { node, upstream, until });
        }
    }
    (requests, crowded)
}

/// Sends the heartbeats of a node to the next few peers.
fn exchange_heartbeats(now: Instant, nodes: &[Tables], node: usize, cursor: &mut usize) {
    let loads = {
        let mut balancer = nodes[node].balancer.lock();
        if *cursor < MAX_HEARTBEATS_PER_INTERVAL {
            balancer.loads.mark_reported();
        }
        balancer.loads.local_loads(now)
    };
    for _ in 0..MAX_HEARTBEATS_PER_INTERVAL {
        if *cursor != node {
            let name = format!("n{node}");
            nodes[*cursor].balancer.lock().loads.merge_peer_loads(now, &name, &loads);
        }
        *cursor = (*cursor + 1) % NODES;
    }
}

#[rstest]
fn requests_are_spread_over_the_groups_while_half_of_the_slots_are_free(
    #[values(4, 12, 60)] groups: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let (requests, crowded) = simulate(seed, groups);
    println!("{crowded} of {requests} requests met a full group");
    assert!(
        crowded * 1_000 <= requests * MAX_CROWDED_PER_THOUSAND,
        "{crowded} of {requests} requests met a full group"
    );
}
