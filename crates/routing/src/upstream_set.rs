//! State of the upstreams of one service, as seen by this node: open or not, load, limit and speed.

use {
    crate::{UpstreamId, limit::AdaptiveLimit},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    turmerictack_model::digest::hash64,
};

/// Weight of a new sample in the moving average of the chunk interval.
const EWMA_WEIGHT: f64 = 0.1;

/// Ratio of the chunk interval to the median of all open upstreams above which an upstream is a
/// straggler.
const STRAGGLER_FACTOR: u32 = 2;

/// Divisor of the limit of a straggler.
const STRAGGLER_DIVISOR: usize = 4;

/// Properties of an open upstream, from the health report of the instance that receives its calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenUpstream {
    /// Whether the upstream is in the data centre of this node.
    pub local: bool,
    /// Time at which the health report that shows the upstream as open was requested.
    pub requested_at: Instant,
}

/// State of one upstream.
#[derive(Clone, Debug)]
pub struct UpstreamState {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// Hash of the name, for rendezvous hashing of prompt prefixes.
    pub name_hash: u64,
    /// Whether the upstream is in the data centre of this node.
    pub local: bool,
    /// Whether the upstream accepts new calls.
    pub open: bool,
    /// Number of calls of this node in flight.
    pub in_flight: usize,
    /// Number of suspect calls in flight: those on whose request an upstream was lost before.
    pub suspect_calls: usize,
    /// When an attempt found the upstream unreachable; it gets no calls until a health report that
    /// was requested later shows it as open.
    unreachable_at: Option<Instant>,
    limit: AdaptiveLimit,
    /// Limit as of the last update, cached so that a pick need not compute it for each upstream.
    effective_limit: usize,
    chunk_interval: Option<Duration>,
    straggler: bool,
}

impl UpstreamState {
    /// Largest number of calls that this node may have in flight at the upstream.
    pub fn limit(&self) -> usize {
        self.effective_limit
    }

    /// Whether the upstream is open, reachable and below its limit.
    pub fn has_capacity(&self) -> bool {
        self.open && self.unreachable_at.is_none() && self.in_flight < self.effective_limit
    }

    fn update_limit(&mut self, now: Instant) {
        let limit = self.limit.current(now);
        self.effective_limit =
            if self.straggler { (limit / STRAGGLER_DIVISOR).max(1) } else { limit };
    }

    /// Whether the upstream is much slower than the others.
    pub fn is_straggler(&self) -> bool {
        self.straggler
    }
}

/// Result of an attempt, as far as it concerns the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The upstream responded.
    Succeeded {
        /// Mean time between the chunks of the response; `None` if it is not known.
        chunk_interval: Option<Duration>,
    },
    /// The upstream rejected the call or stalled.
    Failed,
    /// The connection could not be opened, or broke.
    Unreachable,
    /// The attempt says nothing about the upstream, as when the caller disconnected.
    Inconclusive,
}

/// State of all upstreams of one service.
#[derive(Debug, Default)]
pub struct UpstreamSet {
    upstreams: Vec<UpstreamState>,
}

impl UpstreamSet {
    /// The upstreams, sorted by name.
    pub fn upstreams(&self) -> &[UpstreamState] {
        &self.upstreams
    }

    /// Replaces the set of open upstreams; `limit` is this node's share of the calls in flight at
    /// each. An upstream that is no longer open is dropped once its calls in flight have ended.
    pub fn set_open(
        &mut self,
        now: Instant,
        open: &BTreeMap<UpstreamId, OpenUpstream>,
        limit: usize,
    ) {
        self.upstreams.retain(|u| u.in_flight > 0 || open.contains_key(&u.id));
        for upstream in &mut self.upstreams {
            let was_open = upstream.open;
            let current = open.get(&upstream.id);
            upstream.open = current.is_some();
            upstream.unreachable_at =
                upstream.unreachable_at.filter(|at| current.is_none_or(|c| c.requested_at <= *at));
            upstream.limit.set_max(limit);
            if upstream.open && !was_open {
                upstream.limit.restart_slow_start(now);
            }
        }
        for (id, current) in open {
            if let Err(at) = self.upstreams.binary_search_by(|u| u.id.cmp(id)) {
                self.upstreams.insert(at, new_upstream(id, current.local, limit, now));
            }
        }
        self.mark_stragglers();
        self.upstreams.iter_mut().for_each(|upstream| upstream.update_limit(now));
    }

    /// Sum of the limits of all open upstreams.
    pub fn capacity(&self) -> usize {
        self.upstreams.iter().filter(|u| u.open).map(UpstreamState::limit).sum()
    }

    /// Whether any upstream is open.
    pub fn is_up(&self) -> bool {
        self.upstreams.iter().any(|u| u.open)
    }

    /// Counts a call in flight at the upstream with this index, also as a suspect call if it is
    /// one.
    pub fn start_call(&mut self, index: usize, suspect: bool) {
        if let Some(upstream) = self.upstreams.get_mut(index) {
            upstream.in_flight += 1;
            upstream.suspect_calls += usize::from(suspect);
        }
    }

    /// Ends a call counted by [`UpstreamSet::start_call`] and updates the limit and the chunk
    /// interval of its upstream from the result.
    pub fn end_call(&mut self, now: Instant, id: &str, suspect: bool, result: AttemptResult) {
        let Ok(at) = self.upstreams.binary_search_by(|u| u.id.as_str().cmp(id)) else {
            return;
        };
        let upstream = &mut self.upstreams[at];
        upstream.in_flight = upstream.in_flight.saturating_sub(1);
        upstream.suspect_calls = upstream.suspect_calls.saturating_sub(usize::from(suspect));
        match result {
            AttemptResult::Succeeded { chunk_interval } => {
                upstream.limit.on_success();
                upstream.chunk_interval = chunk_interval
                    .map(|i| ewma(upstream.chunk_interval, i))
                    .or(upstream.chunk_interval);
            }
            AttemptResult::Failed => upstream.limit.on_failure(),
            AttemptResult::Unreachable => {
                upstream.limit.on_failure();
                upstream.unreachable_at = Some(now);
            }
            AttemptResult::Inconclusive => {}
        }
        upstream.update_limit(now);
    }

    fn mark_stragglers(&mut self) {
        let mut intervals: Vec<Duration> =
            self.upstreams.iter().filter(|u| u.open).filter_map(|u| u.chunk_interval).collect();
        intervals.sort_unstable();
        let median = intervals.get(intervals.len() / 2).copied();
        for upstream in &mut self.upstreams {
            upstream.straggler = match (upstream.chunk_interval, median) {
                (Some(interval), Some(median)) => interval > median * STRAGGLER_FACTOR,
                _ => false,
            };
        }
    }
}

fn new_upstream(id: &str, local: bool, limit: usize, now: Instant) -> UpstreamState {
    UpstreamState {
        id: id.to_owned(),
        name_hash: hash64(&[id.as_bytes()]),
        local,
        open: true,
        in_flight: 0,
        suspect_calls: 0,
        unreachable_at: None,
        limit: AdaptiveLimit::new(limit, now),
        chunk_interval: None,
        effective_limit: 1,
        straggler: false,
    }
}

fn ewma(mean: Option<Duration>, sample: Duration) -> Duration {
    mean.map_or(sample, |m| m.mul_f64(1.0 - EWMA_WEIGHT) + sample.mul_f64(EWMA_WEIGHT))
}
