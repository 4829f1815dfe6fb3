//! A group that stands still, in a cluster whose nodes learn of each other's load late; in virtual
//! time.

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
    turmerictack_serving::{
        directory::{Instance, PoolKey, Upstream},
        load::UpstreamOutcome,
        membership::{HEARTBEAT_INTERVAL, MAX_HEARTBEATS_PER_INTERVAL},
        queue::SchedulingParams,
        retry_budget::RetryBudgetConfig,
        tables::{Placement, Tables},
    },
};

const NODES: usize = 100;
const GROUPS: usize = 50;
const SLOTS: u32 = 14;
const STEP: Duration = Duration::from_millis(10);
/// Requests a second at each node.
const RATE: f64 = 3.0;
const SERVICE_TIME: Duration = Duration::from_millis(900);
/// Time from the send to the first event.
const FIRST_EVENT: Duration = Duration::from_millis(120);
/// Time after which the requests at the group that stands still are moved away: the stall timeout
/// and up to one check.
const MOVE_AFTER: Duration = Duration::from_millis(600);
/// Time for which the group stands still; then its head reports it as broken.
const STALL: Duration = Duration::from_secs(4);
const WARM_UP: Duration = Duration::from_secs(3);

struct Running {
    node: usize,
    upstream: Arc<Upstream>,
    sent_at: Instant,
}

/// Requests sent to one group while it stands still, and those that each group got on average.
fn sends_while_one_group_stands_still(seed: u64) -> (usize, f64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let pool: PoolKey = ("models".to_owned(), Some("m".to_owned()));
    let retry_budget =
        RetryBudgetConfig { ratio: 0.2, window: Duration::from_secs(10), burst: 100.0 };
    let start = Instant::now();
    let new_node = |node: usize| {
        let tables = Tables::new(seed * 1_000 + node as u64, retry_budget);
        assert!(tables.update_config(config(1)));
        for at in 0..GROUPS {
            let group = Instance { slots: SLOTS, ..group_head(at) };
            tables.directory.lock().insert(format!("e{at}"), group);
        }
        tables.rebuild_upstreams(start);
        tables
    };
    let nodes: Vec<Tables> = (0..NODES).map(new_node).collect();
    let mut cursors: Vec<usize> = (0..NODES).map(|_| rng.random_range(0..NODES)).collect();
    let mut running: Vec<Running> = Vec::new();
    let (mut stalled, mut all) = (0, 0);
    let (mut now, mut next_heartbeat) = (start, start);
    while now < start + WARM_UP + STALL {
        now += STEP;
        let stands_still = now >= start + WARM_UP;
        running.retain(|r| {
            let mut balancer = nodes[r.node].balancer.lock();
            let age = now.saturating_duration_since(r.sent_at);
            let is_stalled = stands_still && r.upstream.instance == "e0";
            if is_stalled && age >= MOVE_AFTER {
                balancer.loads.release(now, r.upstream.key, UpstreamOutcome::Stalled);
                return false;
            }
            if !is_stalled && age >= FIRST_EVENT {
                balancer.loads.record_progress(now, r.upstream.key, Some(STEP));
            }
            let is_done = !is_stalled && age >= SERVICE_TIME;
            if is_done {
                balancer.loads.release(now, r.upstream.key, UpstreamOutcome::Success);
            }
            !is_done
        });
        if now >= next_heartbeat {
            next_heartbeat += HEARTBEAT_INTERVAL;
            for (node, cursor) in cursors.iter_mut().enumerate() {
                send_heartbeats(now, &nodes, node, cursor);
            }
        }
        for (node, tables) in nodes.iter().enumerate() {
            if rng.random::<f64>() >= RATE * STEP.as_secs_f64() {
                continue;
            }
            let params = SchedulingParams {
                priority: 0,
                is_client_retry: false,
                is_resumption: false,
                dispatch_by: now + Duration::from_millis(100),
                expires_at: now + Duration::from_millis(1_500),
                prompt_tokens: 0,
            };
            let placement = tables.place(now, &pool, params, &[], &DATA_CENTRE.to_owned());
            let Placement::Assigned(upstream) = placement else { continue };
            all += usize::from(stands_still);
            stalled += usize::from(stands_still && upstream.instance == "e0");
            running.push(Running { node, upstream, sent_at: now });
        }
    }
    (stalled, all as f64 / GROUPS as f64)
}

fn send_heartbeats(now: Instant, nodes: &[Tables], node: usize, cursor: &mut usize) {
    let (loads, unresponsive) = {
        let mut balancer = nodes[node].balancer.lock();
        if *cursor < MAX_HEARTBEATS_PER_INTERVAL {
            balancer.loads.mark_reported();
        }
        (balancer.loads.local_loads(now), balancer.loads.stalls_to_report(now))
    };
    for _ in 0..MAX_HEARTBEATS_PER_INTERVAL {
        if *cursor != node {
            let mut balancer = nodes[*cursor].balancer.lock();
            balancer.loads.merge_peer_loads(now, &format!("n{node}"), &loads);
            balancer.loads.record_suspects(now, unresponsive.clone());
        }
        *cursor = (*cursor + 1) % NODES;
    }
}

/// Target: a group that stands still gets no more than a quarter of the requests of a sound one.
#[rstest]
fn group_that_stands_still_attracts_no_requests(#[values(1, 2, 3)] seed: u64) {
    let (stalled, mean) = sends_while_one_group_stands_still(seed);
    println!("{stalled} requests to the group that stands still, {mean:.1} to each on average");
    assert!(stalled as f64 <= mean / 4.0, "{stalled} requests, {mean:.1} on average");
}
