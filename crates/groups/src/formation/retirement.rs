//! Retirement of groups: draining them, and deciding when their members may be reassigned.

use {
    super::{
        Actions, ClusterView, EngineInstance, GroupPlanner, Order, OrderResult, Phase, member_phase,
    },
    crate::plan::PlannedGroup,
    std::time::{Duration, Instant},
    turmerictack_model::ids::{GroupId, InstanceId},
};

/// Time that a complete group has to finish its requests before its members are ordered to leave.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(4);

/// Margin on top of the stall timeout, for the time until the head learns of a departure.
const STALL_MARGIN: Duration = Duration::from_secs(1);

/// Progress of the retirement of a group.
#[derive(Debug)]
pub(super) struct Retirement {
    started_at: Instant,
    /// Time since which a member is known to have left the group or to be gone.
    incomplete_since: Option<Instant>,
    /// Members that have confirmed that they left, or whose process is gone.
    departed: Vec<InstanceId>,
}

impl Retirement {
    pub(super) fn new(now: Instant) -> Self {
        Self { started_at: now, incomplete_since: None, departed: Vec::new() }
    }

    /// Records the result of the order to leave.
    pub(super) fn record_result(&mut self, now: Instant, id: &InstanceId, result: OrderResult) {
        match result {
            OrderResult::Accepted | OrderResult::Rejected | OrderResult::Gone => {
                self.departed.push(id.clone());
                self.incomplete_since.get_or_insert(now);
            }
            OrderResult::Unanswered => {}
        }
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
        let Some(retirement) = self.retirements.get(group_id) else { return false };
        let Some(head) = group.head() else { return true };
        // A delayed order may make the head rejoin, so all other members must have left as well.
        let others_left = group.members.iter().skip(1).all(|id| {
            retirement.departed.contains(id)
                || view.reachable(id).is_none_or(|e| member_phase(e, group_id, group).is_none())
        });
        if retirement.departed.contains(head) {
            return others_left;
        }
        let has_left = view.engines.get(head).is_some_and(|engine| {
            matches!(member_phase(engine, group_id, group), None | Some(Phase::Broken))
                && !self.has_pending_orders(head)
        });
        let head_must_be_broken = retirement
            .incomplete_since
            .is_some_and(|t| now >= t + self.stall_timeout + STALL_MARGIN);
        (has_left && others_left) || head_must_be_broken
    }

    /// Whether an earlier order to an instance may still be carried out.
    fn has_pending_orders(&self, id: &InstanceId) -> bool {
        self.sent_orders.iter().any(|((to, order), sent)| {
            to == id
                && !matches!(order, Order::Stage { .. })
                && !matches!(sent.result, Some(OrderResult::Accepted | OrderResult::Rejected))
        })
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
        // A new leader has no responses from members that left earlier, only their state.
        let is_outside = |id: &InstanceId| {
            view.reachable(id).is_some_and(|e| member_phase(e, group_id, group).is_none())
        };
        if let Some(at) = view.incomplete_since.get(group_id) {
            let since = retirement.incomplete_since.get_or_insert(*at);
            *since = (*since).min(*at);
        } else if group.members.iter().any(is_outside) {
            retirement.incomplete_since.get_or_insert(now);
        }
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
            self.retirements.get(group_id).is_some_and(|r| r.departed.contains(head));
        if !head_has_left && let Some((address, _)) = self.addresses.get(head).cloned() {
            let is_unreachable = view.reachable(head).is_none();
            self.send_order_to(now, head, &address, leave.clone(), is_unreachable, actions);
        }
        for id in group.members.iter().skip(1) {
            let has_left = self.retirements.get(group_id).is_some_and(|r| r.departed.contains(id));
            let belongs = |e: &&EngineInstance| member_phase(e, group_id, group).is_some();
            if let Some(engine) = view.reachable(id).filter(belongs)
                && !has_left
            {
                self.send_order(now, id, engine, leave.clone(), actions);
            }
        }
    }
}
