//! Control of the fabric domains that this node owns.

use {
    crate::{duty::evidence, logs, shared::Shared},
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

/// Time between plans for a domain.
const PERIOD: Duration = Duration::from_millis(400);

/// Steps of a domain in one round, each of which follows from the one before.
const MAX_STEPS: usize = 3;

/// What this node knows of a domain that it controls.
struct Charge {
    version: Option<Version>,
    domain: Domain,
    controller: Controller,
    /// When the domain was read; absent when it must be read before the next plan.
    read_at: Option<Instant>,
    tokens: f64,
    filled_at: Instant,
}

/// Plans for each owned domain, again and again.
pub async fn run(shared: Arc<Shared>) {
    let mut charges: BTreeMap<FabricDomain, Charge> = BTreeMap::new();
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let Some(services) = shared.tables.services() else {
            continue;
        };
        let (taken, text) = (Arc::clone(&shared), Arc::clone(&services));
        let looking = move || {
            let sites = taken.sites(&text);
            taken.note_shortfalls(&sites);
            sites
        };
        let Some(sites) = shared.work(looking).await else {
            return;
        };
        charges.retain(|domain, _| sites.contains_key(domain));
        let domains = sites.len().max(1);
        let rate = f64::from(services.model_loads_per_minute) / domains as f64;
        for (name, site) in sites {
            let now = shared.clock().now();
            let charge = charges.remove(&name).unwrap_or_else(|| Charge::new(now));
            let Some((charge, tended)) = tend(&shared, charge, &name, site, rate).await else {
                return;
            };
            charges.insert(name.clone(), charge);
            if let Err(e) = tended {
                logs::event("domain_unavailable").with("domain", &name).with("cause", e).debug();
            }
        }
    }
}

/// What a domain has and needs.
struct Site {
    wants: Vec<GroupTarget>,
    listed: BTreeSet<InstanceId>,
}

/// Takes the steps of one round; what the controller remembers outlives an error.
///
/// Absent when the node ends.
async fn tend(
    shared: &Arc<Shared>,
    mut charge: Charge,
    name: &FabricDomain,
    site: Site,
    rate: f64,
) -> Option<(Charge, Result<(), StoreError>)> {
    if let Err(e) = charge.renew(shared, name).await {
        return Some((charge, Err(e)));
    }
    let site = Arc::new(site);
    for _ in 0..MAX_STEPS {
        let (taken, domain, needs) = (Arc::clone(shared), name.clone(), Arc::clone(&site));
        let planned = shared.work(move || taken.plan(charge, &domain, &needs, rate)).await;
        let (known, plan) = planned?;
        charge = known;
        if plan.outdated {
            charge.read_at = None;
            break;
        }
        match carry_out(shared, name, &mut charge, plan).await {
            Ok(true) => {}
            Ok(false) => break,
            Err(e) => {
                charge.read_at = None;
                return Some((charge, Err(e)));
            }
        }
    }
    Some((charge, Ok(())))
}

impl Charge {
    /// A charge of a domain that nothing is known of yet.
    fn new(now: Instant) -> Self {
        Self {
            version: None,
            domain: Domain::default(),
            controller: Controller::default(),
            read_at: None,
            tokens: 1.0,
            filled_at: now,
        }
    }

    /// Reads the domain unless the copy is fresh.
    async fn renew(&mut self, shared: &Shared, name: &FabricDomain) -> Result<(), StoreError> {
        let now = shared.clock().now();
        let age = self.read_at.map(|at| now.saturating_duration_since(at));
        if age.is_some_and(|age| age <= MAX_DOMAIN_AGE) {
            return Ok(());
        }
        self.read_at = None;
        shared.tables.lifecycle.lock().platform.reads += 1;
        let object = shared.desk.borders.store.get(&domain_key(name)).await?;
        self.domain = object.as_ref().map(parse).transpose()?.unwrap_or_default();
        self.version = object.map(|o| o.version);
        self.read_at = Some(now);
        Ok(())
    }

    /// Earns this domain's share of the weight store's rate.
    fn fill(&mut self, now: Instant, per_minute: f64) {
        let passed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        let most = per_minute.max(1.0);
        self.tokens = (self.tokens + passed * per_minute / 60.0).min(most);
    }
}

fn parse(object: &Object) -> Result<Domain, StoreError> {
    serde_json::from_str(&object.value).map_err(|_| StoreError::Malformed)
}

/// Gives the orders and makes the change of a plan; says whether another may follow at once.
async fn carry_out(
    shared: &Arc<Shared>,
    name: &FabricDomain,
    charge: &mut Charge,
    plan: ControlPlan,
) -> Result<bool, StoreError> {
    let addresses = shared.addresses();
    let orders = plan.orders.into_iter().map(|(instance, order)| {
        let shared = Arc::clone(shared);
        let addresses = &addresses;
        async move { give(&shared, addresses, &instance, order).await }
    });
    let obeyed = join_all(orders).await.contains(&true);
    let Some(next) = plan.update else {
        return Ok(obeyed);
    };
    let value = serde_json::to_string(&next).map_err(|_| StoreError::Malformed)?;
    let expect = charge.version.map_or(ExpectedState::Absent, ExpectedState::Version);
    shared.tables.lifecycle.lock().platform.writes += 1;
    match shared.desk.borders.store.put(&domain_key(name), value, expect).await {
        Ok(version) => {
            log_change(name, &charge.domain, &next);
            charge.version = Some(version);
            charge.domain = next;
            charge.tokens -= plan.groups_formed as f64;
            Ok(true)
        }
        Err(StoreError::Conflict { current: Some(object) }) => {
            charge.domain = parse(&object)?;
            charge.version = Some(object.version);
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

/// Gives an order, and asks the instance at once what came of it; says whether it took the order.
async fn give(
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
    if let Err(e) = shared.desk.borders.engine.send_order(address, &order).await {
        logs::event("order_failed").with("instance", instance).with("cause", e).debug();
        return false;
    }
    shared.tables.lifecycle.lock().probes += 1;
    evidence::probe(shared, instance.clone(), address.clone()).await;
    true
}

impl Shared {
    fn plan(
        &self,
        mut charge: Charge,
        domain: &FabricDomain,
        site: &Site,
        rate: f64,
    ) -> (Charge, ControlPlan) {
        let now = self.clock().now();
        charge.fill(now, rate);
        let groups = self.tables.groups.lock();
        let view = DomainView {
            now,
            domain,
            targets: &site.wants,
            listed: &site.listed,
            health: &groups.evidence,
            max_new_groups: charge.tokens as usize,
        };
        let plan = charge.controller.plan(&charge.domain, &view);
        (charge, plan)
    }

    /// Counts what the domains in this node's charge lack, for the time since it last looked.
    fn note_shortfalls(&self, sites: &BTreeMap<FabricDomain, Site>) {
        let now = self.clock().now();
        let lacking: BTreeMap<&FabricDomain, Vec<Shortfall>> = {
            let groups = self.tables.groups.lock();
            let lack = |want: &GroupTarget| shortfall(want, &groups.evidence, now);
            let lacks = |site: &Site| site.wants.iter().map(lack).collect();
            sites.iter().map(|(name, site)| (name, lacks(site))).collect()
        };
        let mut burn = self.tables.burn.lock();
        for (domain, lacks) in lacking {
            let passed = burn.downtime.observe(now, domain);
            for lack in lacks {
                burn.downtime.record_missing(&lack.service, lack.groups, lack.instances, passed);
            }
        }
    }

    fn addresses(&self) -> BTreeMap<InstanceId, Address> {
        let groups = self.tables.groups.lock();
        groups.instances.iter().map(|(id, i)| (id.clone(), i.address.clone())).collect()
    }

    /// Domains that this node owns, with what each has and needs; urgent services first.
    fn sites(&self, services: &Services) -> BTreeMap<FabricDomain, Site> {
        let (me, live) = {
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
        let mut sites: BTreeMap<FabricDomain, Site> = domains
            .iter()
            .map(|(name, pools)| {
                let listed = pools.values().flatten().cloned().collect();
                (name.clone(), Site { wants: Vec::new(), listed })
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
                let Some(site) = sites.get_mut(&domain) else {
                    continue;
                };
                site.wants.push(GroupTarget {
                    service: service.id.clone(),
                    groups: quota,
                    group_size: service.group_size,
                    model: service.model.clone().unwrap_or_default(),
                    instances: domains[&domain][&service.pool].clone(),
                });
            }
        }
        sites.retain(|name, _| groups.owners.owner(name) == Some(&me));
        sites
    }
}
