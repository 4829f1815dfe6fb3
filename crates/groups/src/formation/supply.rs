//! Number of instances that each model of a service has, relative to its share of the work.

use {
    super::ClusterView,
    crate::{
        partition::ModelProfiles,
        plan::{Plan, PlannedGroup},
    },
    std::collections::BTreeMap,
    turmerictack_model::ids::{ModelId, ServiceId},
};

/// Number of instances and share of the work, by model.
#[derive(Clone, Debug)]
pub(super) struct ModelSupply {
    instances: BTreeMap<ModelId, usize>,
    shares: BTreeMap<ModelId, f64>,
}

impl ModelSupply {
    /// Creates the supply of a service without any instances.
    pub(super) fn new(profiles: &ModelProfiles) -> Self {
        let share = |work_share: f64| work_share.max(f64::MIN_POSITIVE);
        let shares =
            profiles.iter().map(|(model, p)| (model.clone(), share(p.work_share))).collect();
        Self { instances: BTreeMap::new(), shares }
    }

    /// Adds the planned groups of a service that are not retiring. Groups with a missing or
    /// unreachable member, or in an evacuated data centre, do not serve, so they are left out too.
    pub(super) fn with_planned_groups(
        mut self,
        service: &ServiceId,
        view: &ClusterView,
        plan: &Plan,
    ) -> Self {
        let stays = |g: &&PlannedGroup| {
            let all_reachable = g.members.iter().all(|id| view.reachable(id).is_some());
            g.service == *service && !g.retiring && all_reachable && !view.is_group_evacuated(g)
        };
        for group in plan.groups.values().filter(stays) {
            self.add(&group.model, group.members.len());
        }
        self
    }

    pub(super) fn add(&mut self, model: &ModelId, count: usize) {
        *self.instances.entry(model.clone()).or_default() += count;
    }

    /// Number of instances that a model has, divided by its share of the work.
    pub(super) fn per_share(&self, model: &ModelId) -> f64 {
        let instances = self.instances.get(model).copied().unwrap_or(0) as f64;
        self.shares.get(model).map_or(f64::INFINITY, |share| instances / share)
    }

    /// Models, the one with the fewest instances per share first.
    pub(super) fn models_by_need(&self) -> Vec<ModelId> {
        let mut models: Vec<ModelId> = self.shares.keys().cloned().collect();
        models.sort_by(|a, b| self.per_share(a).total_cmp(&self.per_share(b)));
        models
    }
}
