//! The shared tables of a node, in the order of their locks.

use {
    crate::{
        call::Call,
        front::connections::{Connections, Listener, Peer},
    },
    rand::SeedableRng as _,
    rand_pcg::Pcg64Mcg,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc::UnboundedSender,
    turmerictack_admission::policy::Admission,
    turmerictack_groups::health::{HealthReport, HealthTable},
    turmerictack_membership::{gossip::NodeInfo, ownership::assign_owners, table::MembershipTable},
    turmerictack_model::{
        digest::Digest,
        ids::{
            Address, CallId, Epoch, FabricDomain, GroupId, Incarnation, InstanceId, NodeId,
            Revision, ServiceId,
        },
        rank::Rank,
        table::{LockRank, Table},
    },
    turmerictack_platform::instance::Instance,
    turmerictack_protocol::message::ProbeRunId,
    turmerictack_report::tracker::BurnTracker,
    turmerictack_routing::{
        UpstreamId,
        budget::RetryBudget,
        dispatch::{Action, Dispatch},
        picker::{AffinityPicker, Picker},
        quarantine::Quarantine,
        upstream_set::UpstreamSet,
    },
    turmerictack_settings::services::Services,
};

/// The services text in force.
#[derive(Debug, Default)]
pub struct Accepted {
    /// Its revision; 0 when there is none.
    pub revision: Revision,
    /// The text.
    pub text: Arc<str>,
    /// The text as read.
    pub services: Option<Arc<Services>>,
    /// When a platform or peer last confirmed that there is no newer one.
    pub confirmed: Option<Instant>,
}

/// Where an upstream is reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Address.
    pub address: Address,
    /// Group and epoch, for a model; absent for a plain service.
    pub group: Option<(GroupId, Epoch)>,
}

/// What this node's own probe of an instance found.
#[derive(Clone, Debug)]
pub struct Probed {
    /// Number of the last change.
    pub change: u64,
    /// What the instance said.
    pub report: Arc<HealthReport>,
    /// When the last request that it answered was sent.
    pub asked_at: Instant,
    /// Whether the first member of its group passed the report on.
    pub relayed: bool,
}

/// What another node's probes found, as far as this node was told.
#[derive(Clone, Debug, Default)]
pub struct Pulled {
    /// Run of the other node.
    pub run: ProbeRunId,
    /// Number of its last change that was told.
    pub seen: u64,
    /// Its reports.
    pub reports: BTreeMap<InstanceId, Arc<HealthReport>>,
}

/// An instance or a node that was asked for evidence.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Asked {
    /// An instance.
    Instance(InstanceId),
    /// Another node.
    Node(NodeId),
}

/// Instances and what they say.
#[derive(Debug, Default)]
pub struct Groups {
    /// The platform's list, by instance.
    pub instances: BTreeMap<InstanceId, Instance>,
    /// What instances say, from whichever probe is the youngest.
    pub evidence: HealthTable,
    /// Run of this node's probes; changes when one is forgotten.
    pub run: Incarnation,
    /// Number of the last change that this node's probes found.
    pub changes: u64,
    /// Instances that this node has charge of.
    pub owned: BTreeSet<InstanceId>,
    /// What its probes of those found.
    pub probed: BTreeMap<InstanceId, Probed>,
    /// Who has been asked and has not answered yet.
    pub asking: BTreeSet<Asked>,
    /// What other nodes' probes found.
    pub pulled: BTreeMap<NodeId, Pulled>,
    /// Upstreams that are open.
    pub targets: BTreeMap<UpstreamId, Target>,
    /// Which node has charge of each fabric domain.
    pub owners: DomainOwners,
}

/// Which node has charge of each fabric domain, for a set of live nodes.
#[derive(Debug, Default)]
pub struct DomainOwners {
    live: BTreeSet<NodeId>,
    domains: BTreeSet<FabricDomain>,
    owners: BTreeMap<FabricDomain, NodeId>,
}

impl DomainOwners {
    /// Takes over which nodes live and which domains there are.
    pub fn sync(&mut self, live: &BTreeSet<NodeId>, domains: &BTreeSet<&str>) {
        let same_domains = self.domains.iter().eq(domains.iter().copied());
        if self.live != *live || !same_domains {
            self.domains = domains.iter().map(|d| (*d).to_owned()).collect();
            self.live = live.clone();
            self.owners = assign_owners(live, &self.domains);
        }
    }

    /// The node that has charge of a domain.
    pub fn owner(&self, domain: &str) -> Option<&NodeId> {
        self.owners.get(domain)
    }
}

/// Load and health of upstreams.
pub struct Upstreams {
    /// Upstreams of each service.
    pub fleets: BTreeMap<ServiceId, UpstreamSet>,
    /// Policy of choice.
    pub picker: Box<dyn Picker>,
}

/// A call in flight.
pub struct InFlight {
    /// The call.
    pub call: Arc<Call>,
    /// Its rank.
    pub rank: Rank,
    /// Its state.
    pub dispatch: Dispatch,
    /// Digest of caller, route and body.
    pub digest: Digest,
    /// Whether it already ended an upstream.
    pub suspect: bool,
    /// Whether the current upstream was counted with it as a suspect.
    pub counted_suspect: bool,
    /// Time at which its record stops permitting a send.
    pub send_until: Option<Instant>,
    /// When it came.
    pub since: Instant,
    /// When its first chunk was handed over.
    pub first: Option<Instant>,
    /// When its last chunk was handed over.
    pub last: Option<Instant>,
    /// Chunks when the current attempt began, and when that was.
    pub attempt_base: (u64, Instant),
    /// Time before which it is not sent.
    pub rest_until: Instant,
    /// Way to the task that moves its bytes.
    pub actions: UnboundedSender<Action>,
}

/// Calls in flight.
pub struct Calls {
    /// By number.
    pub by_id: BTreeMap<CallId, InFlight>,
    /// Number of the next one.
    pub next: CallId,
    /// What retries may cost.
    pub budget: RetryBudget,
    /// Source of attempt numbers.
    pub rng: Pcg64Mcg,
}

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// The node serves.
    #[default]
    Serving,
    /// It says that it is not ready, and serves what still comes.
    Announced,
    /// It takes no new work.
    Draining,
}

/// Calls made to the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlatformCalls {
    /// Reads and lists.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Watches begun.
    pub watches: u64,
}

/// The state of the node itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lifecycle {
    /// How far a planned stop has come.
    pub stage: Stage,
    /// Calls made to the platform.
    pub platform: PlatformCalls,
    /// Reports asked of instances.
    pub probes: u64,
}

/// All tables of a node.
pub struct Tables {
    /// The services text in force.
    pub settings: Table<Accepted>,
    /// Nodes.
    pub members: Table<MembershipTable>,
    /// Instances and groups.
    pub groups: Table<Groups>,
    /// Load of upstreams.
    pub upstreams: Table<Upstreams>,
    /// Queues of each service.
    pub admission: Table<BTreeMap<ServiceId, Box<dyn Admission>>>,
    /// Calls in flight.
    pub calls: Table<Calls>,
    /// Requests that ended upstreams.
    pub quarantine: Table<Quarantine>,
    /// Counters of the burn report.
    pub burn: Table<BurnTracker>,
    /// The node itself.
    pub lifecycle: Table<Lifecycle>,
    /// Connections of the HTTP listeners.
    pub connections: Table<Connections>,
}

/// Retries for each hundred fresh calls until a services text says otherwise.
const DEFAULT_RETRY_PERCENT: u32 = 10;

impl Tables {
    /// Empty tables.
    pub fn new(me: NodeInfo, seed: u64, now: Instant) -> Self {
        let upstreams =
            Upstreams { fleets: BTreeMap::new(), picker: Box::new(AffinityPicker::new(seed)) };
        let calls = Calls {
            by_id: BTreeMap::new(),
            next: 1,
            budget: RetryBudget::new(DEFAULT_RETRY_PERCENT),
            rng: Pcg64Mcg::seed_from_u64(seed ^ 1),
        };
        let groups = Groups { run: me.incarnation, ..Groups::default() };
        Self {
            settings: Table::new(LockRank::Settings, Accepted::default()),
            members: Table::new(LockRank::Members, MembershipTable::new(me, seed ^ 2, now)),
            groups: Table::new(LockRank::Groups, groups),
            upstreams: Table::new(LockRank::Upstreams, upstreams),
            admission: Table::new(LockRank::Admission, BTreeMap::new()),
            calls: Table::new(LockRank::Calls, calls),
            quarantine: Table::new(LockRank::Quarantine, Quarantine::default()),
            burn: Table::new(LockRank::Burn, BurnTracker::new(now)),
            lifecycle: Table::new(LockRank::Lifecycle, Lifecycle::default()),
            connections: Table::new(LockRank::Connections, Connections::default()),
        }
    }

    /// The services text in force, if there is one.
    pub fn services(&self) -> Option<Arc<Services>> {
        self.settings.lock().services.clone()
    }

    /// Takes the request that a connection brought; false when the connection was given up.
    pub fn takes(&self, listener: Listener, address: Option<SocketAddr>) -> bool {
        address.is_some_and(|address| self.connections.lock().take(Peer { listener, address }))
    }

    /// Calls in flight and waiting.
    pub fn open_calls(&self) -> usize {
        self.calls.lock().by_id.len()
    }

    /// Whether the node takes no new work.
    pub fn is_draining(&self) -> bool {
        self.lifecycle.lock().stage == Stage::Draining
    }
}

/// Mean time between the chunks of the current attempt.
pub fn pace(in_flight: &InFlight) -> Option<Duration> {
    let (base, since) = in_flight.attempt_base;
    let chunks = in_flight.dispatch.delivered_chunks().saturating_sub(base);
    let last = in_flight.last?;
    let count = u32::try_from(chunks).ok().filter(|c| *c > 1)?;
    Some(last.saturating_duration_since(since) / count)
}
