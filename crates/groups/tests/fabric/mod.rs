//! Simulated cluster of engines in virtual time, which checks the safety invariants on every order.

#![allow(dead_code, reason = "each test file uses only some of the items")]

pub mod leader;

use {
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    turmerictack_groups::formation::{
        EngineInstance, EngineTimes, Membership, Order, OrderResult, Phase,
    },
    turmerictack_model::ids::{DataCentre, Epoch, GroupId, InstanceId, ModelId},
};

/// Time after which a head detects a missing member.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(4);
/// Time without contact after which the platform removes an instance from its list.
const LISTING_TIMEOUT: Duration = Duration::from_millis(3_600);
const JOIN_TIME_HOT: Duration = Duration::from_millis(200);
const JOIN_TIME_WARM: Duration = Duration::from_millis(1_600);
/// Time to load the weights of a model.
pub const LOAD_TIME: Duration = Duration::from_secs(3);
const CLOSE_TIME: Duration = Duration::from_millis(800);
/// Minimum time from the acceptance of an announcement to leave, or from the removal of the entry, to
/// the closing of the listener.
pub const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Times that the engines keep to.
pub const ENGINE_TIMES: EngineTimes =
    EngineTimes { stall_timeout: STALL_TIMEOUT, drain_time: DRAIN_TIME };
/// Longest time that a process which has closed its listener stays for the work of its group.
const LINGER_TIME: Duration = Duration::from_secs(10);

#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    pub group: GroupId,
    pub epoch: Epoch,
    pub members: Vec<InstanceId>,
    pub phase: Phase,
    pub phase_until: Duration,
    pub missing_since: Option<Duration>,
}

#[derive(Clone, Debug)]
pub struct Engine {
    pub domain: String,
    pub started: u64,
    pub down_until: Option<Duration>,
    pub partitioned_until: Duration,
    pub leaving: bool,
    /// Whether the entry is gone from the list although the process runs.
    pub delisted: bool,
    /// When a process that is shutting down closes its listener.
    pub closes_listener_at: Option<Duration>,
    pub removed: bool,
    pub member: Option<Member>,
    /// Last group of this run, which it may have left.
    last_member: Option<Member>,
    max_epoch: Epoch,
    staged: BTreeMap<ModelId, Duration>,
    last_model: Option<ModelId>,
    ready_in: BTreeSet<(GroupId, Epoch)>,
    last_heard: Duration,
    listing: Option<EngineInstance>,
}

/// All engines, the orders on their way to them, and the violations found.
#[derive(Default)]
pub struct SimulatedCluster {
    pub now: Duration,
    pub engines: BTreeMap<InstanceId, Engine>,
    pub violations: Vec<String>,
    pub load_starts: Vec<Duration>,
    pub delayed_orders: Vec<(Duration, InstanceId, u64, Order)>,
    pub trace: Vec<String>,
    /// Whether engines accept joins with an epoch lower than one that they have seen.
    pub accepts_old_epochs: bool,
    /// Time that a closing head needs for its requests.
    pub close_time: Duration,
}

/// Data centre of a domain; each has its own.
pub fn data_centre_of(domain: &str) -> DataCentre {
    format!("dc-{domain}")
}

impl Engine {
    pub fn is_up(&self) -> bool {
        self.down_until.is_none() && !self.removed
    }

    /// Whether connections are accepted.
    pub fn is_listening(&self, now: Duration) -> bool {
        self.is_up() && self.closes_listener_at.is_none_or(|at| now < at)
    }

    fn has_staged(&self, model: &str, now: Duration) -> bool {
        self.staged.get(model).is_some_and(|ready| now >= *ready)
    }
}

impl SimulatedCluster {
    pub fn new(domains: usize, per_domain: usize) -> Self {
        let mut cluster = Self { close_time: CLOSE_TIME, ..Self::default() };
        for domain in 0..domains {
            for index in 0..per_domain {
                cluster.add(&format!("i{domain}-{index}"), &format!("d{domain}"));
            }
        }
        cluster
    }

    pub fn add(&mut self, id: &str, domain: &str) {
        let engine = Engine {
            domain: domain.to_owned(),
            started: 1,
            down_until: None,
            partitioned_until: Duration::ZERO,
            leaving: false,
            delisted: false,
            closes_listener_at: None,
            removed: false,
            member: None,
            last_member: None,
            max_epoch: 0,
            staged: BTreeMap::new(),
            last_model: None,
            ready_in: BTreeSet::new(),
            last_heard: self.now,
            listing: None,
        };
        self.engines.insert(id.to_owned(), engine);
    }

    /// Instances as currently listed by the platform.
    pub fn listed(&self) -> BTreeMap<InstanceId, EngineInstance> {
        self.engines.iter().filter_map(|(id, e)| Some((id.clone(), e.listing.clone()?))).collect()
    }

    pub fn crash(&mut self, id: &str, restart_after: Option<Duration>) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(id) else { return };
        engine.member = None;
        engine.last_member = None;
        engine.max_epoch = 0;
        engine.last_model = None;
        engine.ready_in.clear();
        engine.started += 1;
        match restart_after {
            Some(after) => engine.down_until = Some(now + after),
            None => engine.removed = true,
        }
    }

    /// Begins the planned shutdown of an engine, which announces it or just removes its entry, and
    /// closes its listener `extra` after [`DRAIN_TIME`]; that begins once the platform has accepted
    /// the announcement.
    pub fn shut_down(&mut self, id: &str, is_announced: bool, extra: Duration) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(id) else { return };
        engine.leaving |= is_announced;
        engine.delisted |= !is_announced;
        let accepted_at = if is_announced { now.max(engine.partitioned_until) } else { now };
        engine.closes_listener_at.get_or_insert(accepted_at + DRAIN_TIME + extra);
    }

    pub fn advance(&mut self, by: Duration) {
        self.now += by;
        let now = self.now;
        let due: Vec<_> =
            self.delayed_orders.iter().filter(|(at, ..)| now >= *at).cloned().collect();
        self.delayed_orders.retain(|(at, ..)| now < *at);
        for (_, id, started, order) in due {
            if self.engines.get(&id).is_some_and(|e| e.is_up() && e.started == started) {
                self.trace.push(format!("{now:?} delayed {id} {order:?}"));
                self.apply(&id, &order);
            }
        }
        for engine in self.engines.values_mut() {
            if engine.down_until.is_some_and(|until| now >= until) {
                engine.down_until = None;
            }
        }
        self.advance_members();
        self.end_processes();
        self.update_listings();
    }

    /// Ends the processes that have closed their listeners and whose groups have no work left.
    fn end_processes(&mut self) {
        let now = self.now;
        let has_work = |engine: &Engine| {
            let Some(member) = &engine.member else { return false };
            let head = member.members.first().and_then(|head| self.engines.get(head));
            head.is_some_and(|head| {
                let is_head_of = |m: &Member| m.group == member.group && m.epoch == member.epoch;
                let serves = |m: &Member| matches!(m.phase, Phase::Open | Phase::Closing);
                head.is_up() && head.member.as_ref().is_some_and(|m| is_head_of(m) && serves(m))
            })
        };
        let ends = |engine: &&Engine| {
            engine
                .closes_listener_at
                .is_some_and(|at| now >= at && (!has_work(engine) || now >= at + LINGER_TIME))
        };
        let ended: Vec<InstanceId> = self
            .engines
            .iter()
            .filter(|(_, e)| e.is_up() && ends(e))
            .map(|(id, _)| id.clone())
            .collect();
        for id in ended {
            self.trace.push(format!("{now:?} {id} ends"));
            self.crash(&id, None);
            if let Some(engine) = self.engines.get_mut(&id) {
                engine.delisted = true;
            }
        }
    }

    fn advance_members(&mut self) {
        let now = self.now;
        let memberships: BTreeSet<(InstanceId, GroupId, Epoch)> = self
            .engines
            .iter()
            .filter(|(_, e)| e.is_up())
            .filter_map(|(id, e)| e.member.as_ref().map(|m| (id.clone(), m.group.clone(), m.epoch)))
            .collect();
        for (id, engine) in self.engines.iter_mut().filter(|(_, e)| e.is_up()) {
            let Some(member) = &mut engine.member else { continue };
            match member.phase {
                Phase::Joining if now >= member.phase_until => {
                    member.phase = Phase::Ready;
                    engine.ready_in.insert((member.group.clone(), member.epoch));
                }
                Phase::Closing if now >= member.phase_until => member.phase = Phase::Ready,
                _ => {}
            }
            let is_head = member.members.first() == Some(id);
            if is_head && matches!(member.phase, Phase::Open | Phase::Closing) {
                let complete = member.members.iter().all(|m| {
                    memberships.contains(&(m.clone(), member.group.clone(), member.epoch))
                });
                member.missing_since =
                    if complete { None } else { member.missing_since.or(Some(now)) };
                if member.missing_since.is_some_and(|since| now >= since + STALL_TIMEOUT) {
                    member.phase = Phase::Broken;
                }
            }
        }
    }

    fn update_listings(&mut self) {
        let now = self.now;
        for (id, engine) in &mut self.engines {
            if engine.delisted {
                engine.listing = None;
            } else if engine.is_up() && now >= engine.partitioned_until {
                engine.last_heard = now;
                let staged =
                    engine.staged.iter().filter(|(_, at)| now >= **at).map(|(m, _)| m.clone());
                let membership = engine.member.as_ref().map(|m| Membership {
                    group: m.group.clone(),
                    epoch: m.epoch,
                    rank: m.members.iter().position(|x| x == id).unwrap_or(usize::MAX),
                    phase: m.phase,
                });
                let serves = engine.member.as_ref().is_some_and(|m| m.phase != Phase::Joining);
                let models = engine.last_model.iter().filter(|_| serves).cloned().collect();
                engine.listing = Some(EngineInstance {
                    address: id.clone(),
                    service: "models".to_owned(),
                    domain: engine.domain.clone(),
                    data_centre: data_centre_of(&engine.domain),
                    leaving: engine.leaving,
                    started: engine.started,
                    staged: staged.collect(),
                    models,
                    membership,
                });
            } else if now >= engine.last_heard + LISTING_TIMEOUT {
                engine.listing = None;
            }
        }
    }

    /// Carries out an order as an engine that receives it now.
    pub fn apply(&mut self, id: &str, order: &Order) -> OrderResult {
        let now = self.now;
        match order {
            Order::Join { group, epoch, model, members } => {
                self.check_reassignment(id, group, *epoch);
                let Some(engine) = self.engines.get_mut(id) else { return OrderResult::Gone };
                if *epoch < engine.max_epoch && !self.accepts_old_epochs {
                    return OrderResult::Rejected;
                }
                if let Some(m) = &engine.member
                    && m.group == *group
                    && m.epoch == *epoch
                {
                    let same = m.members == *members;
                    return if same { OrderResult::Accepted } else { OrderResult::Rejected };
                }
                let time = if engine.last_model.as_ref() == Some(model) {
                    JOIN_TIME_HOT
                } else if engine.has_staged(model, now) {
                    JOIN_TIME_WARM
                } else {
                    self.load_starts.push(now);
                    engine.staged.insert(model.clone(), now + LOAD_TIME);
                    LOAD_TIME
                };
                engine.max_epoch = engine.max_epoch.max(*epoch);
                engine.last_model = Some(model.clone());
                engine.member = Some(Member {
                    group: group.clone(),
                    epoch: *epoch,
                    members: members.clone(),
                    phase: Phase::Joining,
                    phase_until: now + time,
                    missing_since: None,
                });
                engine.last_member = engine.member.clone();
                OrderResult::Accepted
            }
            Order::Open { group, epoch } => self.open(id, group, *epoch),
            Order::Close { group, epoch } => {
                let close_time = self.close_time;
                let Some(m) = self.member_in(id, group, *epoch) else {
                    return OrderResult::Rejected;
                };
                if m.phase == Phase::Open {
                    m.phase = Phase::Closing;
                    m.phase_until = now + close_time;
                }
                OrderResult::Accepted
            }
            Order::Leave { group, epoch } => {
                if self.member_in(id, group, *epoch).is_none() {
                    return OrderResult::Rejected;
                }
                if let Some(engine) = self.engines.get_mut(id) {
                    engine.member = None;
                }
                OrderResult::Accepted
            }
            Order::Stage { model } => {
                let Some(engine) = self.engines.get_mut(id) else { return OrderResult::Gone };
                if !engine.staged.contains_key(model) {
                    engine.staged.clear();
                    engine.staged.insert(model.clone(), now + LOAD_TIME);
                    self.load_starts.push(now);
                }
                OrderResult::Accepted
            }
        }
    }

    fn member_in(&mut self, id: &str, group: &str, epoch: Epoch) -> Option<&mut Member> {
        let member = self.engines.get_mut(id)?.member.as_mut()?;
        (member.group == group && member.epoch == epoch).then_some(member)
    }

    fn open(&mut self, id: &str, group: &str, epoch: Epoch) -> OrderResult {
        let Some(member) = self.member_in(id, group, epoch) else { return OrderResult::Rejected };
        match member.phase {
            Phase::Open => return OrderResult::Accepted,
            Phase::Ready => member.phase = Phase::Open,
            _ => return OrderResult::Rejected,
        }
        let members = member.members.clone();
        let key = (group.to_owned(), epoch);
        for other in &members {
            let was_ready =
                self.engines.get(other).is_some_and(|e| !e.is_up() || e.ready_in.contains(&key));
            let restarted = self.engines.get(other).is_some_and(|e| e.started > 1);
            if !was_ready && !restarted {
                let violation = format!(
                    "partial group at {:?}: {group} opens, but {other} was never ready",
                    self.now
                );
                self.violations.push(violation);
            }
        }
        OrderResult::Accepted
    }

    /// Checks that an instance does not join another group while the head of its last one serves,
    /// whether or not the instance has left that one.
    fn check_reassignment(&mut self, id: &str, group: &str, epoch: Epoch) {
        let Some(engine) = self.engines.get(id) else { return };
        let Some(member) = &engine.last_member else { return };
        let is_rejected = epoch < engine.max_epoch && !self.accepts_old_epochs;
        if is_rejected || (member.group == group && member.epoch == epoch) {
            return;
        }
        let Some(head) = member.members.first().and_then(|h| self.engines.get(h)) else { return };
        let head_serves = head.is_up()
            && head.member.as_ref().is_some_and(|m| {
                m.group == member.group
                    && m.epoch == member.epoch
                    && matches!(m.phase, Phase::Open | Phase::Closing)
            });
        if head_serves {
            let old = member.group.clone();
            let violation =
                format!("two groups at {:?}: {id} joins {group} while {old} is open", self.now);
            self.violations.push(violation);
        }
    }
}
