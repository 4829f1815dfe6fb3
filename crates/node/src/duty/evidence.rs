//! Evidence of instances: own probes of a few, and the probes of other nodes.
//!
//! One node probes a fabric domain; where a group is whole, it asks only the first member, which
//! passes on what the others told it. The other nodes that follow the domain ask that node.

use {
    crate::{
        shared::Shared,
        tables::{Asked, Groups, Probed, Pulled},
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

/// Age of evidence from which a node probes an instance itself that it follows.
const FALLBACK_AGE: Duration = Duration::from_millis(1050);

/// Age of a report that was passed on from which its instance is asked itself.
const RELAYED_AGE: Duration = Duration::from_millis(600);

/// Age of the report of an instance without a group from which it is asked again.
const SPARE_AGE: Duration = Duration::from_millis(1150);

/// Instances that a node probes in a round beside its own.
const MAX_FALLBACKS: usize = 16;

/// Probes and asks other nodes for theirs; what is silent in one round holds up no other.
pub async fn run(shared: Arc<Shared>) {
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let taken = Arc::clone(&shared);
        let Some((targets, peers)) = shared.work(move || taken.evidence_round()).await else {
            continue;
        };
        shared.refresh_fleets().await;
        shared.tables.lifecycle.lock().probes += targets.len() as u64;
        let asking = Arc::clone(&shared);
        tokio::spawn(async move {
            let probes = targets.into_iter().map(|(id, address)| probe(&asking, id, address));
            let pulls = peers.into_iter().map(|(node, address)| pull(&asking, node, address));
            tokio::join!(join_all(probes), join_all(pulls));
            asking.refresh_fleets().await;
        });
    }
}

/// Asks an instance for its report.
pub async fn probe(shared: &Arc<Shared>, instance: InstanceId, address: Address) {
    let asked_at = shared.clock().now();
    let answer = shared.desk.borders.engine.report(&address).await;
    let answer = answer.ok().filter(|answer| answer.instance == instance);
    let taken = Arc::clone(shared);
    let note = move || {
        let now = taken.clock().now();
        let mut groups = taken.tables.groups.lock();
        groups.asking.remove(&Asked::Instance(instance));
        if let Some(answer) = answer {
            groups.note_answer(now, answer, asked_at);
        }
    };
    shared.work(note).await;
}

async fn pull(shared: &Arc<Shared>, node: NodeId, address: Address) {
    let asked_at = shared.clock().now();
    let (run, seen) = {
        let groups = shared.tables.groups.lock();
        groups.pulled.get(&node).map_or((ProbeRunId::default(), 0), |p| (p.run, p.seen))
    };
    let question = PeerRequest::Reports { run, last_change: seen };
    let answer = shared.desk.borders.peers.send(&address, &question).await;
    let taken = Arc::clone(shared);
    let note = move || {
        let mut groups = taken.tables.groups.lock();
        groups.asking.remove(&Asked::Node(node.clone()));
        let told = match answer {
            Ok(PeerResponse::Reports {
                run,
                last_change: seen,
                changed,
                age_ms,
                expired: silent,
            }) => {
                let age = Duration::from_millis(age_ms.into());
                Told { run, seen, changed, age, silent }
            }
            Ok(PeerResponse::Unchanged { age }) => {
                let (changed, silent) = (Vec::new(), Vec::new());
                Told { run, seen, changed, age: wire::age_in(age), silent }
            }
            _ => return,
        };
        groups.note_pull(node, told, asked_at);
    };
    shared.work(note).await;
}

/// A node and where it listens.
type Peer = (NodeId, Address);

/// What another node told of its probes.
#[derive(Debug)]
pub struct Told {
    run: ProbeRunId,
    seen: u64,
    changed: Vec<PeerReport>,
    age: Duration,
    silent: Vec<InstanceId>,
}

impl Probed {
    /// Whether other nodes are told that nothing is heard of the instance.
    fn is_silent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.asked_at) > MAX_REPORT_AGE
    }
}

/// What a node does for its evidence in a round.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Round {
    /// Instances that are the node's own to probe.
    pub owned: BTreeSet<InstanceId>,
    /// Instances that it probes, with their addresses.
    pub probes: Vec<(InstanceId, Address)>,
    /// Nodes that it asks.
    pub peers: BTreeSet<NodeId>,
}

/// Fabric domain of an instance; those that stand in none count as one domain a pool.
fn domain_of(instance: &Instance) -> &str {
    instance.fabric_domain.as_ref().unwrap_or(&instance.pool)
}

impl Shared {
    /// Instances to probe and nodes to ask in this round.
    fn evidence_round(&self) -> (Vec<(InstanceId, Address)>, Vec<Peer>) {
        let now = self.clock().now();
        let (live, addresses) = {
            let members = self.tables.members.lock();
            let live = members.live_nodes();
            let known = live.iter().filter_map(|n| Some((n.clone(), members.address(n)?.clone())));
            let addresses: BTreeMap<NodeId, Address> = known.collect();
            (live, addresses)
        };
        let mut groups = self.tables.groups.lock();
        groups.pulled.retain(|node, _| live.contains(node));
        groups.sync_owners(&live);
        let round = groups.round(now, &self.settings.node, &self.settings.data_centre, live.len());
        groups.set_owned(round.owned);
        let mut probes = round.probes;
        probes.retain(|(id, _)| groups.asking.insert(Asked::Instance(id.clone())));
        let peers = round.peers.into_iter().filter_map(|node| {
            let address = addresses.get(&node)?.clone();
            groups.asking.insert(Asked::Node(node.clone())).then_some((node, address))
        });
        let peers = peers.collect();
        (probes, peers)
    }
}

impl Groups {
    /// What a node probes and whom it asks in a round.
    pub fn round(&self, now: Instant, me: &str, here: &DataCentre, nodes: usize) -> Round {
        let followed = self.followed(now, me, here, nodes);
        let mut round = Round::default();
        let mut fallbacks = 0;
        for (id, instance) in &self.instances {
            let domain = domain_of(instance);
            let owner = self.owners.owner(domain).map_or(me, String::as_str);
            if owner == me {
                round.owned.insert(id.clone());
                if self.is_due(now, id) {
                    round.probes.push((id.clone(), instance.address.clone()));
                }
            } else if followed.contains(domain) {
                round.peers.insert(owner.to_owned());
                if fallbacks < MAX_FALLBACKS && self.needs_fallback_probe(now, id) {
                    fallbacks += 1;
                    round.probes.push((id.clone(), instance.address.clone()));
                }
            }
        }
        round
    }

    /// Whether an instance in this node's charge is asked in this round.
    fn is_due(&self, now: Instant, instance: &str) -> bool {
        let Some(probed) = self.probed.get(instance) else {
            return true;
        };
        let rest = match probed.relayed {
            true => RELAYED_AGE,
            false if self.is_spare(instance, &probed.report) => SPARE_AGE,
            false => Duration::ZERO,
        };
        now.saturating_duration_since(probed.asked_at) >= rest
    }

    /// Whether an instance of an engine is in no group; only who has charge of it needs to hear.
    fn is_spare(&self, instance: &str, report: &HealthReport) -> bool {
        let is_engine = self.instances.get(instance).is_some_and(|i| i.fabric_domain.is_some());
        is_engine && report.claim.is_none()
    }

    /// Whether this node has to look for an instance itself that another has charge of.
    fn needs_fallback_probe(&self, now: Instant, instance: &str) -> bool {
        let Some(evidence) = self.evidence.get(instance) else {
            return true;
        };
        let age = now.saturating_duration_since(evidence.asked_at);
        age > FALLBACK_AGE && !self.is_spare(instance, &evidence.report)
    }

    /// Takes over which nodes live; gives every domain one of them.
    pub fn sync_owners(&mut self, live: &BTreeSet<NodeId>) {
        let domains = self.instances.values().map(domain_of).collect();
        self.owners.sync(live, &domains);
    }

    /// Domains that the node follows, over all pools.
    fn followed(
        &self,
        now: Instant,
        me: &str,
        here: &DataCentre,
        nodes: usize,
    ) -> BTreeSet<String> {
        let mut pools: BTreeMap<&str, BTreeMap<&str, DomainCounts>> = BTreeMap::new();
        for (id, instance) in &self.instances {
            let domains = pools.entry(&instance.pool).or_default();
            let counts = domains.entry(domain_of(instance)).or_default();
            counts.listed += 1;
            counts.fresh += usize::from(self.evidence.fresh_report(id, now).is_some());
            counts.local |= instance.data_centre == *here;
        }
        pools.values().flat_map(|domains| monitored_domains(me, domains, nodes)).collect()
    }

    /// Takes over what this node has charge of, and forgets what it has no more.
    pub fn set_owned(&mut self, owned: BTreeSet<InstanceId>) {
        let before = self.probed.len();
        self.probed.retain(|id, _| owned.contains(id));
        if self.probed.len() < before {
            self.run += 1;
        }
        self.owned = owned;
    }

    /// Takes what an instance answered, and what it passes on of its group.
    pub fn note_answer(&mut self, now: Instant, answer: MemberReport, asked_at: Instant) {
        let group = answer.membership.iter().flat_map(|m| &m.members);
        let group: BTreeSet<InstanceId> = group.cloned().collect();
        if let Some(heard_at) = asked_at.checked_sub(answer.member_reports_age) {
            let others = answer.member_reports.iter().filter(|m| group.contains(&m.instance));
            for member in others.filter(|m| m.instance != answer.instance) {
                self.note_probe(now, member, heard_at, true);
            }
        }
        self.note_probe(now, &answer, asked_at, false);
    }

    fn note_probe(
        &mut self,
        now: Instant,
        member: &MemberReport,
        asked_at: Instant,
        relayed: bool,
    ) {
        let (instance, report) = (member.instance.clone(), Arc::new(wire::member_in(member)));
        let evidence = ReceivedReport { report: (*report).clone(), asked_at };
        self.evidence.record(&instance, evidence);
        if !self.owned.contains(&instance) {
            return;
        }
        let change = match self.probed.get(&instance) {
            Some(known) if known.asked_at > asked_at => return,
            // Others forget what they were told is silent, and need it again.
            Some(known) if known.report == report && !known.is_silent(now) => known.change,
            _ => {
                self.changes += 1;
                self.changes
            }
        };
        self.probed.insert(instance, Probed { change, report, asked_at, relayed });
    }

    /// Answers another node's question about this node's probes.
    pub fn tell(&self, now: Instant, run: ProbeRunId, seen: u64) -> PeerResponse {
        let own_run = wire::run_out(self.run);
        let seen = if run == own_run { seen } else { 0 };
        let mut changed = Vec::new();
        let mut silent = Vec::new();
        let mut oldest = Duration::ZERO;
        for (instance, probed) in &self.probed {
            let age = now.saturating_duration_since(probed.asked_at);
            if probed.is_silent(now) {
                silent.push(instance.clone());
            } else if probed.change > seen {
                changed.push(wire::report_out(instance, &probed.report, age));
            } else if !self.is_spare(instance, &probed.report) {
                oldest = oldest.max(age);
            }
        }
        let is_known = run == own_run && seen == self.changes;
        if is_known && changed.is_empty() && silent.is_empty() {
            return PeerResponse::Unchanged { age: wire::centiseconds(oldest) };
        }
        PeerResponse::Reports {
            run: own_run,
            last_change: self.changes,
            changed,
            age_ms: wire::millis(oldest),
            expired: silent,
        }
    }

    fn note_pull(&mut self, node: NodeId, told: Told, asked_at: Instant) {
        let mut pulled = self.pulled.remove(&node).unwrap_or_default();
        if pulled.run != told.run {
            pulled = Pulled { run: told.run, ..Pulled::default() };
        }
        pulled.seen = told.seen;
        let mut young: BTreeMap<InstanceId, Duration> = BTreeMap::new();
        for silent in &told.silent {
            pulled.reports.remove(silent);
        }
        for report in told.changed {
            let instance = report.instance.clone();
            let (report, age) = wire::report_in(report);
            pulled.reports.insert(instance.clone(), Arc::new(report));
            young.insert(instance, age);
        }
        for (instance, report) in &pulled.reports {
            if !young.contains_key(instance) && self.is_spare(instance, report) {
                continue;
            }
            let age = young.get(instance).copied().unwrap_or(told.age);
            let Some(asked_at) = asked_at.checked_sub(age) else {
                continue;
            };
            let known = self.evidence.get(instance);
            if known.is_none_or(|k| k.asked_at < asked_at) && self.instances.contains_key(instance)
            {
                let evidence = ReceivedReport { report: (**report).clone(), asked_at };
                self.evidence.record(instance, evidence);
            }
        }
        self.pulled.insert(node, pulled);
    }
}
