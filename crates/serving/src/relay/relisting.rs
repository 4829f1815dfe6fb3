//! When a listing that was incomplete is read again.

use {
    rand::{Rng, RngExt as _},
    std::time::{Duration, Instant},
};

/// Pause before the first repetition, at least; doubled after each further one.
const MIN_PAUSE: Duration = Duration::from_secs(2);

/// Maximum of this pause: all nodes may have to list, and each may need several calls.
const MAX_PAUSE: Duration = Duration::from_secs(60);

/// Repetition of a listing that was incomplete; until then its node follows the changes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Relisting {
    due_at: Option<Instant>,
    repetitions: u32,
}

impl Relisting {
    /// Whether the last listing was incomplete.
    pub fn is_pending(&self) -> bool {
        self.due_at.is_some()
    }

    /// Whether it is time to list again.
    pub fn is_due(&self, now: Instant) -> bool {
        self.due_at.is_some_and(|at| now >= at)
    }

    /// Time until then; [`Duration::MAX`] if the last listing was complete.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.due_at.map_or(Duration::MAX, |at| at.saturating_duration_since(now))
    }

    /// Records a complete listing.
    pub fn record_complete(&mut self) {
        *self = Self::default();
    }

    /// Records an incomplete listing, or the failure of one that was due, and returns the pause
    /// before the next one: up to twice the least one, so that nodes don't list all at once.
    pub fn record_incomplete(&mut self, now: Instant, rng: &mut dyn Rng) -> Duration {
        let least = MIN_PAUSE.saturating_mul(1 << self.repetitions.min(5)).min(MAX_PAUSE);
        let pause = least.mul_f64(1.0 + rng.random::<f64>());
        self.repetitions += 1;
        self.due_at = Some(now + pause);
        pause
    }
}
