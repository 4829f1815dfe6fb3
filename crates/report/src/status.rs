//! Status that a node reports to operators.

use {
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
    turmerictack_model::{
        ids::{Address, Epoch, Incarnation, InstanceId, NodeId, Revision, ServiceId},
        rank::Rank,
    },
};

/// Status of a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Id of the node.
    pub node: NodeId,
    /// Incarnation in the membership protocol.
    pub incarnation: Incarnation,
    /// Whether the node accepts new calls.
    pub ready: bool,
    /// Whether other nodes are known but none has been in contact recently.
    pub alone: bool,
    /// Revision of the active services configuration.
    pub revision: Revision,
    /// Time in ms since the platform or another node confirmed the revision; `None` if never.
    pub confirmed_ms: Option<u64>,
    /// Number of calls in flight or waiting.
    pub calls: u64,
    /// Known other nodes.
    pub peers: Vec<PeerStatus>,
    /// Status of each service.
    pub services: BTreeMap<ServiceId, ServiceStatus>,
    /// Digests of requests during which upstreams failed, with the number of those upstreams.
    ///
    /// Includes requests that are not yet quarantined.
    pub quarantine: BTreeMap<String, usize>,
    /// Control traffic of the node.
    pub control: ControlStatus,
}

/// Status of another node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Id of the node.
    pub node: NodeId,
    /// Address on which it listens for other nodes.
    pub address: Address,
    /// `alive`, `suspect`, `dead` or `left`.
    pub state: String,
    /// Time in ms since the last contact with it; `None` if never.
    pub heard_ms: Option<u64>,
}

/// Status of a service on a node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Whether it has an open upstream.
    pub up: bool,
    /// Dependency of the service that is down, if any.
    pub degraded_by: Option<ServiceId>,
    /// Concurrent calls that the service's open upstreams accept from this node.
    pub capacity: usize,
    /// Waiting calls by rank.
    pub waiting: BTreeMap<Rank, usize>,
    /// Calls in flight by rank.
    pub in_flight: BTreeMap<Rank, usize>,
    /// Upstreams of the service.
    pub upstreams: Vec<UpstreamStatus>,
    /// Engine instances of the service's pool that do not belong to a serving group.
    pub stranded: Vec<InstanceId>,
}

/// Status of an upstream on a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Id of the group, or of the instance of a plain service.
    pub upstream: String,
    /// Epoch of the group; `None` for an instance of a plain service.
    pub epoch: Option<Epoch>,
    /// Calls in flight from this node.
    pub in_flight: usize,
    /// Current limit for concurrent calls from this node.
    pub limit: usize,
    /// Whether it accepts new calls.
    pub open: bool,
    /// Whether it is much slower than the service's other upstreams.
    pub straggler: bool,
}

/// Control traffic of a node since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlStatus {
    /// Bytes sent to other nodes.
    pub peer_bytes_sent: u64,
    /// Bytes received from other nodes.
    pub peer_bytes_received: u64,
    /// Requests sent to other nodes.
    #[serde(rename = "peer_questions")]
    pub peer_requests: u64,
    /// Health reports requested from upstreams.
    #[serde(default)]
    pub upstream_probes: u64,
    /// Read requests to the platform.
    pub platform_reads: u64,
    /// Write requests to the platform.
    pub platform_writes: u64,
    /// Watch requests to the platform.
    pub platform_watches: u64,
}
