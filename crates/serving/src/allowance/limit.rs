//! Rate limit of one run of an upstream, as this node knows it.

use {
    super::{bucket::TokenBucket, senders::Senders},
    crate::spread::SendRate,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
    turmerictack_model::rate::RequestRate,
};

/// Window over which the requests to an upstream are counted.
const COUNT_WINDOW: Duration = Duration::from_secs(4);

/// Requests in the window above which the nodes send no more, as a multiple of the stated rate.
const MAX_COUNT_FACTOR: f64 = 1.25;

/// Requests in the window that are allowed besides.
const MAX_COUNT_EXCESS: f64 = 3.0;

/// What an upstream last stated; `rate` is `None` if it stated no limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Statement {
    pub(super) rate: Option<RequestRate>,
    pub(super) stated_at: Instant,
}

/// A rate limit, and what this node may send and has sent under it.
#[derive(Clone, Debug)]
pub(super) struct Limit {
    /// Latest statement to any node.
    pub(super) latest: Statement,
    /// Latest statement to this node.
    pub(super) own: Option<Statement>,
    /// Time at which the run was last known to be listed.
    pub(super) listed_at: Instant,
    /// Nodes that may send.
    pub(super) senders: Senders,
    pub(super) bucket: TokenBucket,
    /// Whether the bucket has got its first tokens.
    pub(super) is_filled: bool,
    /// Requests that the pools of the upstream got from clients here.
    pub(super) demand: SendRate,
    /// Demand in requests per second at the start of the last two rounds of heartbeats, the older
    /// one first.
    pub(super) reported_demand: [f64; 2],
    /// Requests that peers sent in the window.
    pub(super) peer_count: usize,
    sends: VecDeque<Instant>,
}

impl Limit {
    pub(super) fn new(now: Instant, latest: Statement) -> Self {
        Self {
            latest,
            own: None,
            listed_at: now,
            senders: Senders::new(),
            bucket: TokenBucket::new(now, 0.0),
            is_filled: false,
            demand: SendRate::new(now),
            reported_demand: [0.0; 2],
            peer_count: 0,
            sends: VecDeque::new(),
        }
    }

    /// Demand that all peers have been told of, from which they derive their shares too.
    pub(super) fn known_demand(&self) -> f64 {
        self.reported_demand[0]
    }

    /// Requests that this node sent in the window.
    pub(super) fn count(&self, now: Instant) -> usize {
        self.sends.iter().filter(|at| now < **at + COUNT_WINDOW).count()
    }

    /// Whether a request may be sent now.
    ///
    /// Besides the bucket, the requests of all nodes are counted, since nodes that disagree about
    /// the senders or the demand take more than the rate together.
    pub(super) fn may_send(&self, now: Instant) -> bool {
        let Some(rate) = self.latest.rate else { return true };
        let window = COUNT_WINDOW.as_secs_f64() * MAX_COUNT_FACTOR;
        let max_count = rate.per_second() * window + MAX_COUNT_EXCESS;
        self.bucket.has_token(now) && (self.peer_count + self.count(now) + 1) as f64 <= max_count
    }

    /// Counts a request sent.
    pub(super) fn record_send(&mut self, now: Instant) {
        while self.sends.front().is_some_and(|at| now >= *at + COUNT_WINDOW) {
            self.sends.pop_front();
        }
        self.sends.push_back(now);
        self.bucket.take(now);
    }

    /// Takes back the count of a request that wasn't sent.
    pub(super) fn cancel_send(&mut self, now: Instant) {
        if self.sends.pop_back().is_some() {
            self.bucket.put_back(now);
        }
    }
}
