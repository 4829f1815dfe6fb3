//! Controller of the fabric domains that this node owns: forms and retires groups of instances.

use {
    crate::{background::health, logs, shared::Shared},
    rocket::futures::future::join_all,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::{MissedTickBehavior, interval},
    turmerictack_groups::{
        control::{ControlPlan, Controller, DomainView, GroupTarget, MAX_DOMAIN_AGE, Order},
        domain::{Domain, domain_key},
        quota::quotas,
        shortfall::{Shortfall, shortfall},
    },
    turmerictack_model::ids::{Address, FabricDomain, InstanceId, Version},
    turmerictack_platform::{
        error::StoreError,
        store::{ExpectedState, Object},
    },
    turmerictack_settings::{
        dependencies::dependency_order,
        services::{ServiceKind, Services},
    },
    turmerictack_upstream::engine,
};

/// Time between control rounds.
const PERIOD: Duration = Duration::from_millis(400);

/// Control steps of a domain in one round; each step builds on the result of the previous one.
const MAX_STEPS_PER_ROUND: usize = 3;

/// This node's copy of a domain that it controls.
struct DomainState {
    version: Option<Version>,
    domain: Domain,
    controller: Controller,
    /// When the domain was read; absent if it must be read again before the next plan.
    read_at: Option<Instant>,
    load_tokens: f64,
    refilled_at: Instant,
}

/// Periodically plans and executes changes for each owned domain.
pub async fn run(shared: Arc<Shared>) {
    let mut states: BTreeMap<FabricDomain, DomainState> = BTreeMap::new();
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let Some(services) = shared.tables.services() else {
            continue;
        };
        let (job_shared, job_services) = (Arc::clone(&shared), Arc::clone(&services));
        let assess = move || {
            let needs_by_domain = job_shared.needs_by_domain(&job_services);
            job_shared.record_shortfalls(&needs_by_domain);
            needs_by_domain
        };
        let Some(needs_by_domain) = shared.run_job(assess).await else {
            return;
        };
        states.retain(|domain, _| needs_by_domain.contains_key(domain));
        let domains = needs_by_domain.len().max(1);
        let loads_per_minute = f64::from(services.model_loads_per_minute) / domains as f64;
        for (name, needs) in needs_by_domain {
            let now = shared.clock().now();
            let state = states.remove(&name).unwrap_or_else(|| DomainState::new(now));
            let Some((state, outcome)) =
                run_domain(&shared, state, &name, needs, loads_per_minute).await
            else {
                return;
            };
            states.insert(name.clone(), state);
            if let Err(e) = outcome {
                logs::event("domain_unavailable").with("domain", &name).with("cause", e).debug();
            }
        }
    }
}

/// Required groups and listed instances of a domain.
struct DomainNeeds {
    targets: Vec<GroupTarget>,
    listed: BTreeSet<InstanceId>,
}

/// Runs the control steps of one round; the state of the controller is returned even on an error.
///
/// `None` if the node is shutting down.
async fn run_domain(
    shared: &Arc<Shared>,
    mut state: DomainState,
    name: &FabricDomain,
    needs: DomainNeeds,
    loads_per_minute: f64,
) -> Option<(DomainState, Result<(), StoreError>)> {
    if let Err(e) = state.refresh(shared, name).await {
        return Some((state, Err(e)));
    }
    let needs = Arc::new(needs);
    for _ in 0..MAX_STEPS_PER_ROUND {
        let (job_shared, domain, needs) = (Arc::clone(shared), name.clone(), Arc::clone(&needs));
        let planned =
            shared.run_job(move || job_shared.plan(state, &domain, &needs, loads_per_minute)).await;
        let (next_state, plan) = planned?;
        state = next_state;
        if plan.outdated {
            state.read_at = None;
            break;
        }
        match execute_plan(shared, name, &mut state, plan).await {
            Ok(true) => {}
            Ok(false) => break,
            Err(e) => {
                state.read_at = None;
                return Some((state, Err(e)));
            }
        }
    }
    Some((state, Ok(())))
}

impl DomainState {
    /// Initial state of a domain that has not been read yet.
    fn new(now: Instant) -> Self {
        Self {
            version: None,
            domain: Domain::default(),
            controller: Controller::default(),
            read_at: None,
            load_tokens: 1.0,
            refilled_at: now,
        }
    }

    /// Reads the domain unless the copy is recent enough.
    async fn refresh(&mut self, shared: &Shared, name: &FabricDomain) -> Result<(), StoreError> {
        let now = shared.clock().now();
        let age = self.read_at.map(|at| now.saturating_duration_since(at));
        if age.is_some_and(|age| age <= MAX_DOMAIN_AGE) {
            return Ok(());
        }
        self.read_at = None;
        shared.tables.lifecycle.lock().platform.reads += 1;
        let object = shared.proxy.interfaces.store.get(&domain_key(name)).await?;
        self.domain = object.as_ref().map(parse).transpose()?.unwrap_or_default();
        self.version = object.map(|o| o.version);
        self.read_at = Some(now);
        Ok(())
    }

    /// Refills the tokens for model loads with this domain's share of the rate that the weight
    /// store can sustain.
    fn refill(&mut self, now: Instant, loads_per_minute: f64) {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let capacity = loads_per_minute.max(1.0);
        self.load_tokens = (self.load_tokens + elapsed * loads_per_minute / 60.0).min(capacity);
    }
}

fn parse(object: &Object) -> Result<Domain, StoreError> {
    serde_json::from_str(&object.value).map_err(|_| StoreError::Malformed)
}

/// Sends the orders of a plan and writes its domain update; returns whether to plan again at once.
async fn execute_plan(
    shared: &Arc<Shared>,
    name: &FabricDomain,
    state: &mut DomainState,
    plan: ControlPlan,
) -> Result<bool, StoreError> {
    let addresses = shared.addresses();
    let orders = plan.orders.into_iter().map(|(instance, order)| {
        let shared = Arc::clone(shared);
        let addresses = &addresses;
        async move { send_order(&shared, addresses, &instance, order).await }
    });
    let accepted = join_all(orders).await.contains(&true);
    let Some(next) = plan.update else {
        return Ok(accepted);
    };
    let value = serde_json::to_string(&next).map_err(|_| StoreError::Malformed)?;
    let expect = state.version.map_or(ExpectedState::Absent, ExpectedState::Version);
    shared.tables.lifecycle.lock().platform.writes += 1;
    match shared.proxy.interfaces.store.put(&domain_key(name), value, expect).await {
        Ok(version) => {
            log_change(name, &state.domain, &next);
            state.version = Some(version);
            state.domain = next;
            state.load_tokens -= plan.groups_formed as f64;
            Ok(true)
        }
        Err(StoreError::Conflict { current: Some(object) }) => {
            state.domain = parse(&object)?;
            state.version = Some(object.version);
            Ok(false)
        }
        Err(e) => Err(e),
    }
}

fn log_change(name: &FabricDomain, before: &Domain, after: &Domain) {
    for (id, group) in &after.groups {
        if before.groups.get(id) != Some(group) {
            logs::event("group_changed")
                .with("domain", name)
                .with("group", id)
                .with("epoch", group.epoch)
                .with("members", group.members.join(","))
                .with("state", format!("{:?}", group.state))
                .with("served", group.served)
                .info();
        }
    }
    for id in before.groups.keys().filter(|id| !after.groups.contains_key(*id)) {
        logs::event("group_removed").with("domain", name).with("group", id).info();
    }
}

/// Sends an order and probes the instance at once; returns whether it accepted the order.
async fn send_order(
    shared: &Arc<Shared>,
    addresses: &BTreeMap<InstanceId, Address>,
    instance: &InstanceId,
    order: Order,
) -> bool {
    let Some(address) = addresses.get(instance) else {
        return false;
    };
    let order = match order {
        Order::Assign { group, epoch, members, model } => engine::Order::Assign {
            fence: epoch,
            group,
            addresses: members.iter().filter_map(|m| addresses.get(m).cloned()).collect(),
            members,
            model,
        },
        Order::Release { fence } => engine::Order::Release { fence },
    };
    if let Err(e) = shared.proxy.interfaces.engine.send_order(address, &order).await {
        logs::event("order_failed").with("instance", instance).with("cause", e).debug();
        return false;
    }
    shared.tables.lifecycle.lock().probes += 1;
    health::probe(shared, instance.clone(), address.clone()).await;
    true
}

impl Shared {
    fn plan(
        &self,
        mut state: DomainState,
        domain: &FabricDomain,
        needs: &DomainNeeds,
        loads_per_minute: f64,
    ) -> (DomainState, ControlPlan) {
        let now = self.clock().now();
        state.refill(now, loads_per_minute);
        let groups = self.tables.groups.lock();
        let view = DomainView {
            now,
            domain,
            targets: &needs.targets,
            listed: &needs.listed,
            health: &groups.health,
            max_new_groups: state.load_tokens as usize,
        };
        let plan = state.controller.plan(&state.domain, &view);
        (state, plan)
    }

    /// Records the shortfalls of the owned domains for the time since the previous check.
    fn record_shortfalls(&self, needs_by_domain: &BTreeMap<FabricDomain, DomainNeeds>) {
        let now = self.clock().now();
        let shortfalls: BTreeMap<&FabricDomain, Vec<Shortfall>> = {
            let groups = self.tables.groups.lock();
            let measure = |target: &GroupTarget| shortfall(target, &groups.health, now);
            let measure_all = |needs: &DomainNeeds| needs.targets.iter().map(measure).collect();
            needs_by_domain.iter().map(|(name, needs)| (name, measure_all(needs))).collect()
        };
        let mut burn = self.tables.burn.lock();
        for (domain, domain_shortfalls) in shortfalls {
            let elapsed = burn.downtime.observe(now, domain);
            for missing in domain_shortfalls {
                burn.downtime.record_missing(
                    &missing.service,
                    missing.groups,
                    missing.instances,
                    elapsed,
                );
            }
        }
    }

    fn addresses(&self) -> BTreeMap<InstanceId, Address> {
        let groups = self.tables.groups.lock();
        groups.instances.iter().map(|(id, i)| (id.clone(), i.address.clone())).collect()
    }

    /// Requirements of the domains that this node owns; groups of urgent services come first.
    fn needs_by_domain(&self, services: &Services) -> BTreeMap<FabricDomain, DomainNeeds> {
        let (local_node, live) = {
            let members = self.tables.members.lock();
            (members.local_node().node.clone(), members.live_nodes())
        };
        let mut groups = self.tables.groups.lock();
        groups.sync_owners(&live);
        let mut domains: BTreeMap<FabricDomain, BTreeMap<String, BTreeSet<InstanceId>>> =
            BTreeMap::new();
        for (id, instance) in &groups.instances {
            let Some(domain) = &instance.fabric_domain else {
                continue;
            };
            let pools = domains.entry(domain.clone()).or_default();
            pools.entry(instance.pool.clone()).or_default().insert(id.clone());
        }
        let mut needs_by_domain: BTreeMap<FabricDomain, DomainNeeds> = domains
            .iter()
            .map(|(name, pools)| {
                let listed = pools.values().flatten().cloned().collect();
                (name.clone(), DomainNeeds { targets: Vec::new(), listed })
            })
            .collect();
        let order = dependency_order(services);
        let mut models: Vec<_> =
            services.services.iter().filter(|s| s.kind == ServiceKind::Model).collect();
        models.sort_by_key(|s| (s.default_rank, order.iter().position(|o| *o == s.id)));
        for service in models {
            let counts = domains
                .iter()
                .filter_map(|(d, pools)| Some((d.clone(), pools.get(&service.pool)?.len())))
                .collect();
            for (domain, quota) in quotas(service.groups, service.group_size, &counts) {
                let Some(needs) = needs_by_domain.get_mut(&domain) else {
                    continue;
                };
                needs.targets.push(GroupTarget {
                    service: service.id.clone(),
                    groups: quota,
                    group_size: service.group_size,
                    model: service.model.clone().unwrap_or_default(),
                    instances: domains[&domain][&service.pool].clone(),
                });
            }
        }
        needs_by_domain.retain(|name, _| groups.owners.owner(name) == Some(&local_node));
        needs_by_domain
    }
}
