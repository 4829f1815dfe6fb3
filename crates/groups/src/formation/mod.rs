//! Decides which groups to form, retire and form anew, and which orders that takes.
//!
//! One node at a time is in charge; a second one that believes so is stopped by the conditional
//! write of the [`Plan`]. An instance moves to another group only once the head of its old one
//! has left it, is gone, or must have noticed a missing member by itself.

mod balance;
mod choice;
mod departures;
mod loads;
mod retire;

pub use self::{departures::Departures, loads::LoadLimits};

use {
    self::{loads::Loads, retire::Retirement},
    crate::plan::{Plan, PlannedGroup},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    turmerictack_model::ids::{
        Address, DataCentre, Epoch, FabricDomain, GroupId, InstanceId, ModelId, ServiceId,
    },
};

/// Time after which an order without an answer is given again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);

/// Time after which an order that was accepted but shows no effect is given again.
const EFFECT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time within which an entry shows what an order has changed.
const ENTRY_LAG: Duration = Duration::from_millis(600);

/// How a model is served.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ModelProfile {
    /// Members of a group.
    pub size: usize,
    /// Share of the work that it is expected to be.
    pub share: f64,
    /// Time to load the weights when the store is not busy.
    pub load: Duration,
}

/// State of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It loads the model or meets the others.
    Joining,
    /// It could serve.
    Ready,
    /// It takes requests, as a head.
    Open,
    /// It finishes what it has.
    Closing,
    /// It has noticed that a member is missing.
    Broken,
}

/// Group that an instance says it belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Membership {
    /// Group.
    pub group: GroupId,
    /// Its epoch.
    pub epoch: Epoch,
    /// Place in the list of members; 0 is the head.
    pub rank: usize,
    /// State.
    pub phase: Phase,
}

/// An instance of an engine as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineInstance {
    /// Where it listens.
    pub address: Address,
    /// Service.
    pub service: ServiceId,
    /// Fabric domain.
    pub domain: FabricDomain,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Whether it is about to be stopped.
    pub leaving: bool,
    /// When it was started, in ms since the epoch; tells runs under one name apart.
    pub started: u64,
    /// Models whose weights its host has.
    pub staged: BTreeSet<ModelId>,
    /// Group that it belongs to.
    pub membership: Option<Membership>,
}

/// An order to an instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Order {
    /// Load weights onto the host.
    Stage {
        /// Model.
        model: ModelId,
    },
    /// Become a member.
    Join {
        /// Group.
        group: GroupId,
        /// Epoch.
        epoch: Epoch,
        /// Model.
        model: ModelId,
        /// All members, the head first.
        members: Vec<InstanceId>,
    },
    /// Take requests, as the head of a complete group.
    Open {
        /// Group.
        group: GroupId,
        /// Epoch.
        epoch: Epoch,
    },
    /// Take no new requests and finish the others.
    Close {
        /// Group.
        group: GroupId,
        /// Epoch.
        epoch: Epoch,
    },
    /// Belong to the group no more.
    Leave {
        /// Group.
        group: GroupId,
        /// Epoch.
        epoch: Epoch,
    },
}

/// What came of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// It holds, or is being carried out.
    Accepted,
    /// It doesn't fit the instance's state.
    Unfit,
    /// The process that it was meant for is gone.
    Gone,
    /// No answer; it may still be carried out.
    Unanswered,
}

/// What the node in charge sees.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Listed instances of engines.
    pub engines: BTreeMap<InstanceId, EngineInstance>,
    /// Listed instances that don't answer questions.
    pub unreachable: BTreeSet<InstanceId>,
    /// Heads whose streams moved in the last second.
    pub progressing: BTreeSet<InstanceId>,
    /// Whether callers send requests.
    pub has_traffic: bool,
    /// Since when groups have lacked a member, as this node has seen it.
    pub incomplete: BTreeMap<GroupId, Instant>,
}

impl View {
    /// An instance that is listed and not known to be silent.
    fn live(&self, id: &str) -> Option<&EngineInstance> {
        self.engines.get(id).filter(|_| !self.unreachable.contains(id))
    }
}

/// Models by service.
pub type Models = BTreeMap<ServiceId, BTreeMap<ModelId, ModelProfile>>;

/// What to do next.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Steps {
    /// Plan to write before anything else; the orders belong to the plan as it is now.
    pub replace: Option<Plan>,
    /// Orders to give, with the address of each instance.
    pub orders: Vec<(InstanceId, Address, Order)>,
}

#[derive(Clone, Copy, Debug)]
struct Given {
    at: Instant,
    result: Option<OrderResult>,
}

/// What the node in charge remembers between steps.
#[derive(Debug)]
pub struct Formation {
    stall: Duration,
    given: BTreeMap<(InstanceId, Order), Given>,
    retiring: BTreeMap<GroupId, Retirement>,
    completed: BTreeSet<GroupId>,
    addresses: BTreeMap<InstanceId, Address>,
    last_models: BTreeMap<InstanceId, (u64, ModelId)>,
    loads: Loads,
}

impl Formation {
    /// Starts with no memory; `stall` is the time after which a head notices a missing member.
    pub fn new(stall: Duration, limits: LoadLimits) -> Self {
        Self {
            stall,
            given: BTreeMap::new(),
            retiring: BTreeMap::new(),
            completed: BTreeSet::new(),
            addresses: BTreeMap::new(),
            last_models: BTreeMap::new(),
            loads: Loads::new(limits),
        }
    }

    /// Takes over the limits on loads of weights.
    pub fn set_load_limits(&mut self, limits: LoadLimits) {
        self.loads.set_limits(limits);
    }

    /// Forgets what another node in charge may have overtaken.
    pub fn forget_progress(&mut self) {
        self.retiring.clear();
        self.completed.clear();
        self.given.clear();
        self.loads.forget_drafts();
    }

    /// Takes what came of an order.
    pub fn answered(&mut self, now: Instant, id: &InstanceId, order: &Order, result: OrderResult) {
        if let Some(given) = self.given.get_mut(&(id.clone(), order.clone())) {
            given.result = Some(result);
        }
        if let Order::Leave { group, .. } = order
            && let Some(retirement) = self.retiring.get_mut(group)
        {
            retirement.left(now, id, result);
        }
        if let Order::Stage { .. } = order
            && result != OrderResult::Accepted
        {
            self.loads.failed(id);
        }
    }

    /// Says what to do next.
    pub fn step(&mut self, now: Instant, models: &Models, view: &View, plan: &Plan) -> Steps {
        self.remember(now, view, plan);
        let mut steps = Steps::default();
        let mut next = plan.clone();
        for (name, group) in &plan.groups {
            if self.is_over(now, view, name, group) {
                next.groups.remove(name);
                continue;
            }
            if group.retiring {
                self.retire(now, view, name, group, &mut steps);
            } else if self.must_retire(view, name, group) {
                if let Some(group) = next.groups.get_mut(name) {
                    group.retiring = true;
                }
            } else {
                self.advance(now, view, name, group, &mut steps);
            }
        }
        self.loads.advance(now, models, view, plan, &mut next, &mut steps);
        self.choose(now, models, view, &mut next, &mut steps);
        if next != *plan {
            steps.replace = Some(next);
        }
        steps
    }

    fn remember(&mut self, now: Instant, view: &View, plan: &Plan) {
        for (id, engine) in &view.engines {
            self.addresses.insert(id.clone(), engine.address.clone());
            let group = engine.membership.as_ref().and_then(|m| plan.groups.get(&m.group));
            if let Some(group) = group {
                self.last_models.insert(id.clone(), (engine.started, group.model.clone()));
            }
        }
        self.given.retain(|_, g| now < g.at + EFFECT_TIMEOUT * 2);
        self.retiring.retain(|name, _| plan.groups.contains_key(name));
        self.completed.retain(|name| plan.groups.contains_key(name));
        if self.addresses.len() > view.engines.len() * 4 {
            let listed = |id: &InstanceId| view.engines.contains_key(id);
            let planned: BTreeSet<_> = plan.groups.values().flat_map(|g| &g.members).collect();
            self.addresses.retain(|id, _| listed(id) || planned.contains(id));
            self.last_models.retain(|id, _| listed(id));
        }
    }

    /// Brings a group closer to serving.
    fn advance(
        &mut self,
        now: Instant,
        view: &View,
        name: &GroupId,
        group: &PlannedGroup,
        steps: &mut Steps,
    ) {
        let mut all_ready = true;
        for id in &group.members {
            let Some(engine) = view.engines.get(id) else { continue };
            match member_phase(engine, name, group) {
                Some(Phase::Ready | Phase::Open | Phase::Closing) => {}
                Some(Phase::Joining | Phase::Broken) => all_ready = false,
                None => {
                    all_ready = false;
                    if !self.is_out_of_others(now, id, engine, name, steps) {
                        continue;
                    }
                    let order = Order::Join {
                        group: name.clone(),
                        epoch: group.epoch,
                        model: group.model.clone(),
                        members: group.members.clone(),
                    };
                    self.give(now, id, engine, order, steps);
                }
            }
        }
        if !all_ready {
            return;
        }
        self.completed.insert(name.clone());
        let Some(head) = group.head() else { return };
        let Some(engine) = view.engines.get(head) else { return };
        if member_phase(engine, name, group) == Some(Phase::Ready) {
            let order = Order::Open { group: name.clone(), epoch: group.epoch };
            self.give(now, head, engine, order, steps);
        }
    }

    /// Whether a group has to be dissolved.
    ///
    /// One whose members are all silent may well be serving, and nothing is gained by it.
    fn must_retire(&self, view: &View, name: &GroupId, group: &PlannedGroup) -> bool {
        let Some(head) = group.head() else { return true };
        if group.members.iter().all(|id| view.live(id).is_none()) {
            return false;
        }
        let moves = view.progressing.contains(head) && view.live(head).is_some();
        let phase = view.live(head).and_then(|e| member_phase(e, name, group));
        let complete =
            self.completed.contains(name) || matches!(phase, Some(Phase::Open | Phase::Closing));
        let is_lost = |id: &InstanceId| match view.live(id) {
            None => !moves,
            Some(engine) => {
                engine.leaving || (complete && member_phase(engine, name, group).is_none())
            }
        };
        phase == Some(Phase::Broken) || group.members.iter().any(is_lost)
    }

    /// Whether an instance has left any group but `name`; tells it to leave otherwise.
    ///
    /// Late orders may bring it back into a group that was dissolved, and open that.
    fn is_out_of_others(
        &mut self,
        now: Instant,
        id: &InstanceId,
        engine: &EngineInstance,
        name: &str,
        steps: &mut Steps,
    ) -> bool {
        let stray = engine.membership.as_ref().filter(|m| m.group != name);
        // An entry may be older than an order to open, so only a broken group is known to be shut.
        let Some(stray) = stray.filter(|m| m.phase != Phase::Broken) else { return true };
        let order = Order::Leave { group: stray.group.clone(), epoch: stray.epoch };
        if self.was_obeyed(now, id, &order) {
            return true;
        }
        self.give(now, id, engine, order, steps);
        false
    }

    /// Whether an instance has just answered that an order holds, or does not concern it.
    ///
    /// Only for as long as its entry may be older than the answer: a late order may undo it.
    fn was_obeyed(&self, now: Instant, id: &InstanceId, order: &Order) -> bool {
        let given = self.given.get(&(id.clone(), order.clone()));
        given
            .filter(|g| now < g.at + ENTRY_LAG)
            .and_then(|g| g.result)
            .is_some_and(|result| result != OrderResult::Unanswered)
    }

    /// Gives an order unless it was given a short time ago.
    fn give(
        &mut self,
        now: Instant,
        id: &InstanceId,
        engine: &EngineInstance,
        order: Order,
        steps: &mut Steps,
    ) {
        self.give_at(now, id, &engine.address, order, false, steps);
    }

    fn give_at(
        &mut self,
        now: Instant,
        id: &InstanceId,
        address: &Address,
        order: Order,
        is_silent: bool,
        steps: &mut Steps,
    ) {
        let key = (id.clone(), order);
        if let Some(given) = self.given.get(&key) {
            let wait = match given.result {
                Some(OrderResult::Accepted) => EFFECT_TIMEOUT,
                _ if is_silent => EFFECT_TIMEOUT,
                _ => ANSWER_TIMEOUT,
            };
            if now < given.at + wait {
                return;
            }
        }
        self.given.insert(key.clone(), Given { at: now, result: None });
        steps.orders.push((key.0, address.clone(), key.1));
    }
}

/// Phase of an instance in a group; absent when it belongs to another or none.
fn member_phase(engine: &EngineInstance, name: &GroupId, group: &PlannedGroup) -> Option<Phase> {
    let membership = engine.membership.as_ref()?;
    (membership.group == *name && membership.epoch == group.epoch).then_some(membership.phase)
}
