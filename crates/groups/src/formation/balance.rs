//! How many instances each model of a service has, against its share of the work.

use {
    super::{ModelProfile, View},
    crate::plan::{Plan, PlannedGroup},
    std::collections::BTreeMap,
    turmerictack_model::ids::{ModelId, ServiceId},
};

/// Models of a service by name.
pub(super) type Profiles = BTreeMap<ModelId, ModelProfile>;

/// Instances by model in planned groups, and the share of the work that each model has.
#[derive(Clone, Debug)]
pub(super) struct Balance {
    supply: BTreeMap<ModelId, usize>,
    shares: BTreeMap<ModelId, f64>,
}

impl Balance {
    /// Nothing supplied yet.
    pub(super) fn new(profiles: &Profiles) -> Self {
        let share = |p: &ModelProfile| p.share.max(f64::MIN_POSITIVE);
        let shares = profiles.iter().map(|(model, p)| (model.clone(), share(p))).collect();
        Self { supply: BTreeMap::new(), shares }
    }

    /// Counts the groups of a service that stay; one with a silent member does not serve.
    pub(super) fn with_plan(mut self, service: &ServiceId, view: &View, plan: &Plan) -> Self {
        let stays = |g: &&PlannedGroup| {
            let is_whole = g.members.iter().all(|id| view.live(id).is_some());
            g.service == *service && !g.retiring && is_whole
        };
        for group in plan.groups.values().filter(stays) {
            self.add(&group.model, group.members.len());
        }
        self
    }

    pub(super) fn add(&mut self, model: &ModelId, instances: usize) {
        *self.supply.entry(model.clone()).or_default() += instances;
    }

    /// Instances that a model has for its share of the work.
    pub(super) fn relative(&self, model: &ModelId) -> f64 {
        let supply = self.supply.get(model).copied().unwrap_or(0) as f64;
        self.shares.get(model).map_or(f64::INFINITY, |share| supply / share)
    }

    /// Models, the worst supplied one first.
    pub(super) fn by_need(&self) -> Vec<ModelId> {
        let mut models: Vec<ModelId> = self.shares.keys().cloned().collect();
        models.sort_by(|a, b| self.relative(a).total_cmp(&self.relative(b)));
        models
    }
}
