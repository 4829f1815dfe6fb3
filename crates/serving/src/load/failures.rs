//! Share of the requests to an upstream that failed lately.

use {
    super::LoadTracker,
    crate::flap_damping::FlapDamping,
    std::time::{Duration, Instant},
    turmerictack_protocol::heartbeat::UpstreamKey,
};

/// Weight of the latest result in the moving average.
const EWMA_WEIGHT: f64 = 0.1;

/// Rate at which an upstream counts as unhealthy.
const MAX_FAILURE_RATE: f64 = 0.3;

/// Time in which the rate halves while there is no result.
///
/// An upstream above the maximum gets no requests while another one is healthy, and so no successes
/// that would lower its rate.
const HALF_LIFE: Duration = Duration::from_secs(30);

/// Moving average of the failures of an upstream, which decays over time.
#[derive(Clone, Copy, Debug)]
pub(super) struct FailureRate {
    rate: f64,
    updated_at: Instant,
}

impl FailureRate {
    pub(super) fn new(now: Instant) -> Self {
        Self { rate: 0.0, updated_at: now }
    }

    /// Whether the upstream counts as unhealthy.
    pub(super) fn is_too_high(&self, now: Instant) -> bool {
        self.at(now) >= MAX_FAILURE_RATE
    }

    pub(super) fn record(&mut self, now: Instant, has_failed: bool) {
        let result = if has_failed { 1.0 } else { 0.0 };
        let rate = self.at(now);
        *self = Self { rate: rate + (result - rate) * EWMA_WEIGHT, updated_at: now };
    }

    fn at(&self, now: Instant) -> f64 {
        let idle = now.saturating_duration_since(self.updated_at);
        self.rate * 0.5_f64.powf(idle.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}

impl LoadTracker {
    /// Clears the cooldown and the failure rate of an upstream that was not the cause of them.
    pub(crate) fn forgive_failures(&mut self, now: Instant, key: UpstreamKey) {
        if let Some(load) = self.by_key.get_mut(&key) {
            load.cooldown_until = None;
            load.flaps = FlapDamping::default();
            load.failures = FailureRate::new(now);
        }
    }
}
