//! Loads of weights: limits on how many may start, and tracking of those in progress.
//!
//! Loads are written into the plan before they are ordered, so that the next leader does not order
//! additional ones, which would slow all of them down.

use {
    super::{Actions, ClusterView, EngineInstance, ModelsByService, Order},
    crate::plan::Plan,
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::{Duration, Instant},
    },
    turmerictack_model::ids::{InstanceId, ModelId},
};

/// Window for the rate limit of loads; the platform uses the same window.
const RATE_WINDOW: Duration = Duration::from_secs(5);

/// Number of loads in addition to those that run at full speed, so that the weight store does not
/// idle between two planning steps.
const EXTRA_CONCURRENT: usize = 2;

/// Number of additional loads before the first traffic. Loads then take a tenth of the usual time,
/// about as long as it takes to learn that they ended, and the platform does not count them.
const EXTRA_BEFORE_TRAFFIC: usize = 9;

/// A load without visible effect is considered failed after this multiple of its usual time.
const LOAD_TIMEOUT_FACTOR: u32 = 3;

/// Limits of the weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadLimits {
    /// Number of loads that may start per second.
    pub per_second: f64,
    /// Number of concurrent loads that the store serves at full speed.
    pub concurrent: usize,
}

/// Load in progress on an instance.
#[derive(Debug)]
struct RunningLoad {
    model: ModelId,
    /// Time the load was planned, or this node learnt of it from the plan.
    started_at: Instant,
}

/// Planned loads and their progress as known to this node.
#[derive(Debug)]
pub(super) struct LoadTracker {
    limits: LoadLimits,
    recent_starts: VecDeque<Instant>,
    running: BTreeMap<InstanceId, RunningLoad>,
    /// Instances whose loads this node has planned but not ordered yet.
    unsent: BTreeSet<InstanceId>,
    failed: BTreeSet<InstanceId>,
    has_traffic: bool,
}

impl LoadTracker {
    pub(super) fn new(limits: LoadLimits) -> Self {
        Self {
            limits,
            recent_starts: VecDeque::new(),
            running: BTreeMap::new(),
            unsent: BTreeSet::new(),
            failed: BTreeSet::new(),
            has_traffic: false,
        }
    }

    pub(super) fn set_limits(&mut self, limits: LoadLimits) {
        self.limits = limits;
    }

    /// Discards unsent orders, since their loads may not have been stored, and recorded failures.
    pub(super) fn reset_progress(&mut self) {
        self.unsent.clear();
        self.failed.clear();
    }

    /// Whether there have been requests from callers.
    pub(super) fn has_traffic(&self) -> bool {
        self.has_traffic
    }

    /// Returns the model that an instance is loading.
    pub(super) fn loading_model(&self, id: &str) -> Option<&ModelId> {
        self.running.get(id).map(|r| &r.model)
    }

    /// Adopts the loads of the stored plan, and drops starts outside the rate window.
    fn sync_with_plan(&mut self, now: Instant, plan: &Plan) {
        self.running.retain(|id, r| plan.loads.get(id) == Some(&r.model));
        for (id, model) in &plan.loads {
            if !self.running.contains_key(id) {
                self.recent_starts.push_back(now);
                let load = RunningLoad { model: model.clone(), started_at: now };
                self.running.insert(id.clone(), load);
            }
        }
        while self.recent_starts.front().is_some_and(|at| now >= *at + RATE_WINDOW) {
            self.recent_starts.pop_front();
        }
    }

    /// Orders the loads that are now in the stored plan, and removes finished or failed ones from
    /// `next`.
    pub(super) fn advance(
        &mut self,
        now: Instant,
        models: &ModelsByService,
        view: &ClusterView,
        plan: &Plan,
        next: &mut Plan,
        actions: &mut Actions,
    ) {
        self.has_traffic |= view.has_traffic;
        self.sync_with_plan(now, plan);
        for (id, model) in &plan.loads {
            let engine = view.engines.get(id).filter(|e| !e.leaving);
            let is_cancelled =
                self.unsent.contains(id) && engine.is_some_and(|e| view.is_evacuated(e));
            if is_cancelled
                || self.failed.remove(id)
                || self.is_finished(now, models, engine, id, model)
            {
                next.loads.remove(id);
                self.running.remove(id);
                self.unsent.remove(id);
            } else if let Some(engine) = engine
                && self.unsent.remove(id)
            {
                let order = Order::Stage { model: model.clone() };
                actions.orders.push((id.clone(), engine.address.clone(), order));
            }
        }
    }

    /// Whether a load is complete, has timed out, or is obsolete because the instance is gone or
    /// leaving or the model is not configured.
    fn is_finished(
        &self,
        now: Instant,
        models: &ModelsByService,
        engine: Option<&EngineInstance>,
        id: &InstanceId,
        model: &ModelId,
    ) -> bool {
        let Some(engine) = engine else { return true };
        let profile = models.get(&engine.service).and_then(|m| m.get(model));
        let Some(profile) = profile else { return true };
        let started_at = self.running.get(id).map_or(now, |r| r.started_at);
        engine.staged.contains(model) || now >= started_at + profile.load_time * LOAD_TIMEOUT_FACTOR
    }

    /// Plans a load if the limits allow it; returns whether they do.
    pub(super) fn try_start(
        &mut self,
        now: Instant,
        id: &InstanceId,
        model: &ModelId,
        plan: &mut Plan,
    ) -> bool {
        if !self.can_start() {
            return false;
        }
        self.recent_starts.push_back(now);
        self.running.insert(id.clone(), RunningLoad { model: model.clone(), started_at: now });
        self.unsent.insert(id.clone());
        plan.loads.insert(id.clone(), model.clone());
        true
    }

    fn can_start(&self) -> bool {
        if !self.has_traffic {
            return self.running.len()
                < self.limits.concurrent.saturating_add(EXTRA_BEFORE_TRAFFIC);
        }
        let allowed = self.limits.per_second * RATE_WINDOW.as_secs_f64();
        self.running.len() < self.limits.concurrent.saturating_add(EXTRA_CONCURRENT)
            && self.recent_starts.len() as f64 + 1.0 <= allowed
    }

    pub(super) fn record_failure(&mut self, id: &InstanceId) {
        self.failed.insert(id.clone());
    }
}
