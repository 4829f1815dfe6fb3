//! Routing and scheduling decisions without a network.

#![allow(clippy::unwrap_used, reason = "test helpers may panic")]

mod common;

use {
    common::{DATA_CENTRE, config, group_head, plain_instance},
    proptest::prelude::*,
    rand::SeedableRng as _,
    rand_pcg::Pcg64Mcg,
    rstest::rstest,
    std::{
        collections::BTreeSet,
        sync::Arc,
        time::{Duration, Instant},
    },
    turmerictack_groups::formation::Phase,
    turmerictack_protocol::heartbeat::HeartbeatLoad,
    turmerictack_serving::{
        config::Access,
        directory::{Directory, Upstream, upstream_key},
        load::{LoadTracker, Selection, UNREACHABLE_COOLDOWN, UpstreamOutcome},
        membership::{LeaderStatus, PeerTable},
        queue::{Admission, Queue, SchedulingParams},
        retry_budget::{RetryBudget, RetryBudgetConfig},
    },
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn upstream(id: &str) -> Arc<Upstream> {
    Arc::new(Upstream {
        instance: id.to_owned(),
        key: upstream_key(id),
        address: String::new(),
        data_centre: DATA_CENTRE.to_owned(),
        slots: 2,
        group: None,
        is_incomplete: false,
        started_ms: 1,
    })
}

fn select(
    loads: &LoadTracker,
    now: Instant,
    upstreams: &[Arc<Upstream>],
    excluded: &[String],
) -> Selection {
    loads.select(now, upstreams, excluded, DATA_CENTRE, 0.0, &mut Pcg64Mcg::seed_from_u64(1))
}

#[rstest]
fn longest_prefix_wins_and_api_keys_are_checked() {
    let config = config(1);
    let route = config.find_route("API.example", "/notes/x").unwrap();
    assert_eq!(route.id, "notes");
    assert!(config.find_route(common::HOST, "/note").is_none());
    assert_eq!(config.authorize(route, Some("no such key")), Access::Denied);
    let Access::Granted(Some(account)) = config.authorize(route, Some("key-1")) else { panic!() };
    assert_eq!(account.id, "guild");
}

#[rstest]
fn route_is_split_between_services_by_weight() {
    let mut route = config(1).find_route(common::HOST, "/look/").unwrap().clone();
    route.services = vec![("a".to_owned(), 9), ("b".to_owned(), 1)];
    let draws = (0..1_000_u32).map(|at| at.wrapping_mul(4_294_967));
    let to_b = draws.filter(|d| route.select_service(*d).map(String::as_str) == Some("b")).count();
    assert!((90..=110).contains(&to_b), "{to_b} of 1000");
}

#[rstest]
fn on_time_requests_go_first_then_by_priority() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let params = |priority, dispatch_by_ms, expires_at_ms| SchedulingParams {
        priority,
        is_client_retry: false,
        is_resumption: false,
        dispatch_by: now + ms(dispatch_by_ms),
        expires_at: now + ms(expires_at_ms),
        prompt_tokens: 0,
    };
    queue.push(params(0, 10, 900), "late urgent");
    queue.push(params(1, 300, 900), "on time, second priority");
    queue.push(params(0, 400, 900), "on time, urgent");
    let mut order = Vec::new();
    while let Some((ticket, _, name)) = queue.peek(now + ms(100)) {
        order.push(*name);
        queue.remove(ticket);
    }
    assert_eq!(order, ["on time, urgent", "on time, second priority", "late urgent"]);
}

#[rstest]
fn request_with_too_long_expected_wait_is_rejected_on_arrival() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let params = SchedulingParams {
        priority: 0,
        is_client_retry: false,
        is_resumption: false,
        dispatch_by: now + ms(200),
        expires_at: now + ms(1_000),
        prompt_tokens: 0,
    };
    for at in 0..20 {
        queue.record_dispatch(now + ms(at), &params);
    }
    let mut queued = 0;
    while queue.admit(now + ms(20), &params) == Admission::Queued {
        queue.push(params, ());
        queued += 1;
    }
    // 20 dispatches in a window of 2 s are 10 per second, so about ten fit into a wait of 1 s.
    assert!((8..=11).contains(&queued), "{queued} queued");
}

#[rstest]
fn peer_load_counts_until_it_expires() {
    let now = Instant::now();
    let mut loads = LoadTracker::default();
    let (a, b) = (upstream("a"), upstream("b"));
    let load = HeartbeatLoad {
        upstream: a.key,
        prompt_tokens: 0,
        in_flight: 4,
        progressing: true,
        stalled: false,
    };
    loads.merge_peer_loads(now, &"n2".to_owned(), &[load]);
    assert_eq!(select(&loads, now, &[a.clone(), b.clone()], &[]), Selection::Upstream(b.clone()));
    assert_eq!(select(&loads, now, std::slice::from_ref(&a), &[]), Selection::Saturated);
    loads.expire_peer_loads(now + ms(1_499), ms(1_000));
    assert_eq!(select(&loads, now, std::slice::from_ref(&a), &[]), Selection::Saturated);
    loads.expire_peer_loads(now + ms(2_000), ms(1_000));
    assert_eq!(select(&loads, now, std::slice::from_ref(&a), &[]), Selection::Upstream(a));
}

/// A group opens while each of nine nodes has 20 requests queued, and all nodes see it at once.
#[rstest]
fn new_upstream_is_not_overloaded_by_uncoordinated_nodes() {
    let now = Instant::now();
    let upstream = Arc::new(Upstream { slots: 17, ..upstream("new").as_ref().clone() });
    let upstreams = [Arc::clone(&upstream)];
    let mut sent = 0;
    for node in 0..9 {
        let mut loads = LoadTracker::default();
        for peer in (0..9).filter(|peer| *peer != node) {
            loads.merge_peer_loads(now, &format!("n{peer}"), &[]);
        }
        for _ in 0..20 {
            if let Selection::Upstream(upstream) = select(&loads, now, &upstreams, &[]) {
                loads.acquire(now, &upstream, 0);
                sent += 1;
            }
        }
        // After two heartbeats the peers know of the requests, and the remaining slots are used.
        loads.mark_reported();
        loads.mark_reported();
        assert_eq!(
            select(&loads, now, &upstreams, &[]),
            Selection::Upstream(Arc::clone(&upstream))
        );
    }
    assert!((9..=27).contains(&sent), "{sent} requests for 17 slots");
}

#[rstest]
fn stalled_upstream_is_avoided_while_another_makes_progress() {
    let now = Instant::now();
    let mut loads = LoadTracker::default();
    let (a, b) = (upstream("a"), upstream("b"));
    loads.acquire(now, &a, 0);
    loads.acquire(now, &b, 0);
    loads.acquire(now, &b, 0);
    let later = now + ms(700);
    loads.record_progress(later, b.key, None);
    assert!(loads.is_stalled(later, a.key) && !loads.is_stalled(later, b.key));
    assert_eq!(select(&loads, later, &[a, b.clone()], &[]), Selection::Upstream(b));
    assert_eq!(loads.stalled_upstreams(later), ["a"]);
}

#[rstest]
fn unreachable_upstream_gets_no_requests_during_cooldown() {
    let now = Instant::now();
    let mut loads = LoadTracker::default();
    let a = upstream("a");
    loads.acquire(now, &a, 0);
    loads.release(now, a.key, UpstreamOutcome::Cooldown(UNREACHABLE_COOLDOWN));
    let upstreams = [a.clone()];
    assert_eq!(select(&loads, now, &upstreams, &[]), Selection::Saturated);
    assert_eq!(select(&loads, now + UNREACHABLE_COOLDOWN, &upstreams, &[]), Selection::Upstream(a));
    assert_eq!(select(&loads, now, &upstreams, &["a".to_owned()]), Selection::NoCandidate);
}

/// Guards against an upstream that failed for a while and is avoided for good, since only requests
/// could show that it has recovered.
#[rstest]
fn upstream_that_failed_gets_requests_again_after_a_while() {
    let now = Instant::now();
    let mut loads = LoadTracker::default();
    let (failed, healthy) = (upstream("a"), upstream("b"));
    for _ in 0..10 {
        loads.acquire(now, &failed, 0);
        loads.release(now, failed.key, UpstreamOutcome::Failure);
    }
    // The healthy one is busier, so the other one is chosen if it counts as healthy.
    loads.acquire(now, &healthy, 0);
    loads.acquire(now, &healthy, 0);
    let upstreams = [failed.clone(), healthy.clone()];
    assert_eq!(select(&loads, now, &upstreams, &[]), Selection::Upstream(healthy.clone()));
    let soon = now + ms(10_000);
    loads.record_progress(soon, healthy.key, None);
    assert_eq!(select(&loads, soon, &upstreams, &[]), Selection::Upstream(healthy.clone()));
    let later = now + ms(60_000);
    loads.record_progress(later, healthy.key, None);
    assert_eq!(select(&loads, later, &upstreams, &[]), Selection::Upstream(failed));
}

#[rstest]
fn only_open_group_heads_that_are_not_draining_are_upstreams() {
    let mut directory = Directory::default();
    directory.insert("e0".to_owned(), group_head(0));
    let mut draining = group_head(1);
    draining.draining = true;
    directory.insert("e1".to_owned(), draining);
    let mut ready = group_head(2);
    if let Some(m) = ready.engine.as_mut().and_then(|e| e.membership.as_mut()) {
        m.phase = Phase::Ready;
    }
    directory.insert("e2".to_owned(), ready);
    let mut second = group_head(3);
    if let Some(m) = second.engine.as_mut().and_then(|e| e.membership.as_mut()) {
        m.rank = 1;
    }
    directory.insert("e3".to_owned(), second);
    directory.rebuild_pools(Instant::now(), &config(1));
    let pool = ("models".to_owned(), Some("m".to_owned()));
    let ids: Vec<&str> = directory.pools()[&pool].iter().map(|t| t.instance.as_str()).collect();
    assert_eq!(ids, ["e0"]);
}

#[rstest]
fn instance_listed_again_in_time_is_not_removed() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.insert("p0".to_owned(), plain_instance(0));
    directory.insert("p1".to_owned(), plain_instance(1));
    directory.remove_missing(BTreeSet::new(), now + ms(2_000));
    assert!(directory.apply_due_removals(now + ms(1_900)).is_empty());
    directory.insert("p0".to_owned(), plain_instance(0));
    assert_eq!(directory.apply_due_removals(now + ms(2_000)), ["p1"]);
    assert!(directory.get("p0").is_some());
}

#[rstest]
fn one_node_leads_and_another_takes_over_when_it_is_silent() {
    let now = Instant::now();
    let addresses = ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"];
    let peer_table_of = |own: &str| {
        let mut peers = PeerTable::default();
        peers.set_registered(now, addresses.map(str::to_owned).to_vec());
        for other in addresses.iter().filter(|a| **a != own) {
            let status = LeaderStatus { eligible: true, ..LeaderStatus::default() };
            peers.record_heartbeat(now, &format!("node {other}"), &(*other).to_owned(), 1, status);
        }
        peers
    };
    let leaders = |at: Instant, eligible: &dyn Fn(&str) -> bool| -> Vec<&str> {
        let own = |own: &str| LeaderStatus { eligible: eligible(own), ..LeaderStatus::default() };
        let should_lead =
            |node: &&str| peer_table_of(node).should_lead(at, &(*node).to_owned(), own(node));
        addresses.iter().copied().filter(should_lead).collect()
    };
    let first = leaders(now, &|_| true);
    assert_eq!(first.len(), 1);
    // A node without a fresh view of the instances does not lead.
    assert!(leaders(now, &|own| own != first[0]).is_empty());
    // With all peers silent, each node takes the lead.
    assert_eq!(leaders(now + ms(2_000), &|_| true).len(), 3);
}

/// Peer table of node `own`, given the status of each other node.
fn peer_table(now: Instant, own: &str, others: &[(&str, LeaderStatus)]) -> PeerTable {
    let mut peers = PeerTable::default();
    let mut addresses: Vec<String> = others.iter().map(|(a, _)| (*a).to_owned()).collect();
    addresses.push(own.to_owned());
    peers.set_registered(now, addresses);
    for (address, status) in others {
        peers.record_heartbeat(now, &format!("node {address}"), &(*address).to_owned(), 1, *status);
    }
    peers
}

#[rstest]
fn leader_stays_when_another_node_starts() {
    let now = Instant::now();
    let status = |is_leader| LeaderStatus { eligible: true, is_leader, defers: false };
    let nodes = ["10.0.0.1:1", "10.0.0.2:1"];
    for leader in nodes {
        for newcomer in nodes.into_iter().filter(|n| *n != leader) {
            let seen = peer_table(now, newcomer, &[(leader, status(true))]);
            assert!(!seen.should_lead(now, &newcomer.to_owned(), status(false)));
            let seen = peer_table(now, leader, &[(newcomer, status(false))]);
            assert!(seen.should_lead(now, &leader.to_owned(), status(true)));
            // The other node takes over once the leader is silent or can't read the store.
            let seen = peer_table(now, newcomer, &[(leader, status(true))]);
            assert!(seen.should_lead(now + ms(2_000), &newcomer.to_owned(), status(false)));
            let ineligible = LeaderStatus { eligible: false, is_leader: true, defers: false };
            let seen = peer_table(now, newcomer, &[(leader, ineligible)]);
            assert!(seen.should_lead(now, &newcomer.to_owned(), status(false)));
        }
    }
}

#[rstest]
fn one_of_two_leaders_steps_down() {
    let now = Instant::now();
    let both = LeaderStatus { eligible: true, is_leader: true, defers: false };
    let should_lead = |own: &str, other: &str| {
        peer_table(now, own, &[(other, both)]).should_lead(now, &own.to_owned(), both)
    };
    assert_ne!(should_lead("10.0.0.1:1", "10.0.0.2:1"), should_lead("10.0.0.2:1", "10.0.0.1:1"));
}

proptest! {
    /// Whatever each node knows, the retries of all nodes together stay within the platform's
    /// limit.
    #[test]
    fn retries_of_all_nodes_stay_within_the_limit(
        nodes in 1_usize..12,
        steps in proptest::collection::vec((0_usize..12, 0_u64..200, proptest::bool::ANY), 1..400),
    ) {
        let config = RetryBudgetConfig { ratio: 0.2, window: Duration::from_secs(10), burst: 109.0 };
        let service = "models".to_owned();
        let start = Instant::now();
        let mut budgets: Vec<RetryBudget> = (0..nodes).map(|_| RetryBudget::new(config)).collect();
        let mut now = start;
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        for (node, wait, is_retry) in steps {
            now += ms(wait);
            let budget = &mut budgets[node % nodes];
            if is_retry {
                for _ in 0..5 {
                    if budget.try_acquire(now, &service, nodes) {
                        retries.push(now);
                    }
                }
            } else {
                budget.record_request(now, &service);
                requests.push(now);
            }
        }
        for end in &retries {
            let from = end.checked_sub(config.window).unwrap_or(start);
            let of = |list: &[Instant], from: Instant| {
                list.iter().filter(|at| **at > from && **at <= *end).count() as f64
            };
            // Requests count in the window that ends with the retry and in the one before.
            let earlier = from.checked_sub(config.window).unwrap_or(start);
            let allowed = of(&requests, earlier) * config.ratio + config.burst;
            prop_assert!(of(&retries, from) <= allowed);
        }
    }
}

/// Time for which an upstream gets no requests after each of `failures` failures, the next one as
/// soon as it takes requests again, `steady` later.
fn pauses_of_a_flapping_upstream(failures: usize, steady: Duration) -> Vec<u64> {
    let mut loads = LoadTracker::default();
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let upstreams = [upstream("u")];
    let mut now = Instant::now();
    let mut pauses = Vec::new();
    for _ in 0..failures {
        // Two requests fail at the same time.
        for _ in 0..2 {
            loads.acquire(now, &upstreams[0], 0);
            let outcome = UpstreamOutcome::Cooldown(UNREACHABLE_COOLDOWN);
            loads.release(now, upstreams[0].key, outcome);
        }
        let failed_at = now;
        while !matches!(
            loads.select(now, &upstreams, &[], "", 0.0, &mut rng),
            Selection::Upstream(_)
        ) {
            now += Duration::from_millis(100);
        }
        pauses.push(now.saturating_duration_since(failed_at).as_millis() as u64);
        now += steady;
    }
    pauses
}

#[rstest]
#[case::flapping(Duration::from_secs(1), &[1_000, 2_000, 4_000, 4_000])]
#[case::steady_between(Duration::from_secs(11), &[1_000, 1_000, 1_000])]
fn upstream_that_flaps_gets_longer_pauses(#[case] steady: Duration, #[case] expected: &[u64]) {
    assert_eq!(pauses_of_a_flapping_upstream(expected.len(), steady), expected);
}

/// Share of requests that go to the first of two upstreams.
fn share_of_first(loads: &LoadTracker, now: Instant, upstreams: &[Arc<Upstream>]) -> f64 {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let chosen = |_| match loads.select(now, upstreams, &[], "", 0.0, &mut rng) {
        Selection::Upstream(chosen) => chosen.instance == upstreams[0].instance,
        Selection::Saturated | Selection::NoCandidate => panic!("nothing chosen"),
    };
    (0..200).map(chosen).filter(|is_first| *is_first).count() as f64 / 200.0
}

/// Slots that leave room for all requests of a test.
const MANY_SLOTS: u32 = 20;

#[rstest]
fn upstream_with_an_unread_prompt_waits_for_its_next_request() {
    let upstreams =
        ["u", "v"].map(|id| Arc::new(Upstream { slots: MANY_SLOTS, ..(*upstream(id)).clone() }));
    let (now, mut loads) = (Instant::now(), LoadTracker::default());
    loads.acquire(now, &upstreams[0], 2_000);
    for _ in 0..4 {
        loads.acquire(now, &upstreams[1], 0);
    }
    assert_eq!(share_of_first(&loads, now, &upstreams), 0.0);
    loads.record_prompt_read(upstreams[0].key, 2_000);
    assert_eq!(share_of_first(&loads, now, &upstreams), 1.0);
}

#[rstest]
#[case::heard_often(8, 0.0)]
#[case::heard_seldom(84, 1.0)]
fn unread_prompts_of_peers_count_while_they_are_recent(#[case] peers: usize, #[case] share: f64) {
    let upstreams =
        ["u", "v"].map(|id| Arc::new(Upstream { slots: MANY_SLOTS, ..(*upstream(id)).clone() }));
    let (now, mut loads) = (Instant::now(), LoadTracker::default());
    let load = |upstream: &Upstream, in_flight, prompt_tokens| HeartbeatLoad {
        upstream: upstream.key,
        in_flight,
        prompt_tokens,
        progressing: true,
        stalled: false,
    };
    for peer in 0..peers {
        let reported = match peer {
            0 => vec![load(&upstreams[0], 1, 2_000), load(&upstreams[1], 4, 0)],
            _ => Vec::new(),
        };
        loads.merge_peer_loads(now, &format!("n{peer}"), &reported);
    }
    assert_eq!(share_of_first(&loads, now, &upstreams), share);
}

/// A stall that a peer reports keeps this node away from an upstream only where progress elsewhere
/// becomes known soon.
#[rstest]
#[case::heard_often(84, false)]
#[case::heard_seldom(194, true)]
fn stall_that_cannot_be_refuted_in_time_is_not_acted_upon(
    #[case] peers: usize,
    #[case] is_used: bool,
) {
    let upstreams =
        ["u", "v"].map(|id| Arc::new(Upstream { slots: MANY_SLOTS, ..(*upstream(id)).clone() }));
    let (now, mut loads) = (Instant::now(), LoadTracker::default());
    for peer in 0..peers {
        loads.merge_peer_loads(now, &format!("n{peer}"), &[]);
    }
    loads.acquire(now, &upstreams[0], 0);
    loads.release(now, upstreams[0].key, UpstreamOutcome::Success);
    loads.record_suspects(now, ["u".to_owned()]);
    assert_eq!(share_of_first(&loads, now, &upstreams) > 0.0, is_used);
}
