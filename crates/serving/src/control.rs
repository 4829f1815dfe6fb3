//! Control of groups by the one node that is in charge.

use {
    crate::{
        beats::Identity,
        borders::{Instances, OrderAnswer, PlanError, PlanStore},
        directory::key_of,
        membership::Standing,
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
        ids::{Address, GroupId, InstanceId, Version},
    },
    turmerictack_telemetry::logs,
};

/// Time between two looks at the groups.
const STEP_EVERY: Duration = Duration::from_millis(100);

/// Time that a node listens for others before it takes charge.
const LISTEN_FIRST: Duration = Duration::from_millis(500);

/// Time between two questions to an instance that may be silent.
const PROBE_EVERY: Duration = Duration::from_millis(300);

/// Time that an instance gets to answer a question.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which a plan that was read or written is acted on without another look.
const PLAN_TIMEOUT: Duration = Duration::from_secs(2);

/// Replacements of the plan in one step at most.
const MAX_REPLACEMENTS: usize = 3;

/// Questions without an answer after which an instance counts as unreachable.
const MISSED_PROBES: u32 = 2;

/// Limits on loads until the configuration gives them.
const DEFAULT_LOADS: LoadLimits = LoadLimits { per_second: 1.0, at_once: 1 };

/// The node in charge, or one that may come to be.
pub struct Control {
    tables: Arc<Tables>,
    instances: Arc<dyn Instances>,
    plans: Arc<dyn PlanStore>,
    clock: Arc<dyn Clock>,
    identity: Identity,
}

enum Report {
    Ordered(InstanceId, Order, OrderAnswer),
    Probed(InstanceId, bool),
}

#[derive(Debug, Default)]
struct Probe {
    asked: Option<Instant>,
    missed: u32,
    started: u64,
}

/// What the node in charge works with.
struct Work {
    formation: GroupPlanner,
    plan: Option<(Plan, Version)>,
    confirmed: Option<Instant>,
    engines: Arc<BTreeMap<InstanceId, EngineInstance>>,
    incomplete: BTreeMap<GroupId, Instant>,
    seen: u64,
    probes: BTreeMap<InstanceId, Probe>,
    reports: UnboundedSender<Report>,
}

impl Control {
    /// Starts the control; `stall` is the time after which a head notices a missing member.
    pub fn spawn(
        tables: Arc<Tables>,
        instances: Arc<dyn Instances>,
        plans: Arc<dyn PlanStore>,
        clock: Arc<dyn Clock>,
        identity: Identity,
        stall: Duration,
    ) {
        let control = Self { tables, instances, plans, clock, identity };
        tokio::spawn(async move { control.run(stall).await });
    }

    async fn run(self, stall: Duration) {
        let (reports, mut reported) = unbounded_channel();
        let mut work = Work {
            formation: GroupPlanner::new(stall, DEFAULT_LOADS),
            plan: None,
            confirmed: None,
            engines: Arc::default(),
            incomplete: BTreeMap::new(),
            seen: 0,
            probes: BTreeMap::new(),
            reports,
        };
        sleep(LISTEN_FIRST).await;
        let mut ticks = interval(STEP_EVERY);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut was_in_charge = false;
        loop {
            ticks.tick().await;
            let in_charge = self.is_in_charge(was_in_charge);
            if in_charge != was_in_charge {
                was_in_charge = in_charge;
                self.tables.lifecycle.lock().in_charge = in_charge;
                work.plan = None;
                work.formation.reset_progress();
                logs::event("groups_charge").with("in_charge", in_charge).info();
            }
            self.take_reports(&mut work, &mut reported);
            if in_charge {
                self.step(&mut work).await;
            }
        }
    }

    fn is_in_charge(&self, in_charge: bool) -> bool {
        let now = self.clock.now();
        let eligible = self.tables.has_fresh_view(now) && !self.tables.lifecycle.lock().leaving;
        let own = Standing { eligible, in_charge };
        self.tables.members.lock().is_in_charge(now, &self.identity.address, own)
    }

    fn take_reports(&self, work: &mut Work, reported: &mut UnboundedReceiver<Report>) {
        let now = self.clock.now();
        while let Ok(report) = reported.try_recv() {
            match report {
                Report::Ordered(id, order, answer) => {
                    work.formation.record_result(now, &id, &order, result_of(answer));
                }
                Report::Probed(id, answered) => {
                    let probe = work.probes.entry(id.clone()).or_default();
                    let before = probe.missed;
                    probe.missed = if answered { 0 } else { before + 1 };
                    if (before >= MISSED_PROBES) == answered || probe.missed == MISSED_PROBES {
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

    async fn step(&self, work: &mut Work) {
        let Some((models, limits)) = self.models() else { return };
        for _ in 0..MAX_REPLACEMENTS {
            let before = work.plan.as_ref().map(|(_, version)| *version);
            self.step_once(work, &models, limits).await;
            let after = work.plan.as_ref().map(|(_, version)| *version);
            // A plan that was just replaced permits orders that should not wait.
            if after.is_none() || after == before {
                return;
            }
        }
    }

    async fn step_once(&self, work: &mut Work, models: &ModelsByService, limits: LoadLimits) {
        if !self.confirm_plan(work).await {
            return;
        }
        let Some((plan, version)) = work.plan.clone() else { return };
        work.formation.set_load_limits(limits);
        let now = self.clock.now();
        let view = self.view(work, now, &plan);
        let steps = work.formation.next_actions(now, models, &view, &plan);
        self.carry_out(work, steps, &plan, version).await;
    }

    /// Reads the plan unless it was read or written lately; `false` when it can't be read.
    async fn confirm_plan(&self, work: &mut Work) -> bool {
        let now = self.clock.now();
        let is_confirmed = work.confirmed.is_some_and(|at| now < at + PLAN_TIMEOUT);
        if work.plan.is_some() && is_confirmed {
            return true;
        }
        match self.plans.read().await {
            Ok((plan, version)) => {
                if work.plan.as_ref().is_some_and(|(_, known)| *known != version) {
                    work.formation.reset_progress();
                }
                work.plan = Some((plan, version));
                work.confirmed = Some(self.clock.now());
                true
            }
            Err(error) => {
                logs::event("plan_unread").with("cause", error).warn();
                work.plan = None;
                false
            }
        }
    }

    async fn carry_out(&self, work: &mut Work, steps: Actions, plan: &Plan, version: Version) {
        for (id, address, order) in steps.orders {
            self.order(work, id, address, order);
        }
        let Some(next) = steps.new_plan else { return };
        match self.plans.replace(&next, version).await {
            Ok(version) => {
                log_changes(plan, &next, version);
                work.plan = Some((next, version));
                work.confirmed = Some(self.clock.now());
            }
            Err(error) => {
                // A write without an answer may have taken effect: only a read tells.
                logs::event("plan_not_replaced")
                    .with("cause", error)
                    .with("version", version)
                    .with("conflict", error == PlanError::Conflict)
                    .warn();
                work.plan = None;
            }
        }
    }

    fn order(&self, work: &Work, id: InstanceId, address: Address, order: Order) {
        let (instances, reports) = (Arc::clone(&self.instances), work.reports.clone());
        tokio::spawn(async move {
            let answer = instances.order(&id, &address, &order).await;
            log_order(&id, &order, answer);
            // The receiver goes only with the process.
            let _ = reports.send(Report::Ordered(id, order, answer));
        });
    }

    fn models(&self) -> Option<(ModelsByService, LoadLimits)> {
        let catalog = self.tables.catalog()?;
        let mut models = ModelsByService::new();
        let mut limits = DEFAULT_LOADS;
        for service in catalog.services.values() {
            let Some(engine) = &service.engine else { continue };
            if !engine.models.is_empty() {
                models.insert(service.id.clone(), engine.models.clone());
                limits = LoadLimits {
                    per_second: engine.loads_per_second,
                    at_once: engine.loads_at_once,
                };
            }
        }
        Some((models, limits))
    }

    fn view(&self, work: &mut Work, now: Instant, plan: &Plan) -> ClusterView {
        {
            let directory = self.tables.directory.lock();
            if work.seen != directory.version() {
                work.seen = directory.version();
                work.engines = Arc::new(directory.engines());
                work.incomplete = directory.incomplete_groups();
            }
        }
        let (suspects, progressing, has_traffic) = {
            let mut placing = self.tables.placing.lock();
            let has_traffic = placing.loads.is_any_in_flight();
            let suspects = placing.loads.suspects(now);
            let heads = plan.groups.values().filter_map(|g| g.head());
            let moving: BTreeSet<InstanceId> =
                heads.filter(|id| placing.loads.moved_recently(now, key_of(id))).cloned().collect();
            (suspects, moving, has_traffic)
        };
        self.probe(work, now, plan, &suspects);
        let unreachable = work
            .probes
            .iter()
            .filter(|(_, p)| p.missed >= MISSED_PROBES)
            .map(|(id, _)| id.clone())
            .collect();
        ClusterView {
            engines: work.engines.as_ref().clone(),
            unreachable,
            progressing,
            incomplete_since: work.incomplete.clone(),
            has_traffic,
        }
    }

    /// Asks suspected instances, and all members of their groups, whether they are there.
    fn probe(&self, work: &mut Work, now: Instant, plan: &Plan, suspects: &[InstanceId]) {
        let mut asked: BTreeSet<InstanceId> = suspects.iter().cloned().collect();
        for group in plan.groups.values() {
            if group.members.iter().any(|id| suspects.contains(id)) {
                asked.extend(group.members.iter().cloned());
            }
        }
        let engines = Arc::clone(&work.engines);
        work.probes.retain(|id, p| {
            engines.get(id).is_some_and(|e| p.started == 0 || e.started == p.started)
        });
        asked.extend(work.probes.iter().filter(|(_, p)| p.missed > 0).map(|(id, _)| id.clone()));
        for id in asked {
            let Some(engine) = engines.get(&id) else { continue };
            let probe = work.probes.entry(id.clone()).or_default();
            if probe.asked.is_some_and(|at| now < at + PROBE_EVERY) {
                continue;
            }
            probe.asked = Some(now);
            probe.started = engine.started;
            let (instances, reports) = (Arc::clone(&self.instances), work.reports.clone());
            let address = engine.address.clone();
            tokio::spawn(async move {
                let answered = instances.answers(&id, &address, PROBE_TIMEOUT).await;
                let _ = reports.send(Report::Probed(id, answered));
            });
        }
    }
}

fn result_of(answer: OrderAnswer) -> OrderResult {
    match answer {
        OrderAnswer::Accepted => OrderResult::Accepted,
        OrderAnswer::Unfit | OrderAnswer::Fenced => OrderResult::Rejected,
        OrderAnswer::AnotherInstance | OrderAnswer::NoProcess => OrderResult::Gone,
        OrderAnswer::Unanswered => OrderResult::Unanswered,
    }
}

fn log_order(id: &InstanceId, order: &Order, answer: OrderAnswer) {
    let (name, group, epoch) = match order {
        Order::Stage { model } => ("stage", model.as_str(), 0),
        Order::Join { group, epoch, .. } => ("join", group.as_str(), *epoch),
        Order::Open { group, epoch } => ("open", group.as_str(), *epoch),
        Order::Close { group, epoch } => ("close", group.as_str(), *epoch),
        Order::Leave { group, epoch } => ("leave", group.as_str(), *epoch),
    };
    logs::event("order")
        .with("instance", id)
        .with("order", name)
        .with("subject", group)
        .with("epoch", epoch)
        .with("answer", answer)
        .info();
}

fn log_changes(before: &Plan, after: &Plan, version: Version) {
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
