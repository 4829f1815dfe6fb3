//! Datagram that nodes send each other several times a second: who is alive, and its load.
//!
//! A lost one does no harm, since the next holds the same; that is why it needs no `h2` stream.

use {
    bincode::{Decode, Encode},
    turmerictack_model::ids::{Address, Incarnation, InstanceId, NodeId},
};

/// Version of the datagram; others are dropped.
pub const BEAT_VERSION: u16 = 2;

/// Short name of an upstream: a hash, since a beat names dozens.
pub type UpstreamKey = u32;

/// Requests that the sender has at one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct BeatLoad {
    /// Upstream.
    pub upstream: UpstreamKey,
    /// Requests in flight.
    pub in_flight: u16,
    /// Whether a stream from it moved in the last second.
    pub moved: bool,
    /// Whether all streams from it stand still.
    pub stalled: bool,
}

/// An upstream that ended while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct BeatStrike {
    /// Digest of the request.
    pub digest: String,
    /// Upstream.
    pub upstream: InstanceId,
}

/// One node's state.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Beat {
    /// [`BEAT_VERSION`].
    pub version: u16,
    /// Sender.
    pub node: NodeId,
    /// Where the sender takes datagrams.
    pub address: Address,
    /// Run of the sender.
    pub incarnation: Incarnation,
    /// Whether the sender's view of the instances is fresh.
    pub has_fresh_view: bool,
    /// Whether the sender is about to stop.
    pub leaving: bool,
    /// Whether the sender is in charge of the groups.
    pub in_charge: bool,
    /// Load by upstream.
    pub loads: Vec<BeatLoad>,
    /// Instances that the sender found silent.
    pub silent: Vec<InstanceId>,
    /// Requests that ended upstreams.
    pub strikes: Vec<BeatStrike>,
}
