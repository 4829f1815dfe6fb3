//! What a node knows of its path to one instance.

use {
    super::DirectPath,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    turmerictack_model::ids::Address,
};

/// Maximum age of the evidence on a path that tells whether the node is isolated.
const EVIDENCE_AGE: Duration = Duration::from_secs(3);

/// Evidence on the path to an instance.
#[derive(Debug)]
pub(super) struct InstancePath {
    pub(super) state: DirectPath,
    pub(super) used_at: Instant,
    pub(super) opened_at: Option<Instant>,
    /// Time of the latest direct connection or response.
    pub(super) success_at: Option<Instant>,
    /// Time of the latest failure of a direct dial, whatever peers reach.
    pub(super) failure_at: Option<Instant>,
    /// Time of the latest failure of a direct dial to which a peer got through.
    pub(super) confirmed_at: Option<Instant>,
    /// Beginning of a direct dial that timed out, as long as no other evidence supports it.
    pub(super) suspicion: Option<Instant>,
    pub(super) tried_at: Instant,
    pub(super) crashed_until: Option<Instant>,
    pub(super) failed_peers: BTreeMap<Address, Instant>,
}

impl InstancePath {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            state: DirectPath::Unknown,
            used_at: now,
            opened_at: None,
            success_at: None,
            failure_at: None,
            confirmed_at: None,
            suspicion: None,
            tried_at: now,
            crashed_until: None,
            failed_peers: BTreeMap::new(),
        }
    }

    pub(super) fn is_down(&self) -> bool {
        matches!(self.state, DirectPath::Down { .. })
    }

    /// Whether it is known from the last seconds that the path is open, or that it is down.
    pub(super) fn has_evidence(&self, now: Instant) -> bool {
        is_recent(now, self.success_at.max(self.confirmed_at))
    }

    /// Whether the latest direct dial has failed.
    pub(super) fn is_failing(&self) -> bool {
        self.failure_at.is_some() && self.failure_at >= self.success_at
    }
}

/// Whether something happened in the last seconds.
pub(super) fn is_recent(now: Instant, at: Option<Instant>) -> bool {
    at.is_some_and(|at| now < at + EVIDENCE_AGE)
}
