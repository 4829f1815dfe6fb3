//! Selects the groups to form from free instances, and the weights to load onto the others.
//!
//! [`partition`] says which groups a domain should have. They are formed when enough free instances
//! have the weights; until then, the missing weights are loaded.

use {
    super::{
        Actions, ClusterView, EngineInstance, GroupPlanner, ModelsByService, supply::ModelSupply,
    },
    crate::{
        partition::{DomainState, ModelProfiles, Partition, divide_spares, partition},
        plan::{Plan, PlannedGroup},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    turmerictack_model::ids::{DataCentre, FabricDomain, InstanceId, ModelId, ServiceId},
};

/// Time for which an instance that is gone still counts towards the size of its domain.
///
/// Most lost instances are back within this time, so the groups that a domain should have don't
/// change with each loss.
const SIZE_RETENTION: Duration = Duration::from_secs(15);

/// Time without a new instance after which the instances count as complete, before the first
/// request.
const SETTLING_TIME: Duration = Duration::from_millis(600);

/// Maximum time to wait for that.
const MAX_SETTLING_TIME: Duration = Duration::from_secs(3);

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
pub(super) type ServiceDomain = (ServiceId, FabricDomain);

/// Free instances by domain.
type FreeInstances = BTreeMap<ServiceDomain, BTreeSet<InstanceId>>;

/// Largest recent number of instances of a domain.
#[derive(Clone, Debug)]
pub(super) struct DomainSize {
    data_centre: DataCentre,
    instances: usize,
    seen_at: Instant,
}

/// Partition of the domains of a service, and the state that it was computed from.
#[derive(Debug)]
pub(super) struct KnownPartition {
    profiles: ModelProfiles,
    states: BTreeMap<ServiceDomain, DomainState>,
    wanted: BTreeMap<ServiceDomain, Partition>,
}

/// Arrival of the instances when the system starts.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrival {
    first_at: Instant,
    last_at: Instant,
}

impl Arrival {
    /// Whether more instances are expected soon.
    fn is_under_way(&self, now: Instant) -> bool {
        now < self.last_at + SETTLING_TIME && now < self.first_at + MAX_SETTLING_TIME
    }
}

/// Groups that a domain should have and those that it has.
struct DomainTarget {
    wanted: Partition,
    existing: Partition,
    size: usize,
}

impl DomainTarget {
    /// Whether the domain should have another group of a model.
    fn lacks(&self, model: &ModelId) -> bool {
        let count = |partition: &Partition| partition.get(model).copied().unwrap_or(0);
        count(&self.existing) < count(&self.wanted)
    }

    fn add(&mut self, model: &ModelId) {
        *self.existing.entry(model.clone()).or_default() += 1;
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
        self.update_domain_sizes(now, view);
        // Groups that are formed while instances are still arriving stay, although others would suit
        // the whole domains better.
        let is_arriving = self.arrival.is_some_and(|arrival| arrival.is_under_way(now));
        if is_arriving && !self.loads.has_traffic() {
            return;
        }
        let mut free = self.free_instances(now, view, plan, actions);
        for (service, profiles) in models {
            let mut targets = self.domain_targets(service, profiles, view, plan, &free);
            let mut supply = ModelSupply::new(profiles).with_planned_groups(service, view, plan);
            for (domain, target) in &mut targets {
                let Some(free) = free.get_mut(domain) else { continue };
                while let Some((model, members)) =
                    self.next_formable_group(view, profiles, &supply, target, free)
                {
                    remove_all(free, &members);
                    supply.add(&model, members.len());
                    target.add(&model);
                    plan.add_group(service.clone(), model, members);
                }
            }
            self.plan_loads(now, view, profiles, supply, targets, &mut free, plan);
        }
    }

    /// Updates the sizes of the domains from the listed instances that are not leaving; domains in
    /// evacuated data centres have none.
    fn update_domain_sizes(&mut self, now: Instant, view: &ClusterView) {
        let mut listed: BTreeMap<ServiceDomain, DomainSize> = BTreeMap::new();
        for engine in view.engines.values().filter(|e| !e.leaving && !view.is_evacuated(e)) {
            let domain = (engine.service.clone(), engine.domain.clone());
            let data_centre = engine.data_centre.clone();
            let none = DomainSize { data_centre, instances: 0, seen_at: now };
            listed.entry(domain).or_insert(none).instances += 1;
        }
        self.domain_sizes.retain(|domain, size| {
            let is_recent = listed.contains_key(domain) || now < size.seen_at + SIZE_RETENTION;
            is_recent && !view.evacuated.contains(&size.data_centre)
        });
        for (domain, current) in listed {
            let instances = current.instances;
            let size = self.domain_sizes.entry(domain).or_insert(current.clone());
            if instances > size.instances || size.seen_at == now {
                let first_at = self.arrival.map_or(now, |arrival| arrival.first_at);
                self.arrival = Some(Arrival { first_at, last_at: now });
            }
            if instances >= size.instances || now >= size.seen_at + SIZE_RETENTION {
                *size = current;
            }
        }
    }

    /// Groups that each domain of a service should have, and those that it has.
    fn domain_targets(
        &mut self,
        service: &ServiceId,
        profiles: &ModelProfiles,
        view: &ClusterView,
        plan: &Plan,
        free: &FreeInstances,
    ) -> BTreeMap<ServiceDomain, DomainTarget> {
        let mut states: BTreeMap<ServiceDomain, DomainState> = BTreeMap::new();
        for (domain, size) in self.domain_sizes.iter().filter(|((s, _), _)| s == service) {
            let state = states.entry(domain.clone()).or_default();
            state.instances = size.instances;
            for (id, model) in free
                .get(domain)
                .into_iter()
                .flatten()
                .flat_map(|id| profiles.keys().map(move |model| (id, model)))
            {
                let Some(engine) = view.engines.get(id) else { continue };
                let is_loading = self.loads.loading_model(id) == Some(model);
                if is_loading || self.warmth(id, engine, model) != Warmth::Cold {
                    *state.staged.entry(model.clone()).or_default() += 1;
                }
            }
        }
        let stays =
            |g: &&PlannedGroup| g.service == *service && !g.retiring && !view.is_group_evacuated(g);
        for group in plan.groups.values().filter(stays) {
            let domain = group.members.iter().find_map(|id| view.engines.get(id));
            let Some(domain) = domain.map(|e| (service.clone(), e.domain.clone())) else {
                continue;
            };
            let state = states.entry(domain).or_default();
            *state.groups.entry(group.model.clone()).or_default() += 1;
        }
        let known = self
            .partitions
            .remove(service)
            .filter(|known| known.profiles == *profiles && known.states == states)
            .unwrap_or_else(|| KnownPartition {
                profiles: profiles.clone(),
                wanted: partition(profiles, &states),
                states,
            });
        let target = |(domain, state): (&ServiceDomain, &DomainState)| {
            let wanted = known.wanted.get(domain).cloned().unwrap_or_default();
            let existing = state.groups.clone();
            (domain.clone(), DomainTarget { wanted, existing, size: state.instances })
        };
        let targets = known.states.iter().map(target).collect();
        self.partitions.insert(service.clone(), known);
        targets
    }

    /// Instances that belong to no group, by domain; instances in a group that is not in the plan
    /// are ordered to leave it.
    fn free_instances(
        &mut self,
        now: Instant,
        view: &ClusterView,
        plan: &Plan,
        actions: &mut Actions,
    ) -> FreeInstances {
        let planned: BTreeSet<&InstanceId> =
            plan.groups.values().flat_map(|g| &g.members).collect();
        let mut free = FreeInstances::new();
        for (id, engine) in &view.engines {
            let is_usable = !engine.leaving && !view.is_evacuated(engine);
            if !is_usable || planned.contains(id) || view.unreachable.contains(id) {
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

    /// Group that a domain should have and that its free instances can form without a load, of the
    /// model with the greatest need.
    fn next_formable_group(
        &self,
        view: &ClusterView,
        profiles: &ModelProfiles,
        supply: &ModelSupply,
        target: &DomainTarget,
        free: &BTreeSet<InstanceId>,
    ) -> Option<(ModelId, Vec<InstanceId>)> {
        supply.models_by_need().into_iter().filter(|m| target.lacks(m)).find_map(|model| {
            let size = profiles[&model].group_size;
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

    /// Plans loads: first for the groups that domains should have, in order of need, then for spare
    /// instances.
    #[allow(clippy::too_many_arguments, reason = "state of one planning step")]
    fn plan_loads(
        &mut self,
        now: Instant,
        view: &ClusterView,
        profiles: &ModelProfiles,
        mut supply: ModelSupply,
        mut targets: BTreeMap<ServiceDomain, DomainTarget>,
        free: &mut FreeInstances,
        plan: &mut Plan,
    ) {
        while let Some((domain, model, members)) =
            self.next_loadable_group(view, profiles, &supply, &targets, free)
        {
            if !self.plan_missing_loads(now, view, &model, &members, plan) {
                return;
            }
            if let Some(free) = free.get_mut(&domain) {
                remove_all(free, &members);
            }
            if let Some(target) = targets.get_mut(&domain) {
                target.add(&model);
            }
            supply.add(&model, members.len());
        }
        for (domain, target) in &targets {
            let Some(free) = free.get(domain) else { continue };
            for (model, count) in divide_spares(profiles, target.size, &target.wanted) {
                let spares = self.spares_to_load(view, &model, count, free);
                if !self.plan_missing_loads(now, view, &model, &spares, plan) {
                    return;
                }
            }
        }
    }

    /// Free instances to load a model onto, so that `count` of them have it.
    ///
    /// Only instances without any weights are taken, since a load may replace other weights.
    fn spares_to_load(
        &self,
        view: &ClusterView,
        model: &ModelId,
        count: usize,
        free: &BTreeSet<InstanceId>,
    ) -> Vec<InstanceId> {
        let has_weights = |id: &InstanceId| {
            self.loads.loading_model(id) == Some(model)
                || view
                    .engines
                    .get(id)
                    .is_some_and(|engine| self.warmth(id, engine, model) != Warmth::Cold)
        };
        let is_empty = |id: &&InstanceId| {
            self.loads.loading_model(id).is_none()
                && view.engines.get(*id).is_some_and(|engine| engine.staged.is_empty())
        };
        let present = free.iter().filter(|id| has_weights(id)).count();
        free.iter().filter(is_empty).take(count.saturating_sub(present)).cloned().collect()
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

    /// Group that a domain should have and that its free instances can form after loads, of the
    /// model with the greatest need.
    fn next_loadable_group(
        &self,
        view: &ClusterView,
        profiles: &ModelProfiles,
        supply: &ModelSupply,
        targets: &BTreeMap<ServiceDomain, DomainTarget>,
        free: &FreeInstances,
    ) -> Option<(ServiceDomain, ModelId, Vec<InstanceId>)> {
        for model in supply.models_by_need() {
            let size = profiles[&model].group_size;
            for (domain, _) in targets.iter().filter(|(_, target)| target.lacks(&model)) {
                let Some(free) = free.get(domain) else { continue };
                if let Some(members) = self.loadable_members(view, &model, size, free) {
                    return Some((domain.clone(), model, members));
                }
            }
        }
        None
    }

    /// Members for a group that may need loads: instances that have the weights are preferred, then
    /// those that are loading them, then those without any weights. Instances without the weights
    /// that are loading another model are left out.
    fn loadable_members(
        &self,
        view: &ClusterView,
        model: &ModelId,
        size: usize,
        free: &BTreeSet<InstanceId>,
    ) -> Option<Vec<InstanceId>> {
        let mut candidates: Vec<(Warmth, bool, bool, &InstanceId)> = free
            .iter()
            .filter_map(|id| {
                let engine = view.engines.get(id)?;
                let warmth = self.warmth(id, engine, model);
                let loading = self.loads.loading_model(id);
                let loads_other = loading.is_some_and(|m| m != model);
                if loads_other && warmth == Warmth::Cold {
                    return None;
                }
                let replaces_weights = warmth == Warmth::Cold && !engine.staged.is_empty();
                Some((warmth, loading != Some(model), replaces_weights, id))
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
