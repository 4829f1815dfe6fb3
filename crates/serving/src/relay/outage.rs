//! Detection of outages of the store, after which entries that are missing may be written again.

use std::time::{Duration, Instant};

/// Pause after the first failed request; doubled after each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum pause after a failed request.
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// Failure of a request to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestFailure {
    /// The connection was lost before the response, for example because the store cut off a watch
    /// that was waiting.
    ConnectionLost,
    /// The store rejected the request because of its rate, so it is available.
    RateLimited,
    /// The store could not be reached, did not respond in time, or failed.
    Unavailable,
}

/// Contact with the store, as the requests for one kind of objects show it.
///
/// A lost connection alone is no outage: the next request, sent at once, tells. Neither is a failure
/// that is over before the entry of a live instance can have expired.
#[derive(Clone, Copy, Debug)]
pub struct OutageDetector {
    /// Time of silence after which the store removes the entry of an instance; `None` if objects of
    /// this kind do not expire.
    entry_lifetime: Option<Duration>,
    last_contact: Option<Instant>,
    /// Failures since then, other than a lost connection at first.
    failures: u32,
    /// Whether a connection was lost since then.
    is_interrupted: bool,
    /// Whether any of the failures was more than that, or a rate limit.
    is_unavailable: bool,
}

impl OutageDetector {
    /// Creates a detector for objects that expire after a time of silence, or for objects that do
    /// not; an outage of any length counts for these.
    pub fn new(entry_lifetime: Option<Duration>) -> Self {
        Self {
            entry_lifetime,
            last_contact: None,
            failures: 0,
            is_interrupted: false,
            is_unavailable: false,
        }
    }

    /// Number of failed requests since the last contact, other than a lost connection at first.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Whether the last request did not fail.
    pub fn is_steady(&self) -> bool {
        self.failures == 0 && !self.is_interrupted
    }

    /// Records the failure of a request that was sent at `sent_at`; returns the pause before the next
    /// one.
    pub fn record_failure(
        &mut self,
        now: Instant,
        sent_at: Instant,
        failure: RequestFailure,
    ) -> Duration {
        match failure {
            RequestFailure::ConnectionLost if self.is_steady() => {
                self.is_interrupted = true;
                return MIN_BACKOFF.saturating_sub(now.saturating_duration_since(sent_at));
            }
            RequestFailure::RateLimited => self.last_contact = Some(now),
            RequestFailure::ConnectionLost | RequestFailure::Unavailable => {
                self.is_unavailable = true;
            }
        }
        let pause = (MIN_BACKOFF * (1 << self.failures.min(3))).min(MAX_BACKOFF);
        self.failures += 1;
        pause
    }

    /// Records that the store, or a node that watches it, confirmed the objects as of `at`.
    pub fn record_relayed(&mut self, at: Instant) {
        self.reset(self.last_contact.max(Some(at)));
    }

    /// Records a response of the store; returns whether it ends an outage in which entries may have
    /// expired although their instances are alive.
    pub fn record_response(&mut self, now: Instant) -> bool {
        let is_outage = !self.is_steady() && self.may_have_expired(now);
        self.reset(Some(now));
        is_outage
    }

    fn reset(&mut self, last_contact: Option<Instant>) {
        *self = Self { last_contact, ..Self::new(self.entry_lifetime) };
    }

    fn may_have_expired(&self, now: Instant) -> bool {
        let silence = self.last_contact.map(|at| now.saturating_duration_since(at));
        match (self.entry_lifetime, silence) {
            (None, _) | (_, None) => self.is_unavailable,
            // The store may have hung since the last contact, and have closed the connection when it
            // was back.
            (Some(lifetime), Some(silence)) if !self.is_unavailable => silence >= lifetime,
            // An entry may have been a third of its lifetime old when the outage began: an instance
            // writes three times in it.
            (Some(lifetime), Some(silence)) => silence >= lifetime * 2 / 3,
        }
    }
}
