//! Reconciliation of engine groups, run by the one node that is the leader.

mod stored_plan;

use {
    crate::{
        directory::upstream_key,
        heartbeat::NodeIdentity,
        interfaces::{InstanceControl, OrderResponse, PlanStore},
        membership::{LeaderStatus, NotLeading},
        relay::FactKind,
        tables::Tables,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
        time::{MissedTickBehavior, interval},
    },
    turmerictack_groups::{
        formation::{
            Actions, ClusterView, EngineInstance, EngineTimes, GroupPlanner, LoadLimits,
            ModelsByService, Order, OrderResult,
        },
        held_plan::HeldPlan,
        plan::Plan,
    },
    turmerictack_model::{
        clock::Clock,
        ids::{Address, DataCentre, GroupId, InstanceId},
        store_version::StoreVersion,
    },
    turmerictack_telemetry::logs,
};

/// Interval between reconciliations.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between probes of one suspected instance.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Time allowed for a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

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
    plan: HeldPlan,
    engines: Arc<BTreeMap<InstanceId, EngineInstance>>,
    incomplete_since: BTreeMap<GroupId, Instant>,
    directory_version: u64,
    probes: BTreeMap<InstanceId, Probe>,
    report_sender: UnboundedSender<TaskReport>,
}

impl GroupController {
    /// Starts the controller of engines that keep to `times`.
    pub fn spawn(
        tables: Arc<Tables>,
        instance_control: Arc<dyn InstanceControl>,
        plan_store: Arc<dyn PlanStore>,
        clock: Arc<dyn Clock>,
        identity: NodeIdentity,
        times: EngineTimes,
    ) {
        let controller = Self { tables, instance_control, plan_store, clock, identity };
        tokio::spawn(async move { controller.run(times).await });
    }

    async fn run(self, times: EngineTimes) {
        let (report_sender, mut report_receiver) = unbounded_channel();
        let mut state = LeaderState {
            planner: GroupPlanner::new(times, DEFAULT_LOAD_LIMITS),
            plan: HeldPlan::default(),
            engines: Arc::default(),
            incomplete_since: BTreeMap::new(),
            directory_version: 0,
            probes: BTreeMap::new(),
            report_sender,
        };
        let mut ticks = interval(RECONCILE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut was_leader = false;
        loop {
            ticks.tick().await;
            let lead = self.check_lead(was_leader);
            let is_leader = lead.is_ok();
            if is_leader != was_leader {
                was_leader = is_leader;
                self.tables.lifecycle.lock().is_leader = is_leader;
                state.plan.discard();
                state.planner.reset_progress();
                self.log_lead(lead);
            }
            self.apply_reports(&mut state, &mut report_receiver);
            if is_leader {
                self.reconcile(&mut state).await;
            }
        }
    }

    fn check_lead(&self, was_leader: bool) -> Result<(), NotLeading> {
        let now = self.clock.now();
        let eligible = self.tables.update_candidacy(now, &self.identity);
        let defers = self.tables.paths.lock().defers_leadership();
        let own = LeaderStatus { eligible, is_leader: was_leader, defers };
        self.tables.peers.lock().check_lead(now, &self.identity.address, own)
    }

    /// Logs a change of the lead, with what this node knows of the others.
    fn log_lead(&self, lead: Result<(), NotLeading>) {
        let peers = self.tables.peers.lock();
        let mut event = logs::event("group_leadership_changed")
            .with("is_leader", lead.is_ok())
            .with("heard", peers.heard_count())
            .with("registered", peers.registered_count());
        if let Err(reason) = lead {
            event = event.with("reason", reason);
        }
        if let Some(leader) = peers.known_leader(self.clock.now()) {
            event = event
                .with("last_leader", leader.node)
                .with("last_leader_age_ms", leader.age.as_millis());
        }
        event.info();
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
            let before = state.plan.version();
            self.reconcile_once(state, &models, limits).await;
            let after = state.plan.version();
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
        if !self.prepare_plan(state, models).await {
            return;
        }
        let Some((plan, version)) = state.plan.current().cloned() else { return };
        let now = self.clock.now();
        state.planner.set_load_limits(limits);
        let view = self.build_view(state, now, &plan);
        let actions = state.planner.next_actions(now, models, &view, &plan);
        self.execute(state, actions, &plan, version).await;
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
        // Read before the list: what is confirmed later may not be in it yet.
        let confirmed_at = self.tables.facts.with(FactKind::Instances, |f| f.confirmed_at());
        let (evacuated, unlisted) = {
            let directory = self.tables.directory.lock();
            if state.directory_version != directory.version() {
                state.directory_version = directory.version();
                state.engines = Arc::new(directory.engine_instances());
                state.incomplete_since = directory.incomplete_groups();
            }
            let evacuated = directory.evacuations().evacuated().keys().cloned().collect();
            (evacuated, directory.unlisted().cloned().collect())
        };
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
        self.probe_suspects(state, now, plan, &suspects, &evacuated);
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
            evacuated,
            confirmed_at,
            unlisted,
        }
    }

    /// Probes suspected instances, all other members of their groups, and instances that missed a
    /// probe; but none in evacuated data centres.
    fn probe_suspects(
        &self,
        state: &mut LeaderState,
        now: Instant,
        plan: &Plan,
        suspects: &[InstanceId],
        evacuated: &BTreeSet<DataCentre>,
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
            let engine = engines.get(&id).filter(|e| !evacuated.contains(&e.data_centre));
            let Some(engine) = engine else { continue };
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
        OrderResponse::AnotherInstance => OrderResult::Gone,
        OrderResponse::ConnectionRefused => OrderResult::Refused,
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
