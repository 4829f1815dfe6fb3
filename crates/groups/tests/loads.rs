//! How many loads of weights begin, before and after the first request.

mod fabric;

use {
    fabric::{Fabric, LOAD, STALL},
    rstest::rstest,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    turmerictack_groups::{
        formation::{Formation, LoadLimits, ModelProfile, Models, Order, View},
        plan::Plan,
    },
};

const STEP: Duration = Duration::from_millis(100);
const LIMITS: LoadLimits = LoadLimits { per_second: 2.0, at_once: 7 };
/// Loads that the rate allows in its window of five seconds.
const MOST_IN_WINDOW: usize = 10;

/// Loads that begin within five seconds among 60 instances that have none.
fn loads_begun(has_traffic: bool) -> usize {
    let start = Instant::now();
    let mut fabric = Fabric::new(6, 10);
    let mut formation = Formation::new(STALL, LIMITS);
    let mut plan = Plan::default();
    let large = ModelProfile { size: 4, share: 1.0, load: LOAD };
    let models: Models =
        BTreeMap::from([("models".to_owned(), BTreeMap::from([("large".to_owned(), large)]))]);
    while fabric.now < Duration::from_secs(5) {
        fabric.advance(STEP);
        let view = View { engines: fabric.listed(), has_traffic, ..View::default() };
        let steps = formation.step(start + fabric.now, &models, &view, &plan);
        for (id, _, order) in steps.orders {
            let result = fabric.apply(&id, &order);
            formation.answered(start + fabric.now, &id, &order, result);
            if matches!(order, Order::Stage { .. }) {
                assert!(plan.loads.contains_key(&id), "ordered before it was written");
            }
        }
        plan = steps.replace.unwrap_or(plan);
    }
    fabric.load_starts.len()
}

#[rstest]
fn loads_keep_to_the_rate_once_callers_send_requests() {
    let begun = loads_begun(true);
    assert!((1..=MOST_IN_WINDOW).contains(&begun), "{begun} loads");
}

#[rstest]
fn loads_before_the_first_request_are_not_held_to_the_rate() {
    let begun = loads_begun(false);
    assert!(begun > MOST_IN_WINDOW, "{begun} loads");
}
