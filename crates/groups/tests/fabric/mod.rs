//! Engines as the platform publishes them, in virtual time, with the rules checked at every order.

#![allow(dead_code, reason = "each test file uses its own part")]

use {
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    turmerictack_groups::formation::{EngineInstance, Membership, Order, OrderResult, Phase},
    turmerictack_model::ids::{Epoch, GroupId, InstanceId, ModelId},
};

/// Time after which a head notices a missing member.
pub const STALL: Duration = Duration::from_secs(4);
/// Silence after which an entry is removed.
const LAPSE: Duration = Duration::from_millis(3_600);
const JOIN_HOT: Duration = Duration::from_millis(200);
const JOIN_WARM: Duration = Duration::from_millis(1_600);
/// Time to load weights.
pub const LOAD: Duration = Duration::from_secs(3);
const CLOSE: Duration = Duration::from_millis(800);

#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    pub group: GroupId,
    pub epoch: Epoch,
    pub members: Vec<InstanceId>,
    pub phase: Phase,
    pub until: Duration,
    pub missing_since: Option<Duration>,
}

#[derive(Clone, Debug)]
pub struct Engine {
    pub domain: String,
    pub started: u64,
    pub down_until: Option<Duration>,
    pub cut_until: Duration,
    pub leaving: bool,
    pub gone: bool,
    pub member: Option<Member>,
    seen: Epoch,
    staged: BTreeMap<ModelId, Duration>,
    last_model: Option<ModelId>,
    ready_in: BTreeSet<(GroupId, Epoch)>,
    heard: Duration,
    entry: Option<EngineInstance>,
}

/// All engines, and what went wrong.
#[derive(Default)]
pub struct Fabric {
    pub now: Duration,
    pub engines: BTreeMap<InstanceId, Engine>,
    pub broken_rules: Vec<String>,
    pub load_starts: Vec<Duration>,
    pub late: Vec<(Duration, InstanceId, u64, Order)>,
    pub trace: Vec<String>,
}

impl Engine {
    pub fn is_up(&self) -> bool {
        self.down_until.is_none() && !self.gone
    }

    fn has_staged(&self, model: &str, now: Duration) -> bool {
        self.staged.get(model).is_some_and(|ready| now >= *ready)
    }
}

impl Fabric {
    pub fn new(domains: usize, per_domain: usize) -> Self {
        let mut fabric = Self::default();
        for domain in 0..domains {
            for at in 0..per_domain {
                fabric.add(&format!("i{domain}-{at}"), &format!("d{domain}"));
            }
        }
        fabric
    }

    pub fn add(&mut self, id: &str, domain: &str) {
        let engine = Engine {
            domain: domain.to_owned(),
            started: 1,
            down_until: None,
            cut_until: Duration::ZERO,
            leaving: false,
            gone: false,
            member: None,
            seen: 0,
            staged: BTreeMap::new(),
            last_model: None,
            ready_in: BTreeSet::new(),
            heard: self.now,
            entry: None,
        };
        self.engines.insert(id.to_owned(), engine);
    }

    /// Entries that the store lists now.
    pub fn listed(&self) -> BTreeMap<InstanceId, EngineInstance> {
        self.engines.iter().filter_map(|(id, e)| Some((id.clone(), e.entry.clone()?))).collect()
    }

    pub fn crash(&mut self, id: &str, back_after: Option<Duration>) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(id) else { return };
        engine.member = None;
        engine.seen = 0;
        engine.last_model = None;
        engine.ready_in.clear();
        engine.started += 1;
        match back_after {
            Some(after) => engine.down_until = Some(now + after),
            None => engine.gone = true,
        }
    }

    pub fn advance(&mut self, by: Duration) {
        self.now += by;
        let now = self.now;
        let due: Vec<_> = self.late.iter().filter(|(at, ..)| now >= *at).cloned().collect();
        self.late.retain(|(at, ..)| now < *at);
        for (_, id, started, order) in due {
            if self.engines.get(&id).is_some_and(|e| e.is_up() && e.started == started) {
                self.trace.push(format!("{now:?} late {id} {order:?}"));
                self.apply(&id, &order);
            }
        }
        for engine in self.engines.values_mut() {
            if engine.down_until.is_some_and(|until| now >= until) {
                engine.down_until = None;
            }
        }
        self.move_members();
        self.update_entries();
    }

    fn move_members(&mut self) {
        let now = self.now;
        let belongs: BTreeSet<(InstanceId, GroupId, Epoch)> = self
            .engines
            .iter()
            .filter(|(_, e)| e.is_up())
            .filter_map(|(id, e)| e.member.as_ref().map(|m| (id.clone(), m.group.clone(), m.epoch)))
            .collect();
        for (id, engine) in self.engines.iter_mut().filter(|(_, e)| e.is_up()) {
            let Some(member) = &mut engine.member else { continue };
            match member.phase {
                Phase::Joining if now >= member.until => {
                    member.phase = Phase::Ready;
                    engine.ready_in.insert((member.group.clone(), member.epoch));
                }
                Phase::Closing if now >= member.until => member.phase = Phase::Ready,
                _ => {}
            }
            let leads = member.members.first() == Some(id);
            if leads && matches!(member.phase, Phase::Open | Phase::Closing) {
                let whole = member
                    .members
                    .iter()
                    .all(|m| belongs.contains(&(m.clone(), member.group.clone(), member.epoch)));
                member.missing_since =
                    if whole { None } else { member.missing_since.or(Some(now)) };
                if member.missing_since.is_some_and(|since| now >= since + STALL) {
                    member.phase = Phase::Broken;
                }
            }
        }
    }

    fn update_entries(&mut self) {
        let now = self.now;
        for (id, engine) in &mut self.engines {
            if engine.is_up() && now >= engine.cut_until {
                engine.heard = now;
                let staged =
                    engine.staged.iter().filter(|(_, at)| now >= **at).map(|(m, _)| m.clone());
                let membership = engine.member.as_ref().map(|m| Membership {
                    group: m.group.clone(),
                    epoch: m.epoch,
                    rank: m.members.iter().position(|x| x == id).unwrap_or(usize::MAX),
                    phase: m.phase,
                });
                engine.entry = Some(EngineInstance {
                    address: id.clone(),
                    service: "models".to_owned(),
                    domain: engine.domain.clone(),
                    data_centre: "dc".to_owned(),
                    leaving: engine.leaving,
                    started: engine.started,
                    staged: staged.collect(),
                    membership,
                });
            } else if now >= engine.heard + LAPSE {
                engine.entry = None;
            }
        }
    }

    /// Carries out an order, as an engine does that gets it now.
    pub fn apply(&mut self, id: &str, order: &Order) -> OrderResult {
        let now = self.now;
        match order {
            Order::Join { group, epoch, model, members } => {
                self.check_move(id, group, *epoch);
                let Some(engine) = self.engines.get_mut(id) else { return OrderResult::Gone };
                if *epoch < engine.seen {
                    return OrderResult::Unfit;
                }
                if let Some(m) = &engine.member
                    && m.group == *group
                    && m.epoch == *epoch
                {
                    let same = m.members == *members;
                    return if same { OrderResult::Accepted } else { OrderResult::Unfit };
                }
                let time = if engine.last_model.as_ref() == Some(model) {
                    JOIN_HOT
                } else if engine.has_staged(model, now) {
                    JOIN_WARM
                } else {
                    self.load_starts.push(now);
                    engine.staged.insert(model.clone(), now + LOAD);
                    LOAD
                };
                engine.seen = *epoch;
                engine.last_model = Some(model.clone());
                engine.member = Some(Member {
                    group: group.clone(),
                    epoch: *epoch,
                    members: members.clone(),
                    phase: Phase::Joining,
                    until: now + time,
                    missing_since: None,
                });
                OrderResult::Accepted
            }
            Order::Open { group, epoch } => self.open(id, group, *epoch),
            Order::Close { group, epoch } => {
                let Some(m) = self.member_in(id, group, *epoch) else { return OrderResult::Unfit };
                if m.phase == Phase::Open {
                    m.phase = Phase::Closing;
                    m.until = now + CLOSE;
                }
                OrderResult::Accepted
            }
            Order::Leave { group, epoch } => {
                if self.member_in(id, group, *epoch).is_none() {
                    return OrderResult::Unfit;
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
                    engine.staged.insert(model.clone(), now + LOAD);
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
        let Some(member) = self.member_in(id, group, epoch) else { return OrderResult::Unfit };
        match member.phase {
            Phase::Open => return OrderResult::Accepted,
            Phase::Ready => member.phase = Phase::Open,
            _ => return OrderResult::Unfit,
        }
        let members = member.members.clone();
        let key = (group.to_owned(), epoch);
        for other in &members {
            let was_ready =
                self.engines.get(other).is_some_and(|e| !e.is_up() || e.ready_in.contains(&key));
            let restarted = self.engines.get(other).is_some_and(|e| e.started > 1);
            if !was_ready && !restarted {
                let rule = format!("PARTIAL {:?}: {group} opens, {other} never ready", self.now);
                self.broken_rules.push(rule);
            }
        }
        OrderResult::Accepted
    }

    /// An instance must not join another group while the head of its own may still serve.
    fn check_move(&mut self, id: &str, group: &str, epoch: Epoch) {
        let Some(engine) = self.engines.get(id) else { return };
        let Some(member) = &engine.member else { return };
        if epoch < engine.seen || (member.group == group && member.epoch == epoch) {
            return;
        }
        let Some(head) = member.members.first().and_then(|h| self.engines.get(h)) else { return };
        let leads = head.is_up()
            && head.member.as_ref().is_some_and(|m| {
                m.group == member.group
                    && m.epoch == member.epoch
                    && matches!(m.phase, Phase::Open | Phase::Closing)
            });
        if leads {
            let old = member.group.clone();
            let rule = format!("TWO {:?}: {id} joins {group}, {old} is open", self.now);
            self.broken_rules.push(rule);
        }
    }
}
