//! Versions of facts in a store that may come back from an older copy of itself.

use {
    crate::ids::{Era, Version},
    std::fmt::{Display, Formatter, Result},
};

/// Era of the store, and version within it; ordered by era first.
///
/// Each time the store comes back from a copy its era rises by one, and versions that it gave out
/// before are given out again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreVersion {
    /// Era; 0 if the store states none.
    pub era: Era,
    /// Version within the era.
    pub version: Version,
}

impl Display for StoreVersion {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        match self.era {
            0 => write!(f, "{}", self.version),
            era => write!(f, "{era}.{}", self.version),
        }
    }
}

impl StoreVersion {
    /// Version of a store that states no era.
    pub fn without_era(version: Version) -> Self {
        Self { era: 0, version }
    }

    /// Version that precedes all of an era.
    pub fn start_of(era: Era) -> Self {
        Self { era, version: 0 }
    }

    /// The following version of the same era.
    pub fn next(self) -> Self {
        Self { version: self.version.saturating_add(1), ..self }
    }
}
