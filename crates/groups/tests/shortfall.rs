//! Missing capacity of a domain while some of its groups do not serve.

use {
    rstest::rstest,
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
    turmerictack_groups::{
        control::GroupTarget,
        health::{Claim, HealthReport, HealthTable, ReceivedReport},
        shortfall::shortfall,
    },
};

/// Two groups of four instances and two spares.
fn target() -> GroupTarget {
    GroupTarget {
        service: "assistant".to_owned(),
        groups: 2,
        group_size: 4,
        model: "m1".to_owned(),
        instances: (0..10).map(|n| format!("eng-{n}")).collect(),
    }
}

/// Reports received at `now`: both groups complete except for the `silent` instances, which have no
/// report; instances 8 and 9 belong to no group.
fn health(now: Instant, silent: &[usize]) -> HealthTable {
    let mut table = HealthTable::default();
    for n in (0..10).filter(|n| !silent.contains(n)) {
        let first = n / 4 * 4;
        let members = (first..first + 4).map(|m| format!("eng-{m}")).collect();
        let claim = Claim { group: format!("g{first}"), epoch: 1, members };
        let claim = (n < 8).then_some(claim);
        let report = HealthReport { claim, fence: 1, ready: true, ..HealthReport::default() };
        table.record(&format!("eng-{n}"), ReceivedReport { report, requested_at: now });
    }
    table
}

/// Spares do not count as stranded; a dead member strands all instances of its group.
#[rstest]
#[case::all_healthy(&[], 0, 0)]
#[case::spare_gone(&[9], 0, 0)]
#[case::first_member_gone(&[4], 1, 4)]
#[case::last_member_gone(&[7], 1, 4)]
#[case::both_broken(&[0, 7], 2, 8)]
#[case::all_silent(&[0, 1, 2, 3, 4, 5, 6, 7, 8, 9], 2, 8)]
fn a_broken_group_strands_its_instances(
    #[case] silent: &[usize],
    #[case] groups: usize,
    #[case] instances: usize,
) {
    let now = Instant::now();
    let missing = shortfall(&target(), &health(now, silent), now);
    assert_eq!((missing.groups, missing.instances), (groups, instances));
}

#[rstest]
fn reports_beyond_the_maximum_age_are_ignored() {
    let now = Instant::now();
    let missing = shortfall(&target(), &health(now, &[]), now + Duration::from_secs(2));
    assert_eq!((missing.groups, missing.instances), (2, 8));
}

#[rstest]
fn in_a_domain_with_too_few_instances_only_existing_ones_are_stranded() {
    let now = Instant::now();
    let few: BTreeSet<String> = (0..7).map(|n| format!("eng-{n}")).collect();
    let target = GroupTarget { instances: few, ..target() };
    let missing = shortfall(&target, &health(now, &[7, 8, 9]), now);
    assert_eq!((missing.groups, missing.instances), (1, 3));
}
