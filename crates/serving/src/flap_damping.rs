//! Longer pauses for upstreams that go down and up by turns.

use std::time::{Duration, Instant};

/// Time without a further failure after which an upstream counts as steady again.
const STEADY_AFTER: Duration = Duration::from_secs(10);

/// Maximum factor by which a pause is extended.
const MAX_FACTOR: u32 = 4;

/// Pauses shorter than this follow from load, not from failures, and are not extended.
const MIN_DAMPED: Duration = Duration::from_millis(500);

/// Recent failures of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FlapDamping {
    factor: u32,
    last: Option<Instant>,
}

impl FlapDamping {
    /// Pause after a failure: `pause` itself for the first one, twice as long with each further one
    /// that follows within [`STEADY_AFTER`] of the end of the previous pause.
    pub(crate) fn damped(&mut self, now: Instant, pause: Duration) -> Duration {
        if pause < MIN_DAMPED {
            return pause;
        }
        let paused = pause * self.factor;
        // Several requests may fail at once.
        let is_same_failure = self.last.is_some_and(|last| now < last + paused);
        let is_recent = self.last.is_some_and(|last| now < last + paused + STEADY_AFTER);
        if !is_same_failure {
            self.factor = if is_recent { (self.factor * 2).min(MAX_FACTOR) } else { 1 };
            self.last = Some(now);
        }
        pause * self.factor
    }
}
