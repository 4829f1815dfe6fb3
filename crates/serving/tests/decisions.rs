//! Decisions without a network: queue, load, directory, repeats, charge.

#![allow(clippy::unwrap_used, reason = "helpers of tests fail like tests")]

mod common;

use {
    common::{DATA_CENTRE, config, group_head, plain_instance},
    proptest::prelude::*,
    rand::SeedableRng as _,
    rand_pcg::Pcg64Mcg,
    rstest::rstest,
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
    turmerictack_groups::formation::Phase,
    turmerictack_protocol::beat::BeatLoad,
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
    })
}

fn select(
    loads: &LoadTracker,
    now: Instant,
    upstreams: &[Arc<Upstream>],
    tried: &[String],
) -> Selection {
    loads.select(now, upstreams, tried, DATA_CENTRE, 0.0, &mut Pcg64Mcg::seed_from_u64(1))
}

#[rstest]
fn the_longest_prefix_wins_and_keys_are_checked() {
    let config = config(1);
    let route = config.find_route("API.example", "/notes/x").unwrap();
    assert_eq!(route.id, "notes");
    assert!(config.find_route(common::HOST, "/note").is_none());
    assert_eq!(config.authorize(route, Some("no such key")), Access::Denied);
    let Access::Granted(Some(account)) = config.authorize(route, Some("key-1")) else { panic!() };
    assert_eq!(account.id, "guild");
}

#[rstest]
fn weights_share_a_route_between_services() {
    let mut route = config(1).find_route(common::HOST, "/look/").unwrap().clone();
    route.services = vec![("a".to_owned(), 9), ("b".to_owned(), 1)];
    let draws = (0..1_000_u32).map(|at| at.wrapping_mul(4_294_967));
    let to_b = draws.filter(|d| route.select_service(*d).map(String::as_str) == Some("b")).count();
    assert!((90..=110).contains(&to_b), "{to_b} of 1000");
}

#[rstest]
fn what_can_be_on_time_goes_first_then_by_rank_then_by_age() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let params = |priority, on_time, give_up| SchedulingParams {
        priority,
        is_client_retry: false,
        dispatch_by: now + ms(on_time),
        expires_at: now + ms(give_up),
    };
    queue.push(params(0, 10, 900), "late urgent");
    queue.push(params(1, 300, 900), "on time, second rank");
    queue.push(params(0, 400, 900), "on time, urgent");
    let mut order = Vec::new();
    while let Some((ticket, _, name)) = queue.peek(now + ms(100)) {
        order.push(*name);
        queue.remove(ticket);
    }
    assert_eq!(order, ["on time, urgent", "on time, second rank", "late urgent"]);
}

#[rstest]
fn a_request_that_would_outwait_its_bound_is_refused_when_it_comes() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let params = SchedulingParams {
        priority: 0,
        is_client_retry: false,
        dispatch_by: now + ms(200),
        expires_at: now + ms(1_000),
    };
    for at in 0..20 {
        queue.record_dispatch(now + ms(at), &params);
    }
    let mut waits = 0;
    while queue.admit(now + ms(20), &params) == Admission::Queued {
        queue.push(params, ());
        waits += 1;
    }
    // Twenty grants in two seconds are ten a second: about ten can go within a second.
    assert!((8..=11).contains(&waits), "{waits} wait");
}

#[rstest]
fn load_of_other_nodes_counts_until_it_is_old() {
    let now = Instant::now();
    let mut loads = LoadTracker::default();
    let (a, b) = (upstream("a"), upstream("b"));
    let load = BeatLoad { upstream: a.key, in_flight: 4, moved: true, stalled: false };
    loads.merge_peer_loads(now, &"n2".to_owned(), &[load]);
    assert_eq!(select(&loads, now, &[a.clone(), b.clone()], &[]), Selection::Upstream(b.clone()));
    assert_eq!(select(&loads, now, std::slice::from_ref(&a), &[]), Selection::Saturated);
    loads.merge_peer_loads(now + ms(2_000), &"n3".to_owned(), &[]);
    assert_eq!(select(&loads, now, std::slice::from_ref(&a), &[]), Selection::Upstream(a));
}

/// A group opens while nine nodes have twenty requests waiting each, and all see it at once.
#[rstest]
fn a_new_upstream_is_not_flooded_by_nodes_that_have_not_heard_of_each_other() {
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
                loads.acquire(now, &upstream);
                sent += 1;
            }
        }
        // Once the others have been told of it, what is left of the slots is used.
        loads.report_loads(now);
        loads.report_loads(now);
        assert_eq!(
            select(&loads, now, &upstreams, &[]),
            Selection::Upstream(Arc::clone(&upstream))
        );
    }
    assert!((9..=27).contains(&sent), "{sent} requests for 17 slots");
}

#[rstest]
fn a_stalled_upstream_gets_nothing_while_another_moves() {
    let now = Instant::now();
    let mut loads = LoadTracker::default();
    let (a, b) = (upstream("a"), upstream("b"));
    loads.acquire(now, &a);
    loads.acquire(now, &b);
    loads.acquire(now, &b);
    let later = now + ms(700);
    loads.record_progress(later, b.key, None);
    assert!(loads.is_stalled(later, a.key) && !loads.is_stalled(later, b.key));
    assert_eq!(select(&loads, later, &[a, b.clone()], &[]), Selection::Upstream(b));
    assert_eq!(loads.stalled_upstreams(later), ["a"]);
}

#[rstest]
fn an_unreachable_upstream_is_left_alone_for_a_time() {
    let now = Instant::now();
    let mut loads = LoadTracker::default();
    let a = upstream("a");
    loads.acquire(now, &a);
    loads.release(now, a.key, UpstreamOutcome::Cooldown(UNREACHABLE_COOLDOWN));
    let upstreams = [a.clone()];
    assert_eq!(select(&loads, now, &upstreams, &[]), Selection::Saturated);
    assert_eq!(select(&loads, now + UNREACHABLE_COOLDOWN, &upstreams, &[]), Selection::Upstream(a));
    assert_eq!(select(&loads, now, &upstreams, &["a".to_owned()]), Selection::NoCandidate);
}

#[rstest]
fn only_open_heads_that_stay_are_upstreams() {
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
    let kind = ("models".to_owned(), Some("m".to_owned()));
    let ids: Vec<&str> = directory.pools()[&kind].iter().map(|t| t.instance.as_str()).collect();
    assert_eq!(ids, ["e0"]);
}

#[rstest]
fn an_entry_that_comes_back_in_time_is_not_removed() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.insert("p0".to_owned(), plain_instance(0));
    directory.insert("p1".to_owned(), plain_instance(1));
    directory.replace_all(BTreeMap::new(), now + ms(2_000));
    assert!(directory.apply_due_removals(now + ms(1_900)).is_empty());
    directory.insert("p0".to_owned(), plain_instance(0));
    assert_eq!(directory.apply_due_removals(now + ms(2_000)), ["p1"]);
    assert!(directory.get("p0").is_some());
}

#[rstest]
fn one_node_is_in_charge_and_another_follows_when_it_falls_silent() {
    let now = Instant::now();
    let addresses = ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"];
    let members_of = |own: &str| {
        let mut members = PeerTable::default();
        members.set_registered(now, addresses.map(str::to_owned).to_vec());
        for other in addresses.iter().filter(|a| **a != own) {
            let status = LeaderStatus { eligible: true, is_leader: false };
            members.record_heartbeat(
                now,
                &format!("node {other}"),
                &(*other).to_owned(),
                1,
                status,
            );
        }
        members
    };
    let leaders = |at: Instant, eligible: &dyn Fn(&str) -> bool| -> Vec<&str> {
        let own = |own: &str| LeaderStatus { eligible: eligible(own), is_leader: false };
        let is = |node: &&str| members_of(node).should_lead(at, &(*node).to_owned(), own(node));
        addresses.iter().copied().filter(is).collect()
    };
    let first = leaders(now, &|_| true);
    assert_eq!(first.len(), 1);
    // Without a fresh view it is not in charge itself.
    assert!(leaders(now, &|own| own != first[0]).is_empty());
    // Each takes itself for the owner once all others are silent.
    assert_eq!(leaders(now + ms(2_000), &|_| true).len(), 3);
}

/// How node `own` of three sees the others, each with how it stands.
fn members_with(now: Instant, own: &str, others: &[(&str, LeaderStatus)]) -> PeerTable {
    let mut members = PeerTable::default();
    let mut listed: Vec<String> = others.iter().map(|(a, _)| (*a).to_owned()).collect();
    listed.push(own.to_owned());
    members.set_registered(now, listed);
    for (address, status) in others {
        members.record_heartbeat(
            now,
            &format!("node {address}"),
            &(*address).to_owned(),
            1,
            *status,
        );
    }
    members
}

#[rstest]
fn who_is_in_charge_stays_so_when_another_node_starts() {
    let now = Instant::now();
    let status = |is_leader| LeaderStatus { eligible: true, is_leader };
    let nodes = ["10.0.0.1:1", "10.0.0.2:1"];
    for holder in nodes {
        for newcomer in nodes.into_iter().filter(|n| *n != holder) {
            let seen = members_with(now, newcomer, &[(holder, status(true))]);
            assert!(!seen.should_lead(now, &newcomer.to_owned(), status(false)));
            let seen = members_with(now, holder, &[(newcomer, status(false))]);
            assert!(seen.should_lead(now, &holder.to_owned(), status(true)));
            // Once the holder is silent, or can't read the store, the other one follows.
            let seen = members_with(now, newcomer, &[(holder, status(true))]);
            assert!(seen.should_lead(now + ms(2_000), &newcomer.to_owned(), status(false)));
            let unfit = LeaderStatus { eligible: false, is_leader: true };
            let seen = members_with(now, newcomer, &[(holder, unfit)]);
            assert!(seen.should_lead(now, &newcomer.to_owned(), status(false)));
        }
    }
}

#[rstest]
fn of_two_nodes_in_charge_one_gives_it_up() {
    let now = Instant::now();
    let both = LeaderStatus { eligible: true, is_leader: true };
    let is = |own: &str, other: &str| {
        members_with(now, own, &[(other, both)]).should_lead(now, &own.to_owned(), both)
    };
    assert_ne!(is("10.0.0.1:1", "10.0.0.2:1"), is("10.0.0.2:1", "10.0.0.1:1"));
}

proptest! {
    /// Whatever the nodes see, all their repeats together stay within the platform's bound.
    #[test]
    fn repeats_of_all_nodes_stay_within_the_bound(
        nodes in 1_usize..12,
        steps in proptest::collection::vec((0_usize..12, 0_u64..200, proptest::bool::ANY), 1..400),
    ) {
        let config = RetryBudgetConfig { ratio: 0.2, window: Duration::from_secs(10), burst: 109.0 };
        let service = "models".to_owned();
        let start = Instant::now();
        let mut budgets: Vec<RetryBudget> = (0..nodes).map(|_| RetryBudget::new(config)).collect();
        let mut now = start;
        let mut requests = Vec::new();
        let mut retry_budget = Vec::new();
        for (node, wait, repeat) in steps {
            now += ms(wait);
            let budget = &mut budgets[node % nodes];
            if repeat {
                for _ in 0..5 {
                    if budget.try_acquire(now, &service, nodes) {
                        retry_budget.push(now);
                    }
                }
            } else {
                budget.record_request(now, &service);
                requests.push(now);
            }
        }
        for end in &retry_budget {
            let from = end.checked_sub(config.window).unwrap_or(start);
            let of = |list: &[Instant], from: Instant| {
                list.iter().filter(|at| **at > from && **at <= *end).count() as f64
            };
            // Requests count in the window or the one half a window before it.
            let earlier = from.checked_sub(config.window).unwrap_or(start);
            let allowed = of(&requests, earlier) * config.ratio + config.burst;
            prop_assert!(of(&retry_budget, from) <= allowed);
        }
    }
}
