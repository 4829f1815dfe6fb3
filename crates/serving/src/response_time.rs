//! Estimates of the time from a send to the response.
//!
//! A request dispatched just before its latency target passes would miss it by this time, so the
//! latest dispatch time that counts as on time is the target minus the estimate.

use {crate::directory::PoolKey, std::collections::BTreeMap, std::time::Duration};

/// Step by which each response moves the estimate, up or down, so that it converges to the median.
const MEDIAN_STEP: Duration = Duration::from_millis(2);

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
