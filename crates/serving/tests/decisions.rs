//! Decisions without a network: queue, load, directory, repeats, charge.

#![allow(clippy::unwrap_used, reason = "helpers of tests fail like tests")]

mod common;

use {
    common::{DATA_CENTRE, catalog, head, plain},
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
    turmerictack_protocol::heartbeat::HeartbeatLoad,
    turmerictack_serving::{
        catalog::Access,
        directory::{Directory, Target, key_of},
        load::{Loads, Pick, UNREACHABLE_PAUSE, Verdict},
        membership::{Members, Standing},
        queue::{Admission, Queue, WaitTerms},
        repeats::{RepeatLimits, Repeats},
    },
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn target(id: &str) -> Arc<Target> {
    Arc::new(Target {
        instance: id.to_owned(),
        key: key_of(id),
        address: String::new(),
        data_centre: DATA_CENTRE.to_owned(),
        slots: 2,
        group: None,
        incomplete: false,
    })
}

fn pick(loads: &Loads, now: Instant, targets: &[Arc<Target>], tried: &[String]) -> Pick {
    loads.pick(now, targets, tried, DATA_CENTRE, 0.0, &mut Pcg64Mcg::seed_from_u64(1))
}

#[rstest]
fn the_longest_prefix_wins_and_keys_are_checked() {
    let catalog = catalog(1);
    let route = catalog.route("API.example", "/notes/x").unwrap();
    assert_eq!(route.id, "notes");
    assert!(catalog.route(common::HOST, "/note").is_none());
    assert_eq!(catalog.access(route, Some("no such key")), Access::Denied);
    let Access::Granted(Some(account)) = catalog.access(route, Some("key-1")) else { panic!() };
    assert_eq!(account.id, "guild");
}

#[rstest]
fn weights_share_a_route_between_services() {
    let mut route = catalog(1).route(common::HOST, "/look/").unwrap().clone();
    route.services = vec![("a".to_owned(), 9), ("b".to_owned(), 1)];
    let draws = (0..1_000_u32).map(|at| at.wrapping_mul(4_294_967));
    let to_b = draws.filter(|d| route.service(*d).map(String::as_str) == Some("b")).count();
    assert!((90..=110).contains(&to_b), "{to_b} of 1000");
}

#[rstest]
fn what_can_be_on_time_goes_first_then_by_rank_then_by_age() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let terms = |urgency, on_time, give_up| WaitTerms {
        urgency,
        returned: false,
        on_time_until: now + ms(on_time),
        give_up_at: now + ms(give_up),
    };
    queue.push(terms(0, 10, 900), "late urgent");
    queue.push(terms(1, 300, 900), "on time, second rank");
    queue.push(terms(0, 400, 900), "on time, urgent");
    let mut order = Vec::new();
    while let Some((ticket, _, name)) = queue.first(now + ms(100)) {
        order.push(*name);
        queue.remove(ticket);
    }
    assert_eq!(order, ["on time, urgent", "on time, second rank", "late urgent"]);
}

#[rstest]
fn a_request_that_would_outwait_its_bound_is_refused_when_it_comes() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let terms = WaitTerms {
        urgency: 0,
        returned: false,
        on_time_until: now + ms(200),
        give_up_at: now + ms(1_000),
    };
    for at in 0..20 {
        queue.granted(now + ms(at), &terms);
    }
    let mut waits = 0;
    while queue.admit(now + ms(20), &terms) == Admission::Waits {
        queue.push(terms, ());
        waits += 1;
    }
    // Twenty grants in two seconds are ten a second: about ten can go within a second.
    assert!((8..=11).contains(&waits), "{waits} wait");
}

#[rstest]
fn load_of_other_nodes_counts_until_it_is_old() {
    let now = Instant::now();
    let mut loads = Loads::default();
    let (a, b) = (target("a"), target("b"));
    let told = HeartbeatLoad { upstream: a.key, in_flight: 4, progressing: true, stalled: false };
    loads.heard(now, &"n2".to_owned(), &[told]);
    assert_eq!(pick(&loads, now, &[a.clone(), b.clone()], &[]), Pick::Place(b.clone()));
    assert_eq!(pick(&loads, now, std::slice::from_ref(&a), &[]), Pick::Full);
    loads.heard(now + ms(2_000), &"n3".to_owned(), &[]);
    assert_eq!(pick(&loads, now, std::slice::from_ref(&a), &[]), Pick::Place(a));
}

/// A group opens while nine nodes have twenty requests waiting each, and all see it at once.
#[rstest]
fn a_new_upstream_is_not_flooded_by_nodes_that_have_not_heard_of_each_other() {
    let now = Instant::now();
    let target = Arc::new(Target { slots: 17, ..target("new").as_ref().clone() });
    let targets = [Arc::clone(&target)];
    let mut sent = 0;
    for node in 0..9 {
        let mut loads = Loads::default();
        for peer in (0..9).filter(|peer| *peer != node) {
            loads.heard(now, &format!("n{peer}"), &[]);
        }
        for _ in 0..20 {
            if let Pick::Place(target) = pick(&loads, now, &targets, &[]) {
                loads.take(now, &target);
                sent += 1;
            }
        }
        // Once the others have been told of it, what is left of the slots is used.
        loads.tell(now);
        loads.tell(now);
        assert_eq!(pick(&loads, now, &targets, &[]), Pick::Place(Arc::clone(&target)));
    }
    assert!((9..=27).contains(&sent), "{sent} requests for 17 slots");
}

#[rstest]
fn a_stalled_upstream_gets_nothing_while_another_moves() {
    let now = Instant::now();
    let mut loads = Loads::default();
    let (a, b) = (target("a"), target("b"));
    loads.take(now, &a);
    loads.take(now, &b);
    loads.take(now, &b);
    let later = now + ms(700);
    loads.moved(later, b.key, None);
    assert!(loads.is_stalled(later, a.key) && !loads.is_stalled(later, b.key));
    assert_eq!(pick(&loads, later, &[a, b.clone()], &[]), Pick::Place(b));
    assert_eq!(loads.stalled(later), ["a"]);
}

#[rstest]
fn an_unreachable_upstream_is_left_alone_for_a_time() {
    let now = Instant::now();
    let mut loads = Loads::default();
    let a = target("a");
    loads.take(now, &a);
    loads.give(now, a.key, Verdict::Avoid(UNREACHABLE_PAUSE));
    let targets = [a.clone()];
    assert_eq!(pick(&loads, now, &targets, &[]), Pick::Full);
    assert_eq!(pick(&loads, now + UNREACHABLE_PAUSE, &targets, &[]), Pick::Place(a));
    assert_eq!(pick(&loads, now, &targets, &["a".to_owned()]), Pick::Nowhere);
}

#[rstest]
fn only_open_heads_that_stay_are_upstreams() {
    let mut directory = Directory::default();
    directory.insert("e0".to_owned(), head(0));
    let mut leaving = head(1);
    leaving.leaving = true;
    directory.insert("e1".to_owned(), leaving);
    let mut ready = head(2);
    if let Some(m) = ready.engine.as_mut().and_then(|e| e.membership.as_mut()) {
        m.phase = Phase::Ready;
    }
    directory.insert("e2".to_owned(), ready);
    let mut second = head(3);
    if let Some(m) = second.engine.as_mut().and_then(|e| e.membership.as_mut()) {
        m.rank = 1;
    }
    directory.insert("e3".to_owned(), second);
    directory.rebuild(Instant::now(), &catalog(1));
    let kind = ("models".to_owned(), Some("m".to_owned()));
    let ids: Vec<&str> = directory.targets()[&kind].iter().map(|t| t.instance.as_str()).collect();
    assert_eq!(ids, ["e0"]);
}

#[rstest]
fn an_entry_that_comes_back_in_time_is_not_removed() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.insert("p0".to_owned(), plain(0));
    directory.insert("p1".to_owned(), plain(1));
    directory.replace(BTreeMap::new(), now + ms(2_000));
    assert!(directory.remove_due(now + ms(1_900)).is_empty());
    directory.insert("p0".to_owned(), plain(0));
    assert_eq!(directory.remove_due(now + ms(2_000)), ["p1"]);
    assert!(directory.get("p0").is_some());
}

#[rstest]
fn one_node_is_in_charge_and_another_follows_when_it_falls_silent() {
    let now = Instant::now();
    let addresses = ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"];
    let members_of = |own: &str| {
        let mut members = Members::default();
        members.set_listed(now, addresses.map(str::to_owned).to_vec());
        for other in addresses.iter().filter(|a| **a != own) {
            let standing = Standing { eligible: true, in_charge: false };
            members.heard(now, &format!("node {other}"), &(*other).to_owned(), 1, standing);
        }
        members
    };
    let in_charge = |at: Instant, eligible: &dyn Fn(&str) -> bool| -> Vec<&str> {
        let own = |own: &str| Standing { eligible: eligible(own), in_charge: false };
        let is = |node: &&str| members_of(node).is_in_charge(at, &(*node).to_owned(), own(node));
        addresses.iter().copied().filter(is).collect()
    };
    let first = in_charge(now, &|_| true);
    assert_eq!(first.len(), 1);
    // Without a fresh view it is not in charge itself.
    assert!(in_charge(now, &|own| own != first[0]).is_empty());
    // Each takes itself for the owner once all others are silent.
    assert_eq!(in_charge(now + ms(2_000), &|_| true).len(), 3);
}

/// How node `own` of three sees the others, each with how it stands.
fn members_with(now: Instant, own: &str, others: &[(&str, Standing)]) -> Members {
    let mut members = Members::default();
    let mut listed: Vec<String> = others.iter().map(|(a, _)| (*a).to_owned()).collect();
    listed.push(own.to_owned());
    members.set_listed(now, listed);
    for (address, standing) in others {
        members.heard(now, &format!("node {address}"), &(*address).to_owned(), 1, *standing);
    }
    members
}

#[rstest]
fn who_is_in_charge_stays_so_when_another_node_starts() {
    let now = Instant::now();
    let standing = |in_charge| Standing { eligible: true, in_charge };
    let nodes = ["10.0.0.1:1", "10.0.0.2:1"];
    for holder in nodes {
        for newcomer in nodes.into_iter().filter(|n| *n != holder) {
            let seen = members_with(now, newcomer, &[(holder, standing(true))]);
            assert!(!seen.is_in_charge(now, &newcomer.to_owned(), standing(false)));
            let seen = members_with(now, holder, &[(newcomer, standing(false))]);
            assert!(seen.is_in_charge(now, &holder.to_owned(), standing(true)));
            // Once the holder is silent, or can't read the store, the other one follows.
            let seen = members_with(now, newcomer, &[(holder, standing(true))]);
            assert!(seen.is_in_charge(now + ms(2_000), &newcomer.to_owned(), standing(false)));
            let unfit = Standing { eligible: false, in_charge: true };
            let seen = members_with(now, newcomer, &[(holder, unfit)]);
            assert!(seen.is_in_charge(now, &newcomer.to_owned(), standing(false)));
        }
    }
}

#[rstest]
fn of_two_nodes_in_charge_one_gives_it_up() {
    let now = Instant::now();
    let both = Standing { eligible: true, in_charge: true };
    let is = |own: &str, other: &str| {
        members_with(now, own, &[(other, both)]).is_in_charge(now, &own.to_owned(), both)
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
        let limits = RepeatLimits { ratio: 0.2, window: Duration::from_secs(10), burst: 109.0 };
        let service = "models".to_owned();
        let start = Instant::now();
        let mut budgets: Vec<Repeats> = (0..nodes).map(|_| Repeats::new(limits)).collect();
        let mut now = start;
        let mut requests = Vec::new();
        let mut repeats = Vec::new();
        for (node, wait, repeat) in steps {
            now += ms(wait);
            let budget = &mut budgets[node % nodes];
            if repeat {
                for _ in 0..5 {
                    if budget.take(now, &service, nodes) {
                        repeats.push(now);
                    }
                }
            } else {
                budget.request(now, &service);
                requests.push(now);
            }
        }
        for end in &repeats {
            let from = end.checked_sub(limits.window).unwrap_or(start);
            let of = |list: &[Instant], from: Instant| {
                list.iter().filter(|at| **at > from && **at <= *end).count() as f64
            };
            // Requests count in the window or the one half a window before it.
            let earlier = from.checked_sub(limits.window).unwrap_or(start);
            let allowed = of(&requests, earlier) * limits.ratio + limits.burst;
            prop_assert!(of(&repeats, from) <= allowed);
        }
    }
}
