//! The shared tables of a node, in the order of their locks.

use {
    crate::{
        call::Call,
        front::connections::{ConnectionId, Connections, Listener},
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
    turmerictack_groups::evidence::{EvidenceTable, Report},
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
    turmerictack_report::counts::Burn,
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
pub struct ActiveServices {
    /// Its revision; 0 when there is none.
    pub revision: Revision,
    /// The text.
    pub text: Arc<str>,
    /// The text as read.
    pub services: Option<Arc<Services>>,
    /// When a platform or peer last confirmed that there is no newer one.
    pub confirmed_at: Option<Instant>,
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
pub struct ProbeResult {
    /// Number of the last change.
    pub change: u64,
    /// What the instance said.
    pub report: Arc<Report>,
    /// When the last request that it answered was sent.
    pub asked_at: Instant,
    /// Whether the first member of its group passed the report on.
    pub relayed: bool,
}

/// What another node's probes found, as far as this node was told.
#[derive(Clone, Debug, Default)]
pub struct PeerReports {
    /// Run of the other node.
    pub run: ProbeRunId,
    /// Number of its last change that was told.
    pub last_change: u64,
    /// Its reports.
    pub reports: BTreeMap<InstanceId, Arc<Report>>,
}

/// An instance or a node that was asked for evidence.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PendingRequest {
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
    pub health: EvidenceTable,
    /// Run of this node's probes; changes when one is forgotten.
    pub probe_run: Incarnation,
    /// Number of the last change that this node's probes found.
    pub last_change: u64,
    /// Instances that this node has charge of.
    pub owned: BTreeSet<InstanceId>,
    /// What its probes of those found.
    pub probe_results: BTreeMap<InstanceId, ProbeResult>,
    /// Who has been asked and has not answered yet.
    pub pending_requests: BTreeSet<PendingRequest>,
    /// What other nodes' probes found.
    pub peer_reports: BTreeMap<NodeId, PeerReports>,
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
    pub fn update(&mut self, live: &BTreeSet<NodeId>, domains: &BTreeSet<&str>) {
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
    pub by_service: BTreeMap<ServiceId, UpstreamSet>,
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
    pub counted_as_suspect: bool,
    /// Time at which its record stops permitting a send.
    pub send_deadline: Option<Instant>,
    /// When it came.
    pub arrived_at: Instant,
    /// When its first chunk was handed over.
    pub first_chunk_at: Option<Instant>,
    /// When its last chunk was handed over.
    pub last_chunk_at: Option<Instant>,
    /// Chunks when the current attempt began, and when that was.
    pub attempt_start: (u64, Instant),
    /// Time before which it is not sent.
    pub paused_until: Instant,
    /// Way to the task that moves its bytes.
    pub actions: UnboundedSender<Action>,
}

/// Calls in flight.
pub struct Calls {
    /// By number.
    pub by_id: BTreeMap<CallId, InFlight>,
    /// Number of the next one.
    pub next_id: CallId,
    /// What retries may cost.
    pub retry_budget: RetryBudget,
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
    /// It take_request no new work.
    Draining,
}

/// Calls made to the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlatformRequests {
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
    pub platform: PlatformRequests,
    /// Reports asked of instances.
    pub probes: u64,
}

/// All tables of a node.
pub struct Tables {
    /// The services text in force.
    pub settings: Table<ActiveServices>,
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
    pub burn: Table<Burn>,
    /// The node itself.
    pub lifecycle: Table<Lifecycle>,
    /// Connections of the HTTP listeners.
    pub connections: Table<Connections>,
}

/// Retries for each hundred fresh calls until a services text says otherwise.
const DEFAULT_RETRY_PERCENT: u32 = 10;

impl Tables {
    /// Empty tables.
    pub fn new(local_node: NodeInfo, seed: u64, now: Instant) -> Self {
        let upstreams =
            Upstreams { by_service: BTreeMap::new(), picker: Box::new(AffinityPicker::new(seed)) };
        let calls = Calls {
            by_id: BTreeMap::new(),
            next_id: 1,
            retry_budget: RetryBudget::new(DEFAULT_RETRY_PERCENT),
            rng: Pcg64Mcg::seed_from_u64(seed ^ 1),
        };
        let groups = Groups { probe_run: local_node.incarnation, ..Groups::default() };
        Self {
            settings: Table::new(LockRank::Settings, ActiveServices::default()),
            members: Table::new(LockRank::Members, MembershipTable::new(local_node, seed ^ 2, now)),
            groups: Table::new(LockRank::Groups, groups),
            upstreams: Table::new(LockRank::Upstreams, upstreams),
            admission: Table::new(LockRank::Admission, BTreeMap::new()),
            calls: Table::new(LockRank::Calls, calls),
            quarantine: Table::new(LockRank::Quarantine, Quarantine::default()),
            burn: Table::new(LockRank::Burn, Burn::new(now)),
            lifecycle: Table::new(LockRank::Lifecycle, Lifecycle::default()),
            connections: Table::new(LockRank::Connections, Connections::default()),
        }
    }

    /// The services text in force, if there is one.
    pub fn services(&self) -> Option<Arc<Services>> {
        self.settings.lock().services.clone()
    }

    /// Takes the request that a connection brought; false when the connection was given up.
    pub fn take_request(&self, listener: Listener, address: Option<SocketAddr>) -> bool {
        address.is_some_and(|address| {
            self.connections.lock().begin_handling(ConnectionId { listener, address })
        })
    }

    /// Calls in flight and waiting.
    pub fn open_calls(&self) -> usize {
        self.calls.lock().by_id.len()
    }

    /// Whether the node take_request no new work.
    pub fn is_draining(&self) -> bool {
        self.lifecycle.lock().stage == Stage::Draining
    }
}

/// Mean time between the chunks of the current attempt.
pub fn chunk_interval(in_flight: &InFlight) -> Option<Duration> {
    let (start_chunks, started_at) = in_flight.attempt_start;
    let chunks = in_flight.dispatch.delivered_chunks().saturating_sub(start_chunks);
    let last = in_flight.last_chunk_at?;
    let count = u32::try_from(chunks).ok().filter(|c| *c > 1)?;
    Some(last.saturating_duration_since(started_at) / count)
}
