//! Decisions on the pace of upstreams that have just started or returned.

#![allow(clippy::unwrap_used, reason = "test helpers panic on failure, as tests do")]

mod common;

use {
    common::{DATA_CENTRE, addresses, config, group_head},
    rstest::rstest,
    std::time::{Duration, Instant},
    turmerictack_protocol::heartbeat::{HeartbeatLoad, HeartbeatPace},
    turmerictack_serving::{
        directory::{Instance, PoolKey, upstream_key},
        load::{OVERLOAD_COOLDOWN, UNREACHABLE_COOLDOWN, UpstreamOutcome},
        pace::{PaceChange, PaceReason},
        retry_budget::RetryBudgetConfig,
        tables::Tables,
    },
};

const SLOTS: u32 = 40;
const USUAL: Duration = Duration::from_millis(100);

fn pool() -> PoolKey {
    ("models".to_owned(), Some("m".to_owned()))
}

/// A node of three, with one warm group and, if `knows_usual`, responses from it.
fn node(paces_returns: bool, knows_usual: bool, now: Instant) -> Tables {
    let budget = RetryBudgetConfig { ratio: 0.2, window: Duration::from_secs(10), burst: 100.0 };
    let tables = Tables::new(1, budget);
    let mut config = config(1);
    config.services.values_mut().for_each(|s| s.paces_returns = paces_returns);
    assert!(tables.update_config(config));
    tables.peers.lock().set_registered(now, addresses(3));
    list(&tables, now, 0, |_| {});
    if knows_usual {
        tables.balancer.lock().response_times.record(&pool(), USUAL);
    }
    tables
}

fn list(tables: &Tables, now: Instant, at: usize, change: impl Fn(&mut Instance)) {
    let mut head = Instance { slots: SLOTS, ..group_head(at) };
    change(&mut head);
    tables.directory.lock().insert(format!("e{at}"), head);
    tables.rebuild_upstreams(now);
}

fn began(tables: &Tables) -> Vec<PaceReason> {
    let changes = tables.balancer.lock().loads.paces.take_changes();
    let reason = |change| match change {
        PaceChange::Began { reason, .. } => Some(reason),
        PaceChange::Ended { .. } => None,
    };
    changes.into_iter().filter_map(reason).collect()
}

fn bound(tables: &Tables) -> Option<u32> {
    tables.balancer.lock().loads.paces.limit(upstream_key("e1")).map(|l| l.bound)
}

/// Sends requests to the group that has returned, whatever its pace.
fn send(tables: &Tables, now: Instant, requests: u32) {
    let pools = tables.directory.lock().pools().clone();
    let upstream = pools[&pool()].iter().find(|u| u.instance == "e1").unwrap();
    for _ in 0..requests {
        tables.balancer.lock().loads.acquire(now, upstream, 0);
    }
}

fn respond(tables: &Tables, now: Instant, responses: u32, elapsed: Duration) {
    for _ in 0..responses {
        let loads = &mut tables.balancer.lock().loads;
        loads.record_response(now, upstream_key("e1"), elapsed, USUAL);
    }
}

fn release(tables: &Tables, now: Instant, outcome: UpstreamOutcome) {
    tables.balancer.lock().loads.release(now, upstream_key("e1"), outcome);
}

fn report(tables: &Tables, now: Instant) -> Vec<HeartbeatPace> {
    tables.balancer.lock().loads.paces.to_report(now)
}

fn merge(tables: &Tables, now: Instant, from: &str, reports: &[HeartbeatPace]) {
    tables.balancer.lock().loads.merge_peer_paces(now, &from.to_owned(), reports);
}

#[rstest]
#[case::asked_for(true, true, vec![PaceReason::Opened])]
#[case::not_asked_for(false, true, vec![])]
#[case::whole_cluster_starts(true, false, vec![])]
fn group_that_opens_is_paced_where_the_service_asks_and_others_answer(
    #[case] paces_returns: bool,
    #[case] knows_usual: bool,
    #[case] expected: Vec<PaceReason>,
) {
    let now = Instant::now();
    let tables = node(paces_returns, knows_usual, now);
    list(&tables, now, 1, |_| {});
    assert_eq!(began(&tables), expected);
}

#[rstest]
#[case::nothing_changed(|_: &mut Instance| {}, vec![])]
#[case::restarted(|i: &mut Instance| i.started_ms = 2, vec![PaceReason::Restarted])]
#[case::other_group(
    |i: &mut Instance| i.engine.as_mut().unwrap().membership.as_mut().unwrap().group = "x".into(),
    vec![PaceReason::Opened]
)]
fn warm_upstream_is_paced_when_it_starts_again(
    #[case] change: fn(&mut Instance),
    #[case] expected: Vec<PaceReason>,
) {
    let now = Instant::now();
    let tables = node(true, true, now);
    list(&tables, now, 0, change);
    assert_eq!(began(&tables), expected);
}

#[test]
fn upstreams_of_a_data_centre_that_is_taken_back_are_paced() {
    let mut now = Instant::now();
    let tables = node(true, true, now);
    for is_evacuated in [true, false] {
        now += Duration::from_secs(1);
        let mut directory = tables.directory.lock();
        let evacuations = directory.evacuations_mut();
        assert!(if is_evacuated {
            evacuations.begin(now, DATA_CENTRE)
        } else {
            evacuations.end(now, DATA_CENTRE)
        });
        drop(directory);
        tables.rebuild_upstreams(now);
    }
    tables.rebuild_upstreams(now + Duration::from_secs(1));
    assert_eq!(began(&tables), [PaceReason::DataCentreReturned]);
}

#[rstest]
#[case::in_time(10, USUAL, Some(20))]
#[case::slow_but_not_late(10, USUAL * 3 / 2, Some(10))]
#[case::one_late(1, USUAL * 3, Some(9))]
#[case::all_late_at_once(10, USUAL * 3, Some(5))]
#[case::reaches_slots(30, USUAL, None)]
fn bound_follows_the_responses(
    #[case] responses: u32,
    #[case] elapsed: Duration,
    #[case] expected: Option<u32>,
) {
    let now = Instant::now();
    let tables = node(true, true, now);
    list(&tables, now, 1, |_| {});
    assert_eq!(bound(&tables), Some(10));
    send(&tables, now, 10);
    respond(&tables, now, responses, elapsed);
    assert_eq!(bound(&tables), expected);
}

#[test]
fn bound_that_is_not_used_stays() {
    let now = Instant::now();
    let tables = node(true, true, now);
    list(&tables, now, 1, |_| {});
    send(&tables, now, 1);
    respond(&tables, now, 20, USUAL);
    assert_eq!(bound(&tables), Some(10));
}

#[test]
fn rejections_of_one_burst_halve_the_bound_once() {
    let now = Instant::now();
    let tables = node(true, true, now);
    list(&tables, now, 1, |_| {});
    send(&tables, now, 10);
    for _ in 0..4 {
        release(&tables, now, UpstreamOutcome::Cooldown(OVERLOAD_COOLDOWN));
    }
    assert_eq!(bound(&tables), Some(5));
}

/// Guards against counts of a peer that are applied again with each heartbeat.
#[test]
fn nodes_find_the_same_bound_and_count_each_response_once() {
    let now = Instant::now();
    let nodes = [node(true, true, now), node(true, true, now)];
    for tables in &nodes {
        list(tables, now, 1, |_| {});
        send(tables, now, 5);
    }
    respond(&nodes[0], now, 6, USUAL);
    for _ in 0..3 {
        merge(&nodes[1], now, "a", &report(&nodes[0], now));
    }
    assert_eq!((bound(&nodes[0]), bound(&nodes[1])), (Some(16), Some(16)));
}

#[test]
fn node_that_starts_learns_the_bound_and_then_the_end() {
    let now = Instant::now();
    let [first, started] = [node(true, true, now), node(true, false, now)];
    list(&first, now, 1, |_| {});
    list(&started, now, 1, |_| {});
    send(&first, now, 10);
    respond(&first, now, 5, USUAL);
    merge(&started, now, "a", &report(&first, now));
    assert_eq!((began(&started), bound(&started)), (vec![PaceReason::Learned], Some(15)));
    respond(&first, now, 25, USUAL);
    merge(&started, now, "a", &report(&first, now));
    assert_eq!((bound(&first), bound(&started)), (None, None));
}

/// Guards against one node with a bad link that makes all others hold back.
#[test]
fn failures_that_one_node_sees_pace_only_that_node() {
    let now = Instant::now();
    let nodes = [node(true, true, now), node(true, true, now)];
    for tables in &nodes {
        list(tables, now, 1, |_| {});
        send(tables, now, 10);
        respond(tables, now, 30, USUAL);
    }
    release(&nodes[0], now, UpstreamOutcome::Cooldown(UNREACHABLE_COOLDOWN));
    merge(&nodes[1], now, "a", &report(&nodes[0], now));
    assert_eq!((bound(&nodes[0]), bound(&nodes[1])), (Some(10), None));
}

/// Guards against a node that is shut out where only it holds back.
#[test]
fn requests_of_others_end_a_pace_that_only_this_node_keeps() {
    let now = Instant::now();
    let tables = node(true, true, now);
    list(&tables, now, 1, |_| {});
    send(&tables, now, 10);
    respond(&tables, now, 30, USUAL);
    (0..10).for_each(|_| release(&tables, now, UpstreamOutcome::Success));
    release(&tables, now, UpstreamOutcome::Cooldown(UNREACHABLE_COOLDOWN));
    let paced = bound(&tables).unwrap();
    let load = HeartbeatLoad {
        upstream: upstream_key("e1"),
        in_flight: u16::try_from(SLOTS / 2).unwrap(),
        prompt_tokens: 0,
        progressing: true,
        stalled: false,
    };
    assert!(paced < SLOTS / 2);
    tables.balancer.lock().loads.merge_peer_loads(now, &"a".to_owned(), &[load]);
    tables.expire_reports(now);
    assert_eq!(bound(&tables), None);
}

/// Guards against upstreams that are left idle where nodes learn too late of each other's requests.
#[rstest]
#[case::round_of_450_ms(70, Some(10))]
#[case::round_of_2_4_s(194, None)]
fn upstreams_are_paced_where_heartbeats_are_frequent(
    #[case] peers: usize,
    #[case] expected: Option<u32>,
) {
    let now = Instant::now();
    let tables = node(true, true, now);
    for peer in 0..peers {
        tables.balancer.lock().loads.merge_peer_loads(now, &format!("n{peer}"), &[]);
    }
    tables.expire_reports(now);
    list(&tables, now, 1, |_| {});
    assert_eq!(bound(&tables), expected);
}

/// Guards against idle nodes that save up what they may send, and all send at once.
#[test]
fn what_is_free_is_shared_out_and_lapses() {
    let now = Instant::now();
    let tables = node(true, true, now);
    list(&tables, now, 1, |_| {});
    for peer in ["a", "b"] {
        tables.balancer.lock().loads.merge_peer_loads(now, &peer.to_owned(), &[]);
    }
    for interval in 0..20 {
        tables.expire_reports(now + Duration::from_millis(50) * interval);
        let limit = tables.balancer.lock().loads.paces.limit(upstream_key("e1")).unwrap();
        assert!(limit.sends_left <= 4, "{limit:?}");
    }
}
