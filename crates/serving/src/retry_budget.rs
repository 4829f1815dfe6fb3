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
const SAFETY_FACTOR: f64 = 0.8;

/// Nodes beyond those heard of that may be spending from the same burst.
const UNDISCOVERED_NODES: f64 = 3.0;

/// Bounds on repeated sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Repeats for each request.
    pub ratio: f64,
    /// Window over which both are counted.
    pub window: Duration,
    /// Repeats that are allowed beyond the ratio, over all nodes.
    pub burst: f64,
}

#[derive(Clone, Copy, Debug)]
struct Interval {
    started_at: Instant,
    requests: u32,
    retries: u32,
}

/// Repeated sends of this node by service.
#[derive(Debug)]
pub struct RetryBudget {
    config: RetryBudgetConfig,
    by_service: BTreeMap<ServiceId, VecDeque<Interval>>,
}

impl RetryBudget {
    /// An empty budget.
    pub fn new(config: RetryBudgetConfig) -> Self {
        Self { config, by_service: BTreeMap::new() }
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Instant, service: &ServiceId) {
        self.current_interval(now, service).requests += 1;
    }

    /// Takes one repeat; `nodes` is the number of nodes that are heard of, this one included.
    pub fn try_acquire(&mut self, now: Instant, service: &ServiceId, nodes: usize) -> bool {
        let config = self.config;
        self.current_interval(now, service);
        let intervals = &self.by_service[service];
        let requests: u32 = intervals.iter().map(|i| i.requests).sum();
        let retries: u32 = intervals.iter().map(|i| i.retries).sum();
        let burst = config.burst / (nodes as f64 + UNDISCOVERED_NODES);
        let allowed = (f64::from(requests) * config.ratio + burst) * SAFETY_FACTOR;
        let is_allowed = f64::from(retries) + 1.0 <= allowed;
        if is_allowed {
            self.current_interval(now, service).retries += 1;
        }
        is_allowed
    }

    fn current_interval(&mut self, now: Instant, service: &ServiceId) -> &mut Interval {
        if !self.by_service.contains_key(service) {
            self.by_service.insert(service.clone(), VecDeque::new());
        }
        let window = self.config.window;
        let intervals = self.by_service.entry(service.clone()).or_default();
        while intervals.front().is_some_and(|i| now >= i.started_at + window) {
            intervals.pop_front();
        }
        if intervals.back().is_none_or(|i| now >= i.started_at + INTERVAL) {
            intervals.push_back(Interval { started_at: now, requests: 0, retries: 0 });
        }
        let last = intervals.len() - 1;
        &mut intervals[last]
    }
}
