//! What a node says of itself to operators.

use {
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
    turmerictack_model::{
        ids::{Address, Epoch, Incarnation, InstanceId, NodeId, Revision, ServiceId},
        rank::Rank,
    },
};

/// State of a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Node.
    pub node: NodeId,
    /// Incarnation.
    pub incarnation: Incarnation,
    /// Whether it takes new work.
    pub ready: bool,
    /// Whether no other node was heard of late, although there are some.
    pub alone: bool,
    /// Revision of the services text in force.
    pub revision: Revision,
    /// Time in ms since the platform or another node confirmed the revision; absent if never.
    pub confirmed_ms: Option<u64>,
    /// Calls in flight and waiting.
    pub calls: u64,
    /// Other nodes.
    pub peers: Vec<PeerStatus>,
    /// Services.
    pub services: BTreeMap<ServiceId, ServiceStatus>,
    /// Requests in quarantine or close to it, with the upstreams that they ended.
    pub quarantine: BTreeMap<String, usize>,
    /// What the node spent on control.
    pub control: ControlStatus,
}

/// State of another node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Node.
    pub node: NodeId,
    /// Where it listens for nodes.
    pub address: Address,
    /// `alive`, `suspect`, `dead` or `left`.
    pub state: String,
    /// Time in ms since its last sign of life; absent if never.
    pub heard_ms: Option<u64>,
}

/// State of a service on a node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Whether it has an open upstream.
    pub up: bool,
    /// Service that it depends on and that is down.
    pub degraded_by: Option<ServiceId>,
    /// Calls that its open upstreams take from this node.
    pub capacity: usize,
    /// Calls waiting by rank.
    pub waiting: BTreeMap<Rank, usize>,
    /// Calls in flight by rank.
    pub in_flight: BTreeMap<Rank, usize>,
    /// Upstreams.
    pub upstreams: Vec<UpstreamStatus>,
    /// Instances of its pool that belong to no serving group.
    pub stranded: Vec<InstanceId>,
}

/// State of an upstream on a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Group, or instance of a plain service.
    pub upstream: String,
    /// Epoch of the group.
    pub epoch: Option<Epoch>,
    /// Calls of this node in flight.
    pub in_flight: usize,
    /// Calls that it takes from this node now.
    pub limit: usize,
    /// Whether it takes new work.
    pub open: bool,
    /// Whether it is much slower than the others.
    pub straggler: bool,
}

/// What a node spent on control since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlStatus {
    /// Bytes sent to other nodes.
    pub peer_bytes_sent: u64,
    /// Bytes received from other nodes.
    pub peer_bytes_received: u64,
    /// Questions asked of other nodes.
    #[serde(rename = "peer_questions")]
    pub peer_requests: u64,
    /// Reports asked of upstreams.
    #[serde(default)]
    pub upstream_probes: u64,
    /// Reads of the platform.
    pub platform_reads: u64,
    /// Writes to the platform.
    pub platform_writes: u64,
    /// Watches of the platform.
    pub platform_watches: u64,
}
