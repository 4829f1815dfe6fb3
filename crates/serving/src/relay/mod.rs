//! Relay of the platform's facts: a few nodes watch the store, and the others learn from them.
//!
//! [`facts`] holds what a node knows of the objects of one kind, and what it can pass on;
//! [`source`] decides whom a node asks, [`outage`] what counts as an outage of the store, and
//! [`relisting`] when an incomplete listing is repeated. They are free of transport and clocks.
//! [`board`] answers the requests of other nodes.

pub mod board;
pub mod facts;
pub mod outage;
pub mod relisting;
pub mod source;

use {
    derive_more::Error,
    displaydoc::Display,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    turmerictack_model::{
        digest::hash64,
        ids::{ObjectName, Version},
        store_version::StoreVersion,
    },
};

/// Time after which operators and instances have written again what a store lost that came back
/// from a copy, and what expired while the store was unavailable.
pub const REWRITE_PERIOD: Duration = Duration::from_millis(2_200);

/// Kind of objects that nodes follow.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum FactKind {
    /// configuration
    Configuration,
    /// instances
    Instances,
    /// evacuations
    Evacuations,
}

/// Change of a stored object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectChange {
    /// Name of the object.
    pub name: ObjectName,
    /// Version of the change.
    pub version: StoreVersion,
    /// Value of the object as JSON text; `None` if it was deleted.
    pub value: Option<String>,
}

impl ObjectChange {
    /// Size of the name and the value, in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.name.len() + self.value.as_ref().map_or(0, String::len)
    }
}

/// Changes of the objects of one kind, as a node that watches the store passes them on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeSet {
    /// Version up to which the changes are complete.
    pub version: StoreVersion,
    /// Changes after the requested version, in order of version; if the request came from an
    /// earlier era, the last change of every object in this era.
    pub changes: Vec<ObjectChange>,
    /// [`digest`] of all objects as of `version`.
    pub digest: u64,
    /// Time from the start of the read of the store that last confirmed `version` to the arrival of
    /// the request; zero if the read began later.
    pub confirmed_age: Duration,
    /// Time since the end of the last outage of the store that the watching node has seen.
    pub outage_age: Option<Duration>,
    /// Lowest version of this era that the watching node knows to have been reached when the era was
    /// first seen; 0 if it has been in this era from the beginning.
    pub era_seen_at: Version,
}

/// First contact of a node with an era of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EraStart {
    /// Version at which the era was first seen; all later ones were written in it, while this and
    /// earlier ones may come from a copy of the store.
    pub version: StoreVersion,
    /// When this node first saw the era.
    pub seen_at: Instant,
}

impl EraStart {
    /// Whether an object of this version may come from the copy.
    pub fn may_be_restored(&self, version: StoreVersion) -> bool {
        version <= self.version
    }

    /// Time from which on what the store lost has been written again.
    pub fn settles_at(&self) -> Instant {
        self.seen_at + REWRITE_PERIOD
    }
}

/// Reason for which a node learns nothing from a relay.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Error)]
pub enum RelayError {
    /// the relay did not answer
    NoResponse,
    /// the node does not watch the store
    NotWatching,
    /// the relay does not know all changes since the requested version
    HistoryTooShort,
    /// the relay knows less than this node
    Behind,
    /// a change is missing
    Incomplete,
}

/// Digest of the names and versions of a set of objects.
///
/// It differs, but for a chance of 2^-64, if any object is missing, superfluous or outdated.
pub fn digest(versions: &BTreeMap<ObjectName, StoreVersion>) -> u64 {
    versions.iter().fold(0, |digest, (name, version)| digest ^ digest_part(name, *version))
}

/// Contribution of one object to [`digest`]; adding it again removes it.
fn digest_part(name: &str, version: StoreVersion) -> u64 {
    hash64(&[name.as_bytes(), &version.era.to_be_bytes(), &version.version.to_be_bytes()])
}
