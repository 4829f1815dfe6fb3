//! Adaptive limit on the calls that this node has in flight at one upstream.

use std::time::{Duration, Instant};

/// Factor applied to the estimate after a rejection, a stall or a lost connection.
const DECREASE_FACTOR: f64 = 0.7;

/// Fraction of the estimate that a new or returning upstream starts with.
const INITIAL_FRACTION: f64 = 0.25;

/// Duration of the slow start, over which the fraction grows linearly to 1.
const SLOW_START_DURATION: Duration = Duration::from_secs(10);

/// Concurrency limit of one upstream: additive increase, multiplicative decrease (AIMD) and slow
/// start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdaptiveLimit {
    estimate: f64,
    max: usize,
    started_at: Instant,
}

impl AdaptiveLimit {
    /// A limit of at most `max` calls for an upstream whose slow start begins at `started_at`.
    pub fn new(max: usize, started_at: Instant) -> Self {
        Self { estimate: max as f64, max, started_at }
    }

    /// Changes the largest limit and scales the estimate with it.
    pub fn set_max(&mut self, max: usize) {
        if max != self.max {
            self.estimate = (self.estimate * max as f64 / self.max.max(1) as f64).max(1.0);
            self.max = max;
        }
    }

    /// Begins a new slow start, for an upstream that has returned.
    pub fn restart_slow_start(&mut self, now: Instant) {
        self.started_at = now;
    }

    /// Largest number of calls in flight at this time; at least 1.
    pub fn current(&self, now: Instant) -> usize {
        let age = now.saturating_duration_since(self.started_at);
        let progress = (age.as_secs_f64() / SLOW_START_DURATION.as_secs_f64()).min(1.0);
        let fraction = INITIAL_FRACTION + (1.0 - INITIAL_FRACTION) * progress;
        ((self.estimate.min(self.max as f64) * fraction).round() as usize).max(1)
    }

    /// Raises the estimate by its reciprocal after a successful call: at an estimate of 10, ten
    /// successes raise it by about 1.
    pub fn on_success(&mut self) {
        self.estimate = (self.estimate + 1.0 / self.estimate).min(self.max as f64);
    }

    /// Lowers the estimate after a rejection, a stall or a lost connection.
    pub fn on_failure(&mut self) {
        self.estimate = (self.estimate * DECREASE_FACTOR).max(1.0);
    }
}
