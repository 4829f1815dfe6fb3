//! Selects the groups to form from free instances, and the weights to load onto the others.
//!
//! Each fabric domain has a preferred model, so that the remaining members of its broken groups can
//! form new groups without loading weights.

use {
    super::{
        Actions, ClusterView, EngineInstance, GroupPlanner, ModelsByService,
        supply::{ModelProfiles, ModelSupply},
    },
    crate::plan::Plan,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Instant,
    },
    turmerictack_model::ids::{FabricDomain, InstanceId, ModelId, ServiceId},
};

/// State of an instance for a model, from the shortest to the longest time to join a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Warmth {
    /// The instance ran the model in its last group.
    Hot,
    /// The host has the weights.
    Warm,
    /// The weights have to be loaded.
    Cold,
}

/// Instances of one service in one fabric domain.
type ServiceDomain = (ServiceId, FabricDomain);

/// What decides which weights to load.
struct LoadPlanning<'a> {
    profiles: &'a ModelProfiles,
    preferences: &'a BTreeMap<ServiceDomain, ModelId>,
    reserves: &'a BTreeMap<ServiceDomain, SpareReserve>,
}

/// Instances of a domain to keep as spares of its preferred model.
///
/// The loss of one member idles all others of a group until a spare replaces it. One spare for each
/// group is therefore worth more than a smaller group of another model.
struct SpareReserve {
    preferred: ModelId,
    group_size: usize,
    spares: usize,
}

impl SpareReserve {
    /// Whether `free` instances are enough for a group of a model and the spares.
    fn allows_group(&self, model: &ModelId, size: usize, free: usize) -> bool {
        *model == self.preferred || size >= self.group_size || free >= size + self.spares
    }
}

impl GroupPlanner {
    /// Adds groups to the plan, and plans loads for the groups that can't be formed yet.
    pub(super) fn form_groups(
        &mut self,
        now: Instant,
        models: &ModelsByService,
        view: &ClusterView,
        plan: &mut Plan,
        actions: &mut Actions,
    ) {
        let preferences = self.preferred_models(models, view, plan);
        let free = self.free_instances(now, view, plan, actions);
        for (service, profiles) in models {
            let mut domains: BTreeMap<&ServiceDomain, BTreeSet<InstanceId>> = free
                .iter()
                .filter(|((s, _), _)| s == service)
                .map(|(domain, ids)| (domain, ids.clone()))
                .collect();
            let mut supply = ModelSupply::new(profiles).with_planned_groups(service, view, plan);
            let reserves = spare_reserves(service, profiles, view, &preferences, plan);
            for (domain, free) in &mut domains {
                let reserve = reserves.get(*domain);
                while let Some((model, members)) =
                    self.next_formable_group(view, profiles, &supply, reserve, free)
                {
                    remove_all(free, &members);
                    supply.add(&model, members.len());
                    plan.add_group(service.clone(), model, members);
                }
            }
            let limits = LoadPlanning { profiles, preferences: &preferences, reserves: &reserves };
            self.plan_loads(now, view, &limits, supply, domains, plan);
        }
    }

    /// Preferred model of each domain: the one that most of its instances run or have loaded, or
    /// else the model with the fewest instances per share.
    fn preferred_models(
        &self,
        models: &ModelsByService,
        view: &ClusterView,
        plan: &Plan,
    ) -> BTreeMap<ServiceDomain, ModelId> {
        let planned: BTreeMap<&InstanceId, &ModelId> =
            plan.groups.values().flat_map(|g| g.members.iter().map(|id| (id, &g.model))).collect();
        let mut scores: BTreeMap<ServiceDomain, BTreeMap<ModelId, usize>> = BTreeMap::new();
        let mut instance_counts: BTreeMap<ServiceDomain, usize> = BTreeMap::new();
        for (id, engine) in &view.engines {
            let Some(profiles) = models.get(&engine.service) else { continue };
            let domain = (engine.service.clone(), engine.domain.clone());
            *instance_counts.entry(domain.clone()).or_default() += 1;
            let scores = scores.entry(domain).or_default();
            for model in profiles.keys() {
                let serves = planned.get(id) == Some(&model);
                let is_warm = self.warmth(id, engine, model) != Warmth::Cold
                    || self.loads.loading_model(id) == Some(model);
                let score = 2 * usize::from(serves) + usize::from(is_warm);
                *scores.entry(model.clone()).or_default() += score;
            }
        }
        let mut preferences = BTreeMap::new();
        let mut supplies: BTreeMap<&ServiceId, ModelSupply> = BTreeMap::new();
        let has_score = |domain: &ServiceDomain| scores[domain].values().any(|score| *score > 0);
        let (scored, unscored): (Vec<&ServiceDomain>, Vec<&ServiceDomain>) =
            instance_counts.keys().partition(|domain| has_score(domain));
        for domain in scored.into_iter().chain(unscored) {
            let supply =
                supplies.entry(&domain.0).or_insert_with(|| ModelSupply::new(&models[&domain.0]));
            let by_need = supply.models_by_need();
            let score = |model: &ModelId| scores[domain].get(model).copied().unwrap_or(0);
            // `max_by_key` returns the last maximum, so the model with the greatest need goes last.
            let Some(model) = by_need.into_iter().rev().max_by_key(score) else { continue };
            supply.add(&model, instance_counts[domain]);
            preferences.insert(domain.clone(), model);
        }
        preferences
    }

    /// Instances that belong to no group, by domain; instances in a group that is not in the plan
    /// are ordered to leave it.
    fn free_instances(
        &mut self,
        now: Instant,
        view: &ClusterView,
        plan: &Plan,
        actions: &mut Actions,
    ) -> BTreeMap<ServiceDomain, BTreeSet<InstanceId>> {
        let planned: BTreeSet<&InstanceId> =
            plan.groups.values().flat_map(|g| &g.members).collect();
        let mut free: BTreeMap<ServiceDomain, BTreeSet<InstanceId>> = BTreeMap::new();
        for (id, engine) in &view.engines {
            if engine.leaving || planned.contains(id) || view.unreachable.contains(id) {
                continue;
            }
            if !self.has_left_other_groups(now, id, engine, "", actions) {
                continue;
            }
            let domain = (engine.service.clone(), engine.domain.clone());
            free.entry(domain).or_default().insert(id.clone());
        }
        free
    }

    /// Group of the model with the greatest need that the free instances of a domain can form
    /// without a load.
    fn next_formable_group(
        &self,
        view: &ClusterView,
        profiles: &ModelProfiles,
        supply: &ModelSupply,
        reserve: Option<&SpareReserve>,
        free: &BTreeSet<InstanceId>,
    ) -> Option<(ModelId, Vec<InstanceId>)> {
        supply.models_by_need().into_iter().find_map(|model| {
            let size = profiles[&model].group_size;
            if reserve.is_some_and(|r| !r.allows_group(&model, size, free.len())) {
                return None;
            }
            let mut warm: Vec<(Warmth, &InstanceId)> = free
                .iter()
                .filter_map(|id| Some((self.warmth(id, view.engines.get(id)?, &model), id)))
                .filter(|(warmth, _)| *warmth != Warmth::Cold)
                .collect();
            warm.sort_unstable();
            let members: Vec<InstanceId> =
                warm.into_iter().take(size).map(|(_, id)| id.clone()).collect();
            (members.len() == size).then_some((model, members))
        })
    }

    /// Plans loads: first for whole groups, in order of need, then for spare instances.
    fn plan_loads(
        &mut self,
        now: Instant,
        view: &ClusterView,
        limits: &LoadPlanning<'_>,
        mut supply: ModelSupply,
        mut domains: BTreeMap<&ServiceDomain, BTreeSet<InstanceId>>,
        plan: &mut Plan,
    ) {
        while let Some((domain, model, members)) =
            self.next_loadable_group(view, limits, &supply, &domains)
        {
            if !self.plan_missing_loads(now, view, &model, &members, plan) {
                return;
            }
            if let Some(free) = domains.get_mut(&domain) {
                remove_all(free, &members);
            }
            supply.add(&model, members.len());
        }
        for (domain, free) in domains {
            let Some(model) = limits.preferences.get(domain) else { continue };
            let spares: Vec<InstanceId> =
                free.into_iter().filter(|id| self.loads.loading_model(id).is_none()).collect();
            if !self.plan_missing_loads(now, view, model, &spares, plan) {
                return;
            }
        }
    }

    /// Plans loads for the members that lack the weights; returns `false` if the limits allow no
    /// more loads now.
    fn plan_missing_loads(
        &mut self,
        now: Instant,
        view: &ClusterView,
        model: &ModelId,
        members: &[InstanceId],
        plan: &mut Plan,
    ) -> bool {
        for id in members {
            let Some(engine) = view.engines.get(id) else { continue };
            let is_cold = self.warmth(id, engine, model) == Warmth::Cold;
            if !is_cold || self.loads.loading_model(id) == Some(model) {
                continue;
            }
            if !self.loads.try_start(now, id, model, plan) {
                return false;
            }
        }
        true
    }

    /// Group of the model with the greatest need that free instances can form after loads.
    ///
    /// The domain must prefer that model, or have too few free instances for a group of its
    /// preferred model, of which there must be more instances per share.
    fn next_loadable_group<'a>(
        &self,
        view: &ClusterView,
        limits: &LoadPlanning<'_>,
        supply: &ModelSupply,
        domains: &BTreeMap<&'a ServiceDomain, BTreeSet<InstanceId>>,
    ) -> Option<(&'a ServiceDomain, ModelId, Vec<InstanceId>)> {
        for model in supply.models_by_need() {
            let size = limits.profiles[&model].group_size;
            for (domain, free) in domains {
                let Some(preferred) = limits.preferences.get(*domain) else { continue };
                let fits_preferred = free.len() >= limits.profiles[preferred].group_size;
                let is_scarcer = supply.per_share(&model) < supply.per_share(preferred);
                if *preferred != model && (fits_preferred || !is_scarcer) {
                    continue;
                }
                let reserve = limits.reserves.get(*domain);
                if reserve.is_some_and(|r| !r.allows_group(&model, size, free.len())) {
                    continue;
                }
                if let Some(members) = self.loadable_members(view, &model, size, free) {
                    return Some((domain, model, members));
                }
            }
        }
        None
    }

    /// Members for a group that may need loads: instances that have the weights are preferred, then
    /// those that are loading them. Instances without the weights that are loading another model are
    /// left out.
    fn loadable_members(
        &self,
        view: &ClusterView,
        model: &ModelId,
        size: usize,
        free: &BTreeSet<InstanceId>,
    ) -> Option<Vec<InstanceId>> {
        let mut candidates: Vec<(Warmth, bool, &InstanceId)> = free
            .iter()
            .filter_map(|id| {
                let warmth = self.warmth(id, view.engines.get(id)?, model);
                let loading = self.loads.loading_model(id);
                let loads_other = loading.is_some_and(|m| m != model);
                if loads_other && warmth == Warmth::Cold {
                    return None;
                }
                Some((warmth, loading != Some(model), id))
            })
            .collect();
        candidates.sort_unstable();
        let members: Vec<InstanceId> =
            candidates.into_iter().take(size).map(|(.., id)| id.clone()).collect();
        (members.len() == size).then_some(members)
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

fn remove_all(free: &mut BTreeSet<InstanceId>, members: &[InstanceId]) {
    for id in members {
        free.remove(id);
    }
}

/// Spares to keep in each domain of a service: one for each group of the preferred model that the
/// domain can have.
fn spare_reserves(
    service: &ServiceId,
    profiles: &ModelProfiles,
    view: &ClusterView,
    preferences: &BTreeMap<ServiceDomain, ModelId>,
    plan: &Plan,
) -> BTreeMap<ServiceDomain, SpareReserve> {
    let models: BTreeMap<&InstanceId, &ModelId> =
        plan.groups.values().flat_map(|g| g.members.iter().map(|id| (id, &g.model))).collect();
    let mut reserves = BTreeMap::new();
    for (domain, preferred) in preferences.iter().filter(|((s, _), _)| s == service) {
        let is_available = |(id, engine): &(&InstanceId, &EngineInstance)| {
            engine.service == domain.0
                && engine.domain == domain.1
                && !engine.leaving
                && !view.unreachable.contains(*id)
                && models.get(id).is_none_or(|model| *model == preferred)
        };
        let available = view.engines.iter().filter(is_available).count();
        let group_size = profiles[preferred].group_size;
        let reserve = SpareReserve {
            preferred: preferred.clone(),
            group_size,
            spares: available / group_size.max(1),
        };
        reserves.insert(domain.clone(), reserve);
    }
    reserves
}
