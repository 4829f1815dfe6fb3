//! Requests and responses between nodes.

use {
    bincode::{Decode, Encode},
    std::time::Duration,
    turmerictack_model::ids::{
        Address, DataCentre, Epoch, Era, GroupId, Incarnation, InstanceId, NodeId, ObjectName,
        Revision, Version,
    },
};

/// Version of the message format; the handshake fails between nodes of different versions.
pub const PROTOCOL_VERSION: u16 = 4;

/// State of a node in the membership protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum PeerState {
    /// The node answers probes.
    Alive,
    /// The node missed a probe and may still refute the suspicion.
    Suspect,
    /// The node did not refute the suspicion in time.
    Dead,
    /// The node announced its shutdown.
    Left,
}

/// Membership state of one node.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PeerInfo {
    /// Name of the node.
    pub node: NodeId,
    /// Address on which the node listens for peers.
    pub address: Address,
    /// Data centre of the node.
    pub data_centre: DataCentre,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// State of the node in this incarnation.
    pub state: PeerState,
}

/// Loss of an upstream while it was running a request, which counts towards the request's
/// quarantine.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PeerUpstreamLoss {
    /// Digest of the request.
    pub digest: String,
    /// Upstream that was lost and its epoch, joined into one name.
    pub upstream: String,
}

/// State that each probe and its acknowledgement carry.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Gossip {
    /// State of the sender itself.
    pub from: PeerInfo,
    /// Revision of the services configuration that the sender applies; 0 if it has none.
    pub revision: Revision,
    /// Membership updates about other nodes.
    pub updates: Vec<PeerInfo>,
    /// Losses of upstreams that the sender knows of.
    pub losses: Vec<PeerUpstreamLoss>,
}

/// Replica group that an instance reports as its own.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PeerClaim {
    /// Id of the group.
    pub group: GroupId,
    /// Epoch of the group.
    pub epoch: Epoch,
    /// Members of the group.
    pub members: Vec<InstanceId>,
}

/// Latest report of an instance that the responding node probes.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PeerReport {
    /// Instance that sent the report.
    pub instance: InstanceId,
    /// Age of the report in ms when the response was created.
    pub age_ms: u32,
    /// Group that the instance reports, if any.
    pub claim: Option<PeerClaim>,
    /// Highest fencing token that the instance has seen.
    pub fence: Epoch,
    /// Model that the instance has loaded.
    pub model: Option<String>,
    /// Whether the instance can serve calls.
    pub ready: bool,
    /// Whether the instance is about to be stopped.
    pub leaving: bool,
}

/// Low 48 bits, big-endian, of the id of the probe run that change numbers belong to.
///
/// A node starts a new run when it drops a probe result, so that its peers fetch all reports again.
pub type ProbeRunId = [u8; 6];

/// Duration in units of 10 ms, rounded up.
pub type Centiseconds = u32;

/// Kind of objects of the platform's store that nodes pass on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum PeerObjectKind {
    /// Services configuration.
    Configuration,
    /// Instances.
    Instances,
    /// Evacuations of data centres.
    Evacuations,
}

/// Change of an object of the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PeerObjectChange {
    /// Name of the object.
    pub name: ObjectName,
    /// Version of the change.
    pub version: Version,
    /// Value of the object as JSON text; `None` if it was deleted.
    pub value: Option<String>,
}

/// Changes of the objects of one kind.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PeerChanges {
    /// Version up to which the changes are complete.
    pub version: Version,
    /// Changes after the requested version, in order of version.
    pub changes: Vec<PeerObjectChange>,
    /// Digest of the names and versions of all objects.
    pub digest: u64,
    /// Time in ms from the start of the read that last confirmed the version to the arrival of the
    /// request, rounded up.
    pub confirmed_age_ms: u32,
    /// Time in ms since the end of the last outage of the store.
    pub outage_age_ms: Option<u32>,
    /// Era of the store that all versions belong to.
    pub era: Era,
    /// Version at which the era was first seen.
    pub era_seen_at: Version,
}

/// Request to another node.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum PeerRequest {
    /// Checks that the node is alive and passes on membership updates.
    Probe(Gossip),
    /// Asks the receiver to probe a third node on the sender's behalf.
    IndirectProbe {
        /// State of the requesting node.
        gossip: Gossip,
        /// Node to probe.
        node: NodeId,
        /// Address of the node to probe.
        address: Address,
    },
    /// Requests the services configuration if the receiver has a newer revision.
    Settings {
        /// Revision that the requesting node has; 0 if it has none.
        known_revision: Revision,
    },
    /// Requests the reports of the instances that the receiver probes, as changes since
    /// `last_change`.
    Reports {
        /// Probe run of the receiver that `last_change` belongs to.
        run: ProbeRunId,
        /// Number of the last change that the requesting node has.
        last_change: u64,
    },
    /// Requests the changes of objects after a version from a node that watches the store.
    Changes {
        /// Kind of the objects.
        kind: PeerObjectKind,
        /// Version that the requesting node has.
        after: Version,
        /// Time in ms for which the request may be held open until there is a change.
        wait_ms: u32,
        /// Era of the store that `after` belongs to.
        era: Era,
    },
}

impl PeerRequest {
    /// Whether the request is sent again and again, so that it goes over a persistent stream.
    pub fn is_frequent(&self) -> bool {
        matches!(self, Self::Probe(_) | Self::Reports { .. } | Self::Changes { .. })
    }

    /// Time for which the receiver may hold the request open before it answers.
    pub fn wait(&self) -> Duration {
        match self {
            Self::Changes { wait_ms, .. } => Duration::from_millis(u64::from(*wait_ms)),
            _ => Duration::ZERO,
        }
    }
}

/// Response of another node.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum PeerResponse {
    /// Acknowledges a probe and passes on membership updates.
    Ack(Gossip),
    /// Whether the third node answered an indirect probe.
    ProbeResult(bool),
    /// The services configuration.
    Settings {
        /// Revision of the responding node, or `known_revision` of the request if that is higher.
        revision: Revision,
        /// Text of the configuration if it is newer than `known_revision`; `None` otherwise.
        text: Option<String>,
    },
    /// Reports that changed, and the greatest age of the others.
    Reports {
        /// Probe run of the responding node.
        run: ProbeRunId,
        /// Number of the responding node's latest change.
        last_change: u64,
        /// Reports that changed after the requested change number.
        changed: Vec<PeerReport>,
        /// Greatest age in ms of the unchanged reports that are not listed in `expired`, without
        /// those of engine instances in no group.
        age_ms: u32,
        /// Instances whose latest report is too old to be used.
        expired: Vec<InstanceId>,
    },
    /// No report has changed since the requested change number, and none has expired.
    Unchanged {
        /// Greatest age of the reports, without those of engine instances in no group.
        age: Centiseconds,
    },
    /// Changes of objects.
    Changes(PeerChanges),
    /// The node does not know all changes since the requested version.
    HistoryTooShort,
    /// The node cannot answer at the moment.
    Busy,
}
