//! Handover to another leader while a group is being retired or weights are loading.

mod fabric;

use {
    fabric::{ENGINE_TIMES, LOAD_TIME, STALL_TIMEOUT, SimulatedCluster},
    rstest::rstest,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    turmerictack_groups::{
        formation::{
            Actions, ClusterView, Departures, GroupPlanner, LoadLimits, ModelProfile,
            ModelsByService, Order, OrderResult, Phase,
        },
        plan::Plan,
    },
};

const STEP: Duration = Duration::from_millis(100);
/// Time for which the first node stays the leader after the remaining member has left.
const HANDOVER_DELAY: Duration = Duration::from_secs(2);
/// Limit from the departure of the remaining member to the removal of the group: the stall
/// timeout of the head, one second until it learns of the departure, and two planning steps.
const MAX_RETIREMENT_TIME: Duration = Duration::from_millis(5_200);

const LIMITS: LoadLimits = LoadLimits { per_second: 5.0, concurrent: 7 };
/// Loads that run at full speed, and two more so that the weight store does not idle.
const MAX_CONCURRENT_LOADS: usize = 9;

struct Node {
    planner: GroupPlanner,
    departures: Departures,
    results: Vec<(String, Order, OrderResult)>,
}

impl Node {
    fn new() -> Self {
        let planner = GroupPlanner::new(ENGINE_TIMES, LIMITS);
        Self { planner, departures: Departures::default(), results: Vec::new() }
    }

    fn observe(&mut self, now: Instant, cluster: &SimulatedCluster) {
        for (id, engine) in cluster.listed() {
            let group = engine.membership.as_ref().map(|m| &m.group);
            self.departures.observe(now, &id, engine.started, group);
        }
    }

    fn run_step(
        &mut self,
        now: Instant,
        cluster: &mut SimulatedCluster,
        plan: &mut Plan,
        models: &ModelsByService,
    ) -> usize {
        for (id, order, result) in std::mem::take(&mut self.results) {
            self.planner.record_result(now, &id, &order, result);
        }
        let view = ClusterView {
            engines: cluster.listed(),
            incomplete_since: self.departures.by_group(),
            has_traffic: true,
            ..ClusterView::default()
        };
        let Actions { new_plan, orders } = self.planner.next_actions(now, models, &view, plan);
        let sent = orders.len();
        for (id, _, order) in orders {
            let is_dead = cluster.engines[&id].removed;
            let result = if is_dead { OrderResult::Unanswered } else { cluster.apply(&id, &order) };
            self.results.push((id, order, result));
        }
        if let Some(next) = new_plan {
            *plan = next;
        }
        sent
    }
}

/// Time from the departure of the remaining member until the group is removed from the plan, after
/// its head has crashed.
fn retirement_time(changes_leader: bool) -> Duration {
    let start = Instant::now();
    let mut cluster = SimulatedCluster::new(1, 2);
    let (mut first, mut second) = (Node::new(), Node::new());
    let mut plan = Plan::default();
    plan.add_group(
        "models".to_owned(),
        "small".to_owned(),
        vec!["i0-0".to_owned(), "i0-1".to_owned()],
    );
    let mut left_at = None;
    let mut died_at = None;
    for _ in 0..300 {
        cluster.advance(STEP);
        let now = start + cluster.now;
        first.observe(now, &cluster);
        second.observe(now, &cluster);
        let is_open =
            cluster.engines["i0-0"].member.as_ref().is_some_and(|m| m.phase == Phase::Open);
        if is_open && died_at.is_none() {
            died_at = Some(cluster.now);
            cluster.crash("i0-0", None);
        }
        let has_left = cluster.engines["i0-1"].member.is_none();
        if died_at.is_some() && has_left && left_at.is_none() {
            left_at = Some(cluster.now);
        }
        let is_handed_over =
            changes_leader && left_at.is_some_and(|at| cluster.now >= at + HANDOVER_DELAY);
        let leader = if is_handed_over { &mut second } else { &mut first };
        leader.run_step(now, &mut cluster, &mut plan, &BTreeMap::new());
        if plan.groups.is_empty() {
            return cluster.now - left_at.unwrap_or_default();
        }
    }
    panic!("the group was not removed from the plan within 30 s");
}

#[rstest]
#[case::same_node(false)]
#[case::another_node(true)]
fn a_group_with_a_crashed_head_is_removed_after_the_stall_timeout(#[case] changes_leader: bool) {
    let after = retirement_time(changes_leader);
    assert!(after >= STALL_TIMEOUT && after <= MAX_RETIREMENT_TIME, "{after:?}");
}

#[rstest]
fn a_new_leader_does_not_order_additional_loads() {
    let start = Instant::now();
    let mut cluster = SimulatedCluster::new(3, 10);
    let (mut first, mut second) = (Node::new(), Node::new());
    let mut plan = Plan::default();
    let large = ModelProfile { group_size: 4, work_share: 1.0, load_time: LOAD_TIME };
    let models =
        BTreeMap::from([("models".to_owned(), BTreeMap::from([("large".to_owned(), large)]))]);
    let mut sent = [0, 0];
    for step in 0..20 {
        cluster.advance(STEP);
        let now = start + cluster.now;
        let is_handed_over = step >= 10;
        let leader = if is_handed_over { &mut second } else { &mut first };
        sent[usize::from(is_handed_over)] += leader.run_step(now, &mut cluster, &mut plan, &models);
    }
    assert!(cluster.now < LOAD_TIME);
    assert_eq!(sent, [MAX_CONCURRENT_LOADS, 0]);
}
