//! Budget for retries: a share of recent requests, plus a burst shared by all nodes.

use {
    std::{
        collections::{BTreeMap, VecDeque},
        time::{Duration, Instant},
    },
    turmerictack_model::ids::ServiceId,
};

/// Width of a counting interval.
const INTERVAL: Duration = Duration::from_secs(1);

/// Fraction of the allowance that is used, because clients' requests count from when they are sent,
/// before they arrive here.
const SAFETY_FACTOR: f64 = 0.8;

/// Nodes assumed to draw on the same burst besides those known from heartbeats.
const UNDISCOVERED_NODES: f64 = 3.0;

/// Limits on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Window over which requests and retries are counted.
    pub window: Duration,
    /// Retries allowed beyond the ratio, over all nodes together.
    pub burst: f64,
}

#[derive(Clone, Copy, Debug)]
struct Interval {
    started_at: Instant,
    requests: u32,
    retries: u32,
}

/// Retry budget of this node by service.
#[derive(Debug)]
pub struct RetryBudget {
    config: RetryBudgetConfig,
    by_service: BTreeMap<ServiceId, VecDeque<Interval>>,
}

impl RetryBudget {
    /// Starts with no requests or retries counted.
    pub fn new(config: RetryBudgetConfig) -> Self {
        Self { config, by_service: BTreeMap::new() }
    }

    /// Counts a client request.
    pub fn record_request(&mut self, now: Instant, service: &ServiceId) {
        self.current_interval(now, service).requests += 1;
    }

    /// Takes one retry if the budget allows it; `nodes` is the number of known nodes, including
    /// this one.
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
