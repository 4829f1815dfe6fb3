//! Retiring a group: when its members may move.

use {
    super::{EngineInstance, Formation, Order, OrderResult, Phase, Steps, View, member_phase},
    crate::plan::PlannedGroup,
    std::time::{Duration, Instant},
    turmerictack_model::ids::{GroupId, InstanceId},
};

/// Time that a group with a leaving member gets to finish its requests.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(4);

/// Added to the time after which a head notices a missing member, for the way of the notice.
const STALL_MARGIN: Duration = Duration::from_secs(1);

/// Progress of a group towards its end.
#[derive(Debug)]
pub(super) struct Retirement {
    since: Instant,
    /// When one of the members is known to have left or to be gone.
    incomplete_since: Option<Instant>,
    /// Instance that has left or is gone.
    released: Vec<InstanceId>,
}

impl Retirement {
    pub(super) fn new(now: Instant) -> Self {
        Self { since: now, incomplete_since: None, released: Vec::new() }
    }

    /// Takes what an instance answered to the order to leave.
    pub(super) fn left(&mut self, now: Instant, id: &InstanceId, result: OrderResult) {
        match result {
            OrderResult::Accepted | OrderResult::Unfit | OrderResult::Gone => {
                self.released.push(id.clone());
                self.incomplete_since.get_or_insert(now);
            }
            OrderResult::Unanswered => {}
        }
    }
}

impl Formation {
    /// Whether the members of a retiring group may move.
    pub(super) fn is_over(
        &mut self,
        now: Instant,
        view: &View,
        name: &GroupId,
        group: &PlannedGroup,
    ) -> bool {
        let Some(retirement) = self.retiring.get(name) else { return false };
        let Some(head) = group.head() else { return true };
        // A late order may bring the head back, so no other member may still belong to it then.
        let others_left = group.members.iter().skip(1).all(|id| {
            retirement.released.contains(id)
                || view.live(id).is_none_or(|e| member_phase(e, name, group).is_none())
        });
        if retirement.released.contains(head) {
            return others_left;
        }
        let has_left = view.engines.get(head).is_some_and(|engine| {
            matches!(member_phase(engine, name, group), None | Some(Phase::Broken))
                && !self.has_open_orders(head)
        });
        let must_have_noticed =
            retirement.incomplete_since.is_some_and(|t| now >= t + self.stall + STALL_MARGIN);
        (has_left && others_left) || must_have_noticed
    }

    /// Whether an order to an instance may still be carried out.
    fn has_open_orders(&self, id: &InstanceId) -> bool {
        self.given.iter().any(|((to, order), given)| {
            to == id
                && !matches!(order, Order::Stage { .. })
                && !matches!(given.result, Some(OrderResult::Accepted | OrderResult::Unfit))
        })
    }

    /// Takes the next step towards the end of a group.
    pub(super) fn retire(
        &mut self,
        now: Instant,
        view: &View,
        name: &GroupId,
        group: &PlannedGroup,
        steps: &mut Steps,
    ) {
        let Some(head) = group.head() else { return };
        let retirement = self.retiring.entry(name.clone()).or_insert_with(|| Retirement::new(now));
        let since = retirement.since;
        // A node that takes over gets no answer from members that left before it did.
        let is_outside =
            |id: &InstanceId| view.live(id).is_some_and(|e| member_phase(e, name, group).is_none());
        if let Some(at) = view.incomplete.get(name) {
            let since = retirement.incomplete_since.get_or_insert(*at);
            *since = (*since).min(*at);
        } else if group.members.iter().any(is_outside) {
            retirement.incomplete_since.get_or_insert(now);
        }
        let (epoch, group_name) = (group.epoch, name.clone());
        let phase = view.live(head).and_then(|e| member_phase(e, name, group));
        let all_work = group
            .members
            .iter()
            .all(|id| view.live(id).is_some_and(|e| member_phase(e, name, group).is_some()));
        let finishes = all_work
            && now < since + CLOSE_TIMEOUT
            && matches!(phase, Some(Phase::Open | Phase::Closing));
        if finishes {
            if phase == Some(Phase::Open)
                && let Some(engine) = view.engines.get(head)
            {
                let order = Order::Close { group: group_name, epoch };
                self.give(now, head, engine, order, steps);
            }
            return;
        }
        let leave = Order::Leave { group: group_name, epoch };
        let head_has_left = self.retiring.get(name).is_some_and(|r| r.released.contains(head));
        if !head_has_left && let Some(address) = self.addresses.get(head).cloned() {
            let is_silent = view.live(head).is_none();
            self.give_at(now, head, &address, leave.clone(), is_silent, steps);
        }
        for id in group.members.iter().skip(1) {
            let has_left = self.retiring.get(name).is_some_and(|r| r.released.contains(id));
            let belongs = |e: &&EngineInstance| member_phase(e, name, group).is_some();
            if let Some(engine) = view.live(id).filter(belongs)
                && !has_left
            {
                self.give(now, id, engine, leave.clone(), steps);
            }
        }
    }
}
