//! Retirement of groups: draining them, and deciding when their members may be reassigned.

use {
    super::{
        Actions, ClusterView, EngineInstance, GroupPlanner, Order, OrderResult, Phase, member_phase,
    },
    crate::plan::PlannedGroup,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    turmerictack_model::ids::{GroupId, InstanceId},
};

/// Time that a complete group has to finish its requests before its members are ordered to leave.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(4);

/// Margin on top of the stall timeout, for the time until the head learns of a departure.
const STALL_MARGIN: Duration = Duration::from_secs(1);

/// Maximum time for which a process that has closed its listener stays until its group has finished
/// its requests.
const MAX_LINGER_TIME: Duration = Duration::from_secs(10);

/// Progress of the retirement of a group.
#[derive(Debug)]
pub(super) struct Retirement {
    started_at: Instant,
    /// Time since which a member has been listed outside the group.
    outside_since: Option<Instant>,
    /// Members that have confirmed that they left, or whose process has ended.
    departures: BTreeMap<InstanceId, Departure>,
    /// Time since which members have refused connections.
    refused_since: BTreeMap<InstanceId, Instant>,
}

/// Departure of a member, known from its response or from the end of its process.
#[derive(Clone, Copy, Debug)]
struct Departure {
    at: Instant,
    /// Whether the list has shown it since.
    is_listed: bool,
}

impl Retirement {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            outside_since: None,
            departures: BTreeMap::new(),
            refused_since: BTreeMap::new(),
        }
    }

    /// Records the result of the order to leave.
    pub(super) fn record_result(&mut self, now: Instant, id: &InstanceId, result: OrderResult) {
        match result {
            OrderResult::Accepted | OrderResult::Rejected | OrderResult::Gone => {
                self.record_departure(now, id.clone());
            }
            OrderResult::Refused => {
                self.refused_since.entry(id.clone()).or_insert(now);
            }
            OrderResult::Unanswered => {}
        }
    }

    fn record_departure(&mut self, at: Instant, id: InstanceId) {
        self.departures.entry(id).or_insert(Departure { at, is_listed: false });
    }

    /// Compares the departures with the list, and drops those of members that have rejoined because
    /// of a delayed order.
    fn observe(&mut self, now: Instant, view: &ClusterView, id: &GroupId, group: &PlannedGroup) {
        let is_outside = |member: &InstanceId| {
            let engine = view.reachable(member);
            engine.map(|engine| member_phase(engine, id, group).is_none())
        };
        self.departures.retain(|member, departure| match is_outside(member) {
            Some(true) => {
                departure.is_listed = true;
                true
            }
            Some(false) => !departure.is_listed,
            None => true,
        });
        // A new leader has no responses from members that left earlier, only their state.
        if group.members.iter().any(|member| is_outside(member) == Some(true)) {
            self.outside_since.get_or_insert(now);
        } else {
            self.outside_since = None;
        }
    }

    /// Time since which the group has lacked a member.
    fn incomplete_since(&self, view: &ClusterView, id: &GroupId) -> Option<Instant> {
        let departed = self.departures.values().map(|departure| departure.at);
        let observed = view.incomplete_since.get(id).copied();
        departed.chain(observed).chain(self.outside_since).min()
    }
}

impl GroupPlanner {
    /// Whether the members of a retiring group may be assigned to other groups.
    pub(super) fn can_reassign_members(
        &mut self,
        now: Instant,
        view: &ClusterView,
        group_id: &GroupId,
        group: &PlannedGroup,
    ) -> bool {
        self.record_ended_members(now, group_id);
        if let Some(retirement) = self.retirements.get_mut(group_id) {
            retirement.observe(now, view, group_id, group);
        }
        let Some(retirement) = self.retirements.get(group_id) else { return false };
        let Some(head) = group.head() else { return true };
        // A delayed order may make the head rejoin, so all other members must have left as well, or
        // take no more orders.
        let others_left = group.members.iter().skip(1).all(|id| {
            retirement.departures.contains_key(id)
                || retirement.refused_since.contains_key(id)
                || view.reachable(id).is_none_or(|e| member_phase(e, group_id, group).is_none())
        });
        if retirement.departures.contains_key(head) {
            return others_left;
        }
        let has_left = view.engines.get(head).is_some_and(|engine| {
            matches!(member_phase(engine, group_id, group), None | Some(Phase::Broken))
                && !self.has_pending_orders(head)
        });
        let head_must_be_broken = retirement
            .incomplete_since(view, group_id)
            .is_some_and(|t| now >= t + self.times.stall_timeout + STALL_MARGIN);
        (has_left && others_left) || head_must_be_broken
    }

    /// Records the departure of members that refuse connections once their processes must have ended.
    ///
    /// A refused connection alone does not show that: a process that shuts down closes its listener
    /// and remains a member until its group has finished its requests.
    fn record_ended_members(&mut self, now: Instant, group_id: &GroupId) {
        let Some(retirement) = self.retirements.get_mut(group_id) else { return };
        let ended_at = |id: &InstanceId, refused_since: Instant| {
            // A planned shutdown keeps the listener open for the drain time.
            let serving_until = self.last_serving.get(id).map(|at| *at + self.times.drain_time);
            if serving_until.is_some_and(|until| refused_since < until) {
                return refused_since;
            }
            refused_since + MAX_LINGER_TIME
        };
        let refused = retirement.refused_since.iter();
        let ended: Vec<(InstanceId, Instant)> = refused
            .map(|(id, since)| (id.clone(), ended_at(id, *since)))
            .filter(|(id, at)| now >= *at && !retirement.departures.contains_key(id))
            .collect();
        for (id, at) in ended {
            retirement.record_departure(at, id);
        }
    }

    /// Advances the retirement of a group: drains it for up to [`CLOSE_TIMEOUT`] if all members are
    /// present, then orders its members to leave.
    pub(super) fn advance_retirement(
        &mut self,
        now: Instant,
        view: &ClusterView,
        group_id: &GroupId,
        group: &PlannedGroup,
        actions: &mut Actions,
    ) {
        let Some(head) = group.head() else { return };
        let retirement =
            self.retirements.entry(group_id.clone()).or_insert_with(|| Retirement::new(now));
        let started_at = retirement.started_at;
        let (epoch, order_group) = (group.epoch, group_id.clone());
        let phase = view.reachable(head).and_then(|e| member_phase(e, group_id, group));
        let all_present = group.members.iter().all(|id| {
            view.reachable(id).is_some_and(|e| member_phase(e, group_id, group).is_some())
        });
        let is_draining = all_present
            && now < started_at + CLOSE_TIMEOUT
            && matches!(phase, Some(Phase::Open | Phase::Closing));
        if is_draining {
            if phase == Some(Phase::Open)
                && let Some(engine) = view.engines.get(head)
            {
                let order = Order::Close { group: order_group, epoch };
                self.send_order(now, head, engine, order, actions);
            }
            return;
        }
        let leave = Order::Leave { group: order_group, epoch };
        let head_has_left =
            self.retirements.get(group_id).is_some_and(|r| r.departures.contains_key(head));
        if !head_has_left && let Some((address, _)) = self.addresses.get(head).cloned() {
            let is_unreachable = view.reachable(head).is_none();
            self.send_order_to(now, head, &address, leave.clone(), is_unreachable, actions);
        }
        for id in group.members.iter().skip(1) {
            let has_left =
                self.retirements.get(group_id).is_some_and(|r| r.departures.contains_key(id));
            let belongs = |e: &&EngineInstance| member_phase(e, group_id, group).is_some();
            if let Some(engine) = view.reachable(id).filter(belongs)
                && !has_left
            {
                self.send_order(now, id, engine, leave.clone(), actions);
            }
        }
    }
}
