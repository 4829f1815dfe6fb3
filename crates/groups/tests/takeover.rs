//! What a controller does when it takes over a domain, and when a group of it breaks.

use {
    rstest::rstest,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    turmerictack_groups::{
        control::{Controller, View, Want},
        domain::{Domain, Group, GroupState},
        health::{Claim, HealthReport, HealthTable, MAX_REPORT_AGE, ReceivedReport},
    },
};

const GROUP: &str = "assistant-fabric-1-1";

fn members() -> Vec<String> {
    (1..=4).map(|n| format!("eng-{n}")).collect()
}

/// A domain with one group that belongs together.
fn domain(served: bool) -> Domain {
    let service = "assistant".to_owned();
    let group = Group { service, epoch: 1, members: members(), served, state: GroupState::Active };
    Domain { epoch: 1, groups: BTreeMap::from([(GROUP.to_owned(), group)]), held: BTreeMap::new() }
}

/// Members that claim the group; the first one can't serve.
fn evidence(at: Instant) -> HealthTable {
    let mut table = HealthTable::default();
    for (place, member) in members().iter().enumerate() {
        let claim = Claim { group: GROUP.to_owned(), epoch: 1, members: members() };
        let report = HealthReport {
            claim: Some(claim),
            fence: 1,
            ready: place > 0,
            ..HealthReport::default()
        };
        table.record(member, ReceivedReport { report, asked_at: at });
    }
    table
}

/// One group of these instances.
fn want(instances: &BTreeSet<String>) -> Want {
    Want {
        service: "assistant".to_owned(),
        groups: 1,
        size: 4,
        model: "m1".to_owned(),
        instances: instances.clone(),
    }
}

/// Seconds until a new controller retires a group whose first member can't serve.
fn retired_after(served: bool) -> Option<u64> {
    let start = Instant::now();
    let listed: BTreeSet<String> = members().into_iter().collect();
    let wants = [want(&listed)];
    let mut controller = Controller::default();
    (0..600).find(|second| {
        let now = start + Duration::from_secs(*second);
        let view = View {
            now,
            domain: &"fabric-1".to_owned(),
            wants: &wants,
            listed: &listed,
            evidence: &evidence(now),
            loads: 1,
        };
        let next = controller.plan(&domain(served), &view).change;
        next.is_some_and(|next| next.groups[GROUP].state != GroupState::Active)
    })
}

/// A group that broke while its domain changed hands was taken for one that loads, for 300 s.
#[rstest]
fn a_group_that_has_served_is_formed_anew_at_once() {
    assert_eq!(retired_after(true), Some(0));
}

#[rstest]
fn a_group_that_never_served_has_time_to_load() {
    assert_eq!(retired_after(false), Some(300));
}

#[rstest]
fn that_a_group_served_is_written_down_once() {
    let now = Instant::now();
    let mut table = evidence(now);
    let first = &members()[0];
    let ready = HealthReport { ready: true, ..table.get(first).unwrap().report.clone() };
    table.record(first, ReceivedReport { report: ready, asked_at: now });
    let listed: BTreeSet<String> = members().into_iter().collect();
    let wants = [want(&listed)];
    let name = "fabric-1".to_owned();
    let view =
        View { now, domain: &name, wants: &wants, listed: &listed, evidence: &table, loads: 1 };
    let mut controller = Controller::default();
    let next = controller.plan(&domain(false), &view).change.unwrap();
    assert!(next.groups[GROUP].served);
    assert_eq!(controller.plan(&next, &view).change, None);
}

/// Milliseconds from the retirement of a group, a member of which died just before, until its
/// other members and a spare form a new one.
fn formed_after() -> Option<u64> {
    let start = Instant::now();
    let mut listed: BTreeSet<String> = members().into_iter().collect();
    listed.insert("eng-5".to_owned());
    let wants = [want(&listed)];
    let fence = 2;
    let mut domain = domain(true);
    domain.epoch = fence;
    domain.groups.get_mut(GROUP)?.state = GroupState::Retiring { fence };
    let mut table = evidence(start);
    let mut controller = Controller::default();
    (0..6000).step_by(100).find(|ms| {
        let now = start + Duration::from_millis(*ms);
        for id in listed.iter().filter(|id| *id != "eng-1") {
            let report = HealthReport { fence, ready: true, ..HealthReport::default() };
            table.record(id, ReceivedReport { report, asked_at: now });
        }
        let name = "fabric-1".to_owned();
        let (wants, listed, evidence) = (&wants[..], &listed, &table);
        let view = View { now, domain: &name, wants, listed, evidence, loads: 1 };
        let next = controller.plan(&domain, &view).change;
        next.is_some_and(|next| {
            assert!(next.is_consistent());
            next.held.contains_key("eng-1")
                && next.groups.values().any(|g| g.members.contains(&"eng-5".to_owned()))
        })
    })
}

/// Target: no longer than the safety of the others asks for, which is the window of evidence. A
/// dead member held the others up until it had been silent for 2.5 s.
#[rstest]
fn a_dead_member_holds_up_the_others_no_longer_than_the_window() {
    let window = MAX_REPORT_AGE.as_millis() as u64;
    let after = formed_after();
    assert!(after.is_some_and(|ms| ms > window && ms <= window + 100), "{after:?}");
}
