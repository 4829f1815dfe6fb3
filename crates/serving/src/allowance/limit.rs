//! Allowance of one run of an upstream, as this node knows it.

use {
    super::{
        bound::{Bound, STATED_WINDOW},
        bucket::TokenBucket,
        senders::Senders,
    },
    crate::spread::SendRate,
    std::{collections::VecDeque, time::Instant},
    turmerictack_model::rate::RequestRate,
};

/// What an upstream last stated; `rate` is `None` if it stated no limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Statement {
    pub(super) rate: Option<RequestRate>,
    pub(super) stated_at: Instant,
}

/// A cold start, and what it permits until its end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Cold {
    pub(super) until: Instant,
    pub(super) bound: Bound,
}

/// The sources of an allowance, and what this node may send and has sent under it.
#[derive(Clone, Debug)]
pub(super) struct Limit {
    /// Latest statement to any node.
    pub(super) latest: Option<Statement>,
    /// Latest statement to this node.
    pub(super) own: Option<Statement>,
    /// Cold start, unless it was over when it was last looked at.
    pub(super) cold: Option<Cold>,
    /// Time at which the run was last known to be listed.
    pub(super) listed_at: Instant,
    /// Nodes that may send.
    pub(super) senders: Senders,
    /// Number of senders while the upstream is cold, and whether this node is one of them.
    pub(super) cold_senders: (usize, bool),
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
    pub(super) fn new(now: Instant) -> Self {
        Self {
            latest: None,
            own: None,
            cold: None,
            listed_at: now,
            senders: Senders::new(),
            cold_senders: (0, false),
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

    /// Rate that the upstream states, if any.
    pub(super) fn stated_rate(&self) -> Option<RequestRate> {
        self.latest?.rate
    }

    /// Cold start that is in force.
    pub(super) fn cold(&self, now: Instant) -> Option<&Cold> {
        self.cold.as_ref().filter(|cold| now < cold.until)
    }

    /// Share of this node in the rate of a cold upstream.
    pub(super) fn cold_share(&self) -> f64 {
        let (senders, is_sender) = self.cold_senders;
        if is_sender { 1.0 / senders as f64 } else { 0.0 }
    }

    /// Bounds of the sources in force.
    fn bounds(&self, now: Instant) -> impl Iterator<Item = Bound> {
        let stated = self.stated_rate().map(Bound::stated);
        stated.into_iter().chain(self.cold(now).map(|cold| cold.bound))
    }

    /// Bound with the lowest rate; `None` if no source is in force.
    pub(super) fn bound(&self, now: Instant) -> Option<Bound> {
        let lowest = self.bounds(now).min_by_key(|bound| bound.rate)?;
        let max_senders = self.bounds(now).map(|bound| bound.max_senders).min()?;
        Some(Bound { max_senders, ..lowest })
    }

    /// Requests that this node sent in the window.
    pub(super) fn count(&self, now: Instant) -> usize {
        let window = self.bound(now).map_or(STATED_WINDOW, |bound| bound.window);
        self.sends.iter().filter(|at| now < **at + window).count()
    }

    /// Whether a request may be sent now.
    ///
    /// Besides the bucket, the requests of all nodes are counted, since nodes that disagree about
    /// the senders or the demand take more than the rate together.
    pub(super) fn may_send(&self, now: Instant) -> bool {
        let Some(bound) = self.bound(now) else { return true };
        let count = self.peer_count + self.count(now) + 1;
        self.bucket.has_token(now) && count as f64 <= bound.max_count
    }

    /// Counts a request sent.
    pub(super) fn record_send(&mut self, now: Instant) {
        while self.sends.front().is_some_and(|at| now >= *at + STATED_WINDOW) {
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
