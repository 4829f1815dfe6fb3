//! Spare instances replace lost members of groups.

mod fabric;

use {
    fabric::{
        SimulatedCluster,
        leader::{Leader, STEP},
    },
    rstest::rstest,
    std::time::Duration,
};

/// Time until all groups are open after the start.
const FORMATION_TIME: Duration = Duration::from_secs(30);
/// Time until a group is open again after a loss: the stall timeout, a second until the head learns
/// of the departure, and 3 s to join and open.
const REFORMATION_TIME: Duration = Duration::from_secs(8);

#[rstest]
#[case::eight_of_eighteen(18, 8)]
#[case::four_of_ten(10, 4)]
fn lost_member_of_a_large_group_is_replaced_without_a_load(
    #[case] domain_size: usize,
    #[case] large_size: usize,
) {
    let mut leader = Leader::new(SimulatedCluster::new(2, domain_size), large_size);
    leader.run_for(FORMATION_TIME);
    let heads = leader.open_groups("large");
    assert_eq!(heads.len(), 2);
    let group = leader.plan.groups.values().find(|g| g.members[0] == heads[0]);
    let Some(lost) = group.map(|g| g.members[1].clone()) else { panic!("no group") };
    leader.cluster.crash(&lost, None);
    leader.run_for(REFORMATION_TIME);
    assert_eq!(leader.open_groups("large").len(), 2, "{:?}", leader.plan.groups);
}

/// Instances that arrive in each step at the start of a system.
const ARRIVALS_PER_STEP: usize = 4;

/// The groups are those that suit the whole domains, in whatever order the instances arrive.
#[rstest]
fn groups_are_chosen_when_all_instances_have_arrived() {
    const DOMAINS: usize = 6;
    const PER_DOMAIN: usize = 10;
    let mut leader = Leader::new(SimulatedCluster::new(0, 0), 4);
    leader.has_traffic = false;
    for at in 0..DOMAINS * PER_DOMAIN {
        let domain = format!("d{}", at % DOMAINS);
        leader.cluster.add(&format!("i{at}"), &domain);
        if at.is_multiple_of(ARRIVALS_PER_STEP) {
            leader.run_for(STEP);
        }
    }
    leader.run_for(FORMATION_TIME);
    assert_eq!((leader.open_groups("large").len(), leader.open_groups("small").len()), (6, 15));
}
