//! Spreading requests over upstreams whose loads are known only with a delay.

use {
    crate::directory::Upstream,
    rand::{Rng, RngExt as _},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time constant of the moving average of the send rate.
const SEND_RATE_WINDOW: Duration = Duration::from_secs(2);

/// Moving average of the rate of requests that this node sends.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SendRate {
    per_second: f64,
    updated_at: Instant,
}

impl SendRate {
    /// Starts at zero.
    pub(crate) fn new(now: Instant) -> Self {
        Self { per_second: 0.0, updated_at: now }
    }

    /// Requests per second, as of `now`.
    pub(crate) fn per_second(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        self.per_second * (-age.as_secs_f64() / SEND_RATE_WINDOW.as_secs_f64()).exp()
    }

    /// Counts one request.
    pub(crate) fn record_send(&mut self, now: Instant) {
        self.per_second = self.per_second(now) + 1.0 / SEND_RATE_WINDOW.as_secs_f64();
        self.updated_at = now;
    }
}

/// An upstream that may be chosen.
pub(crate) struct Score<'a> {
    /// Load score, lower being better.
    pub(crate) load: f64,
    /// Number of nodes for each that may send to the upstream.
    pub(crate) weight: f64,
    pub(crate) upstream: &'a Arc<Upstream>,
}

/// Chooses an upstream so that, if all nodes choose from the same scores, `sends` requests raise
/// the lowest ones to a common level.
///
/// Nodes with the same view would otherwise all send to the upstream with the lowest score until
/// they learn of each other's requests.
///
/// Of the requests that would raise an upstream to the level, this node sends its part, in
/// proportion to the weight given.
pub(crate) fn choose_below_level<'a>(
    scores: &[Score<'a>],
    sends: f64,
    rng: &mut dyn Rng,
) -> Option<&'a Arc<Upstream>> {
    let mut sorted: Vec<f64> = scores.iter().map(|s| s.load).collect();
    sorted.sort_by(f64::total_cmp);
    let mut below = 0.0;
    let mut level = f64::INFINITY;
    for (at, score) in sorted.iter().enumerate() {
        if *score >= level {
            break;
        }
        below += score;
        level = (sends + below) / (at + 1) as f64;
    }
    let part = |score: &Score<'_>| (level - score.load).max(0.0) * score.weight;
    let total: f64 = scores.iter().map(part).sum();
    let mut draw = rng.random::<f64>() * total;
    for score in scores {
        draw -= part(score);
        if draw < 0.0 {
            return Some(score.upstream);
        }
    }
    scores.last().map(|score| score.upstream)
}
