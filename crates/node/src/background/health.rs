//! Health reports of instances, from this node's probes and from those of other nodes.
//!
//! The owner of a fabric domain probes its instances. For a complete group it probes only the first
//! member, which relays the reports of the others. Other nodes that monitor the domain fetch the
//! results from the owner.

use {
    crate::{
        shared::Shared,
        tables::{Groups, PeerReports, PendingRequest, ProbeResult},
        wire,
    },
    rocket::futures::future::join_all,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::{MissedTickBehavior, interval},
    turmerictack_groups::{
        health::{HealthReport, MAX_REPORT_AGE, ReceivedReport},
        subset::{DomainCounts, monitored_domains},
    },
    turmerictack_model::ids::{Address, DataCentre, InstanceId, NodeId},
    turmerictack_platform::instance::Instance,
    turmerictack_protocol::message::{PeerReport, PeerRequest, PeerResponse, ProbeRunId},
    turmerictack_upstream::engine::MemberReport,
};

/// Time between rounds.
const PERIOD: Duration = Duration::from_millis(400);

/// Report age above which a node probes a monitored instance itself, without waiting for its owner.
const FALLBACK_PROBE_AGE: Duration = Duration::from_millis(1050);

/// Age at which a relayed report is replaced by a direct probe of the instance.
const RELAYED_REPROBE_AGE: Duration = Duration::from_millis(600);

/// Time between probes of an instance that is in no group.
const UNASSIGNED_REPROBE_AGE: Duration = Duration::from_millis(1150);

/// Largest number of instances of other owners that a node probes in a round.
const MAX_FALLBACKS: usize = 16;

/// Runs a round each period; requests that are still unanswered do not delay the next round.
pub async fn run(shared: Arc<Shared>) {
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let job_shared = Arc::clone(&shared);
        let Some((targets, peers)) = shared.run_job(move || job_shared.next_round()).await else {
            continue;
        };
        shared.refresh_upstreams().await;
        shared.tables.lifecycle.lock().probes += targets.len() as u64;
        let job_shared = Arc::clone(&shared);
        tokio::spawn(async move {
            let probes = targets.into_iter().map(|(id, address)| probe(&job_shared, id, address));
            let pulls =
                peers.into_iter().map(|(node, address)| pull_reports(&job_shared, node, address));
            tokio::join!(join_all(probes), join_all(pulls));
            job_shared.refresh_upstreams().await;
        });
    }
}

/// Requests the health report of an instance and records it.
pub async fn probe(shared: &Arc<Shared>, instance: InstanceId, address: Address) {
    let requested_at = shared.clock().now();
    let report = shared.proxy.interfaces.engine.report(&address).await;
    let report = report.ok().filter(|report| report.instance == instance);
    let job_shared = Arc::clone(shared);
    let record = move || {
        let now = job_shared.clock().now();
        let mut groups = job_shared.tables.groups.lock();
        groups.pending_requests.remove(&PendingRequest::Instance(instance));
        if let Some(report) = report {
            groups.record_report(now, report, requested_at);
        }
    };
    shared.run_job(record).await;
}

async fn pull_reports(shared: &Arc<Shared>, node: NodeId, address: Address) {
    let requested_at = shared.clock().now();
    let (run, last_change) = {
        let groups = shared.tables.groups.lock();
        groups
            .peer_reports
            .get(&node)
            .map_or((ProbeRunId::default(), 0), |p| (p.run, p.last_change))
    };
    let request = PeerRequest::Reports { run, last_change };
    let response = shared.proxy.interfaces.peers.send(&address, &request).await;
    let job_shared = Arc::clone(shared);
    let record = move || {
        let mut groups = job_shared.tables.groups.lock();
        groups.pending_requests.remove(&PendingRequest::Node(node.clone()));
        let update = match response {
            Ok(PeerResponse::Reports { run, last_change, changed, age_ms, expired }) => {
                let age = Duration::from_millis(age_ms.into());
                ReportUpdate { run, last_change, changed, age, expired }
            }
            Ok(PeerResponse::Unchanged { age }) => {
                let (changed, expired) = (Vec::new(), Vec::new());
                ReportUpdate { run, last_change, changed, age: wire::age_from_wire(age), expired }
            }
            _ => return,
        };
        groups.record_peer_reports(node, update, requested_at);
    };
    shared.run_job(record).await;
}

/// Id of a node and the address of its peer listener.
type PeerNode = (NodeId, Address);

/// Changes in another node's probe results.
#[derive(Debug)]
pub struct ReportUpdate {
    run: ProbeRunId,
    last_change: u64,
    changed: Vec<PeerReport>,
    /// Age of the oldest unchanged report, which the receiver applies to all of them.
    age: Duration,
    expired: Vec<InstanceId>,
}

impl ProbeResult {
    /// Whether the report is too old to be passed to other nodes.
    fn is_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.requested_at) > MAX_REPORT_AGE
    }
}

/// Requests for health reports that a node sends in a round.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProbePlan {
    /// Instances that the node owns.
    pub owned: BTreeSet<InstanceId>,
    /// Instances to probe, with their addresses.
    pub probes: Vec<(InstanceId, Address)>,
    /// Nodes to ask for their probe results.
    pub peers: BTreeSet<NodeId>,
}

/// Fabric domain of an instance; the instances of a pool without one share a domain named after
/// the pool.
fn domain_of(instance: &Instance) -> &str {
    instance.fabric_domain.as_ref().unwrap_or(&instance.pool)
}

impl Shared {
    /// Probes and peer requests of this round; leaves out requests that are still unanswered.
    fn next_round(&self) -> (Vec<(InstanceId, Address)>, Vec<PeerNode>) {
        let now = self.clock().now();
        let (live, addresses) = {
            let members = self.tables.members.lock();
            let live = members.live_nodes();
            let known = live.iter().filter_map(|n| Some((n.clone(), members.address(n)?.clone())));
            let addresses: BTreeMap<NodeId, Address> = known.collect();
            (live, addresses)
        };
        let mut groups = self.tables.groups.lock();
        groups.peer_reports.retain(|node, _| live.contains(node));
        groups.sync_owners(&live);
        let plan =
            groups.plan_round(now, &self.settings.node, &self.settings.data_centre, live.len());
        groups.set_owned(plan.owned);
        let mut probes = plan.probes;
        probes
            .retain(|(id, _)| groups.pending_requests.insert(PendingRequest::Instance(id.clone())));
        let peers = plan.peers.into_iter().filter_map(|node| {
            let address = addresses.get(&node)?.clone();
            groups
                .pending_requests
                .insert(PendingRequest::Node(node.clone()))
                .then_some((node, address))
        });
        let peers = peers.collect();
        (probes, peers)
    }
}

impl Groups {
    /// Plans the probes and peer requests of a node for one round.
    pub fn plan_round(
        &self,
        now: Instant,
        local_node: &str,
        local_data_centre: &DataCentre,
        nodes: usize,
    ) -> ProbePlan {
        let monitored = self.monitored(now, local_node, local_data_centre, nodes);
        let mut plan = ProbePlan::default();
        let mut fallbacks = 0;
        for (id, instance) in &self.instances {
            let domain = domain_of(instance);
            let owner = self.owners.owner(domain).map_or(local_node, String::as_str);
            if owner == local_node {
                plan.owned.insert(id.clone());
                if self.is_due(now, id) {
                    plan.probes.push((id.clone(), instance.address.clone()));
                }
            } else if monitored.contains(domain) {
                plan.peers.insert(owner.to_owned());
                if fallbacks < MAX_FALLBACKS && self.needs_fallback_probe(now, id) {
                    fallbacks += 1;
                    plan.probes.push((id.clone(), instance.address.clone()));
                }
            }
        }
        plan
    }

    /// Whether an owned instance is to be probed in this round.
    fn is_due(&self, now: Instant, instance: &str) -> bool {
        let Some(result) = self.probe_results.get(instance) else {
            return true;
        };
        let min_age = match result.relayed {
            true => RELAYED_REPROBE_AGE,
            false if self.is_unassigned(instance, &result.report) => UNASSIGNED_REPROBE_AGE,
            false => Duration::ZERO,
        };
        now.saturating_duration_since(result.requested_at) >= min_age
    }

    /// Whether an engine instance is in no group; only its owner needs its reports.
    fn is_unassigned(&self, instance: &str, report: &HealthReport) -> bool {
        let is_engine = self.instances.get(instance).is_some_and(|i| i.fabric_domain.is_some());
        is_engine && report.claim.is_none()
    }

    /// Whether the report of a monitored instance of another owner is missing or too old.
    fn needs_fallback_probe(&self, now: Instant, instance: &str) -> bool {
        let Some(received) = self.health.get(instance) else {
            return true;
        };
        let age = now.saturating_duration_since(received.requested_at);
        age > FALLBACK_PROBE_AGE && !self.is_unassigned(instance, &received.report)
    }

    /// Updates the assignment of domains to live nodes.
    pub fn sync_owners(&mut self, live: &BTreeSet<NodeId>) {
        let domains = self.instances.values().map(domain_of).collect();
        self.owners.update(live, &domains);
    }

    /// Domains that the node monitors, over all pools.
    fn monitored(
        &self,
        now: Instant,
        local_node: &str,
        local_data_centre: &DataCentre,
        nodes: usize,
    ) -> BTreeSet<String> {
        let mut pools: BTreeMap<&str, BTreeMap<&str, DomainCounts>> = BTreeMap::new();
        for (id, instance) in &self.instances {
            let domains = pools.entry(&instance.pool).or_default();
            let counts = domains.entry(domain_of(instance)).or_default();
            counts.listed += 1;
            counts.fresh += usize::from(self.health.fresh_report(id, now).is_some());
            counts.local |= instance.data_centre == *local_data_centre;
        }
        pools.values().flat_map(|domains| monitored_domains(local_node, domains, nodes)).collect()
    }

    /// Replaces the set of owned instances, and drops the results of instances no longer owned.
    pub fn set_owned(&mut self, owned: BTreeSet<InstanceId>) {
        let before = self.probe_results.len();
        self.probe_results.retain(|id, _| owned.contains(id));
        if self.probe_results.len() < before {
            self.probe_run += 1;
        }
        self.owned = owned;
    }

    /// Records the report of an instance and those that it relays for the members of its group.
    pub fn record_report(&mut self, now: Instant, report: MemberReport, requested_at: Instant) {
        let group = report.membership.iter().flat_map(|m| &m.members);
        let group: BTreeSet<InstanceId> = group.cloned().collect();
        if let Some(reported_at) = requested_at.checked_sub(report.member_reports_age) {
            let others = report.member_reports.iter().filter(|m| group.contains(&m.instance));
            for member in others.filter(|m| m.instance != report.instance) {
                self.record_probe(now, member, reported_at, true);
            }
        }
        self.record_probe(now, &report, requested_at, false);
    }

    fn record_probe(
        &mut self,
        now: Instant,
        member: &MemberReport,
        requested_at: Instant,
        relayed: bool,
    ) {
        let (instance, report) =
            (member.instance.clone(), Arc::new(wire::report_from_engine(member)));
        let received = ReceivedReport { report: (*report).clone(), requested_at };
        self.health.record(&instance, received);
        if !self.owned.contains(&instance) {
            return;
        }
        let change = match self.probe_results.get(&instance) {
            Some(known) if known.requested_at > requested_at => return,
            // Other nodes drop the reports that are listed as expired, so the next report of such
            // an instance must be sent to them even if it is unchanged.
            Some(known) if known.report == report && !known.is_expired(now) => known.change,
            _ => {
                self.last_change += 1;
                self.last_change
            }
        };
        self.probe_results.insert(instance, ProbeResult { change, report, requested_at, relayed });
    }

    /// Answers another node's request for the probe results since a change number.
    pub fn reports_since(&self, now: Instant, run: ProbeRunId, last_change: u64) -> PeerResponse {
        let own_run = wire::run_to_wire(self.probe_run);
        let last_change = if run == own_run { last_change } else { 0 };
        let mut changed = Vec::new();
        let mut expired = Vec::new();
        let mut oldest = Duration::ZERO;
        for (instance, result) in &self.probe_results {
            let age = now.saturating_duration_since(result.requested_at);
            if result.is_expired(now) {
                expired.push(instance.clone());
            } else if result.change > last_change {
                changed.push(wire::report_to_wire(instance, &result.report, age));
            } else if !self.is_unassigned(instance, &result.report) {
                oldest = oldest.max(age);
            }
        }
        let is_up_to_date = run == own_run && last_change == self.last_change;
        if is_up_to_date && changed.is_empty() && expired.is_empty() {
            return PeerResponse::Unchanged { age: wire::ceil_centiseconds(oldest) };
        }
        PeerResponse::Reports {
            run: own_run,
            last_change: self.last_change,
            changed,
            age_ms: wire::ceil_millis(oldest),
            expired,
        }
    }

    fn record_peer_reports(&mut self, node: NodeId, update: ReportUpdate, requested_at: Instant) {
        let mut known = self.peer_reports.remove(&node).unwrap_or_default();
        if known.run != update.run {
            known = PeerReports { run: update.run, ..PeerReports::default() };
        }
        known.last_change = update.last_change;
        let mut ages: BTreeMap<InstanceId, Duration> = BTreeMap::new();
        for expired in &update.expired {
            known.reports.remove(expired);
        }
        for report in update.changed {
            let instance = report.instance.clone();
            let (report, age) = wire::report_from_wire(report);
            known.reports.insert(instance.clone(), Arc::new(report));
            ages.insert(instance, age);
        }
        for (instance, report) in &known.reports {
            if !ages.contains_key(instance) && self.is_unassigned(instance, report) {
                continue;
            }
            let age = ages.get(instance).copied().unwrap_or(update.age);
            let Some(requested_at) = requested_at.checked_sub(age) else {
                continue;
            };
            let current = self.health.get(instance);
            if current.is_none_or(|c| c.requested_at < requested_at)
                && self.instances.contains_key(instance)
            {
                let received = ReceivedReport { report: (**report).clone(), requested_at };
                self.health.record(instance, received);
            }
        }
        self.peer_reports.insert(node, known);
    }
}
