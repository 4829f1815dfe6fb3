//! Orders that were sent: their results, and when they are sent again.

use {
    super::{Actions, EngineInstance, GroupPlanner, Order, OrderResult},
    std::time::{Duration, Instant},
    turmerictack_model::ids::{Address, InstanceId},
};

/// Time after which an order without a response is sent again.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);

/// Time after which an accepted order without a visible effect is sent again.
const EFFECT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Maximum delay until the platform's list shows the effect of an order.
const LISTING_DELAY: Duration = Duration::from_millis(600);

/// Time and result of the last transmission of an order.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentOrder {
    sent_at: Instant,
    result: Option<OrderResult>,
}

impl SentOrder {
    /// Records the result of the transmission.
    pub(super) fn record_result(&mut self, result: OrderResult) {
        self.result = Some(result);
    }

    /// Whether the order can no longer have an effect that is not visible.
    pub(super) fn is_expired(&self, now: Instant) -> bool {
        now >= self.sent_at + EFFECT_TIMEOUT * 2
    }
}

impl GroupPlanner {
    /// Whether an order to an instance is known to be in effect, or not to apply to its state.
    ///
    /// The response counts only while the listed state may predate it, since a delayed order may
    /// undo its effect.
    pub(super) fn has_acknowledged(&self, now: Instant, id: &InstanceId, order: &Order) -> bool {
        let sent = self.sent_orders.get(&(id.clone(), order.clone()));
        sent.filter(|s| now < s.sent_at + LISTING_DELAY)
            .and_then(|s| s.result)
            .is_some_and(|result| !matches!(result, OrderResult::Unanswered | OrderResult::Refused))
    }

    /// Sends an order unless it was sent recently.
    pub(super) fn send_order(
        &mut self,
        now: Instant,
        id: &InstanceId,
        engine: &EngineInstance,
        order: Order,
        actions: &mut Actions,
    ) {
        self.send_order_to(now, id, &engine.address, order, false, actions);
    }

    /// Sends an order to an address unless it was sent recently; orders to unreachable instances
    /// are repeated less often.
    pub(super) fn send_order_to(
        &mut self,
        now: Instant,
        id: &InstanceId,
        address: &Address,
        order: Order,
        is_unreachable: bool,
        actions: &mut Actions,
    ) {
        let key = (id.clone(), order);
        if let Some(sent) = self.sent_orders.get(&key) {
            let wait = match sent.result {
                Some(OrderResult::Accepted) => EFFECT_TIMEOUT,
                _ if is_unreachable => EFFECT_TIMEOUT,
                _ => RESPONSE_TIMEOUT,
            };
            if now < sent.sent_at + wait {
                return;
            }
        }
        self.sent_orders.insert(key.clone(), SentOrder { sent_at: now, result: None });
        actions.orders.push((key.0, address.clone(), key.1));
    }

    /// Whether an earlier order to an instance may still be carried out.
    pub(super) fn has_pending_orders(&self, id: &InstanceId) -> bool {
        self.sent_orders.iter().any(|((to, order), sent)| {
            to == id
                && !matches!(order, Order::Stage { .. })
                && matches!(sent.result, None | Some(OrderResult::Unanswered))
        })
    }
}
