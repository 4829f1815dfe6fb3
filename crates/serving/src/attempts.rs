//! Retry decisions for a request whose upstream gave no usable response.

use {
    crate::{
        interfaces::SendError,
        rejection::{Reason, Rejection},
    },
    std::time::Duration,
    turmerictack_model::ids::InstanceId,
};

/// Sends allowed beyond `max_executions`, for upstreams that rejected the request unexecuted.
const EXTRA_SENDS: u32 = 2;

/// Retry delay suggested to the client when every upstream rejected the request.
const REJECTED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Sends of one request and their results so far.
#[derive(Clone, Debug)]
pub struct Attempts {
    retryable: bool,
    max_executions: u32,
    sends: u32,
    /// Upstreams that may have executed the request.
    executed_by: Vec<InstanceId>,
    failed_upstreams: Vec<InstanceId>,
    /// Upstream of the latest send, until its result counts.
    pending: Option<InstanceId>,
    last_send: Option<SendRecord>,
    first_event: Option<Duration>,
    is_answered: bool,
}

/// Destination and load at the time of the latest send, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendRecord {
    /// Upstream instance.
    pub instance: InstanceId,
    /// Requests in flight there, summed over all nodes.
    pub in_flight: u32,
    /// Time from receipt of the request to the send.
    pub elapsed: Duration,
}

/// Next step after a failed send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send to another upstream if the retry budget allows it.
    Retry,
    /// Send to another upstream; the retry has already been taken from the budget.
    RetryPrepaid,
    /// Give up and report this rejection.
    Fail(Rejection),
}

impl Attempts {
    /// Starts without any sends; at most `max_executions` upstreams may execute the request.
    pub fn new(retryable: bool, max_executions: u32) -> Self {
        Self {
            retryable,
            max_executions,
            sends: 0,
            executed_by: Vec::new(),
            failed_upstreams: Vec::new(),
            pending: None,
            last_send: None,
            first_event: None,
            is_answered: false,
        }
    }

    /// Upstreams that failed or rejected the request; they are not tried again.
    pub fn failed_upstreams(&self) -> &[InstanceId] {
        &self.failed_upstreams
    }

    /// Number of sends so far.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Whether any upstream may have executed the request.
    pub fn may_have_executed(&self) -> bool {
        !self.executed_by.is_empty()
    }

    /// Counts a send and remembers its destination.
    pub fn record_send(&mut self, last_send: SendRecord) {
        self.sends += 1;
        self.pending = Some(last_send.instance.clone());
        self.last_send = Some(last_send);
    }

    /// Destination of the latest send.
    pub fn last_send(&self) -> Option<&SendRecord> {
        self.last_send.as_ref()
    }

    /// Records the time from receipt of the request to the first event.
    pub fn record_first_event(&mut self, elapsed: Duration) {
        self.first_event = Some(elapsed);
    }

    /// Time from receipt of the request to the first event, if one has arrived.
    pub fn first_event(&self) -> Option<Duration> {
        self.first_event
    }

    /// Records that an upstream has continued its response after the first events.
    pub fn record_answer(&mut self) {
        self.is_answered = true;
    }

    /// Whether an upstream has continued its response after the first events, so that the request
    /// did not crash it.
    pub fn is_answered(&self) -> bool {
        self.is_answered
    }

    /// Whether the limits on executions and sends allow another send.
    pub fn can_send_again(&self) -> bool {
        self.executions() < self.max_executions && self.sends < self.max_sends()
    }

    fn max_sends(&self) -> u32 {
        self.max_executions.saturating_add(EXTRA_SENDS)
    }

    fn executions(&self) -> u32 {
        u32::try_from(self.executed_by.len()).unwrap_or(u32::MAX)
    }

    /// Whether the request may be moved away from the upstreams that may have started executing it.
    pub fn can_fail_over(&self) -> bool {
        let is_running = |pending: &InstanceId| !self.executed_by.contains(pending);
        let running = u32::from(self.pending.as_ref().is_some_and(is_running));
        self.retryable
            && self.executions() + running < self.max_executions
            && self.sends < self.max_sends()
    }

    /// Counts an execution that may have started at an upstream; it counts once for each upstream.
    pub fn record_execution(&mut self, instance: &InstanceId) {
        self.pending.take_if(|pending| pending == instance);
        if !self.executed_by.contains(instance) {
            self.executed_by.push(instance.clone());
            self.failed_upstreams.push(instance.clone());
        }
    }

    /// Counts the execution of the latest send, if its result is awaited no longer.
    pub fn abandon_pending(&mut self) {
        if let Some(pending) = self.pending.take() {
            self.record_execution(&pending);
        }
    }

    /// Records a failed send and decides the next step.
    pub fn record_failure(&mut self, instance: &InstanceId, error: &SendError) -> NextStep {
        if error.is_not_executed() {
            self.pending.take_if(|pending| pending == instance);
            self.failed_upstreams.push(instance.clone());
        } else {
            self.record_execution(instance);
        }
        if self.may_have_executed() && !self.retryable {
            return NextStep::Fail(Rejection::unknown(Reason::UpstreamLost));
        }
        if !self.can_send_again() {
            return NextStep::Fail(self.rejection(Reason::AttemptsUsed));
        }
        NextStep::Retry
    }

    /// Rejection with the execution status that follows from the sends so far.
    pub fn rejection(&self, reason: Reason) -> Rejection {
        if self.may_have_executed() {
            Rejection::unknown(reason)
        } else {
            Rejection::not_executed(reason, REJECTED_RETRY_AFTER)
        }
    }
}
