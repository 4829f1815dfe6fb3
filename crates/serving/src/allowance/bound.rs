//! What a source of an allowance permits.

use {
    super::senders::{SAVED_TOKENS, max_senders},
    std::time::Duration,
    turmerictack_model::rate::RequestRate,
};

/// Window over which the requests to an upstream with a stated limit are counted.
pub(super) const STATED_WINDOW: Duration = Duration::from_secs(4);

/// Requests in that window above which the nodes send no more, as a multiple of the stated rate.
const STATED_COUNT_FACTOR: f64 = 1.25;

/// Requests in that window that are allowed besides.
const STATED_COUNT_EXCESS: f64 = 3.0;

/// Window over which the requests to a cold upstream are counted.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// Share of what a cold upstream takes beyond its rate that the senders may save; the rest is for
/// the time in which nodes know different lists of nodes or upstreams.
const COLD_SAVED_SHARE: f64 = 0.75;

/// Share of the same up to which the nodes send, by the counts that they report.
const COLD_COUNT_SHARE: f64 = 0.5;

/// What one source of an allowance permits all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Bound {
    pub(super) rate: RequestRate,
    /// Largest number of nodes that may send.
    pub(super) max_senders: usize,
    /// Window over which requests are counted.
    pub(super) window: Duration,
    /// Requests in the window above which the nodes send no more.
    pub(super) max_count: f64,
}

impl Bound {
    /// Bound of a rate that the upstream stated.
    pub(super) fn stated(rate: RequestRate) -> Self {
        let window = STATED_WINDOW.as_secs_f64() * STATED_COUNT_FACTOR;
        Self {
            rate,
            max_senders: max_senders(rate),
            window: STATED_WINDOW,
            max_count: rate.per_second() * window + STATED_COUNT_EXCESS,
        }
    }
}

/// How far the requests to a cold upstream may exceed its rate in any second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    /// Requests in a second as a multiple of the rate; at least 1.
    pub overrun: f64,
    /// Requests in a second that are allowed besides.
    pub margin: f64,
}

impl Default for ColdBound {
    fn default() -> Self {
        Self { overrun: 1.5, margin: 5.0 }
    }
}

impl ColdBound {
    /// Requests to an upstream that are allowed in a second.
    pub fn max_in_second(self, rate: RequestRate) -> f64 {
        rate.per_second() * self.overrun + self.margin
    }

    pub(super) fn of_rate(self, rate: RequestRate) -> Bound {
        let max = self.max_in_second(rate);
        let per_second = rate.per_second().min(max - SAVED_TOKENS);
        let excess = max - per_second;
        Bound {
            rate: RequestRate::from_per_second(per_second),
            max_senders: ((excess * COLD_SAVED_SHARE / SAVED_TOKENS) as usize).max(1),
            window: COLD_WINDOW,
            max_count: per_second + excess * COLD_COUNT_SHARE,
        }
    }
}
