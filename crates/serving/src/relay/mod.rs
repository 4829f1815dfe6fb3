//! Relay of the platform's facts: a few nodes watch the store, and the others learn from them.
//!
//! [`facts`] holds what a node knows of the objects of one kind, and what it can pass on;
//! [`source`] decides whom a node asks. Both are free of transport and clocks. [`board`] answers the
//! requests of other nodes.

pub mod board;
pub mod facts;
pub mod source;

use {
    derive_more::Error,
    displaydoc::Display,
    std::{collections::BTreeMap, time::Duration},
    turmerictack_model::{
        digest::hash64,
        ids::{ObjectName, Version},
    },
};

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
    pub version: Version,
    /// Value of the object as JSON text; `None` if it was deleted.
    pub value: Option<String>,
}

/// Changes of the objects of one kind, as a node that watches the store passes them on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeSet {
    /// Version up to which the changes are complete.
    pub version: Version,
    /// Changes after the requested version, in order of version.
    pub changes: Vec<ObjectChange>,
    /// [`digest`] of all objects as of `version`.
    pub digest: u64,
    /// Time from the start of the read of the store that last confirmed `version` to the arrival of
    /// the request; zero if the read began later.
    pub confirmed_age: Duration,
    /// Time since the end of the last outage of the store that the watching node has seen.
    pub outage_age: Option<Duration>,
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
pub fn digest(versions: &BTreeMap<ObjectName, Version>) -> u64 {
    versions.iter().fold(0, |digest, (name, version)| digest ^ digest_part(name, *version))
}

/// Contribution of one object to [`digest`]; adding it again removes it.
fn digest_part(name: &str, version: Version) -> u64 {
    hash64(&[name.as_bytes(), &version.to_be_bytes()])
}
