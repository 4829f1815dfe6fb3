//! Heartbeat datagrams between nodes.
//!
//! Each node sends its state and its load on the upstreams several times a second over UDP. A lost
//! datagram needs no retransmission, since the next one carries the complete state again.

use {
    bincode::{Decode, Encode},
    turmerictack_model::ids::{Address, DataCentre, Incarnation, InstanceId, NodeId, PromptPartId},
};

/// Version of the datagram format; datagrams of other versions are dropped.
pub const HEARTBEAT_VERSION: u16 = 8;

/// Hash of an upstream's name, which keeps a heartbeat that lists dozens of upstreams small.
pub type UpstreamKey = u32;

/// Hash of one run of an upstream: of its process and of the group that it heads.
pub type RunKey = u32;

/// The sender's load on one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct HeartbeatLoad {
    /// Upstream.
    pub upstream: UpstreamKey,
    /// Requests in flight.
    pub in_flight: u16,
    /// Prompt tokens of the requests that have had no event yet.
    pub prompt_tokens: u32,
    /// Whether the sender received an event from the upstream within its stall timeout, 450 ms.
    pub progressing: bool,
    /// Whether all streams from the upstream have stopped making progress.
    pub stalled: bool,
}

/// Rate limit that an upstream stated to the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct HeartbeatStatement {
    /// Requests in a thousand seconds; `None` if the upstream stated that it has no limit.
    pub rate_thousandths: Option<u32>,
    /// Time since the statement, in milliseconds.
    pub age_ms: u32,
}

/// What the sender knows of a rate-limited upstream, and its use of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct HeartbeatLimit {
    /// Upstream.
    pub upstream: UpstreamKey,
    /// Start time of the upstream's process, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Latest statement of the upstream to the sender, unless another one replaced it.
    pub statement: Option<HeartbeatStatement>,
    /// Requests that the sender sent in the last four seconds.
    pub recent_sends: u16,
    /// Requests that the sender got for the upstream, in a thousand seconds.
    pub demand_thousandths: u32,
}

/// How an upstream that has just started or returned answers the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct HeartbeatPace {
    /// Upstream.
    pub upstream: UpstreamKey,
    /// Run of the upstream.
    pub run: RunKey,
    /// Requests that it may have in flight, over all nodes, as the sender found.
    pub bound: u16,
    /// Raises of the bound that the sender counted since it began to pace the upstream.
    pub raises: u16,
    /// Late responses that it counted.
    pub late: u16,
    /// Rejections for lack of capacity that it counted.
    pub rejected: u16,
    /// Fastest response that it got lately, in milliseconds; 0 if it got none.
    pub fastest_ms: u16,
    /// Whether the sender saw in the list of instances that the upstream returned.
    pub is_listed: bool,
    /// Whether requests wait at the sender.
    pub is_waiting: bool,
    /// Whether the sender no longer paces the upstream.
    pub has_ended: bool,
}

/// Request or prompt that may have crashed its upstream.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct HeartbeatCrash {
    /// Hash that identifies the crash.
    pub crash: u64,
    /// Time since the crash, in milliseconds.
    pub age_ms: u32,
    /// Shared parts of the prompt, or the hash of the whole request.
    pub parts: Vec<PromptPartId>,
}

/// State of one node.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Heartbeat {
    /// [`HEARTBEAT_VERSION`] of the sender.
    pub version: u16,
    /// Sender.
    pub node: NodeId,
    /// Address on which the sender receives heartbeats.
    pub address: Address,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Data centre of the sender.
    pub data_centre: DataCentre,
    /// Processor capacity of the sender, in thousandths of a core.
    pub capacity: u16,
    /// Whether the sender's view of the instances is up to date.
    pub has_fresh_view: bool,
    /// Whether the sender is shutting down.
    pub leaving: bool,
    /// Whether the sender is the leader, which controls the replica groups.
    pub is_leader: bool,
    /// Load of the sender on each upstream.
    pub loads: Vec<HeartbeatLoad>,
    /// Upstreams that have stated a rate limit.
    pub limits: Vec<HeartbeatLimit>,
    /// Instances whose streams have all stalled at the sender.
    pub unresponsive: Vec<InstanceId>,
    /// Prompts that were unanswered when their engines crashed.
    pub prompt_crashes: Vec<HeartbeatCrash>,
    /// Parts of prompts that engines answered after a crash.
    pub cleared_parts: Vec<PromptPartId>,
    /// Requests that were lost when their upstreams crashed.
    pub request_crashes: Vec<HeartbeatCrash>,
    /// Requests that upstreams answered completely after a crash.
    pub cleared_requests: Vec<PromptPartId>,
    /// Upstreams that the sender paces, or did until lately.
    pub paces: Vec<HeartbeatPace>,
    /// Whether most direct dials of the sender fail, so that it can't reach instances for others.
    pub lacks_paths: bool,
    /// Whether the sender leaves leadership to others, because it is isolated or was until lately.
    pub defers_leadership: bool,
}
