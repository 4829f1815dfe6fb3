//! Reading and writing of the group plan by the leader.

use {
    super::{GroupController, LeaderState},
    crate::{
        interfaces::PlanError,
        relay::{EraStart, FactKind},
    },
    turmerictack_groups::{
        formation::ModelsByService,
        held_plan::{KnownEra, PlanStep},
        plan::Plan,
    },
    turmerictack_model::store_version::StoreVersion,
    turmerictack_telemetry::logs,
};

impl GroupController {
    /// Makes sure that the plan may be acted on; returns `false` if it may not yet.
    pub(super) async fn prepare_plan(
        &self,
        state: &mut LeaderState,
        models: &ModelsByService,
    ) -> bool {
        let known = self.known_era();
        let mut step = state.plan.next_step(self.clock.now(), known);
        if step == PlanStep::Read {
            if !self.read_plan(state).await {
                return false;
            }
            step = state.plan.next_step(self.clock.now(), known);
        }
        if step == PlanStep::Restore {
            self.restore_plan(state, models).await;
        }
        step == PlanStep::Act
    }

    fn known_era(&self) -> KnownEra {
        self.tables.facts.with(FactKind::Instances, |facts| KnownEra {
            latest: self.plan_store.era(),
            instances: facts.version().era,
            settles_at: facts.era_start().as_ref().map(EraStart::settles_at),
            confirmed_at: facts.confirmed_at(),
        })
    }

    /// Reads the plan; returns `false` if that fails.
    ///
    /// Another writer may have put anything in its place. What this node held, and what the instances
    /// report, then make up the plan.
    async fn read_plan(&self, state: &mut LeaderState) -> bool {
        let asked_at = self.clock.now();
        let read = match self.plan_store.read().await {
            Ok((plan, version)) if !state.plan.is_plausible(&plan, version) => {
                Err(PlanError::Damaged { version })
            }
            read => read,
        };
        match read {
            Ok((plan, version)) => {
                if state.plan.version().is_some_and(|known| known != version) {
                    state.planner.reset_progress();
                }
                state.plan.set(asked_at, plan, version);
                true
            }
            Err(PlanError::Damaged { version }) => {
                logs::event("plan_damaged").with("version", version).warn();
                state.planner.reset_progress();
                state.plan.set_damaged(asked_at, version);
                true
            }
            Err(error) => {
                logs::event("plan_read_failed").with("cause", error).warn();
                state.plan.discard();
                false
            }
        }
    }

    /// Writes the plan of a new era of the store, or one that replaces a damaged plan.
    async fn restore_plan(&self, state: &mut LeaderState, models: &ModelsByService) {
        let Some((plan, version)) = state.plan.current().cloned() else { return };
        let engines = self.tables.directory.lock().engine_instances();
        let restored = plan.restore(version.era, models, &engines, state.plan.last_epoch());
        let adopted = restored.groups.keys().filter(|id| !plan.groups.contains_key(*id)).count();
        let retiring = restored.groups.values().filter(|group| group.retiring).count();
        logs::event("plan_restored")
            .with("era", version.era)
            .with("groups", restored.groups.len())
            .with("adopted", adopted)
            .with("retiring", retiring)
            .with("last_epoch", restored.last_epoch)
            .warn();
        state.planner.reset_progress();
        self.write_plan(state, &plan, restored, version).await;
    }

    pub(super) async fn write_plan(
        &self,
        state: &mut LeaderState,
        plan: &Plan,
        next_plan: Plan,
        version: StoreVersion,
    ) {
        let asked_at = self.clock.now();
        match self.plan_store.replace(&next_plan, version).await {
            Ok(version) => {
                log_plan_changes(plan, &next_plan, version);
                state.plan.set(asked_at, next_plan, version);
            }
            Err(error) => {
                // A write that failed may still have taken effect; only reading the plan tells.
                logs::event("plan_write_failed")
                    .with("cause", error)
                    .with("version", version)
                    .with("conflict", error == PlanError::Conflict)
                    .warn();
                state.plan.discard();
            }
        }
    }
}

fn log_plan_changes(before: &Plan, after: &Plan, version: StoreVersion) {
    for (name, group) in &after.groups {
        if !before.groups.contains_key(name) {
            logs::event("group_planned")
                .with("group", name)
                .with("model", &group.model)
                .with("epoch", group.epoch)
                .with("members", group.members.join(","))
                .with("plan_version", version)
                .info();
        }
    }
    for (id, model) in after.loads.iter().filter(|(id, m)| before.loads.get(*id) != Some(m)) {
        logs::event("load_planned")
            .with("instance", id)
            .with("model", model)
            .with("plan_version", version)
            .info();
    }
    for name in before.groups.keys().filter(|n| !after.groups.contains_key(*n)) {
        logs::event("group_retired").with("group", name).with("plan_version", version).info();
    }
}
