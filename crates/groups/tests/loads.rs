//! Number of loads of weights that start, before and after the first request.

mod fabric;

use {
    fabric::{ENGINE_TIMES, LOAD_TIME, SimulatedCluster},
    rstest::rstest,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    turmerictack_groups::{
        formation::{ClusterView, GroupPlanner, LoadLimits, ModelProfile, ModelsByService, Order},
        plan::Plan,
    },
};

const STEP: Duration = Duration::from_millis(100);
const LIMITS: LoadLimits = LoadLimits { per_second: 2.0, concurrent: 7 };
/// Number of loads that the rate limit allows in its window of five seconds.
const MAX_LOADS_IN_WINDOW: usize = 10;

/// Number of loads that start within five seconds on 60 instances without weights.
fn count_load_starts(has_traffic: bool) -> usize {
    let start = Instant::now();
    let mut cluster = SimulatedCluster::new(6, 10);
    let mut planner = GroupPlanner::new(ENGINE_TIMES, LIMITS);
    let mut plan = Plan::default();
    let large = ModelProfile { group_size: 4, work_share: 1.0, load_time: LOAD_TIME };
    let models: ModelsByService =
        BTreeMap::from([("models".to_owned(), BTreeMap::from([("large".to_owned(), large)]))]);
    while cluster.now < Duration::from_secs(5) {
        cluster.advance(STEP);
        let view = ClusterView { engines: cluster.listed(), has_traffic, ..ClusterView::default() };
        let actions = planner.next_actions(start + cluster.now, &models, &view, &plan);
        for (id, _, order) in actions.orders {
            let result = cluster.apply(&id, &order);
            planner.record_result(start + cluster.now, &id, &order, result);
            if matches!(order, Order::Stage { .. }) {
                assert!(
                    plan.loads.contains_key(&id),
                    "load ordered before it was in the stored plan"
                );
            }
        }
        plan = actions.new_plan.unwrap_or(plan);
    }
    cluster.load_starts.len()
}

#[rstest]
fn loads_are_rate_limited_once_there_is_traffic() {
    let started = count_load_starts(true);
    assert!((1..=MAX_LOADS_IN_WINDOW).contains(&started), "{started} loads");
}

#[rstest]
fn loads_before_the_first_request_are_not_rate_limited() {
    let started = count_load_starts(false);
    assert!(started > MAX_LOADS_IN_WINDOW, "{started} loads");
}
