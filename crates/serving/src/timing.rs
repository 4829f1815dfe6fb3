//! How long upstreams take until the first of an answer is there.
//!
//! A request that is sent at the end of its objective is late by this time, so it counts as late
//! in the queue as well.

use {crate::directory::TargetKind, std::collections::BTreeMap, std::time::Duration};

/// Change of the estimate with each answer; many of them bring it to the median.
const MEDIAN_STEP: Duration = Duration::from_millis(2);

/// Median time from a send to the first of its answer, by what is asked for.
#[derive(Debug, Default)]
pub struct Timings {
    first: BTreeMap<TargetKind, Duration>,
}

impl Timings {
    /// Takes the time that an upstream took.
    pub fn answered(&mut self, kind: &TargetKind, took: Duration) {
        match self.first.get_mut(kind) {
            Some(median) if took > *median => *median += MEDIAN_STEP,
            Some(median) => *median = median.saturating_sub(MEDIAN_STEP),
            None => {
                self.first.insert(kind.clone(), took);
            }
        }
    }

    /// Median time; zero while nothing is known.
    pub fn first_answer(&self, kind: &TargetKind) -> Duration {
        self.first.get(kind).copied().unwrap_or_default()
    }
}
