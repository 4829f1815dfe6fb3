//! Directory of listed instances, and the upstream pools derived from it.

use {
    crate::{
        cold_periods::{ColdEntries, ColdPeriod},
        config::Config,
        evacuations::Evacuations,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
    turmerictack_groups::formation::{Departures, EngineInstance, Membership, Phase},
    turmerictack_model::{
        digest::hash64,
        ids::{Address, DataCentre, Epoch, FabricDomain, GroupId, InstanceId, ModelId, ServiceId},
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
    /// Time for which it was still cold when it wrote its entry.
    pub cold_remaining: Duration,
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

impl Upstream {
    /// The run of the upstream.
    pub fn run(&self) -> UpstreamRun {
        (self.key, self.started_ms)
    }
}

/// Run of an upstream: its key, and the start time of its process in milliseconds since the Unix
/// epoch.
pub type UpstreamRun = (UpstreamKey, u64);

/// Pool key: a service and, if the service runs models, a model.
pub type PoolKey = (ServiceId, Option<ModelId>);

/// Upstreams by pool.
pub type UpstreamPools = BTreeMap<PoolKey, Vec<Arc<Upstream>>>;

/// Number of members by group and epoch.
type GroupSizes = BTreeMap<(GroupId, Epoch), usize>;

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
    /// Pools whose upstreams are all in evacuated data centres.
    evacuated_pools: BTreeSet<PoolKey>,
    cold_entries: ColdEntries,
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

    /// Number of listed instances in a data centre.
    pub fn instance_count(&self, data_centre: &str) -> usize {
        self.instances.values().filter(|i| i.data_centre == data_centre).count()
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

    /// Whether all upstreams of a pool are in evacuated data centres, as of the last
    /// [`Self::rebuild_pools`].
    pub fn is_pool_evacuated(&self, pool: &PoolKey) -> bool {
        self.evacuated_pools.contains(pool)
    }

    /// Counter that increases with each rebuild.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Adds or replaces an instance and cancels its scheduled removal.
    pub fn insert(&mut self, id: InstanceId, instance: Instance) {
        self.removals.remove(&id);
        if self.instances.get(&id) != Some(&instance) {
            self.cold_entries.mark_changed(id.clone());
        }
        self.restored.remove(&id);
        self.removed.remove(&id);
        self.instances.insert(id, instance);
    }

    /// Adds an instance as a copy of the store shows it, which may be older than what is known.
    ///
    /// What is known of the same run, or a later one, stays until `at`, by when the instance has stated its current
    /// state if it differs from the copy. A run that was about to be stopped, or was removed, is not
    /// used again on the word of a copy, which the instance itself does not confirm.
    pub fn insert_restored(&mut self, id: InstanceId, instance: Instance, at: Instant) {
        let started_ms = instance.started_ms;
        if self.removed.get(&id).is_some_and(|(started, _)| *started >= started_ms) {
            return;
        }
        match self.instances.get(&id).filter(|known| known.started_ms >= started_ms) {
            None => self.insert(id, instance),
            Some(known) if instance.draining && known.started_ms == started_ms => {
                self.insert(id, instance);
            }
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

    /// Instances that the platform no longer lists, but whose removal is not due yet.
    pub fn unlisted(&self) -> impl Iterator<Item = &InstanceId> {
        self.removals.keys()
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
                self.cold_entries.mark_changed(id.clone());
                self.instances.insert(id, instance);
            }
        }
        let due: Vec<InstanceId> =
            self.removals.iter().filter(|(_, at)| now >= **at).map(|(id, _)| id.clone()).collect();
        for id in &due {
            self.removals.remove(id);
            self.cold_entries.remove(id);
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
        self.cold_entries.apply_changes(now, &self.instances);
        let (mut pools, mut evacuated) = (UpstreamPools::new(), UpstreamPools::new());
        if !self.evacuations.is_unread() {
            let members = self.ready_members();
            for (id, instance) in &self.instances {
                let is_evacuated = self.evacuations.is_evacuated(&instance.data_centre);
                let pools = if is_evacuated { &mut evacuated } else { &mut pools };
                if !self.is_leaving(id, instance) {
                    add_to_pools(config, id, instance, &members, pools);
                }
            }
        }
        self.evacuated_pools = evacuated.into_keys().filter(|k| !pools.contains_key(k)).collect();
        self.pools = Arc::new(pools);
        self.version += 1;
    }

    /// Number of members of each group, by its epoch, that can serve.
    fn ready_members(&self) -> GroupSizes {
        let mut members = GroupSizes::new();
        for (id, instance) in &self.instances {
            if let Some(m) = instance.membership()
                && !self.is_leaving(id, instance)
                && matches!(m.phase, Phase::Ready | Phase::Open)
            {
                *members.entry((m.group.clone(), m.epoch)).or_default() += 1;
            }
        }
        members
    }

    /// Upstreams in the pools that are cold, by their runs.
    pub fn cold_periods(&self, now: Instant, config: &Config) -> BTreeMap<UpstreamRun, ColdPeriod> {
        let services = self.pools.iter().filter_map(|((service, _), upstreams)| {
            Some((config.services.get(service)?.cold_start?, upstreams))
        });
        let mut periods = BTreeMap::new();
        for (cold_start, upstreams) in services {
            for upstream in upstreams {
                let returned_at = self.evacuations.returned_at(&upstream.data_centre);
                let until =
                    self.cold_entries.cold_until(&upstream.instance, returned_at, cold_start);
                if let Some(until) = until.filter(|until| now < *until) {
                    periods.insert(upstream.run(), ColdPeriod { until, rate: cold_start.rate });
                }
            }
        }
        periods
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

/// Adds an instance to the pools that it serves.
fn add_to_pools(
    config: &Config,
    id: &InstanceId,
    instance: &Instance,
    members: &GroupSizes,
    pools: &mut UpstreamPools,
) {
    let mut add = |model, group, is_incomplete| {
        let upstream = build_upstream(id, instance, group, is_incomplete);
        pools.entry((instance.service.clone(), model)).or_default().push(Arc::new(upstream));
    };
    let Some(service) = config.services.get(&instance.service) else { return };
    let Some(profile) = &service.engine else { return add(None, None, false) };
    let (Some(engine), Some(m)) = (&instance.engine, instance.membership()) else { return };
    if m.rank != 0 || m.phase != Phase::Open {
        return;
    }
    let present = members.get(&(m.group.clone(), m.epoch)).copied().unwrap_or(0);
    for model in &engine.loaded_models {
        if let Some(size) = profile.models.get(model).map(|p| p.group_size) {
            add(Some(model.clone()), Some(m.group.clone()), present < size);
        }
    }
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
