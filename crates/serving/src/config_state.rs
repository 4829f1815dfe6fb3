//! The accepted configuration, and how long ago the store confirmed that it was the newest one.

use {
    crate::{config::Config, relay::EraStart},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    turmerictack_model::{ids::Revision, store_version::StoreVersion},
};

/// Part of the revocation bound that is not used, for clocks that run at different rates.
const RATE_MARGIN: Duration = Duration::from_millis(100);

/// Time for which a lower revision has to stand before it is accepted in an era in which operators
/// wrote it; they may write several configurations again, one after the other.
const LOWER_REVISION_DELAY: Duration = Duration::from_secs(1);

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
    era_start: Option<EraStart>,
    /// Reads of the store that began earlier confirm nothing: it may have lost a configuration that
    /// this node has not seen.
    confirmed_from: Option<Instant>,
    /// Lower revision that operators wrote in this era, and when it is to be accepted.
    pending: Option<(Instant, Config)>,
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
        Self {
            revocation_bound,
            current: None,
            confirmed_at: None,
            era_start: None,
            confirmed_from: None,
            pending: None,
        }
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

    /// Takes a configuration as the store shows it at `version`; returns `false` if it is not
    /// accepted now.
    ///
    /// A lower revision that may come from the copy which the store came back from is ignored. One
    /// that was written later is accepted after a delay, with [`Self::accept_pending`]: otherwise
    /// what an operator withdraws with it would stay in force for good.
    pub fn offer(
        &mut self,
        now: Instant,
        config: Config,
        version: StoreVersion,
        era_start: Option<EraStart>,
    ) -> bool {
        self.begin_era(era_start);
        let is_written = era_start.is_some_and(|start| !start.may_be_restored(version));
        self.pending = None;
        if is_written {
            self.confirmed_from = None;
        }
        if is_written && config.revision < self.revision() {
            self.pending = Some((now + LOWER_REVISION_DELAY, config));
            return false;
        }
        self.accept(config)
    }

    /// Accepts a lower revision whose delay is over; returns whether there is one.
    pub fn accept_pending(&mut self, now: Instant) -> bool {
        let Some((_, config)) = self.pending.take_if(|(at, _)| now >= *at) else { return false };
        self.current = Some(Arc::new(config));
        true
    }

    /// When a lower revision is to be accepted.
    pub fn next_pending(&self) -> Option<Instant> {
        self.pending.as_ref().map(|(at, _)| *at)
    }

    /// Begins an era that is later than the known one.
    ///
    /// The last confirmation stays, as the store gave it before it went back; but nothing of the copy
    /// confirms the configuration until operators have had the time to write theirs again.
    fn begin_era(&mut self, era_start: Option<EraStart>) {
        let Some(start) = era_start else { return };
        if self.era_start.is_none_or(|known| known.version.era < start.version.era) {
            self.era_start = Some(start);
            self.confirmed_from = self.current.is_some().then(|| start.settles_at());
        }
    }

    /// Records that a read of the store that began at `read_started_at` found `revision` to be the
    /// newest one; a read that found another one than the accepted confirms nothing.
    pub fn confirm(&mut self, revision: Revision, read_started_at: Instant) {
        let is_settled = self.confirmed_from.is_none_or(|from| read_started_at >= from);
        if self.current.is_some() && self.revision() == revision && is_settled {
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
