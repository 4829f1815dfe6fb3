//! The fastest of the latest responses of an upstream.

use std::time::{Duration, Instant};

/// Time for which a response counts.
pub(super) const FASTEST_WINDOW: Duration = Duration::from_secs(2);

/// Fastest response within [`FASTEST_WINDOW`], or within half of it after a slower one.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Fastest {
    current: Option<(Instant, Duration)>,
    previous: Option<(Instant, Duration)>,
}

impl Fastest {
    pub(super) fn record(&mut self, now: Instant, elapsed: Duration) {
        match &mut self.current {
            Some((since, fastest)) if now < *since + FASTEST_WINDOW / 2 => {
                *fastest = elapsed.min(*fastest);
            }
            current => {
                self.previous = current.take();
                *current = Some((now, elapsed));
            }
        }
    }

    /// The fastest response; `None` if there was none lately.
    pub(super) fn get(&self, now: Instant) -> Option<Duration> {
        let recent = |(since, fastest): (Instant, Duration)| {
            (now < since + FASTEST_WINDOW).then_some(fastest)
        };
        let both = [self.current, self.previous];
        both.into_iter().flatten().filter_map(recent).min()
    }
}
