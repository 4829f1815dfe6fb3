//! Loads of weights: how many may begin, and which are under way.

use {
    super::View,
    std::{
        collections::{BTreeMap, VecDeque},
        time::{Duration, Instant},
    },
    turmerictack_model::ids::{InstanceId, ModelId},
};

/// Window over which the rate of loads is kept; the platform counts the same.
const WINDOW: Duration = Duration::from_secs(5);

/// Loads beyond those at full speed, so that the store never idles between two steps.
const EXTRA_AT_ONCE: usize = 2;

/// Times its usual length after which a load that shows no effect counts as failed.
const LOAD_TIMEOUT_FACTOR: u32 = 3;

/// What the weight store allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadLimits {
    /// Loads that may begin in a second.
    pub per_second: f64,
    /// Loads that run at full speed at the same time.
    pub at_once: usize,
}

/// Loads that this node began.
#[derive(Debug)]
pub(super) struct Loads {
    limits: LoadLimits,
    begun: VecDeque<Instant>,
    running: BTreeMap<InstanceId, (ModelId, Instant)>,
}

impl Loads {
    pub(super) fn new(limits: LoadLimits) -> Self {
        Self { limits, begun: VecDeque::new(), running: BTreeMap::new() }
    }

    pub(super) fn set_limits(&mut self, limits: LoadLimits) {
        self.limits = limits;
    }

    /// Model that an instance loads.
    pub(super) fn running(&self, id: &str) -> Option<&ModelId> {
        self.running.get(id).map(|(model, _)| model)
    }

    pub(super) fn update(&mut self, now: Instant, view: &View) {
        self.running.retain(|id, (model, until)| {
            now < *until
                && view.engines.get(id).is_some_and(|e| !e.staged.contains(model) && !e.leaving)
        });
        while self.begun.front().is_some_and(|at| now >= *at + WINDOW) {
            self.begun.pop_front();
        }
    }

    /// Begins a load if the rate allows it.
    pub(super) fn begin(
        &mut self,
        now: Instant,
        id: &InstanceId,
        model: &ModelId,
        length: Duration,
    ) -> bool {
        let allowed = self.limits.per_second * WINDOW.as_secs_f64();
        let is_busy = self.running.len() >= self.limits.at_once + EXTRA_AT_ONCE;
        if is_busy || self.begun.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.begun.push_back(now);
        self.running.insert(id.clone(), (model.clone(), now + length * LOAD_TIMEOUT_FACTOR));
        true
    }

    pub(super) fn failed(&mut self, id: &InstanceId) {
        self.running.remove(id);
    }
}
