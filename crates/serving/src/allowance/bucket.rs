//! Token bucket of one node for one upstream.

use {
    super::senders::SAVED_TOKENS,
    std::time::{Duration, Instant},
};

/// Time for which tokens are saved, so that a high rate isn't lost between two dispatches.
const BURST_TIME: Duration = Duration::from_millis(100);

/// Tolerance for rounding errors of the level.
const EPSILON: f64 = 1e-6;

/// Token bucket that holds [`SAVED_TOKENS`], or a little more at high rates.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    tokens: f64,
    per_second: f64,
    updated_at: Instant,
}

impl TokenBucket {
    /// A bucket that isn't filled yet.
    pub(super) fn new(now: Instant, tokens: f64) -> Self {
        Self { tokens, per_second: 0.0, updated_at: now }
    }

    /// Changes the rate from now on.
    pub(super) fn set_rate(&mut self, now: Instant, per_second: f64) {
        self.tokens = self.level(now);
        self.updated_at = now;
        self.per_second = per_second;
    }

    /// Removes all tokens.
    pub(super) fn drain(&mut self, now: Instant) {
        self.tokens = 0.0;
        self.updated_at = now;
    }

    /// Tokens in the bucket.
    pub(super) fn level(&self, now: Instant) -> f64 {
        let capacity = (self.per_second * BURST_TIME.as_secs_f64()).max(SAVED_TOKENS);
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        (self.tokens + elapsed * self.per_second).min(capacity)
    }

    /// Whether a request may be sent now.
    pub(super) fn has_token(&self, now: Instant) -> bool {
        self.per_second > 0.0 && self.level(now) >= 1.0 - EPSILON
    }

    /// Takes a token.
    pub(super) fn take(&mut self, now: Instant) {
        self.tokens = self.level(now) - 1.0;
        self.updated_at = now;
    }

    /// Returns a token that wasn't used.
    pub(super) fn put_back(&mut self, now: Instant) {
        self.tokens = self.level(now) + 1.0;
        self.updated_at = now;
    }

    /// Time until the bucket has held `count` tokens; `None` if it isn't filled.
    pub(super) fn time_to(&self, now: Instant, count: usize) -> Option<Duration> {
        if self.per_second <= 0.0 {
            return None;
        }
        let missing = (count as f64 - self.level(now)).max(0.0);
        Duration::try_from_secs_f64(missing / self.per_second).ok()
    }
}
