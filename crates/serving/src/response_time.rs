//! Estimates of the time from a send to the response, and to its end.
//!
//! A request dispatched just before its latency target passes would miss it by this time, so the
//! latest dispatch time that counts as on time is the target minus the estimate.

use {
    crate::directory::PoolKey,
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Step by which each response moves the estimate, up or down, so that it converges to the median.
const MEDIAN_STEP: Duration = Duration::from_millis(2);

/// Number of responses of each pool whose durations are kept.
const MAX_DURATIONS: usize = 64;

/// Smallest number of responses of a pool for an estimate of the next duration.
const MIN_DURATIONS: usize = 8;

/// Median time from a send to the first event or the complete response, by pool.
#[derive(Debug, Default)]
pub struct ResponseTimes {
    medians: BTreeMap<PoolKey, Duration>,
}

impl ResponseTimes {
    /// Records one response time.
    pub fn record(&mut self, pool: &PoolKey, elapsed: Duration) {
        match self.medians.get_mut(pool) {
            Some(median) if elapsed > *median => *median += MEDIAN_STEP,
            Some(median) => *median = median.saturating_sub(MEDIAN_STEP),
            None => {
                self.medians.insert(pool.clone(), elapsed);
            }
        }
    }

    /// Estimated median; zero before the first response.
    pub fn median(&self, pool: &PoolKey) -> Duration {
        self.medians.get(pool).copied().unwrap_or_default()
    }
}

/// Durations of the latest whole responses, by pool.
#[derive(Debug, Default)]
pub struct ResponseDurations {
    recent: BTreeMap<PoolKey, VecDeque<Duration>>,
}

impl ResponseDurations {
    /// Records the time from the send to the end of one response.
    pub fn record(&mut self, pool: &PoolKey, elapsed: Duration) {
        let recent = self.recent.entry(pool.clone()).or_default();
        if recent.len() == MAX_DURATIONS {
            recent.pop_front();
        }
        recent.push_back(elapsed);
    }

    /// The longest duration; `None` if too few responses are known.
    pub fn longest(&self, pool: &PoolKey) -> Option<Duration> {
        let recent = self.recent.get(pool).filter(|r| r.len() >= MIN_DURATIONS)?;
        recent.iter().max().copied()
    }
}
