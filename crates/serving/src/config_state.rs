//! The accepted configuration, and how long ago the store confirmed that it was the newest one.

use {
    crate::config::Config,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    turmerictack_model::ids::Revision,
};

/// Part of the revocation bound that is not used, for clocks that run at different rates.
const RATE_MARGIN: Duration = Duration::from_millis(100);

/// Accepted configuration with the time of its last confirmation.
///
/// Where revocation is strict, a node that can't tell whether a key was revoked must not serve it:
/// requests with a key are refused once the confirmation is older than the bound. The age counts
/// from the start of the read that confirmed the configuration, since the store may have answered
/// it at any time after that.
#[derive(Debug)]
pub struct ConfigState {
    revocation_bound: Option<Duration>,
    current: Option<Arc<Config>>,
    confirmed_at: Option<Instant>,
}

/// Whether requests with an API key may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyFreshness {
    /// The accepted keys are recent enough.
    Fresh,
    /// The accepted keys may have been revoked too long ago.
    Outdated {
        /// Time since the last confirmation; `None` if there has been none.
        age: Option<Duration>,
    },
}

impl ConfigState {
    /// Starts without a configuration.
    ///
    /// `revocation_bound` is the time within which a revoked key has to stop working at every node,
    /// in touch with the store or not; `None` if only nodes in touch are bound.
    pub fn new(revocation_bound: Option<Duration>) -> Self {
        Self { revocation_bound, current: None, confirmed_at: None }
    }

    /// Time within which a revoked key has to stop working; `None` if that is not strict.
    pub fn revocation_bound(&self) -> Option<Duration> {
        self.revocation_bound
    }

    /// Accepted configuration, if any.
    pub fn current(&self) -> Option<&Arc<Config>> {
        self.current.as_ref()
    }

    /// Revision of the accepted configuration; 0 if there is none.
    pub fn revision(&self) -> Revision {
        self.current.as_ref().map_or(0, |c| c.revision)
    }

    /// Replaces the configuration; returns `false` if `config` is not newer.
    pub fn accept(&mut self, config: Config) -> bool {
        if self.current.is_some() && self.revision() >= config.revision {
            return false;
        }
        self.current = Some(Arc::new(config));
        true
    }

    /// Records that a read of the store that began at `read_started_at` found `revision` to be the
    /// newest one; a read that found another one than the accepted confirms nothing.
    pub fn confirm(&mut self, revision: Revision, read_started_at: Instant) {
        if self.current.is_some() && self.revision() == revision {
            self.confirmed_at = self.confirmed_at.max(Some(read_started_at));
        }
    }

    /// Whether requests with an API key may be sent now.
    pub fn key_freshness(&self, now: Instant) -> KeyFreshness {
        let Some(bound) = self.revocation_bound else { return KeyFreshness::Fresh };
        let age = self.confirmed_at.map(|at| now.saturating_duration_since(at));
        match age {
            Some(age) if age <= bound.saturating_sub(RATE_MARGIN) => KeyFreshness::Fresh,
            age => KeyFreshness::Outdated { age },
        }
    }
}
