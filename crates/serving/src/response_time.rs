//! How long upstreams take until the first of an answer is there.
//!
//! A request that is sent at the end of its objective is late by this time, so it counts as late
//! in the queue as well.

use {crate::directory::PoolKey, std::collections::BTreeMap, std::time::Duration};

/// Change of the estimate with each answer; many of them bring it to the median.
const MEDIAN_STEP: Duration = Duration::from_millis(2);

/// Median time from a send to the first of its answer, by what is asked for.
#[derive(Debug, Default)]
pub struct ResponseTimes {
    medians: BTreeMap<PoolKey, Duration>,
}

impl ResponseTimes {
    /// Takes the time that an upstream took.
    pub fn record(&mut self, pool: &PoolKey, elapsed: Duration) {
        match self.medians.get_mut(pool) {
            Some(median) if elapsed > *median => *median += MEDIAN_STEP,
            Some(median) => *median = median.saturating_sub(MEDIAN_STEP),
            None => {
                self.medians.insert(pool.clone(), elapsed);
            }
        }
    }

    /// Median time; zero while nothing is known.
    pub fn median(&self, pool: &PoolKey) -> Duration {
        self.medians.get(pool).copied().unwrap_or_default()
    }
}
