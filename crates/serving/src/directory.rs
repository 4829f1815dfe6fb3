//! Directory of listed instances, and the upstream pools derived from it.

use {
    crate::{config::Config, evacuations::Evacuations},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
    turmerictack_groups::formation::{Departures, EngineInstance, Membership, Phase},
    turmerictack_model::{
        digest::hash64,
        ids::{Address, DataCentre, FabricDomain, GroupId, InstanceId, ModelId, ServiceId},
    },
    turmerictack_protocol::heartbeat::UpstreamKey,
};

/// Time for which removed runs of instances are remembered; longer than the time by which a copy of
/// the store is behind, and the store's absence.
const REMOVED_RUN_MEMORY: Duration = Duration::from_secs(60);

/// State that only engine instances report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineState {
    /// Fabric domain that contains the instance.
    pub fabric_domain: FabricDomain,
    /// Models loaded and ready to serve.
    pub loaded_models: BTreeSet<ModelId>,
    /// Models whose weights are already on the instance's host.
    pub staged_models: BTreeSet<ModelId>,
    /// Group membership, if any.
    pub membership: Option<Membership>,
}

/// A listed instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Address of its listener.
    pub address: Address,
    /// Service it belongs to.
    pub service: ServiceId,
    /// Data centre it runs in.
    pub data_centre: DataCentre,
    /// Number of requests it runs concurrently.
    pub slots: u32,
    /// Whether it is about to be stopped and takes no new requests.
    pub draining: bool,
    /// Start time, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Engine state; `None` for an instance of a service without models.
    pub engine: Option<EngineState>,
}

/// Routable destination: an instance of a service without models, or the head of an open group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Instance that takes the requests.
    pub instance: InstanceId,
    /// Hash of the instance id, as used in heartbeats.
    pub key: UpstreamKey,
    /// Address of the instance's listener.
    pub address: Address,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Number of requests it runs concurrently.
    pub slots: u32,
    /// Group that the instance heads.
    pub group: Option<GroupId>,
    /// Whether a group member is missing or draining.
    pub is_incomplete: bool,
    /// Start time of the instance, in milliseconds since the Unix epoch.
    pub started_ms: u64,
}

/// Pool key: a service and, if the service runs models, a model.
pub type PoolKey = (ServiceId, Option<ModelId>);

/// Upstreams by pool.
pub type UpstreamPools = BTreeMap<PoolKey, Vec<Arc<Upstream>>>;

/// All listed instances and the upstream pools derived from them.
#[derive(Debug, Default)]
pub struct Directory {
    instances: BTreeMap<InstanceId, Instance>,
    removals: BTreeMap<InstanceId, Instant>,
    /// Start times of the instances that stated in a response that they are leaving.
    leaving: BTreeMap<InstanceId, u64>,
    /// Start times of the instances that were removed, and when; a store that comes back from a copy
    /// may list them again.
    removed: BTreeMap<InstanceId, (u64, Instant)>,
    /// States from a copy of the store that replace the known ones unless newer ones arrive before.
    restored: BTreeMap<InstanceId, (Instant, Instance)>,
    departures: Departures,
    evacuations: Evacuations,
    pools: Arc<UpstreamPools>,
    version: u64,
}

impl Directory {
    /// Looks up an instance by id.
    pub fn get(&self, id: &str) -> Option<&Instance> {
        self.instances.get(id)
    }

    /// All listed instances by id.
    pub fn instances(&self) -> &BTreeMap<InstanceId, Instance> {
        &self.instances
    }

    /// Data centres whose upstreams get no requests.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Data centres whose upstreams get no requests; the pools follow with the next
    /// [`Self::rebuild_pools`].
    pub fn evacuations_mut(&mut self) -> &mut Evacuations {
        &mut self.evacuations
    }

    /// Upstream pools as of the last [`Self::rebuild_pools`].
    pub fn pools(&self) -> &Arc<UpstreamPools> {
        &self.pools
    }

    /// Counter that increases with each rebuild.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Adds or replaces an instance and cancels its scheduled removal.
    pub fn insert(&mut self, id: InstanceId, instance: Instance) {
        self.removals.remove(&id);
        self.restored.remove(&id);
        self.removed.remove(&id);
        self.instances.insert(id, instance);
    }

    /// Adds an instance as a copy of the store shows it, which may be older than what is known.
    ///
    /// What is known of the same run stays until `at`, by when the instance has stated its current
    /// state if it differs from the copy. A run that was about to be stopped, or was removed, is not
    /// used again on the word of a copy, which the instance itself does not confirm.
    pub fn insert_restored(&mut self, id: InstanceId, instance: Instance, at: Instant) {
        let started_ms = instance.started_ms;
        if self.removed.get(&id).is_some_and(|(started, _)| *started == started_ms) {
            return;
        }
        match self.instances.get(&id).filter(|known| known.started_ms == started_ms) {
            None => self.insert(id, instance),
            Some(_) if instance.draining => self.insert(id, instance),
            Some(known) => {
                self.removals.remove(&id);
                if *known != instance && !self.is_leaving(&id, known) {
                    self.restored.insert(id, (at, instance));
                }
            }
        }
    }

    /// Schedules the removal of an instance; a removal that is already scheduled keeps its time.
    pub fn schedule_removal(&mut self, id: &str, at: Instant) {
        if self.instances.contains_key(id) {
            self.removals.entry(id.to_owned()).or_insert(at);
        }
    }

    /// Records that the run of an instance that began at `started_ms` is about to be stopped, which
    /// the listing may not show yet; returns `false` if that was known.
    pub fn mark_leaving(&mut self, id: &InstanceId, started_ms: u64) -> bool {
        self.leaving.insert(id.clone(), started_ms) != Some(started_ms)
    }

    /// Whether an instance is about to be stopped.
    pub(crate) fn is_leaving(&self, id: &InstanceId, instance: &Instance) -> bool {
        instance.draining || self.leaving.get(id) == Some(&instance.started_ms)
    }

    /// Schedules the instances that are not listed for removal at `at`.
    pub fn remove_missing(&mut self, listed: BTreeSet<&InstanceId>, at: Instant) {
        let missing: Vec<InstanceId> =
            self.instances.keys().filter(|id| !listed.contains(id)).cloned().collect();
        for id in missing {
            self.schedule_removal(&id, at);
        }
    }

    /// Time at which the next scheduled removal or replacement is due.
    pub fn next_removal(&self) -> Option<Instant> {
        self.removals.values().chain(self.restored.values().map(|(at, _)| at)).min().copied()
    }

    /// Whether any scheduled removal or replacement is due.
    pub fn has_due_removals(&self, now: Instant) -> bool {
        self.next_removal().is_some_and(|at| now >= at)
    }

    /// Removes the instances whose removal is due and returns their ids; applies the replacements
    /// that are due.
    pub fn apply_due_removals(&mut self, now: Instant) -> Vec<InstanceId> {
        self.removed.retain(|_, (_, at)| now < *at + REMOVED_RUN_MEMORY);
        let replaced: Vec<InstanceId> = self
            .restored
            .iter()
            .filter(|(_, (at, _))| now >= *at)
            .map(|(id, _)| id.clone())
            .collect();
        for id in replaced {
            if let Some((_, instance)) = self.restored.remove(&id)
                && self.instances.contains_key(&id)
            {
                self.instances.insert(id, instance);
            }
        }
        let due: Vec<InstanceId> =
            self.removals.iter().filter(|(_, at)| now >= **at).map(|(id, _)| id.clone()).collect();
        for id in &due {
            self.removals.remove(id);
            self.restored.remove(id);
            if let Some(instance) = self.instances.remove(id) {
                self.removed.insert(id.clone(), (instance.started_ms, now));
            }
            self.leaving.remove(id);
        }
        due
    }

    /// Groups that lack a member, each with the time since which it has lacked one.
    pub fn incomplete_groups(&self) -> BTreeMap<GroupId, Instant> {
        self.departures.by_group()
    }

    /// Rebuilds the upstream pools from the listed instances and the configuration.
    pub fn rebuild_pools(&mut self, now: Instant, config: &Config) {
        for (id, instance) in &self.instances {
            let group = instance.membership().map(|m| &m.group);
            self.departures.observe(now, id, instance.started_ms, group);
        }
        self.departures.expire(now);
        let mut members: BTreeMap<(&GroupId, u64), usize> = BTreeMap::new();
        for (id, instance) in &self.instances {
            if let Some(m) = instance.membership()
                && !self.is_leaving(id, instance)
                && matches!(m.phase, Phase::Ready | Phase::Open)
            {
                *members.entry((&m.group, m.epoch)).or_default() += 1;
            }
        }
        let mut pools = UpstreamPools::new();
        for (id, instance) in &self.instances {
            let is_evacuated = self.evacuations.is_evacuated(&instance.data_centre);
            if is_evacuated || self.is_leaving(id, instance) {
                continue;
            }
            let Some(service) = config.services.get(&instance.service) else { continue };
            let Some(profile) = &service.engine else {
                let pool = (instance.service.clone(), None);
                pools
                    .entry(pool)
                    .or_default()
                    .push(Arc::new(build_upstream(id, instance, None, false)));
                continue;
            };
            let (Some(engine), Some(m)) = (&instance.engine, instance.membership()) else {
                continue;
            };
            if m.rank != 0 || m.phase != Phase::Open {
                continue;
            }
            let present = members.get(&(&m.group, m.epoch)).copied().unwrap_or(0);
            for model in &engine.loaded_models {
                let Some(size) = profile.models.get(model).map(|p| p.group_size) else { continue };
                let group = Some(m.group.clone());
                let pool = (instance.service.clone(), Some(model.clone()));
                let upstream = build_upstream(id, instance, group, present < size);
                pools.entry(pool).or_default().push(Arc::new(upstream));
            }
        }
        self.pools = Arc::new(pools);
        self.version += 1;
    }

    /// Engine instances in the form that group formation takes.
    pub fn engine_instances(&self) -> BTreeMap<InstanceId, EngineInstance> {
        self.instances
            .iter()
            .filter_map(|(id, instance)| {
                let leaving = self.is_leaving(id, instance);
                Some((id.clone(), EngineInstance { leaving, ..instance.to_engine_instance()? }))
            })
            .collect()
    }
}

impl Instance {
    fn membership(&self) -> Option<&Membership> {
        self.engine.as_ref()?.membership.as_ref()
    }

    fn to_engine_instance(&self) -> Option<EngineInstance> {
        let engine = self.engine.as_ref()?;
        Some(EngineInstance {
            address: self.address.clone(),
            service: self.service.clone(),
            domain: engine.fabric_domain.clone(),
            data_centre: self.data_centre.clone(),
            leaving: self.draining,
            started: self.started_ms,
            staged: engine.staged_models.clone(),
            models: engine.loaded_models.clone(),
            membership: engine.membership.clone(),
        })
    }
}

/// Hash of an instance id, as used in heartbeats.
pub fn upstream_key(id: &str) -> UpstreamKey {
    (hash64(&[id.as_bytes()]) >> u32::BITS) as UpstreamKey
}

fn build_upstream(
    id: &InstanceId,
    instance: &Instance,
    group: Option<GroupId>,
    is_incomplete: bool,
) -> Upstream {
    Upstream {
        instance: id.clone(),
        key: upstream_key(id),
        address: instance.address.clone(),
        data_centre: instance.data_centre.clone(),
        slots: instance.slots,
        group,
        is_incomplete,
        started_ms: instance.started_ms,
    }
}
