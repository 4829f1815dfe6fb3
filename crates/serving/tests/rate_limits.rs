//! Rate limits that upstreams state, at one node.

#![allow(clippy::unwrap_used, reason = "a poisoned lock fails the test")]

mod common;

use {
    common::{DATA_CENTRE, plain_instance, tables},
    rstest::rstest,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
    turmerictack_model::rate::RequestRate,
    turmerictack_protocol::heartbeat::{HeartbeatLimit, HeartbeatStatement},
    turmerictack_serving::{
        allowance::{assign_senders, max_senders, weight_of_demand},
        directory::{Instance, PoolKey, Upstream, upstream_key},
        interfaces::StatedLimit,
        load::UpstreamOutcome,
        membership::LeaderStatus,
        queue::SchedulingParams,
        tables::{Placement, Tables},
    },
};

const WINDOW: Duration = Duration::from_secs(4);
const MAX_WAIT: Duration = Duration::from_secs(1);

fn limited(per_second: f64) -> StatedLimit {
    StatedLimit::Limited(RequestRate::from_per_second(per_second))
}

fn pool() -> PoolKey {
    ("bookings".to_owned(), None)
}

fn upstream(tables: &Tables, id: &str) -> Arc<Upstream> {
    let pools = Arc::clone(tables.directory.lock().pools());
    pools.values().flatten().find(|u| u.instance == id).unwrap().clone()
}

fn state_limit(tables: &Tables, now: Instant, stated: StatedLimit) {
    for id in ["p0", "p1"] {
        tables.apply_stated_limit(now, &upstream(tables, id), stated);
    }
}

fn place(tables: &Tables, now: Instant, excluded: &[String]) -> Placement {
    let params = SchedulingParams {
        priority: 0,
        is_client_retry: false,
        is_resumption: false,
        dispatch_by: now + MAX_WAIT,
        expires_at: now + MAX_WAIT,
        prompt_tokens: 0,
    };
    tables.place(now, &pool(), params, excluded, &DATA_CENTRE.to_owned())
}

/// Upstreams to which requests can be sent now, each of which ends at once.
fn send_all(tables: &Tables, now: Instant) -> Vec<String> {
    let mut sent = Vec::new();
    while sent.len() < 100
        && let Placement::Assigned(upstream) = place(tables, now, &[])
    {
        let mut balancer = tables.balancer.lock();
        balancer.loads.release(now, upstream.key, UpstreamOutcome::Success);
        sent.push(upstream.instance.clone());
    }
    let waiting: Vec<_> = tables.queues.lock().values_mut().map(std::mem::take).collect();
    drop(waiting);
    sent
}

fn report(id: &str, rate: Option<f64>, age_ms: u32) -> HeartbeatLimit {
    let rate = rate.map(|rate| RequestRate::from_per_second(rate).thousandths());
    HeartbeatLimit {
        upstream: upstream_key(id),
        started_ms: 1,
        statement: Some(HeartbeatStatement { rate_thousandths: rate, age_ms }),
        recent_sends: 0,
        demand_thousandths: 0,
    }
}

fn is_limited(tables: &Tables, id: &str) -> bool {
    let upstream = upstream(tables, id);
    tables.balancer.lock().loads.allowances.is_limited(&upstream)
}

fn add_peers(tables: &Tables, now: Instant, peers: std::ops::Range<usize>) {
    for at in peers {
        let (name, address) = (format!("n{at}"), common::address(at));
        let status = LeaderStatus::default();
        tables.peers.lock().record_heartbeat(now, &name, &address, 1, status);
    }
    tables.expire_reports(now);
}

/// Guards against a limit that binds a node only some time after the answer that states it.
#[rstest]
fn limit_binds_the_node_that_got_the_answer_at_once() {
    let (tables, now) = (tables(), Instant::now());
    assert_eq!(send_all(&tables, now).len(), 100);
    state_limit(&tables, now, limited(1.0));
    assert!(send_all(&tables, now).is_empty());
    assert_eq!(send_all(&tables, now + MAX_WAIT).len(), 2);
}

#[rstest]
#[case::lowest(0.25)]
#[case::low(1.3)]
#[case::high(4.9)]
#[case::very_high(300.0)]
fn lone_node_uses_a_limit_and_keeps_it(#[case] rate: f64) {
    let (tables, start) = (tables(), Instant::now());
    state_limit(&tables, start, limited(rate));
    let mut sends = Vec::new();
    for ms in (0..20_000).step_by(20) {
        let now = start + Duration::from_millis(ms);
        tables.expire_reports(now);
        sends.extend(send_all(&tables, now).iter().map(|id| (id.clone(), now)));
    }
    for id in ["p0", "p1"] {
        let times: Vec<Instant> = sends.iter().filter(|s| s.0 == id).map(|s| s.1).collect();
        let total = times.len() as f64;
        assert!((0.9 * rate * 20.0 - 1.0..=rate * 20.0 + 2.0).contains(&total), "{total}");
        for (first, at) in times.iter().enumerate() {
            let count = times.partition_point(|t| *t < *at + WINDOW) - first;
            assert!(count as f64 <= 1.5 * 4.0 * rate + 5.0, "{count} in 4 s");
        }
    }
}

#[rstest]
fn answer_without_a_limit_lifts_it() {
    let (tables, now) = (tables(), Instant::now());
    state_limit(&tables, now, limited(0.25));
    state_limit(&tables, now, StatedLimit::Unknown);
    assert!(send_all(&tables, now).is_empty());
    state_limit(&tables, now, StatedLimit::Unlimited);
    assert_eq!(send_all(&tables, now).len(), 100);
}

#[rstest]
fn limit_that_is_stated_no_more_stands_while_its_run_is_listed() {
    let (tables, now) = (tables(), Instant::now());
    state_limit(&tables, now, limited(0.25));
    let later = now + Duration::from_secs(600);
    tables.expire_reports(later);
    assert_eq!(send_all(&tables, later).len(), 2);
}

/// Guards against a limit that binds a restarted upstream, or another instance at its address.
#[rstest]
fn limit_ends_with_the_run_of_its_upstream() {
    let (tables, now) = (tables(), Instant::now());
    state_limit(&tables, now, limited(0.25));
    let restarted = Instance { started_ms: 2, ..plain_instance(10) };
    tables.directory.lock().insert("p0".to_owned(), restarted);
    tables.directory.lock().insert("p9".to_owned(), plain_instance(11));
    tables.directory.lock().schedule_removal("p1", now);
    tables.directory.lock().apply_due_removals(now);
    tables.rebuild_upstreams(now);
    let sent: BTreeSet<String> = send_all(&tables, now).into_iter().collect();
    assert_eq!(sent, ["p0".to_owned(), "p9".to_owned()].into());
}

/// Guards against an upstream without requests after its limit was forgotten and stated again.
#[rstest]
fn limit_of_an_upstream_that_is_listed_again_leaves_it_a_share() {
    let (tables, now) = (tables(), Instant::now());
    state_limit(&tables, now, limited(1.0));
    for id in ["p0", "p1"] {
        tables.directory.lock().schedule_removal(id, now);
    }
    tables.directory.lock().apply_due_removals(now);
    tables.rebuild_upstreams(now);
    let later = now + Duration::from_secs(60);
    tables.expire_reports(later);
    for at in 0..2 {
        tables.directory.lock().insert(format!("p{at}"), plain_instance(at + 10));
    }
    tables.rebuild_upstreams(later);
    assert!(!is_limited(&tables, "p0"));
    state_limit(&tables, later, limited(1.0));
    tables.expire_reports(later);
    assert_eq!(send_all(&tables, later + Duration::from_secs(2)).len(), 2);
}

#[rstest]
fn limit_that_a_peer_reports_binds_and_is_lifted_by_a_later_statement() {
    let (tables, now) = (tables(), Instant::now() + Duration::from_secs(60));
    let peers: Vec<String> = (1..4).map(|at| format!("n{at}")).collect();
    add_peers(&tables, now, 1..4);
    tables.apply_peer_limits(now, &peers[0], &[report("p0", Some(1.0), 100)]);
    assert!(is_limited(&tables, "p0") && !is_limited(&tables, "p1"));
    tables.apply_peer_limits(now, &peers[1], &[report("p0", None, 200)]);
    assert!(is_limited(&tables, "p0"), "the statement was older");
    tables.apply_peer_limits(now, &peers[1], &[report("p0", None, 50)]);
    assert!(!is_limited(&tables, "p0"));
    tables.apply_peer_limits(now, &peers[2], &[report("p0", Some(1.0), 90)]);
    assert!(!is_limited(&tables, "p0"), "the statement was older");
    tables.apply_peer_limits(now, &peers[2], &[report("p0", Some(1.0), 10)]);
    assert!(is_limited(&tables, "p0"));
}

/// Guards against statements that get younger as they are passed on.
#[rstest]
fn node_reports_only_what_was_stated_to_itself() {
    let (tables, now) = (tables(), Instant::now() + Duration::from_secs(60));
    let reported = |at| {
        let reports = tables.balancer.lock().loads.allowances.to_report(at);
        reports.iter().filter_map(|r| r.statement).collect::<Vec<_>>()
    };
    tables.apply_peer_limits(now, &"n1".to_owned(), &[report("p0", Some(1.0), 100)]);
    assert!(reported(now).is_empty());
    tables.apply_stated_limit(now, &upstream(&tables, "p0"), limited(1.0));
    let later = now + Duration::from_millis(70);
    let statement = HeartbeatStatement { rate_thousandths: Some(1_000), age_ms: 70 };
    assert_eq!(reported(later), [statement]);
    tables.apply_peer_limits(later, &"n1".to_owned(), &[report("p0", None, 10)]);
    assert!(reported(later).is_empty(), "a later statement replaced it");
}

/// Guards against heartbeats in which every node repeats a limit that others confirm.
#[rstest]
fn statement_that_a_peer_has_confirmed_since_is_reported_for_ten_seconds() {
    let (tables, now) = (tables(), Instant::now() + Duration::from_secs(60));
    let has_statement = |after_s| {
        let reports = tables.balancer.lock().loads.allowances.to_report(now + after_s);
        reports.iter().any(|r| r.statement.is_some())
    };
    tables.apply_stated_limit(now, &upstream(&tables, "p0"), limited(1.0));
    assert!(has_statement(Duration::from_secs(60)), "no later statement is known");
    let later = now + Duration::from_secs(5);
    tables.apply_peer_limits(later, &"n1".to_owned(), &[report("p0", Some(1.0), 10)]);
    assert!(has_statement(Duration::from_secs(9)));
    assert!(!has_statement(Duration::from_secs(11)));
}

/// Guards against state that only the next message of a lost peer would drop.
#[rstest]
fn sends_of_a_lost_peer_are_forgotten() {
    let (tables, now) = (tables(), Instant::now() + Duration::from_secs(60));
    state_limit(&tables, now, limited(1.0));
    let peer = "n1".to_owned();
    let busy = HeartbeatLimit { recent_sends: 40, ..report("p0", Some(1.0), 0) };
    tables.apply_peer_limits(now, &peer, &[busy]);
    let soon = now + Duration::from_millis(900);
    tables.expire_reports(soon);
    assert!(!send_all(&tables, soon + Duration::from_millis(600)).contains(&"p0".to_owned()));
    let later = now + Duration::from_secs(5);
    tables.expire_reports(later);
    assert!(send_all(&tables, later).contains(&"p0".to_owned()));
}

/// Guards against bursts of nodes that become senders when the cluster changes.
#[rstest]
fn node_that_becomes_a_sender_later_starts_without_tokens() {
    let (tables, start) = (tables(), Instant::now());
    tables.balancer.lock().loads.allowances.set_own("n0".to_owned());
    add_peers(&tables, start, 1..60);
    state_limit(&tables, start, limited(1.0));
    let now = start + Duration::from_secs(60);
    // All other nodes have gone.
    tables.expire_reports(now);
    assert!(send_all(&tables, now).len() <= 1);
    assert_eq!(send_all(&tables, now + Duration::from_secs(1)).len(), 2);
}

#[rstest]
fn registered_nodes_out_of_touch_keep_their_part_of_the_rate() {
    let (tables, start) = (tables(), Instant::now());
    tables.balancer.lock().loads.allowances.set_own("n0".to_owned());
    tables.peers.lock().set_registered(start, common::addresses(4));
    state_limit(&tables, start, limited(1.0));
    let mut sends = 0;
    for second in 0..40 {
        let now = start + Duration::from_secs(second);
        tables.expire_reports(now);
        sends += send_all(&tables, now).len();
    }
    assert!((16..=22).contains(&sends), "{sends} requests in 40 s to two upstreams");
}

#[rstest]
fn every_node_is_a_sender_to_some_upstream(
    #[values(0.25, 1.3, 2.2, 4.9)] rate: f64,
    #[values(9, 195)] nodes: usize,
) {
    let count = max_senders(RequestRate::from_per_second(rate));
    let upstreams = (nodes as u32).div_ceil(count as u32).max(3);
    let runs: BTreeMap<_, _> = (0..upstreams).map(|at| ((at * 7_919, 1), count)).collect();
    let names: BTreeSet<String> = (0..nodes).map(|at| format!("n{at}")).collect();
    let assigned = assign_senders(&runs, &names, &names);
    assert!(assigned.values().all(|senders| senders.len() == count.min(nodes)));
    let senders: BTreeSet<&String> = assigned.values().flat_map(BTreeMap::keys).collect();
    assert_eq!(senders.len(), nodes);
}

/// Guards against nodes that get less of a pool because they are senders to fewer of its upstreams.
#[rstest]
fn equal_demands_get_equal_rates_of_a_pool(#[values(5, 8)] count: usize) {
    let runs: BTreeMap<_, _> = (0..3).map(|at| ((at, 1), count)).collect();
    let names: BTreeSet<String> = (0..9).map(|at| format!("n{at}")).collect();
    let mut rates: BTreeMap<String, f64> = BTreeMap::new();
    for senders in assign_senders(&runs, &names, &names).into_values() {
        let total: f64 = senders.values().map(|upstreams| weight_of_demand(1.0, *upstreams)).sum();
        for (node, upstreams) in senders {
            *rates.entry(node).or_default() += weight_of_demand(1.0, upstreams) / total;
        }
    }
    let most = rates.values().copied().fold(0.0, f64::max);
    let least = rates.values().copied().fold(f64::INFINITY, f64::min);
    assert!(rates.len() == 9 && most <= least * 1.5, "{rates:?}");
}

#[rstest]
fn unlimited_upstream_of_a_pool_takes_what_the_limited_one_can_not() {
    let (tables, now) = (tables(), Instant::now());
    tables.apply_stated_limit(now, &upstream(&tables, "p0"), limited(0.25));
    let sent = send_all(&tables, now);
    assert_eq!(sent.len(), 100);
    assert!(sent.iter().all(|id| id == "p1"));
}

/// Guards against requests that wait for a rate although an unhealthy upstream is free.
#[rstest]
fn unhealthy_upstream_takes_what_the_limited_healthy_one_can_not() {
    let (tables, now) = (tables(), Instant::now());
    tables.apply_stated_limit(now, &upstream(&tables, "p0"), limited(0.25));
    let unhealthy = upstream(&tables, "p1");
    for _ in 0..10 {
        let mut balancer = tables.balancer.lock();
        balancer.loads.acquire(now, &unhealthy, 0);
        balancer.loads.release(now, unhealthy.key, UpstreamOutcome::Failure);
    }
    let sent = send_all(&tables, now);
    assert_eq!(sent.len(), 100);
    assert!(sent.iter().filter(|id| *id == "p0").count() <= 1);
}

/// Guards against requests that wait in vain for a rate that is taken by those ahead of them.
#[rstest]
fn request_that_would_wait_too_long_for_the_rate_is_rejected_on_arrival() {
    let (tables, now) = (tables(), Instant::now());
    state_limit(&tables, now, limited(2.0));
    // Two upstreams with two requests a second each; the shares may change by a half.
    let placements: Vec<Placement> = (0..6).map(|_| place(&tables, now, &[])).collect();
    let waits: Vec<Option<Duration>> = placements
        .iter()
        .map(|placement| match placement {
            Placement::WaitTooLong(wait) => Some(*wait),
            _ => None,
        })
        .collect();
    assert_eq!(waits[..2], [None; 2]);
    assert_eq!(waits[2..], [Some(Duration::from_secs(1)); 4]);
    tables.dispatch_all_waiting(now + Duration::from_millis(500));
    let later = now + MAX_WAIT;
    assert!(tables.queues.lock().values().all(|queue| queue.peek(later).is_none()));
}

/// Guards against a token that is lost with a request that left the queue before it was sent.
#[rstest]
fn token_of_a_request_that_has_left_the_queue_is_free_again() {
    let (tables, now) = (tables(), Instant::now());
    state_limit(&tables, now, limited(1.0));
    drop(place(&tables, now, &[]));
    let due = now + MAX_WAIT;
    tables.dispatch_all_waiting(due);
    assert_eq!(send_all(&tables, due).len(), 2);
}
