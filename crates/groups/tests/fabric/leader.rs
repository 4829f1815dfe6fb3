//! A leader that is never replaced, and whose orders arrive at once.

use {
    super::{ENGINE_TIMES, LOAD_TIME, SimulatedCluster, data_centre_of},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    turmerictack_groups::{
        formation::{
            ClusterView, Departures, EngineInstance, GroupPlanner, LoadLimits, ModelProfile,
            ModelsByService, Order, OrderResult, Phase,
        },
        plan::Plan,
    },
    turmerictack_model::ids::{DataCentre, InstanceId},
};

/// Time between two planning steps.
pub const STEP: Duration = Duration::from_millis(100);
const LIMITS: LoadLimits = LoadLimits { per_second: 5.0, concurrent: 20 };

/// The leader, which reads the list of instances and plans groups in each step.
pub struct Leader {
    start: Instant,
    pub cluster: SimulatedCluster,
    planner: GroupPlanner,
    departures: Departures,
    confirmed_at: Option<Instant>,
    pub plan: Plan,
    pub models: ModelsByService,
    pub has_traffic: bool,
    pub evacuated: BTreeSet<DataCentre>,
    /// Instances that get no orders of the leader.
    pub cut_off: BTreeSet<InstanceId>,
    /// Whether the list is confirmed in each step; it is not while the store does not answer.
    pub is_list_confirmed: bool,
    /// Instances that the platform no longer lists, but that are kept since they may appear again.
    pub unlisted: BTreeMap<InstanceId, EngineInstance>,
    /// Instances of which the leader has only an earlier entry.
    pub stale: BTreeMap<InstanceId, EngineInstance>,
    /// Instances that do not answer probes.
    pub unreachable: BTreeSet<InstanceId>,
    /// Orders that were sent, each with the data centre of its instance.
    pub orders: Vec<(DataCentre, Order)>,
}

impl Leader {
    pub fn new(cluster: SimulatedCluster, large_size: usize) -> Self {
        let profile =
            |group_size| ModelProfile { group_size, work_share: 0.5, load_time: LOAD_TIME };
        let models = [("large".to_owned(), profile(large_size)), ("small".to_owned(), profile(2))];
        Self {
            start: Instant::now(),
            cluster,
            planner: GroupPlanner::new(ENGINE_TIMES, LIMITS),
            departures: Departures::default(),
            confirmed_at: None,
            plan: Plan::default(),
            models: BTreeMap::from([("models".to_owned(), BTreeMap::from(models))]),
            has_traffic: true,
            evacuated: BTreeSet::new(),
            cut_off: BTreeSet::new(),
            is_list_confirmed: true,
            unlisted: BTreeMap::new(),
            stale: BTreeMap::new(),
            unreachable: BTreeSet::new(),
            orders: Vec::new(),
        }
    }

    pub fn run_for(&mut self, time: Duration) {
        let until = self.cluster.now + time;
        while self.cluster.now < until {
            self.cluster.advance(STEP);
            let now = self.start + self.cluster.now;
            let mut listed = self.cluster.listed();
            listed.extend(self.unlisted.clone());
            listed.extend(self.stale.clone());
            if self.is_list_confirmed {
                self.confirmed_at = Some(now);
            }
            for (id, engine) in &listed {
                let group = engine.membership.as_ref().map(|m| &m.group);
                self.departures.observe(now, id, engine.started, group);
            }
            let view = ClusterView {
                engines: listed,
                unreachable: self.unreachable.clone(),
                incomplete_since: self.departures.by_group(),
                has_traffic: self.has_traffic,
                evacuated: self.evacuated.clone(),
                confirmed_at: self.confirmed_at,
                unlisted: self.unlisted.keys().cloned().collect(),
                ..ClusterView::default()
            };
            let actions = self.planner.next_actions(now, &self.models, &view, &self.plan);
            for (id, _, order) in actions.orders {
                let data_centre = data_centre_of(&self.cluster.engines[&id].domain);
                self.orders.push((data_centre, order.clone()));
                let engine = &self.cluster.engines[&id];
                let result = if self.cut_off.contains(&id) {
                    OrderResult::Unanswered
                } else if engine.is_listening(self.cluster.now) {
                    self.cluster.apply(&id, &order)
                } else if engine.closes_listener_at.is_some() || engine.down_until.is_some() {
                    OrderResult::Refused
                } else {
                    OrderResult::Unanswered
                };
                self.planner.record_result(now, &id, &order, result);
            }
            self.plan = actions.new_plan.unwrap_or(std::mem::take(&mut self.plan));
        }
    }

    /// Open groups of a model, by head.
    pub fn open_groups(&self, model: &str) -> Vec<InstanceId> {
        let heads = self.plan.groups.values().filter(|g| g.model == model).map(|g| &g.members[0]);
        let is_open = |id: &&InstanceId| {
            let member = self.cluster.engines[*id].member.as_ref();
            member.is_some_and(|m| m.phase == Phase::Open)
        };
        heads.filter(is_open).cloned().collect()
    }
}
