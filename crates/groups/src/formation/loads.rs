//! Loads of weights: how many may begin, and which are under way.
//!
//! They are written into the plan before they are ordered, so that a node that takes charge does
//! not order them once more and slow all of them down.

use {
    super::{EngineInstance, Models, Order, Steps, View},
    crate::plan::Plan,
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::{Duration, Instant},
    },
    turmerictack_model::ids::{InstanceId, ModelId},
};

/// Window over which the rate of loads is kept; the platform counts the same.
const WINDOW: Duration = Duration::from_secs(5);

/// Loads beyond those at full speed, so that the store never idles between two steps.
const EXTRA_AT_ONCE: usize = 2;

/// The same before traffic, when loads take a tenth of the time: the news of their end takes as
/// long, and the platform does not count them.
const EXTRA_BEFORE_TRAFFIC: usize = 9;

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

#[derive(Debug)]
struct Running {
    model: ModelId,
    /// When it began, or this node learnt of it.
    since: Instant,
}

/// Planned loads, with what this node knows of them.
#[derive(Debug)]
pub(super) struct Loads {
    limits: LoadLimits,
    begun: VecDeque<Instant>,
    running: BTreeMap<InstanceId, Running>,
    /// Those of this node that it has yet to order.
    drafted: BTreeSet<InstanceId>,
    failed: BTreeSet<InstanceId>,
    has_traffic: bool,
}

impl Loads {
    pub(super) fn new(limits: LoadLimits) -> Self {
        Self {
            limits,
            begun: VecDeque::new(),
            running: BTreeMap::new(),
            drafted: BTreeSet::new(),
            failed: BTreeSet::new(),
            has_traffic: false,
        }
    }

    pub(super) fn set_limits(&mut self, limits: LoadLimits) {
        self.limits = limits;
    }

    /// Forgets what was planned but may not have been written.
    pub(super) fn forget_drafts(&mut self) {
        self.drafted.clear();
        self.failed.clear();
    }

    /// Model that an instance loads.
    pub(super) fn running(&self, id: &str) -> Option<&ModelId> {
        self.running.get(id).map(|r| &r.model)
    }

    /// Takes over the loads of the plan.
    fn take_over(&mut self, now: Instant, plan: &Plan) {
        self.running.retain(|id, r| plan.loads.get(id) == Some(&r.model));
        for (id, model) in &plan.loads {
            if !self.running.contains_key(id) {
                self.begun.push_back(now);
                let running = Running { model: model.clone(), since: now };
                self.running.insert(id.clone(), running);
            }
        }
        while self.begun.front().is_some_and(|at| now >= *at + WINDOW) {
            self.begun.pop_front();
        }
    }

    /// Orders loads that the plan has come to hold, and drops from `next` those that are over.
    pub(super) fn advance(
        &mut self,
        now: Instant,
        models: &Models,
        view: &View,
        plan: &Plan,
        next: &mut Plan,
        steps: &mut Steps,
    ) {
        self.has_traffic |= view.has_traffic;
        self.take_over(now, plan);
        for (id, model) in &plan.loads {
            let engine = view.engines.get(id).filter(|e| !e.leaving);
            if self.failed.remove(id) || self.is_over(now, models, engine, id, model) {
                next.loads.remove(id);
                self.running.remove(id);
                self.drafted.remove(id);
            } else if let Some(engine) = engine
                && self.drafted.remove(id)
            {
                let order = Order::Stage { model: model.clone() };
                steps.orders.push((id.clone(), engine.address.clone(), order));
            }
        }
    }

    /// Whether a load has ended, or has shown no effect for so long that it must have failed.
    fn is_over(
        &self,
        now: Instant,
        models: &Models,
        engine: Option<&EngineInstance>,
        id: &InstanceId,
        model: &ModelId,
    ) -> bool {
        let Some(engine) = engine else { return true };
        let profile = models.get(&engine.service).and_then(|m| m.get(model));
        let Some(profile) = profile else { return true };
        let since = self.running.get(id).map_or(now, |r| r.since);
        engine.staged.contains(model) || now >= since + profile.load * LOAD_TIMEOUT_FACTOR
    }

    /// Plans a load if the rate allows it.
    pub(super) fn begin(
        &mut self,
        now: Instant,
        id: &InstanceId,
        model: &ModelId,
        plan: &mut Plan,
    ) -> bool {
        if !self.may_begin() {
            return false;
        }
        self.begun.push_back(now);
        self.running.insert(id.clone(), Running { model: model.clone(), since: now });
        self.drafted.insert(id.clone());
        plan.loads.insert(id.clone(), model.clone());
        true
    }

    fn may_begin(&self) -> bool {
        if !self.has_traffic {
            return self.running.len() < self.limits.at_once + EXTRA_BEFORE_TRAFFIC;
        }
        let allowed = self.limits.per_second * WINDOW.as_secs_f64();
        self.running.len() < self.limits.at_once + EXTRA_AT_ONCE
            && self.begun.len() as f64 + 1.0 <= allowed
    }

    pub(super) fn failed(&mut self, id: &InstanceId) {
        self.failed.insert(id.clone());
    }
}
