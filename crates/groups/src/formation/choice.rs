//! Which groups to form from free instances, and what to load onto the others.
//!
//! Each fabric domain prefers one model, so that the survivors of its broken groups can form new
//! ones among themselves without a load.

use {
    super::{
        EngineInstance, Formation, Models, Steps, View,
        balance::{Balance, Profiles},
    },
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

type Domain = (ServiceId, FabricDomain);

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
        let preferences = self.preferences(models, view, plan);
        let free = self.free(now, view, plan, steps);
        for (service, profiles) in models {
            let mut domains: BTreeMap<&Domain, BTreeSet<InstanceId>> = free
                .iter()
                .filter(|((s, _), _)| s == service)
                .map(|(domain, ids)| (domain, ids.clone()))
                .collect();
            let mut balance = Balance::new(profiles).with_plan(service, view, plan);
            for free in domains.values_mut() {
                while let Some((model, members)) = self.formable(view, profiles, &balance, free) {
                    take(free, &members);
                    balance.add(&model, members.len());
                    plan.add(service.clone(), model, members);
                }
            }
            self.load(now, view, profiles, &preferences, balance, domains, plan);
        }
    }

    /// Model that each domain is for: the one that it has most of, or else the scarcest.
    fn preferences(&self, models: &Models, view: &View, plan: &Plan) -> BTreeMap<Domain, ModelId> {
        let planned: BTreeMap<&InstanceId, &ModelId> =
            plan.groups.values().flat_map(|g| g.members.iter().map(|id| (id, &g.model))).collect();
        let mut strength: BTreeMap<Domain, BTreeMap<ModelId, usize>> = BTreeMap::new();
        let mut size: BTreeMap<Domain, usize> = BTreeMap::new();
        for (id, engine) in &view.engines {
            let Some(profiles) = models.get(&engine.service) else { continue };
            let domain = (engine.service.clone(), engine.domain.clone());
            *size.entry(domain.clone()).or_default() += 1;
            let strength = strength.entry(domain).or_default();
            for model in profiles.keys() {
                let serves = planned.get(id) == Some(&model);
                let is_warm = self.warmth(id, engine, model) != Warmth::Cold
                    || self.loads.running(id) == Some(model);
                let points = 2 * usize::from(serves) + usize::from(is_warm);
                *strength.entry(model.clone()).or_default() += points;
            }
        }
        let mut preferences = BTreeMap::new();
        let mut balances: BTreeMap<&ServiceId, Balance> = BTreeMap::new();
        let is_settled = |domain: &Domain| strength[domain].values().any(|points| *points > 0);
        let (settled, open): (Vec<&Domain>, Vec<&Domain>) =
            size.keys().partition(|domain| is_settled(domain));
        for domain in settled.into_iter().chain(open) {
            let balance =
                balances.entry(&domain.0).or_insert_with(|| Balance::new(&models[&domain.0]));
            let scarcest = balance.by_need();
            let points = |model: &ModelId| strength[domain].get(model).copied().unwrap_or(0);
            // The last of several greatest ones wins, so the scarcest goes last.
            let Some(model) = scarcest.into_iter().rev().max_by_key(points) else { continue };
            balance.add(&model, size[domain]);
            preferences.insert(domain.clone(), model);
        }
        preferences
    }

    /// Instances that belong to no group; one that serves outside the plan is told to leave.
    fn free(
        &mut self,
        now: Instant,
        view: &View,
        plan: &Plan,
        steps: &mut Steps,
    ) -> BTreeMap<Domain, BTreeSet<InstanceId>> {
        let planned: BTreeSet<&InstanceId> =
            plan.groups.values().flat_map(|g| &g.members).collect();
        let mut free: BTreeMap<Domain, BTreeSet<InstanceId>> = BTreeMap::new();
        for (id, engine) in &view.engines {
            if engine.leaving || planned.contains(id) || view.unreachable.contains(id) {
                continue;
            }
            if !self.is_out_of_others(now, id, engine, "", steps) {
                continue;
            }
            let domain = (engine.service.clone(), engine.domain.clone());
            free.entry(domain).or_default().insert(id.clone());
        }
        free
    }

    /// The scarcest group that the free instances of a domain can form without a load.
    fn formable(
        &self,
        view: &View,
        profiles: &Profiles,
        balance: &Balance,
        free: &BTreeSet<InstanceId>,
    ) -> Option<(ModelId, Vec<InstanceId>)> {
        balance.by_need().into_iter().find_map(|model| {
            let size = profiles[&model].size;
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

    /// Loads weights: whole groups for the scarcest model first, then spares.
    #[allow(clippy::too_many_arguments, reason = "the parts of one decision")]
    fn load(
        &mut self,
        now: Instant,
        view: &View,
        profiles: &Profiles,
        preferences: &BTreeMap<Domain, ModelId>,
        mut balance: Balance,
        mut domains: BTreeMap<&Domain, BTreeSet<InstanceId>>,
        plan: &mut Plan,
    ) {
        while let Some((domain, model, members)) =
            self.loadable(view, profiles, preferences, &balance, &domains)
        {
            if !self.load_all(now, view, &model, &members, plan) {
                return;
            }
            if let Some(free) = domains.get_mut(&domain) {
                take(free, &members);
            }
            balance.add(&model, members.len());
        }
        for (domain, free) in domains {
            let Some(model) = preferences.get(domain) else { continue };
            let spares: Vec<InstanceId> =
                free.into_iter().filter(|id| self.loads.running(id).is_none()).collect();
            if !self.load_all(now, view, model, &spares, plan) {
                return;
            }
        }
    }

    /// Plans the loads that members lack; `false` when no more may begin now.
    fn load_all(
        &mut self,
        now: Instant,
        view: &View,
        model: &ModelId,
        members: &[InstanceId],
        plan: &mut Plan,
    ) -> bool {
        for id in members {
            let Some(engine) = view.engines.get(id) else { continue };
            let is_cold = self.warmth(id, engine, model) == Warmth::Cold;
            if !is_cold || self.loads.running(id) == Some(model) {
                continue;
            }
            if !self.loads.begin(now, id, model, plan) {
                return false;
            }
        }
        true
    }

    /// The scarcest group that free instances could form after loads, in a domain that prefers
    /// its model, or can't form a group of the model that it prefers and that is not as scarce.
    fn loadable<'a>(
        &self,
        view: &View,
        profiles: &Profiles,
        preferences: &BTreeMap<Domain, ModelId>,
        balance: &Balance,
        domains: &BTreeMap<&'a Domain, BTreeSet<InstanceId>>,
    ) -> Option<(&'a Domain, ModelId, Vec<InstanceId>)> {
        for model in balance.by_need() {
            for (domain, free) in domains {
                let Some(preferred) = preferences.get(*domain) else { continue };
                let fits_preferred = free.len() >= profiles[preferred].size;
                let is_scarcer = balance.relative(&model) < balance.relative(preferred);
                if *preferred != model && (fits_preferred || !is_scarcer) {
                    continue;
                }
                if let Some(members) = self.loadable_in(view, &model, profiles[&model].size, free) {
                    return Some((domain, model, members));
                }
            }
        }
        None
    }

    fn loadable_in(
        &self,
        view: &View,
        model: &ModelId,
        size: usize,
        free: &BTreeSet<InstanceId>,
    ) -> Option<Vec<InstanceId>> {
        let mut candidates: Vec<(Warmth, bool, &InstanceId)> = free
            .iter()
            .filter_map(|id| {
                let warmth = self.warmth(id, view.engines.get(id)?, model);
                let loads = self.loads.running(id);
                let loads_other = loads.is_some_and(|m| m != model);
                if loads_other && warmth == Warmth::Cold {
                    return None;
                }
                Some((warmth, loads != Some(model), id))
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

fn take(free: &mut BTreeSet<InstanceId>, members: &[InstanceId]) {
    for id in members {
        free.remove(id);
    }
}
