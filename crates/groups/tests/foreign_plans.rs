//! Epochs and limits at the end of their range, which another writer has put into the store.

#![allow(clippy::unwrap_used, reason = "test helpers may panic")]

mod fabric;

use {
    fabric::{ENGINE_TIMES, LOAD_TIME, SimulatedCluster},
    rstest::rstest,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    turmerictack_groups::{
        formation::{
            ClusterView, GroupPlanner, LoadLimits, Membership, ModelProfile, ModelsByService, Phase,
        },
        partition::{DomainState, ModelProfiles, Partition, partition},
        plan::Plan,
    },
};

fn models(group_size: usize) -> ModelsByService {
    let profile = ModelProfile { group_size, work_share: 1.0, load_time: LOAD_TIME };
    BTreeMap::from([("models".to_owned(), BTreeMap::from([("large".to_owned(), profile)]))])
}

/// Guards against a group that only another writer's entries know, with epochs that nobody gave out:
/// the next epoch would be 0, and every instance refuse its orders.
#[rstest]
fn group_with_an_epoch_beyond_all_is_not_adopted(#[values(0, 1, 7)] era: u64) {
    let mut cluster = SimulatedCluster::new(1, 8);
    cluster.advance(Duration::from_secs(1));
    let mut engines = cluster.listed();
    assert_eq!(engines.len(), 8);
    for (rank, engine) in engines.values_mut().take(2).enumerate() {
        engine.models.insert("large".to_owned());
        engine.membership = Some(Membership {
            group: "group-0".to_owned(),
            epoch: u64::MAX,
            rank,
            phase: Phase::Ready,
        });
    }
    let mut plan = Plan::default().restore(era, &models(2), &engines, 12);
    assert!(plan.groups.is_empty(), "{:?}", plan.groups);
    let (_, epoch) = plan.add_group("models".to_owned(), "large".to_owned(), Vec::new());
    assert!(epoch > 12 && epoch < u64::MAX);
}

/// Limits on loads that a configuration gives as the highest number do not keep groups from forming.
#[rstest]
fn any_number_of_loads_can_be_allowed(#[values(true, false)] has_traffic: bool) {
    let start = Instant::now();
    let mut cluster = SimulatedCluster::new(2, 8);
    let limits = LoadLimits { per_second: f64::INFINITY, concurrent: usize::MAX };
    let mut planner = GroupPlanner::new(ENGINE_TIMES, limits);
    let (mut plan, models) = (Plan::default(), models(4));
    while cluster.now < Duration::from_secs(5) {
        cluster.advance(Duration::from_millis(100));
        let view = ClusterView { engines: cluster.listed(), has_traffic, ..ClusterView::default() };
        let now = start + cluster.now;
        let actions = planner.next_actions(now, &models, &view, &plan);
        for (id, _, order) in actions.orders {
            let result = cluster.apply(&id, &order);
            planner.record_result(now, &id, &order, result);
        }
        plan = actions.new_plan.unwrap_or(plan);
    }
    assert!(!cluster.load_starts.is_empty());
}

/// Guards against a domain with so many instances that its possible partitions use up the memory and
/// the processor; the groups still take nearly all of them.
#[rstest]
fn domain_of_any_size_is_divided(#[values(16, 100, 300, 2_000)] instances: usize) {
    let sizes = [("a", 1), ("b", 2), ("c", 4), ("d", 8)];
    let profile = |group_size| ModelProfile { group_size, work_share: 0.25, load_time: LOAD_TIME };
    let profiles: ModelProfiles =
        sizes.iter().map(|(name, size)| ((*name).to_owned(), profile(*size))).collect();
    let domain = DomainState { instances, ..DomainState::default() };
    let mut wanted = partition(&profiles, &BTreeMap::from([("d", domain)]));
    let groups: Partition = wanted.remove("d").unwrap();
    let members: usize =
        groups.iter().map(|(model, count)| profiles[model].group_size * count).sum();
    assert!(members <= instances && members * 4 >= instances * 3, "{groups:?}");
}
