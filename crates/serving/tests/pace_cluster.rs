//! A group that returns to a cluster under load: what its pace changes for callers.

mod common;

use {
    common::returning_cluster::{Limit, Outcome, ReturningCluster, SLOTS, Scenario},
    rstest::rstest,
    std::time::Duration,
};

/// Largest share of the usable slots that may be idle while requests wait, in the first 5 s: that of
/// a group that is filled evenly within 2 s.
const MAX_IDLE: f64 = 0.2;

/// Largest number of requests in flight before a group can have answered any.
const MAX_FIRST_BURST: usize = SLOTS as usize / 2;

/// Time without a first event after which callers leave.
const ABANDONED_AFTER: Duration = Duration::from_secs(2);

/// Seeds over which outcomes are summed.
const SEEDS: u64 = 4;

fn run(scenario: Scenario) -> Outcome {
    let mut sum = Outcome::default();
    for seed in 1..=SEEDS {
        let outcome = ReturningCluster::new(Scenario { seed, ..scenario.clone() }).run();
        sum.requests += outcome.requests;
        sum.late += outcome.late;
        sum.rejected += outcome.rejected;
        sum.idle += outcome.idle / SEEDS as f64;
        sum.first_burst = sum.first_burst.max(outcome.first_burst);
        sum.slowest = sum.slowest.max(outcome.slowest);
    }
    println!("{scenario:?}\n  {sum:?}");
    sum
}

fn failed(outcome: &Outcome) -> usize {
    outcome.late + outcome.rejected
}

/// Guards against the burst of all nodes at the moment a group opens, and against a group that is
/// left idle while callers wait.
#[rstest]
fn group_that_returns_is_neither_flooded_nor_left_idle(
    #[values(9, 71)] nodes: usize,
    #[values(0, 4)] cold_s: u64,
) {
    let [unlimited, slow_start, paced] = [Limit::Slots, Limit::FixedSlowStart, Limit::Pace]
        .map(|limit| run(Scenario::new(nodes, limit, Duration::from_secs(cold_s), 1)));
    assert!(failed(&paced) < failed(&unlimited), "{paced:?}");
    assert!(paced.first_burst <= MAX_FIRST_BURST, "{paced:?}");
    assert!(paced.idle <= MAX_IDLE && paced.idle < slow_start.idle, "{paced:?}");
}

/// Guards against a data centre that is taken back and flooded, while all groups that remained are
/// full.
#[rstest]
fn groups_of_a_data_centre_return_together(
    #[values(9, 71)] nodes: usize,
    #[values(0, 4)] cold_s: u64,
) {
    let [unlimited, _, paced] = [Limit::Slots, Limit::FixedSlowStart, Limit::Pace].map(|limit| {
        let cold = Duration::from_secs(cold_s);
        run(Scenario { returning: 3, ..Scenario::new(nodes, limit, cold, 1) })
    });
    assert!(failed(&paced) < failed(&unlimited), "{paced:?}");
    assert!(paced.first_burst <= MAX_FIRST_BURST, "{paced:?}");
    assert!(paced.idle <= MAX_IDLE, "{paced:?}");
}

/// Guards against a pace that ends at the slots although the group has become slow again.
#[rstest]
fn group_that_falls_back_is_not_flooded(#[values(9, 71)] nodes: usize) {
    let [unlimited, paced] = [Limit::Slots, Limit::Pace].map(|limit| {
        let cold = Duration::from_secs(4);
        run(Scenario { relapse: 1.0..4.0, ..Scenario::new(nodes, limit, cold, 1) })
    });
    assert!(failed(&paced) < failed(&unlimited), "{paced:?}");
    assert!(paced.slowest <= ABANDONED_AFTER && paced.slowest < unlimited.slowest, "{paced:?}");
}

#[rstest]
#[case::peers_vanish(30, false)]
#[case::node_starts(0, true)]
fn pace_goes_on_when_nodes_come_and_go(
    #[values(9, 71)] nodes: usize,
    #[case] lost: usize,
    #[case] restart: bool,
) {
    let lost_nodes = lost * nodes / 71;
    let cold = Duration::from_secs(4);
    let paced = run(Scenario { lost_nodes, restart, ..Scenario::new(nodes, Limit::Pace, cold, 1) });
    assert!(paced.first_burst <= MAX_FIRST_BURST, "{paced:?}");
    assert!(paced.idle <= MAX_IDLE, "{paced:?}");
}
