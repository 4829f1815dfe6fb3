//! Time for which a node has been isolated, and what it means for leadership.

use std::time::{Duration, Instant};

/// Time for which a node must be isolated to leave leadership to others.
const MIN_ISOLATION: Duration = Duration::from_millis(500);

/// Time after the end of its isolation for which a node goes on to do so.
const LEADERSHIP_RETURN_DELAY: Duration = Duration::from_secs(3);

/// A node that has become isolated, or no longer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IsolationChange {
    /// Whether it is isolated now.
    pub is_isolated: bool,
    /// Paths that are down, of those with recent evidence.
    pub down: usize,
    /// Paths with recent evidence.
    pub known: usize,
}

/// Course of a node's isolation.
#[derive(Debug, Default)]
pub(super) struct Isolation {
    since: Option<Instant>,
    defers_until: Option<Instant>,
    defers_leadership: bool,
}

impl Isolation {
    pub(super) fn update(
        &mut self,
        now: Instant,
        is_isolated: bool,
        down: usize,
        known: usize,
    ) -> Option<IsolationChange> {
        let was_isolated = self.since.is_some();
        self.since = is_isolated.then(|| self.since.unwrap_or(now));
        if self.since.is_some_and(|since| now >= since + MIN_ISOLATION) {
            self.defers_until = Some(now + LEADERSHIP_RETURN_DELAY);
        }
        self.defers_leadership = self.defers_until.is_some_and(|until| now < until);
        (is_isolated != was_isolated).then_some(IsolationChange { is_isolated, down, known })
    }

    pub(super) fn defers_leadership(&self) -> bool {
        self.defers_leadership
    }
}
