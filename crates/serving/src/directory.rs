//! Listed instances, and the upstreams that they make.

use {
    crate::catalog::Catalog,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Instant,
    },
    turmerictack_groups::formation::{Departures, EngineInstance, Membership, Phase},
    turmerictack_model::{
        digest::hash64,
        ids::{Address, DataCentre, FabricDomain, GroupId, InstanceId, ModelId, ServiceId},
    },
    turmerictack_protocol::beat::UpstreamKey,
};

/// What only instances of engines say.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineState {
    /// Fabric domain.
    pub domain: FabricDomain,
    /// Models that are loaded.
    pub loaded: BTreeSet<ModelId>,
    /// Models whose weights the host has.
    pub staged: BTreeSet<ModelId>,
    /// Group that it belongs to.
    pub membership: Option<Membership>,
}

/// A listed instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Where it listens.
    pub address: Address,
    /// Service.
    pub service: ServiceId,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to be stopped.
    pub leaving: bool,
    /// When it was started, in ms since the epoch.
    pub started: u64,
    /// State of an engine.
    pub engine: Option<EngineState>,
}

/// An upstream: an instance of a plain service, or the head of an open group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Instance that takes the requests.
    pub instance: InstanceId,
    /// Its short name.
    pub key: UpstreamKey,
    /// Where it listens.
    pub address: Address,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Group that it leads.
    pub group: Option<GroupId>,
    /// Whether a member of its group is missing or about to be stopped.
    pub incomplete: bool,
}

/// Model of a service, or none for a plain one.
pub type TargetKind = (ServiceId, Option<ModelId>);

/// Upstreams by what they serve.
pub type Targets = BTreeMap<TargetKind, Vec<Arc<Target>>>;

/// Every listed instance.
#[derive(Debug, Default)]
pub struct Directory {
    instances: BTreeMap<InstanceId, Instance>,
    removals: BTreeMap<InstanceId, Instant>,
    departures: Departures,
    targets: Arc<Targets>,
    version: u64,
}

impl Directory {
    /// An instance.
    pub fn get(&self, id: &str) -> Option<&Instance> {
        self.instances.get(id)
    }

    /// Instances.
    pub fn instances(&self) -> &BTreeMap<InstanceId, Instance> {
        &self.instances
    }

    /// Upstreams as of the last [`Self::rebuild`].
    pub fn targets(&self) -> &Arc<Targets> {
        &self.targets
    }

    /// Number of the last change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Adds or replaces an instance.
    pub fn insert(&mut self, id: InstanceId, instance: Instance) {
        self.removals.remove(&id);
        self.instances.insert(id, instance);
    }

    /// Removes an instance at a time, unless it is listed again before.
    pub fn remove_at(&mut self, id: &str, at: Instant) {
        if self.instances.contains_key(id) {
            self.removals.entry(id.to_owned()).or_insert(at);
        }
    }

    /// Replaces all instances; those that are missing go at `at`.
    pub fn replace(&mut self, listed: BTreeMap<InstanceId, Instance>, at: Instant) {
        let missing: Vec<InstanceId> =
            self.instances.keys().filter(|id| !listed.contains_key(*id)).cloned().collect();
        for id in missing {
            self.remove_at(&id, at);
        }
        for (id, instance) in listed {
            self.insert(id, instance);
        }
    }

    /// Whether the time of a removal has come.
    pub fn has_due(&self, now: Instant) -> bool {
        self.removals.values().any(|at| now >= *at)
    }

    /// Carries out removals whose time has come; gives the instances that are gone.
    pub fn remove_due(&mut self, now: Instant) -> Vec<InstanceId> {
        let due: Vec<InstanceId> =
            self.removals.iter().filter(|(_, at)| now >= **at).map(|(id, _)| id.clone()).collect();
        for id in &due {
            self.removals.remove(id);
            self.instances.remove(id);
        }
        due
    }

    /// Since when groups have lacked a member.
    pub fn incomplete_groups(&self) -> BTreeMap<GroupId, Instant> {
        self.departures.by_group()
    }

    /// Derives the upstreams anew.
    pub fn rebuild(&mut self, now: Instant, catalog: &Catalog) {
        for (id, instance) in &self.instances {
            let group = instance.membership().map(|m| &m.group);
            self.departures.observe(now, id, instance.started, group);
        }
        self.departures.expire(now);
        let mut members: BTreeMap<(&GroupId, u64), usize> = BTreeMap::new();
        for instance in self.instances.values() {
            if let Some(m) = instance.membership()
                && !instance.leaving
                && matches!(m.phase, Phase::Ready | Phase::Open)
            {
                *members.entry((&m.group, m.epoch)).or_default() += 1;
            }
        }
        let mut targets = Targets::new();
        for (id, instance) in &self.instances {
            if instance.leaving {
                continue;
            }
            let Some(service) = catalog.services.get(&instance.service) else { continue };
            let Some(profile) = &service.engine else {
                let kind = (instance.service.clone(), None);
                targets.entry(kind).or_default().push(Arc::new(target(id, instance, None, false)));
                continue;
            };
            let (Some(engine), Some(m)) = (&instance.engine, instance.membership()) else {
                continue;
            };
            if m.rank != 0 || m.phase != Phase::Open {
                continue;
            }
            let present = members.get(&(&m.group, m.epoch)).copied().unwrap_or(0);
            for model in &engine.loaded {
                let Some(size) = profile.models.get(model).map(|p| p.group_size) else { continue };
                let group = Some(m.group.clone());
                let kind = (instance.service.clone(), Some(model.clone()));
                let target = target(id, instance, group, present < size);
                targets.entry(kind).or_default().push(Arc::new(target));
            }
        }
        self.targets = Arc::new(targets);
        self.version += 1;
    }

    /// Instances of engines, as the control of groups sees them.
    pub fn engines(&self) -> BTreeMap<InstanceId, EngineInstance> {
        self.instances.iter().filter_map(|(id, i)| Some((id.clone(), i.as_engine()?))).collect()
    }
}

impl Instance {
    fn membership(&self) -> Option<&Membership> {
        self.engine.as_ref()?.membership.as_ref()
    }

    fn as_engine(&self) -> Option<EngineInstance> {
        let engine = self.engine.as_ref()?;
        Some(EngineInstance {
            address: self.address.clone(),
            service: self.service.clone(),
            domain: engine.domain.clone(),
            data_centre: self.data_centre.clone(),
            leaving: self.leaving,
            started: self.started,
            staged: engine.staged.clone(),
            membership: engine.membership.clone(),
        })
    }
}

/// Short name of an instance.
pub fn key_of(id: &str) -> UpstreamKey {
    (hash64(&[id.as_bytes()]) >> u32::BITS) as UpstreamKey
}

fn target(
    id: &InstanceId,
    instance: &Instance,
    group: Option<GroupId>,
    incomplete: bool,
) -> Target {
    Target {
        instance: id.clone(),
        key: key_of(id),
        address: instance.address.clone(),
        data_centre: instance.data_centre.clone(),
        slots: instance.slots,
        group,
        incomplete,
    }
}
