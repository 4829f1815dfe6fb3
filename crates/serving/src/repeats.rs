//! Budget of repeated sends: a share of the requests of the last seconds, over all nodes.

use {
    std::{
        collections::{BTreeMap, VecDeque},
        time::{Duration, Instant},
    },
    turmerictack_model::ids::ServiceId,
};

/// Width of a counting interval.
const INTERVAL: Duration = Duration::from_secs(1);

/// Part of the allowance that is used, since callers' requests are counted at their sending.
const SAFETY_SHARE: f64 = 0.8;

/// Nodes beyond those heard of that may be spending from the same burst.
const UNHEARD_NODES: f64 = 3.0;

/// Bounds on repeated sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatLimits {
    /// Repeats for each request.
    pub ratio: f64,
    /// Window over which both are counted.
    pub window: Duration,
    /// Repeats that are allowed beyond the ratio, over all nodes.
    pub burst: f64,
}

#[derive(Clone, Copy, Debug)]
struct Interval {
    began: Instant,
    requests: u32,
    repeats: u32,
}

/// Repeated sends of this node by service.
#[derive(Debug)]
pub struct Repeats {
    limits: RepeatLimits,
    by_service: BTreeMap<ServiceId, VecDeque<Interval>>,
}

impl Repeats {
    /// An empty budget.
    pub fn new(limits: RepeatLimits) -> Self {
        Self { limits, by_service: BTreeMap::new() }
    }

    /// Counts a request of a caller.
    pub fn request(&mut self, now: Instant, service: &ServiceId) {
        self.current(now, service).requests += 1;
    }

    /// Takes one repeat; `nodes` is the number of nodes that are heard of, this one included.
    pub fn take(&mut self, now: Instant, service: &ServiceId, nodes: usize) -> bool {
        let limits = self.limits;
        self.current(now, service);
        let intervals = &self.by_service[service];
        let requests: u32 = intervals.iter().map(|i| i.requests).sum();
        let repeats: u32 = intervals.iter().map(|i| i.repeats).sum();
        let burst = limits.burst / (nodes as f64 + UNHEARD_NODES);
        let allowed = (f64::from(requests) * limits.ratio + burst) * SAFETY_SHARE;
        let is_allowed = f64::from(repeats) + 1.0 <= allowed;
        if is_allowed {
            self.current(now, service).repeats += 1;
        }
        is_allowed
    }

    fn current(&mut self, now: Instant, service: &ServiceId) -> &mut Interval {
        if !self.by_service.contains_key(service) {
            self.by_service.insert(service.clone(), VecDeque::new());
        }
        let window = self.limits.window;
        let intervals = self.by_service.entry(service.clone()).or_default();
        while intervals.front().is_some_and(|i| now >= i.began + window) {
            intervals.pop_front();
        }
        if intervals.back().is_none_or(|i| now >= i.began + INTERVAL) {
            intervals.push_back(Interval { began: now, requests: 0, repeats: 0 });
        }
        let last = intervals.len() - 1;
        &mut intervals[last]
    }
}
