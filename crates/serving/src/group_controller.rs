//! Reconciliation of engine groups, run by the one node that is the leader.

use {
    crate::{
        directory::upstream_key,
        heartbeat::NodeIdentity,
        interfaces::{InstanceControl, OrderResponse, PlanError, PlanStore},
        membership::LeaderStatus,
        relay::{EraStart, FactKind},
        tables::Tables,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
        time::{MissedTickBehavior, interval, sleep},
    },
    turmerictack_groups::{
        formation::{
            Actions, ClusterView, EngineInstance, GroupPlanner, LoadLimits, ModelsByService, Order,
            OrderResult,
        },
        plan::Plan,
    },
    turmerictack_model::{
        clock::Clock,
        ids::{Address, Epoch, Era, GroupId, InstanceId},
        store_version::StoreVersion,
    },
    turmerictack_telemetry::logs,
};

/// Interval between reconciliations.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(100);

/// Time a node listens to heartbeats before it may become leader.
const STARTUP_DELAY: Duration = Duration::from_millis(500);

/// Interval between probes of one suspected instance.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Time allowed for a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Age up to which a plan that was read or written is used without reading it again.
const PLAN_MAX_AGE: Duration = Duration::from_secs(2);

/// Maximum number of plan updates in one reconciliation.
const MAX_PLAN_UPDATES: usize = 3;

/// Consecutive failed probes after which an instance counts as unreachable.
const UNREACHABLE_AFTER: u32 = 2;

/// Load limits used until the configuration provides them.
const DEFAULT_LOAD_LIMITS: LoadLimits = LoadLimits { per_second: 1.0, concurrent: 1 };

/// Controller of engine groups; it acts only while its node is the leader.
pub struct GroupController {
    tables: Arc<Tables>,
    instance_control: Arc<dyn InstanceControl>,
    plan_store: Arc<dyn PlanStore>,
    clock: Arc<dyn Clock>,
    identity: NodeIdentity,
}

enum TaskReport {
    OrderCompleted(InstanceId, Order, OrderResponse),
    ProbeCompleted(InstanceId, bool),
}

#[derive(Debug, Default)]
struct Probe {
    sent_at: Option<Instant>,
    missed: u32,
    /// Start time of the probed instance, in milliseconds since the Unix epoch; 0 if unknown.
    instance_started: u64,
}

/// Working state of the leader.
struct LeaderState {
    planner: GroupPlanner,
    plan: Option<(Plan, StoreVersion)>,
    /// Highest epoch in any plan that this node has read or written.
    last_epoch: Epoch,
    plan_confirmed_at: Option<Instant>,
    engines: Arc<BTreeMap<InstanceId, EngineInstance>>,
    incomplete_since: BTreeMap<GroupId, Instant>,
    directory_version: u64,
    probes: BTreeMap<InstanceId, Probe>,
    report_sender: UnboundedSender<TaskReport>,
}

impl LeaderState {
    /// Keeps a plan that the store confirmed to be the current one at `asked_at` or later.
    fn set_plan(&mut self, asked_at: Instant, plan: Plan, version: StoreVersion) {
        self.last_epoch = self.last_epoch.max(plan.last_epoch);
        self.plan = Some((plan, version));
        self.plan_confirmed_at = Some(asked_at);
    }
}

impl GroupController {
    /// Starts the controller; `stall_timeout` is the time after which a group head notices a missing
    /// member.
    pub fn spawn(
        tables: Arc<Tables>,
        instance_control: Arc<dyn InstanceControl>,
        plan_store: Arc<dyn PlanStore>,
        clock: Arc<dyn Clock>,
        identity: NodeIdentity,
        stall_timeout: Duration,
    ) {
        let controller = Self { tables, instance_control, plan_store, clock, identity };
        tokio::spawn(async move { controller.run(stall_timeout).await });
    }

    async fn run(self, stall_timeout: Duration) {
        let (report_sender, mut report_receiver) = unbounded_channel();
        let mut state = LeaderState {
            planner: GroupPlanner::new(stall_timeout, DEFAULT_LOAD_LIMITS),
            plan: None,
            last_epoch: 0,
            plan_confirmed_at: None,
            engines: Arc::default(),
            incomplete_since: BTreeMap::new(),
            directory_version: 0,
            probes: BTreeMap::new(),
            report_sender,
        };
        sleep(STARTUP_DELAY).await;
        let mut ticks = interval(RECONCILE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut was_leader = false;
        loop {
            ticks.tick().await;
            let is_leader = self.should_lead(was_leader);
            if is_leader != was_leader {
                was_leader = is_leader;
                self.tables.lifecycle.lock().is_leader = is_leader;
                state.plan = None;
                state.planner.reset_progress();
                logs::event("group_leadership_changed").with("is_leader", is_leader).info();
            }
            self.apply_reports(&mut state, &mut report_receiver);
            if is_leader {
                self.reconcile(&mut state).await;
            }
        }
    }

    fn should_lead(&self, was_leader: bool) -> bool {
        let now = self.clock.now();
        let eligible =
            self.tables.has_own_fresh_view(now) && !self.tables.lifecycle.lock().draining;
        let own = LeaderStatus { eligible, is_leader: was_leader };
        self.tables.peers.lock().should_lead(now, &self.identity.address, own)
    }

    fn apply_reports(
        &self,
        state: &mut LeaderState,
        report_receiver: &mut UnboundedReceiver<TaskReport>,
    ) {
        let now = self.clock.now();
        while let Ok(report) = report_receiver.try_recv() {
            match report {
                TaskReport::OrderCompleted(id, order, response) => {
                    state.planner.record_result(now, &id, &order, order_result(response));
                }
                TaskReport::ProbeCompleted(id, answered) => {
                    let probe = state.probes.entry(id.clone()).or_default();
                    let missed_before = probe.missed;
                    probe.missed = if answered { 0 } else { missed_before + 1 };
                    if (missed_before >= UNREACHABLE_AFTER) == answered
                        || probe.missed == UNREACHABLE_AFTER
                    {
                        logs::event("instance_probed")
                            .with("instance", id)
                            .with("answered", answered)
                            .with("missed", probe.missed)
                            .info();
                    }
                }
            }
        }
    }

    async fn reconcile(&self, state: &mut LeaderState) {
        let Some((models, limits)) = self.model_config() else { return };
        for _ in 0..MAX_PLAN_UPDATES {
            let before = state.plan.as_ref().map(|(_, version)| *version);
            self.reconcile_once(state, &models, limits).await;
            let after = state.plan.as_ref().map(|(_, version)| *version);
            // An updated plan may allow further orders, which should not wait for the next tick.
            if after.is_none() || after == before {
                return;
            }
        }
    }

    async fn reconcile_once(
        &self,
        state: &mut LeaderState,
        models: &ModelsByService,
        limits: LoadLimits,
    ) {
        if !self.refresh_plan(state).await {
            return;
        }
        let Some((plan, version)) = state.plan.clone() else { return };
        let now = self.clock.now();
        if !self.has_settled_view(now, version.era) {
            return;
        }
        if plan.era < version.era {
            self.restore_plan(state, models, &plan, version).await;
            return;
        }
        state.planner.set_load_limits(limits);
        let view = self.build_view(state, now, &plan);
        let actions = state.planner.next_actions(now, models, &view, &plan);
        self.execute(state, actions, &plan, version).await;
    }

    /// Whether the instances are known as they are in an era of the store, not as in the copy which
    /// the store came back from.
    ///
    /// A leader that does not know of the era yet has stopped by then, since its plan is too old.
    fn has_settled_view(&self, now: Instant, era: Era) -> bool {
        self.tables.facts.with(FactKind::Instances, |facts| {
            let is_settled = |start: EraStart| now >= start.settles_at();
            facts.version().era == era && facts.era_start().is_none_or(is_settled)
        })
    }

    /// Writes the plan of a new era of the store, before anything is derived from it.
    async fn restore_plan(
        &self,
        state: &mut LeaderState,
        models: &ModelsByService,
        plan: &Plan,
        version: StoreVersion,
    ) {
        let engines = self.tables.directory.lock().engine_instances();
        let restored = plan.restore(version.era, models, &engines, state.last_epoch);
        let groups = |is_wanted: &dyn Fn(&GroupId) -> bool| {
            restored.groups.keys().filter(|id| is_wanted(id)).count()
        };
        logs::event("plan_restored")
            .with("era", version.era)
            .with("groups_adopted", groups(&|id| !plan.groups.contains_key(id)))
            .with("groups_retiring", groups(&|id| restored.groups[id].retiring))
            .with("last_epoch", restored.last_epoch)
            .warn();
        self.write_plan(state, plan, restored, version).await;
    }

    /// Reads the plan unless it was read or written recently; returns `false` if that fails.
    async fn refresh_plan(&self, state: &mut LeaderState) -> bool {
        let now = self.clock.now();
        let era = self.plan_store.era();
        if state.plan.as_ref().is_some_and(|(_, version)| version.era != era) {
            state.plan = None;
            state.planner.reset_progress();
        }
        let is_fresh = state.plan_confirmed_at.is_some_and(|at| now < at + PLAN_MAX_AGE);
        if state.plan.is_some() && is_fresh {
            return true;
        }
        match self.plan_store.read().await {
            Ok((plan, version)) => {
                if state.plan.as_ref().is_some_and(|(_, known)| *known != version) {
                    state.planner.reset_progress();
                }
                state.set_plan(now, plan, version);
                true
            }
            Err(error) => {
                logs::event("plan_read_failed").with("cause", error).warn();
                state.plan = None;
                false
            }
        }
    }

    async fn execute(
        &self,
        state: &mut LeaderState,
        actions: Actions,
        plan: &Plan,
        version: StoreVersion,
    ) {
        for (id, address, order) in actions.orders {
            self.send_order(state, id, address, order);
        }
        if let Some(next_plan) = actions.new_plan {
            self.write_plan(state, plan, next_plan, version).await;
        }
    }

    async fn write_plan(
        &self,
        state: &mut LeaderState,
        plan: &Plan,
        next_plan: Plan,
        version: StoreVersion,
    ) {
        let now = self.clock.now();
        match self.plan_store.replace(&next_plan, version).await {
            Ok(version) => {
                log_plan_changes(plan, &next_plan, version);
                state.set_plan(now, next_plan, version);
            }
            Err(error) => {
                // A write that failed may still have taken effect; only reading the plan tells.
                logs::event("plan_write_failed")
                    .with("cause", error)
                    .with("version", version)
                    .with("conflict", error == PlanError::Conflict)
                    .warn();
                state.plan = None;
            }
        }
    }

    fn send_order(&self, state: &LeaderState, id: InstanceId, address: Address, order: Order) {
        let (instance_control, report_sender) =
            (Arc::clone(&self.instance_control), state.report_sender.clone());
        tokio::spawn(async move {
            let response = instance_control.send_order(&id, &address, &order).await;
            log_order(&id, &order, response);
            // The receiver lives as long as the process.
            let _ = report_sender.send(TaskReport::OrderCompleted(id, order, response));
        });
    }

    fn model_config(&self) -> Option<(ModelsByService, LoadLimits)> {
        let config = self.tables.config()?;
        let mut models = ModelsByService::new();
        let mut limits = DEFAULT_LOAD_LIMITS;
        for service in config.services.values() {
            let Some(engine) = &service.engine else { continue };
            if !engine.models.is_empty() {
                models.insert(service.id.clone(), engine.models.clone());
                limits = LoadLimits {
                    per_second: engine.loads_per_second,
                    concurrent: engine.concurrent_loads,
                };
            }
        }
        Some((models, limits))
    }

    fn build_view(&self, state: &mut LeaderState, now: Instant, plan: &Plan) -> ClusterView {
        {
            let directory = self.tables.directory.lock();
            if state.directory_version != directory.version() {
                state.directory_version = directory.version();
                state.engines = Arc::new(directory.engine_instances());
                state.incomplete_since = directory.incomplete_groups();
            }
        }
        let (suspects, progressing, has_traffic) = {
            let balancer = self.tables.balancer.lock();
            let has_traffic = balancer.loads.has_in_flight();
            let suspects = balancer.loads.suspects(now);
            let heads = plan.groups.values().filter_map(|g| g.head());
            let progressing_heads: BTreeSet<InstanceId> = heads
                .filter(|id| balancer.loads.has_recent_progress(now, upstream_key(id)))
                .cloned()
                .collect();
            (suspects, progressing_heads, has_traffic)
        };
        self.probe_suspects(state, now, plan, &suspects);
        let unreachable = state
            .probes
            .iter()
            .filter(|(_, p)| p.missed >= UNREACHABLE_AFTER)
            .map(|(id, _)| id.clone())
            .collect();
        ClusterView {
            engines: state.engines.as_ref().clone(),
            unreachable,
            progressing,
            incomplete_since: state.incomplete_since.clone(),
            has_traffic,
        }
    }

    /// Probes suspected instances, all other members of their groups, and instances that missed a
    /// probe.
    fn probe_suspects(
        &self,
        state: &mut LeaderState,
        now: Instant,
        plan: &Plan,
        suspects: &[InstanceId],
    ) {
        let mut to_probe: BTreeSet<InstanceId> = suspects.iter().cloned().collect();
        for group in plan.groups.values() {
            if group.members.iter().any(|id| suspects.contains(id)) {
                to_probe.extend(group.members.iter().cloned());
            }
        }
        let engines = Arc::clone(&state.engines);
        state.probes.retain(|id, p| {
            engines
                .get(id)
                .is_some_and(|e| p.instance_started == 0 || e.started == p.instance_started)
        });
        to_probe
            .extend(state.probes.iter().filter(|(_, p)| p.missed > 0).map(|(id, _)| id.clone()));
        for id in to_probe {
            let Some(engine) = engines.get(&id) else { continue };
            let probe = state.probes.entry(id.clone()).or_default();
            if probe.sent_at.is_some_and(|at| now < at + PROBE_INTERVAL) {
                continue;
            }
            probe.sent_at = Some(now);
            probe.instance_started = engine.started;
            let (instance_control, report_sender) =
                (Arc::clone(&self.instance_control), state.report_sender.clone());
            let address = engine.address.clone();
            tokio::spawn(async move {
                let answered = instance_control.probe(&id, &address, PROBE_TIMEOUT).await;
                let _ = report_sender.send(TaskReport::ProbeCompleted(id, answered));
            });
        }
    }
}

fn order_result(response: OrderResponse) -> OrderResult {
    match response {
        OrderResponse::Accepted => OrderResult::Accepted,
        OrderResponse::Unfit | OrderResponse::Fenced => OrderResult::Rejected,
        OrderResponse::AnotherInstance | OrderResponse::NoProcess => OrderResult::Gone,
        OrderResponse::Unanswered => OrderResult::Unanswered,
    }
}

fn log_order(id: &InstanceId, order: &Order, response: OrderResponse) {
    let (name, subject, epoch) = match order {
        Order::Stage { model } => ("stage", model.as_str(), 0),
        Order::Join { group, epoch, .. } => ("join", group.as_str(), *epoch),
        Order::Open { group, epoch } => ("open", group.as_str(), *epoch),
        Order::Close { group, epoch } => ("close", group.as_str(), *epoch),
        Order::Leave { group, epoch } => ("leave", group.as_str(), *epoch),
    };
    logs::event("order_completed")
        .with("instance", id)
        .with("order", name)
        .with("subject", subject)
        .with("epoch", epoch)
        .with("response", response)
        .info();
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
    for name in before.groups.keys().filter(|n| !after.groups.contains_key(*n)) {
        logs::event("group_retired").with("group", name).with("plan_version", version).info();
    }
}
