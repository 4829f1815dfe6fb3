//! Versions of facts in a store that may come back from an older copy of itself.

use {
    crate::ids::{Era, Version},
    derive_more::Display,
};

/// Era of the store, and version within it; ordered by era first.
///
/// Each time the store comes back from a copy its era rises by one, and versions that it gave out
/// before are given out again.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{era}.{version}")]
pub struct StoreVersion {
    /// Era; 0 if the store states none.
    pub era: Era,
    /// Version within the era.
    pub version: Version,
}
