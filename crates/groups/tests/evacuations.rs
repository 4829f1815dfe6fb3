//! Groups while a data centre is evacuated, and after its return.

mod fabric;

use {
    fabric::{SimulatedCluster, data_centre_of, leader::Leader},
    rstest::rstest,
    std::{ops::Range, time::Duration},
    turmerictack_groups::plan::Plan,
    turmerictack_model::ids::{GroupId, InstanceId},
};

/// Time until all groups are open after the start or a change of the instances.
const FORMATION_TIME: Duration = Duration::from_secs(30);
/// Length of an evacuation.
const EVACUATION: Duration = Duration::from_secs(20);
/// Time from the return of a data centre until a group there serves that has all its members.
const RETURN_TIME: Duration = Duration::from_secs(6);

fn evacuate(leader: &mut Leader, domain: &str) {
    leader.evacuated.insert(data_centre_of(domain));
    leader.orders.clear();
}

fn orders_to(leader: &Leader, domain: &str) -> usize {
    let data_centre = data_centre_of(domain);
    leader.orders.iter().filter(|(to, _)| *to == data_centre).count()
}

/// Adds the instances with these numbers to a domain.
fn add(leader: &mut Leader, domain: usize, numbers: Range<usize>) {
    for at in numbers {
        leader.cluster.add(&format!("i{domain}-{at}"), &format!("d{domain}"));
    }
}

/// Planned groups of a domain with their members.
fn groups_in(plan: &Plan, domain: &str) -> Vec<(GroupId, Vec<InstanceId>)> {
    let prefix = format!("i{}-", &domain[1..]);
    let groups = plan.groups.iter().filter(|(_, g)| g.members[0].starts_with(&prefix));
    groups.map(|(id, group)| (id.clone(), group.members.clone())).collect()
}

#[rstest]
fn groups_stay_during_an_evacuation_and_serve_again_at_once() {
    let mut leader = Leader::new(SimulatedCluster::new(2, 8), 4);
    leader.run_for(FORMATION_TIME);
    let before = leader.plan.clone();
    evacuate(&mut leader, "d1");
    leader.run_for(EVACUATION);
    assert_eq!(orders_to(&leader, "d1"), 0);
    assert_eq!(leader.plan.groups, before.groups);
    leader.evacuated.clear();
    leader.run_for(FORMATION_TIME);
    assert_eq!(leader.plan.groups, before.groups);
    assert_eq!(leader.orders, [], "nothing was formed again");
}

/// Free instances elsewhere serve the model whose only groups are evacuated, although the other model
/// would need them more if those groups served.
#[rstest]
fn model_whose_groups_are_evacuated_gets_groups_elsewhere() {
    let mut leader = Leader::new(SimulatedCluster::new(0, 0), 4);
    for (domain, from, to) in [(0, 0, 4), (1, 0, 4), (0, 4, 6)] {
        add(&mut leader, domain, from..to);
        leader.run_for(FORMATION_TIME);
    }
    assert_eq!(groups_in(&leader.plan, "d0").len(), 3, "{:?}", leader.plan.groups);
    assert_eq!((leader.open_groups("small").len(), leader.open_groups("large").len()), (3, 1));
    evacuate(&mut leader, "d0");
    add(&mut leader, 1, 4..8);
    leader.run_for(FORMATION_TIME);
    assert_eq!((leader.open_groups("small").len(), leader.open_groups("large").len()), (5, 1));
    assert_eq!(orders_to(&leader, "d0"), 0);
}

/// Joins and loads under way when the evacuation begins end by themselves; the rest waits.
#[rstest]
fn formation_under_way_waits_for_the_return(#[values(1, 2, 4, 6)] seconds: u64) {
    let mut leader = Leader::new(SimulatedCluster::new(2, 8), 4);
    leader.run_for(Duration::from_secs(seconds));
    evacuate(&mut leader, "d1");
    leader.run_for(EVACUATION);
    assert_eq!(orders_to(&leader, "d1"), 0);
    leader.evacuated.clear();
    leader.run_for(FORMATION_TIME + RETURN_TIME);
    let members: usize = groups_in(&leader.plan, "d1").iter().map(|(_, m)| m.len()).sum();
    assert!(members >= 6, "{:?}", leader.plan.groups);
    let open = leader.open_groups("large").len() + leader.open_groups("small").len();
    assert_eq!(open, leader.plan.groups.len());
}

/// A group that loses a member in the meantime is replaced after the return, not before.
#[rstest]
fn group_that_breaks_during_an_evacuation_is_formed_again_after_it() {
    let mut leader = Leader::new(SimulatedCluster::new(2, 8), 4);
    leader.run_for(FORMATION_TIME);
    let before = groups_in(&leader.plan, "d1");
    evacuate(&mut leader, "d1");
    leader.cluster.crash(&before[0].1[1], Some(Duration::from_secs(1)));
    leader.run_for(EVACUATION);
    assert_eq!((groups_in(&leader.plan, "d1"), orders_to(&leader, "d1")), (before.clone(), 0));
    leader.evacuated.clear();
    leader.run_for(FORMATION_TIME);
    assert_eq!(groups_in(&leader.plan, "d1").len(), before.len());
    assert!(!leader.plan.groups.contains_key(&before[0].0));
}
