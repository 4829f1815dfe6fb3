//! What a domain lacks while a group of it is broken.

use {
    rstest::rstest,
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
    turmerictack_groups::{
        control::Want,
        health::{Claim, HealthReport, HealthTable, ReceivedReport},
        shortfall::shortfall,
    },
};

/// Two groups of four and two spares, as today's domains are.
fn want() -> Want {
    Want {
        service: "assistant".to_owned(),
        groups: 2,
        size: 4,
        model: "m1".to_owned(),
        instances: (0..10).map(|n| format!("eng-{n}")).collect(),
    }
}

/// ReceivedReport of this age: both groups whole but for the silent instances, two in no group.
fn evidence(now: Instant, silent: &[usize]) -> HealthTable {
    let mut table = HealthTable::default();
    for n in (0..10).filter(|n| !silent.contains(n)) {
        let first = n / 4 * 4;
        let members = (first..first + 4).map(|m| format!("eng-{m}")).collect();
        let claim = Claim { group: format!("g{first}"), epoch: 1, members };
        let claim = (n < 8).then_some(claim);
        let report = HealthReport { claim, fence: 1, ready: true, ..HealthReport::default() };
        table.record(&format!("eng-{n}"), ReceivedReport { report, asked_at: now });
    }
    table
}

/// Spares are not stranded while every wanted group serves; a dead member strands its group.
#[rstest]
#[case::whole(&[], 0, 0)]
#[case::spare_gone(&[9], 0, 0)]
#[case::first_member_gone(&[4], 1, 4)]
#[case::last_member_gone(&[7], 1, 4)]
#[case::both_broken(&[0, 7], 2, 8)]
#[case::dark(&[0, 1, 2, 3, 4, 5, 6, 7, 8, 9], 2, 8)]
fn a_broken_group_strands_its_instances(
    #[case] silent: &[usize],
    #[case] groups: usize,
    #[case] instances: usize,
) {
    let now = Instant::now();
    let lack = shortfall(&want(), &evidence(now, silent), now);
    assert_eq!((lack.groups, lack.instances), (groups, instances));
}

#[rstest]
fn evidence_that_is_old_counts_as_none() {
    let now = Instant::now();
    let lack = shortfall(&want(), &evidence(now, &[]), now + Duration::from_secs(2));
    assert_eq!((lack.groups, lack.instances), (2, 8));
}

#[rstest]
fn a_domain_with_too_few_instances_strands_what_is_left() {
    let now = Instant::now();
    let few: BTreeSet<String> = (0..7).map(|n| format!("eng-{n}")).collect();
    let want = Want { instances: few, ..want() };
    let lack = shortfall(&want, &evidence(now, &[7, 8, 9]), now);
    assert_eq!((lack.groups, lack.instances), (1, 3));
}
