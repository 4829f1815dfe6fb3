//! The shared tables of a node, in lock order.

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
    turmerictack_serving::request_account::RequestAccount,
    turmerictack_settings::services::Services,
};

/// The active services configuration.
#[derive(Debug, Default)]
pub struct ActiveServices {
    /// Revision; 0 while there is none.
    pub revision: Revision,
    /// Source text.
    pub text: Arc<str>,
    /// Parsed configuration.
    pub services: Option<Arc<Services>>,
    /// When the platform or another node last confirmed that there is no newer revision.
    pub confirmed_at: Option<Instant>,
}

/// Address of an open upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Address to send calls to.
    pub address: Address,
    /// Group and epoch of a model's upstream; absent for a plain service.
    pub group: Option<(GroupId, Epoch)>,
}

/// Latest result of this node's probes of an instance.
#[derive(Clone, Debug)]
pub struct ProbeResult {
    /// Change number at which the report last changed; see [`Groups::last_change`].
    pub change: u64,
    /// Health report of the instance.
    pub report: Arc<HealthReport>,
    /// When the request for the report was sent.
    pub requested_at: Instant,
    /// Whether the report was relayed by the first member of its group.
    pub relayed: bool,
}

/// Probe results received from another node.
#[derive(Clone, Debug, Default)]
pub struct PeerReports {
    /// Probe run of the other node.
    pub run: ProbeRunId,
    /// Last change number received.
    pub last_change: u64,
    /// Health report of each instance.
    pub reports: BTreeMap<InstanceId, Arc<HealthReport>>,
}

/// Target of a request for health reports that has not been answered yet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PendingRequest {
    /// An instance that is being probed.
    Instance(InstanceId),
    /// Another node that has been asked for its probe results.
    Node(NodeId),
}

/// Instances, their health and the groups they form.
#[derive(Debug, Default)]
pub struct Groups {
    /// The platform's instance list, by id.
    pub instances: BTreeMap<InstanceId, Instance>,
    /// Latest known health report of each instance, from this node's probes or another node's.
    pub health: HealthTable,
    /// Id of the current probe run; changes whenever a probe result is dropped, so that other nodes
    /// fetch all results again.
    pub probe_run: Incarnation,
    /// Number of the last change in this node's probe results.
    pub last_change: u64,
    /// Instances that this node is responsible for probing.
    pub owned: BTreeSet<InstanceId>,
    /// Probe results of the owned instances.
    pub probe_results: BTreeMap<InstanceId, ProbeResult>,
    /// Requests for health reports that have not been answered yet.
    pub pending_requests: BTreeSet<PendingRequest>,
    /// Probe results received from each other node.
    pub peer_reports: BTreeMap<NodeId, PeerReports>,
    /// Open upstreams and their addresses.
    pub targets: BTreeMap<UpstreamId, Target>,
    /// Owning node of each fabric domain.
    pub owners: DomainOwners,
}

/// Assignment of fabric domains to live nodes.
#[derive(Debug, Default)]
pub struct DomainOwners {
    live: BTreeSet<NodeId>,
    domains: BTreeSet<FabricDomain>,
    owners: BTreeMap<FabricDomain, NodeId>,
}

impl DomainOwners {
    /// Reassigns the domains when the set of live nodes or of domains has changed.
    pub fn update(&mut self, live: &BTreeSet<NodeId>, domains: &BTreeSet<&str>) {
        let same_domains = self.domains.iter().eq(domains.iter().copied());
        if self.live != *live || !same_domains {
            self.domains = domains.iter().map(|d| (*d).to_owned()).collect();
            self.live = live.clone();
            self.owners = assign_owners(live, &self.domains);
        }
    }

    /// Owning node of a domain.
    pub fn owner(&self, domain: &str) -> Option<&NodeId> {
        self.owners.get(domain)
    }
}

/// Load and state of upstreams.
pub struct Upstreams {
    /// Upstreams of each service.
    pub by_service: BTreeMap<ServiceId, UpstreamSet>,
    /// Policy that picks an upstream for a call.
    pub picker: Box<dyn Picker>,
}

/// A call in flight.
pub struct InFlight {
    /// The call as received.
    pub call: Arc<Call>,
    /// Effective rank.
    pub rank: Rank,
    /// State machine of its attempts.
    pub dispatch: Dispatch,
    /// Digest of caller, service, route and body, by which quarantine identifies the request.
    pub digest: Digest,
    /// Whether the request was in flight when an upstream was lost.
    pub suspect: bool,
    /// Whether the current upstream counts it among its suspect calls.
    pub counted_as_suspect: bool,
    /// Time until which its record permits sending; unset if it has no record.
    pub send_deadline: Option<Instant>,
    /// When the call arrived.
    pub arrived_at: Instant,
    /// When the first chunk was delivered to the caller.
    pub first_chunk_at: Option<Instant>,
    /// When the last chunk was delivered to the caller.
    pub last_chunk_at: Option<Instant>,
    /// Chunks delivered before the current attempt, and when the attempt started.
    pub attempt_start: (u64, Instant),
    /// Time before which it is not sent to an upstream.
    pub paused_until: Instant,
    /// Channel to the task that serves the call.
    pub actions: UnboundedSender<Action>,
}

/// Calls in flight.
pub struct Calls {
    /// Calls by id.
    pub by_id: BTreeMap<CallId, InFlight>,
    /// Id of the next call.
    pub next_id: CallId,
    /// Budget for retries, shared by all calls.
    pub retry_budget: RetryBudget,
    /// Generator of attempt ids.
    pub rng: Pcg64Mcg,
}

/// Stage of a drain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// The node accepts calls.
    #[default]
    Serving,
    /// Readiness is off, but calls that still arrive are accepted.
    Announced,
    /// New calls are rejected.
    Draining,
}

/// Counters of requests to the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlatformRequests {
    /// Reads and lists.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Watches started.
    pub watches: u64,
}

/// Life cycle of the node and counters of its control traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lifecycle {
    /// Stage of a drain.
    pub stage: Stage,
    /// Requests to the platform.
    pub platform: PlatformRequests,
    /// Health probes sent to instances.
    pub probes: u64,
}

/// All tables of a node.
pub struct Tables {
    /// Active services configuration.
    pub settings: Table<ActiveServices>,
    /// Nodes of the cluster.
    pub members: Table<MembershipTable>,
    /// Instances and groups.
    pub groups: Table<Groups>,
    /// Load and state of upstreams.
    pub upstreams: Table<Upstreams>,
    /// Admission queues of each service.
    pub admission: Table<BTreeMap<ServiceId, Box<dyn Admission>>>,
    /// Calls in flight.
    pub calls: Table<Calls>,
    /// Requests that were in flight when upstreams were lost.
    pub quarantine: Table<Quarantine>,
    /// Counters of the burn report.
    pub burn: Table<BurnTracker>,
    /// Life cycle of the node.
    pub lifecycle: Table<Lifecycle>,
    /// Connections of the HTTP listeners.
    pub connections: Table<Connections>,
}

/// Retries allowed per hundred new calls until a services configuration sets the limit.
const DEFAULT_RETRY_PERCENT: u32 = 10;

impl Tables {
    /// Creates empty tables for the local node; `seed` drives all random choices.
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
            burn: Table::new(LockRank::Burn, BurnTracker::new(now)),
            lifecycle: Table::new(LockRank::Lifecycle, Lifecycle::default()),
            connections: Table::new(LockRank::Connections, Connections::default()),
        }
    }

    /// The active services configuration, if there is one.
    pub fn services(&self) -> Option<Arc<Services>> {
        self.settings.lock().services.clone()
    }

    /// Marks a request as taken by a handler; false if its connection has been closed.
    pub fn take_request(&self, listener: Listener, address: Option<SocketAddr>) -> bool {
        address.is_some_and(|address| {
            self.connections.lock().begin_handling(ConnectionId { listener, address })
        })
    }

    /// Account of the requests on a connection, if it is open and they are counted.
    pub fn request_account(
        &self,
        listener: Listener,
        address: Option<SocketAddr>,
    ) -> Option<RequestAccount> {
        self.connections.lock().account(ConnectionId { listener, address: address? })
    }

    /// Number of calls waiting or in flight.
    pub fn open_calls(&self) -> usize {
        self.calls.lock().by_id.len()
    }

    /// Whether the node rejects new calls.
    pub fn is_draining(&self) -> bool {
        self.lifecycle.lock().stage == Stage::Draining
    }
}

/// Mean time between the chunks of the current attempt, counted from the start of the attempt;
/// absent for fewer than two chunks.
pub fn chunk_interval(in_flight: &InFlight) -> Option<Duration> {
    let (start_chunks, started_at) = in_flight.attempt_start;
    let chunks = in_flight.dispatch.delivered_chunks().saturating_sub(start_chunks);
    let last = in_flight.last_chunk_at?;
    let count = u32::try_from(chunks).ok().filter(|c| *c > 1)?;
    Some(last.saturating_duration_since(started_at) / count)
}
