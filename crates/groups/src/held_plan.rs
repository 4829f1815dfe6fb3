//! The plan as a leader holds it, and when it may act on it.

use {
    crate::plan::Plan,
    std::time::{Duration, Instant},
    turmerictack_model::{
        ids::{Epoch, Era},
        store_version::StoreVersion,
    },
};

/// Age up to which a plan that was read or written is used without reading it again.
///
/// It is shorter than the time after which a new era of the store has settled, so a leader that does
/// not know of the era has stopped before another one acts in it.
pub const PLAN_MAX_AGE: Duration = Duration::from_secs(2);

/// What a leader knows of the store and of the instances in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KnownEra {
    /// Latest era that the node knows of.
    pub latest: Era,
    /// Era from which the known instances are.
    pub instances: Era,
    /// Time from which on the store shows the instances as they are, not as in the copy that it came
    /// back from; `None` if it states no era.
    pub settles_at: Option<Instant>,
    /// Start of the last read of the instances.
    pub confirmed_at: Option<Instant>,
}

/// What a leader has to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanStep {
    /// Read the plan.
    Read,
    /// Wait until the instances are known as they are.
    Wait,
    /// Write the plan of the era, or a stored plan that no node wrote, anew with [`Plan::restore`],
    /// before anything is derived from it.
    Restore,
    /// Act on the plan.
    Act,
}

/// Plan that a leader has read or written.
#[derive(Clone, Debug, Default)]
pub struct HeldPlan {
    current: Option<(Plan, StoreVersion)>,
    confirmed_at: Option<Instant>,
    last_epoch: Epoch,
    /// The plan that was held last.
    last: Plan,
    /// Whether the stored plan is none that a node wrote, and `current` stands for it.
    is_damaged: bool,
}

impl HeldPlan {
    /// The plan and its version, if any is held.
    pub fn current(&self) -> Option<&(Plan, StoreVersion)> {
        self.current.as_ref()
    }

    /// Version of the plan, if any is held.
    pub fn version(&self) -> Option<StoreVersion> {
        self.current.as_ref().map(|(_, version)| *version)
    }

    /// Highest epoch in any plan that was held.
    pub fn last_epoch(&self) -> Epoch {
        self.last_epoch
    }

    /// Holds a plan that the store confirmed at `asked_at` or later.
    pub fn set(&mut self, asked_at: Instant, plan: Plan, version: StoreVersion) {
        self.last_epoch = self.last_epoch.max(plan.last_epoch);
        self.current = Some((plan, version));
        self.confirmed_at = Some(asked_at);
        self.is_damaged = false;
    }

    /// Whether nodes may have written a plan that was read: they give out no epoch twice.
    pub fn is_plausible(&self, plan: &Plan, version: StoreVersion) -> bool {
        plan.era != version.era || plan.last_epoch >= self.last_epoch
    }

    /// Holds the last plan in place of the one that is stored at `version`, which no node wrote; it is
    /// to be restored.
    pub fn set_damaged(&mut self, asked_at: Instant, version: StoreVersion) {
        self.discard();
        self.current = Some((self.last.clone(), version));
        self.confirmed_at = Some(asked_at);
        self.is_damaged = true;
    }

    /// Drops the plan, so that it is read again.
    pub fn discard(&mut self) {
        if let Some((plan, _)) = self.current.take() {
            self.last = plan;
        }
    }

    /// What to do next.
    pub fn next_step(&self, now: Instant, known: KnownEra) -> PlanStep {
        let is_fresh = self.confirmed_at.is_some_and(|at| now < at + PLAN_MAX_AGE);
        let current = self.current.as_ref().filter(|(_, v)| is_fresh && v.era == known.latest);
        let Some((plan, version)) = current else { return PlanStep::Read };
        let is_settled = known.settles_at.is_none_or(|at| known.confirmed_at >= Some(at));
        if known.instances != version.era || !is_settled {
            return PlanStep::Wait;
        }
        let is_damaged = self.is_damaged || plan.era < version.era;
        if is_damaged { PlanStep::Restore } else { PlanStep::Act }
    }
}
