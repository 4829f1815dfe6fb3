//! Planner of groups: decides which groups to form and retire, and which orders to send for that.
//!
//! Only the leader, one node at a time, runs the planner. A second node that takes itself for the
//! leader is stopped by the conditional write of the [`Plan`]. An instance is assigned to another
//! group only once the head of its old group has left that group, no longer exists, or must have
//! detected a missing member by itself.

mod departures;
mod loads;
mod orders;
mod restoration;
mod retirement;
mod selection;
mod supply;

pub use self::{departures::Departures, loads::LoadLimits};

use {
    self::{
        loads::LoadTracker,
        orders::SentOrder,
        retirement::Retirement,
        selection::{Arrival, DomainSize, KnownPartition, ServiceDomain},
    },
    crate::plan::{Plan, PlannedGroup},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    turmerictack_model::ids::{
        Address, DataCentre, Epoch, FabricDomain, GroupId, InstanceId, ModelId, ServiceId,
    },
};

/// Requirements of a model of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ModelProfile {
    /// Number of members in a group.
    pub group_size: usize,
    /// Expected share of the service's work.
    pub work_share: f64,
    /// Time to load the weights while the weight store is not saturated.
    pub load_time: Duration,
}

/// Life-cycle state of a member of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Loads the model or connects to the other members.
    Joining,
    /// Able to serve, but not accepting requests.
    Ready,
    /// Accepts requests; only the head gets into this state.
    Open,
    /// Finishes its requests and accepts no new ones.
    Closing,
    /// Has detected that a member is missing, and serves no longer.
    Broken,
}

/// Group membership as reported by an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Membership {
    /// Id of the group.
    pub group: GroupId,
    /// Epoch of the group.
    pub epoch: Epoch,
    /// Position in the list of members; 0 is the head.
    pub rank: usize,
    /// Life-cycle state of the instance in the group.
    pub phase: Phase,
}

/// Engine instance as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineInstance {
    /// Address on which the instance listens.
    pub address: Address,
    /// Service that the instance belongs to.
    pub service: ServiceId,
    /// Fabric domain of the host.
    pub domain: FabricDomain,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Whether the instance is about to be shut down.
    pub leaving: bool,
    /// Start time of the process in milliseconds since the Unix epoch; distinguishes runs under the
    /// same id.
    pub started: u64,
    /// Models whose weights are loaded onto the host.
    pub staged: BTreeSet<ModelId>,
    /// Models that it is ready to serve, alone or with the other members of its group.
    pub models: BTreeSet<ModelId>,
    /// Membership in a group, if any.
    pub membership: Option<Membership>,
}

/// Order to an instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Order {
    /// Load the weights of a model onto the host.
    Stage {
        /// Model to load.
        model: ModelId,
    },
    /// Join a group as a member.
    Join {
        /// Id of the group.
        group: GroupId,
        /// Epoch of the group, the fencing token of the order.
        epoch: Epoch,
        /// Model that the group runs.
        model: ModelId,
        /// Members of the group, the head first.
        members: Vec<InstanceId>,
    },
    /// Accept requests, as the head of a complete group.
    Open {
        /// Id of the group.
        group: GroupId,
        /// Epoch of the group, the fencing token of the order.
        epoch: Epoch,
    },
    /// Accept no new requests and finish the current ones.
    Close {
        /// Id of the group.
        group: GroupId,
        /// Epoch of the group, the fencing token of the order.
        epoch: Epoch,
    },
    /// Leave the group.
    Leave {
        /// Id of the group.
        group: GroupId,
        /// Epoch of the group, the fencing token of the order.
        epoch: Epoch,
    },
}

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The order is in effect or being carried out.
    Accepted,
    /// The order does not apply to the state of the instance.
    Rejected,
    /// Another process has the address, so the one that the order was addressed to has ended.
    Gone,
    /// The address refuses connections: the process has ended, or it is shutting down, has closed its
    /// listener and finishes its last requests.
    Refused,
    /// No response; the order may still be carried out.
    Unanswered,
}

/// State of the instances as known to the leader.
#[derive(Clone, Debug, Default)]
pub struct ClusterView {
    /// Engine instances that the platform lists.
    pub engines: BTreeMap<InstanceId, EngineInstance>,
    /// Listed instances that do not respond to probes.
    pub unreachable: BTreeSet<InstanceId>,
    /// Heads with progress on a response stream within the last second.
    pub progressing: BTreeSet<InstanceId>,
    /// Whether there are requests from callers.
    pub has_traffic: bool,
    /// Time since which a group has lacked a member, as observed by this node.
    pub incomplete_since: BTreeMap<GroupId, Instant>,
    /// Data centres whose instances get no orders, and whose groups do not serve.
    pub evacuated: BTreeSet<DataCentre>,
    /// Start of the read of the platform's list that last confirmed `engines`; `None` if unknown.
    pub confirmed_at: Option<Instant>,
    /// Instances in `engines` that the platform no longer lists, but may list again.
    pub unlisted: BTreeSet<InstanceId>,
}

impl ClusterView {
    /// Returns a listed instance unless it is known to be unreachable.
    fn reachable(&self, id: &str) -> Option<&EngineInstance> {
        self.engines.get(id).filter(|_| !self.unreachable.contains(id))
    }

    /// Whether an instance is in an evacuated data centre.
    fn is_evacuated(&self, engine: &EngineInstance) -> bool {
        self.evacuated.contains(&engine.data_centre)
    }

    /// Whether any listed member of a group is in an evacuated data centre.
    fn is_group_evacuated(&self, group: &PlannedGroup) -> bool {
        let mut members = group.members.iter().filter_map(|id| self.engines.get(id));
        members.any(|engine| self.is_evacuated(engine))
    }
}

/// Models of each service, with their requirements.
pub type ModelsByService = BTreeMap<ServiceId, BTreeMap<ModelId, ModelProfile>>;

/// Result of a planning step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Actions {
    /// New plan to store, if it changed. It has to be stored before orders are derived from it; the
    /// `orders` are derived from the current plan.
    pub new_plan: Option<Plan>,
    /// Orders to send, with the id and the address of each instance.
    pub orders: Vec<(InstanceId, Address, Order)>,
}

/// Times that engine instances keep to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineTimes {
    /// Time within which a head detects a missing member.
    pub stall_timeout: Duration,
    /// Minimum time from the platform's acceptance that an instance leaves, or from the removal of
    /// its entry, until its process closes its listener.
    pub drain_time: Duration,
}

/// Planner of groups, with the state that a node keeps between planning steps.
#[derive(Debug)]
pub struct GroupPlanner {
    times: EngineTimes,
    sent_orders: BTreeMap<(InstanceId, Order), SentOrder>,
    retirements: BTreeMap<GroupId, Retirement>,
    /// When each instance was last confirmed to be listed and not leaving.
    last_serving: BTreeMap<InstanceId, Instant>,
    /// Groups whose listed members have all been ready at the same time.
    complete_groups: BTreeSet<GroupId>,
    /// Last known addresses and data centres, also of instances that are no longer listed.
    addresses: BTreeMap<InstanceId, (Address, DataCentre)>,
    /// Start time and model of each instance in its last planned group.
    last_models: BTreeMap<InstanceId, (u64, ModelId)>,
    loads: LoadTracker,
    domain_sizes: BTreeMap<ServiceDomain, DomainSize>,
    partitions: BTreeMap<ServiceId, KnownPartition>,
    arrival: Option<Arrival>,
}

impl GroupPlanner {
    /// Creates a planner without observations.
    pub fn new(times: EngineTimes, limits: LoadLimits) -> Self {
        Self {
            times,
            sent_orders: BTreeMap::new(),
            retirements: BTreeMap::new(),
            last_serving: BTreeMap::new(),
            complete_groups: BTreeSet::new(),
            addresses: BTreeMap::new(),
            last_models: BTreeMap::new(),
            loads: LoadTracker::new(limits),
            domain_sizes: BTreeMap::new(),
            partitions: BTreeMap::new(),
            arrival: None,
        }
    }

    /// Sets the limits on loads of weights.
    pub fn set_load_limits(&mut self, limits: LoadLimits) {
        self.loads.set_limits(limits);
    }

    /// Discards progress that may be outdated because another node was the leader.
    pub fn reset_progress(&mut self) {
        self.retirements.clear();
        self.complete_groups.clear();
        self.sent_orders.clear();
        self.loads.reset_progress();
    }

    /// Records the result of an order.
    pub fn record_result(
        &mut self,
        now: Instant,
        id: &InstanceId,
        order: &Order,
        result: OrderResult,
    ) {
        if let Some(sent) = self.sent_orders.get_mut(&(id.clone(), order.clone())) {
            sent.record_result(result);
        }
        if let Order::Leave { group, .. } = order
            && let Some(retirement) = self.retirements.get_mut(group)
        {
            retirement.record_result(now, id, result);
        }
        if let Order::Stage { .. } = order
            && result != OrderResult::Accepted
        {
            self.loads.record_failure(id);
        }
    }

    /// Computes the next plan, and the orders that follow from the current one.
    pub fn next_actions(
        &mut self,
        now: Instant,
        models: &ModelsByService,
        view: &ClusterView,
        plan: &Plan,
    ) -> Actions {
        self.update_state(now, view, plan);
        let mut actions = Actions::default();
        let mut next = plan.clone();
        for (group_id, group) in &plan.groups {
            if self.is_evacuated(view, group) {
                continue;
            }
            if self.can_reassign_members(now, view, group_id, group) {
                next.groups.remove(group_id);
                continue;
            }
            if group.retiring {
                self.advance_retirement(now, view, group_id, group, &mut actions);
            } else if self.must_retire(view, group_id, group) {
                if let Some(group) = next.groups.get_mut(group_id) {
                    group.retiring = true;
                }
            } else {
                self.advance_group(now, view, group_id, group, &mut actions);
            }
        }
        self.loads.advance(now, models, view, plan, &mut next, &mut actions);
        self.form_groups(now, models, view, &mut next, &mut actions);
        if next != *plan {
            actions.new_plan = Some(next);
        }
        actions
    }

    /// Whether a group stands in an evacuated data centre, and so stays as it is until the return.
    fn is_evacuated(&self, view: &ClusterView, group: &PlannedGroup) -> bool {
        let mut places = group.members.iter().filter_map(|id| self.addresses.get(id));
        places.any(|(_, data_centre)| view.evacuated.contains(data_centre))
    }

    /// Updates addresses and last models from the view, and discards expired orders and the state
    /// of removed groups.
    fn update_state(&mut self, now: Instant, view: &ClusterView, plan: &Plan) {
        for (id, engine) in &view.engines {
            let address = (engine.address.clone(), engine.data_centre.clone());
            self.addresses.insert(id.clone(), address);
            let group = engine.membership.as_ref().and_then(|m| plan.groups.get(&m.group));
            if let Some(group) = group {
                self.last_models.insert(id.clone(), (engine.started, group.model.clone()));
            }
        }
        if let Some(confirmed_at) = view.confirmed_at {
            let serves =
                |id: &InstanceId, e: &EngineInstance| !e.leaving && !view.unlisted.contains(id);
            let serving = view.engines.iter().filter(|(id, engine)| serves(id, engine));
            self.last_serving.extend(serving.map(|(id, _)| (id.clone(), confirmed_at)));
        }
        self.sent_orders.retain(|_, sent| !sent.is_expired(now));
        self.retirements.retain(|group_id, _| plan.groups.contains_key(group_id));
        self.complete_groups.retain(|group_id| plan.groups.contains_key(group_id));
        if self.addresses.len() > view.engines.len() * 4 {
            let listed = |id: &InstanceId| view.engines.contains_key(id);
            let planned: BTreeSet<_> = plan.groups.values().flat_map(|g| &g.members).collect();
            self.addresses.retain(|id, _| listed(id) || planned.contains(id));
            self.last_models.retain(|id, _| listed(id));
            self.last_serving.retain(|id, _| listed(id) || planned.contains(id));
        }
    }

    /// Sends the orders that a planned group needs in order to serve.
    fn advance_group(
        &mut self,
        now: Instant,
        view: &ClusterView,
        group_id: &GroupId,
        group: &PlannedGroup,
        actions: &mut Actions,
    ) {
        let mut all_ready = true;
        for id in &group.members {
            let Some(engine) = view.engines.get(id) else { continue };
            match member_phase(engine, group_id, group) {
                Some(Phase::Ready | Phase::Open | Phase::Closing) => {}
                Some(Phase::Joining | Phase::Broken) => all_ready = false,
                None => {
                    all_ready = false;
                    if !self.has_left_other_groups(now, id, engine, group_id, actions) {
                        continue;
                    }
                    let order = Order::Join {
                        group: group_id.clone(),
                        epoch: group.epoch,
                        model: group.model.clone(),
                        members: group.members.clone(),
                    };
                    self.send_order(now, id, engine, order, actions);
                }
            }
        }
        if !all_ready {
            return;
        }
        self.complete_groups.insert(group_id.clone());
        let Some(head) = group.head() else { return };
        let Some(engine) = view.engines.get(head) else { return };
        if member_phase(engine, group_id, group) == Some(Phase::Ready) {
            let order = Order::Open { group: group_id.clone(), epoch: group.epoch };
            self.send_order(now, head, engine, order, actions);
        }
    }

    /// Whether a group has to be retired.
    ///
    /// A group whose members are all unreachable stays: it may still be serving, and retiring it
    /// would free no reachable instance.
    fn must_retire(&self, view: &ClusterView, group_id: &GroupId, group: &PlannedGroup) -> bool {
        let Some(head) = group.head() else { return true };
        if group.members.iter().all(|id| view.reachable(id).is_none()) {
            return false;
        }
        let is_progressing = view.progressing.contains(head) && view.reachable(head).is_some();
        let phase = view.reachable(head).and_then(|e| member_phase(e, group_id, group));
        let complete = self.complete_groups.contains(group_id)
            || matches!(phase, Some(Phase::Open | Phase::Closing));
        let is_lost = |id: &InstanceId| match view.reachable(id) {
            None => !is_progressing,
            Some(engine) => {
                engine.leaving || (complete && member_phase(engine, group_id, group).is_none())
            }
        };
        phase == Some(Phase::Broken) || group.members.iter().any(is_lost)
    }

    /// Whether an instance has left all groups other than `group_id`; orders it to leave otherwise.
    ///
    /// A delayed order may make an instance rejoin a group that was removed from the plan, and open
    /// it again.
    fn has_left_other_groups(
        &mut self,
        now: Instant,
        id: &InstanceId,
        engine: &EngineInstance,
        group_id: &str,
        actions: &mut Actions,
    ) -> bool {
        let other = engine.membership.as_ref().filter(|m| m.group != group_id);
        // The listed phase may predate an order to open; only a broken group certainly can't serve.
        let Some(other) = other.filter(|m| m.phase != Phase::Broken) else { return true };
        let order = Order::Leave { group: other.group.clone(), epoch: other.epoch };
        if self.has_acknowledged(now, id, &order) {
            return true;
        }
        self.send_order(now, id, engine, order, actions);
        false
    }
}

/// Phase of an instance in a group; `None` if it belongs to another group or to none.
fn member_phase(
    engine: &EngineInstance,
    group_id: &GroupId,
    group: &PlannedGroup,
) -> Option<Phase> {
    let membership = engine.membership.as_ref()?;
    (membership.group == *group_id && membership.epoch == group.epoch).then_some(membership.phase)
}
