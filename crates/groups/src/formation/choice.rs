//! Which groups to form from free instances, and what to load onto the others.

use {
    super::{EngineInstance, Formation, ModelProfile, Models, Order, Phase, Steps, View},
    crate::plan::Plan,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Instant,
    },
    turmerictack_model::ids::{FabricDomain, InstanceId, ModelId, ServiceId},
};

/// How fast an instance can join a group of a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Warmth {
    /// Its last group ran the model.
    Hot,
    /// Its host has the weights.
    Warm,
    /// The weights have to be loaded.
    Cold,
}

type FreeByDomain = BTreeMap<(ServiceId, FabricDomain), BTreeSet<InstanceId>>;

impl Formation {
    /// Adds groups to the plan, and orders loads for what can't be formed yet.
    pub(super) fn choose(
        &mut self,
        now: Instant,
        models: &Models,
        view: &View,
        plan: &mut Plan,
        steps: &mut Steps,
    ) {
        let mut assigned = assigned(plan);
        let mut free_by_domain = self.free(now, view, plan, steps);
        for ((service, _), free) in &mut free_by_domain {
            let Some(profiles) = models.get(service) else { continue };
            while let Some((model, members)) = self.formable(view, profiles, &assigned, free) {
                for id in &members {
                    free.remove(id);
                }
                *assigned.entry(model.clone()).or_default() += members.len();
                plan.add(service.clone(), model, members);
            }
        }
        for ((service, _), free) in &mut free_by_domain {
            let Some(profiles) = models.get(service) else { continue };
            self.load_domain(now, view, profiles, &mut assigned, free, steps);
        }
    }

    /// Instances that belong to no group; one that serves outside the plan is told to leave.
    fn free(&mut self, now: Instant, view: &View, plan: &Plan, steps: &mut Steps) -> FreeByDomain {
        let planned: BTreeSet<&InstanceId> =
            plan.groups.values().flat_map(|g| &g.members).collect();
        let mut free = FreeByDomain::new();
        for (id, engine) in &view.engines {
            if engine.leaving || planned.contains(id) || view.unreachable.contains(id) {
                continue;
            }
            if let Some(stray) = engine.membership.as_ref()
                && stray.rank == 0
                && matches!(stray.phase, Phase::Open | Phase::Closing)
            {
                let order = Order::Leave { group: stray.group.clone(), epoch: stray.epoch };
                self.give(now, id, engine, order, steps);
                continue;
            }
            let key = (engine.service.clone(), engine.domain.clone());
            free.entry(key).or_default().insert(id.clone());
        }
        free
    }

    /// The group that is needed most of those that need no load.
    fn formable(
        &self,
        view: &View,
        profiles: &BTreeMap<ModelId, ModelProfile>,
        assigned: &BTreeMap<ModelId, usize>,
        free: &BTreeSet<InstanceId>,
    ) -> Option<(ModelId, Vec<InstanceId>)> {
        for model in by_need(profiles, assigned) {
            let size = profiles[&model].size;
            let mut warm: Vec<(Warmth, &InstanceId)> = free
                .iter()
                .filter_map(|id| Some((self.warmth(id, view.engines.get(id)?, &model), id)))
                .filter(|(warmth, _)| *warmth != Warmth::Cold)
                .collect();
            if warm.len() >= size {
                warm.sort_unstable();
                let members = warm.into_iter().take(size).map(|(_, id)| id.clone()).collect();
                return Some((model, members));
            }
        }
        None
    }

    /// Loads weights so that the free instances of a domain can form groups.
    fn load_domain(
        &mut self,
        now: Instant,
        view: &View,
        profiles: &BTreeMap<ModelId, ModelProfile>,
        assigned: &mut BTreeMap<ModelId, usize>,
        free: &mut BTreeSet<InstanceId>,
        steps: &mut Steps,
    ) {
        while let Some((model, members)) = self.loadable(view, profiles, assigned, free) {
            for id in &members {
                free.remove(id);
                let Some(engine) = view.engines.get(id) else { continue };
                let is_cold = self.warmth(id, engine, &model) == Warmth::Cold;
                if !is_cold || self.loads.running(id) == Some(&model) {
                    continue;
                }
                if !self.loads.begin(now, id, &model) {
                    return;
                }
                let order = Order::Stage { model: model.clone() };
                steps.orders.push((id.clone(), engine.address.clone(), order));
            }
            *assigned.entry(model).or_default() += members.len();
        }
    }

    /// The group that is needed most of those that free instances could form after loads.
    fn loadable(
        &self,
        view: &View,
        profiles: &BTreeMap<ModelId, ModelProfile>,
        assigned: &BTreeMap<ModelId, usize>,
        free: &BTreeSet<InstanceId>,
    ) -> Option<(ModelId, Vec<InstanceId>)> {
        for model in by_need(profiles, assigned) {
            let size = profiles[&model].size;
            let mut candidates: Vec<(bool, Warmth, &InstanceId)> = free
                .iter()
                .filter_map(|id| {
                    let warmth = self.warmth(id, view.engines.get(id)?, &model);
                    let loads = self.loads.running(id);
                    if loads.is_some_and(|m| *m != model) && warmth == Warmth::Cold {
                        return None;
                    }
                    Some((loads != Some(&model), warmth, id))
                })
                .collect();
            if candidates.len() >= size {
                candidates.sort_unstable();
                let members = candidates.into_iter().take(size).map(|(.., id)| id.clone());
                return Some((model, members.collect()));
            }
        }
        None
    }

    fn warmth(&self, id: &InstanceId, engine: &EngineInstance, model: &ModelId) -> Warmth {
        let last = self.last_models.get(id);
        if last.is_some_and(|(started, last)| *started == engine.started && last == model) {
            Warmth::Hot
        } else if engine.staged.contains(model) {
            Warmth::Warm
        } else {
            Warmth::Cold
        }
    }
}

/// Instances in planned groups, by model.
fn assigned(plan: &Plan) -> BTreeMap<ModelId, usize> {
    let mut assigned = BTreeMap::new();
    for group in plan.groups.values() {
        *assigned.entry(group.model.clone()).or_default() += group.members.len();
    }
    assigned
}

/// Models, the one with the fewest instances for its share of the work first.
fn by_need(
    profiles: &BTreeMap<ModelId, ModelProfile>,
    assigned: &BTreeMap<ModelId, usize>,
) -> Vec<ModelId> {
    let supply = |model: &ModelId| {
        let instances = assigned.get(model).copied().unwrap_or(0) as f64;
        instances / profiles[model].share.max(f64::MIN_POSITIVE)
    };
    let mut models: Vec<ModelId> = profiles.keys().cloned().collect();
    models.sort_by(|a, b| supply(a).total_cmp(&supply(b)));
    models
}
