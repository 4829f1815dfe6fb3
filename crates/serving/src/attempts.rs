//! What follows when an upstream gave no answer to a request.

use {
    crate::{
        interfaces::SendError,
        rejection::{Reason, Rejection},
    },
    std::time::Duration,
    turmerictack_model::ids::InstanceId,
};

/// Sends beyond the allowed attempts, for upstreams that did not run the request.
const EXTRA_SENDS: u32 = 2;

/// Time after which a caller may come again when all upstreams refused.
const REJECTED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Sends of one request and what they came to.
#[derive(Clone, Debug)]
pub struct Attempts {
    retryable: bool,
    max_executions: u32,
    sends: u32,
    executions: u32,
    failed_upstreams: Vec<InstanceId>,
    last_send: Option<SendRecord>,
    first_event: Option<Duration>,
}

/// Where and under which load a request was sent last; for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendRecord {
    /// Upstream.
    pub instance: InstanceId,
    /// Requests that were in flight there, over all nodes.
    pub in_flight: u32,
    /// Time since the request came.
    pub elapsed: Duration,
}

/// What to do after a failed send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send it to another upstream, if the budget of repeats allows it.
    Retry,
    /// Send it to another upstream; the budget was asked before.
    RetryPrepaid,
    /// Give up.
    Fail(Rejection),
}

impl Attempts {
    /// No sends yet.
    pub fn new(retryable: bool, max_executions: u32) -> Self {
        Self {
            retryable,
            max_executions,
            sends: 0,
            executions: 0,
            failed_upstreams: Vec::new(),
            last_send: None,
            first_event: None,
        }
    }

    /// Upstreams that failed it.
    pub fn failed_upstreams(&self) -> &[InstanceId] {
        &self.failed_upstreams
    }

    /// Sends so far.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Whether an upstream may have run it.
    pub fn may_have_executed(&self) -> bool {
        self.executions > 0
    }

    /// Counts a send.
    pub fn record_send(&mut self, last_send: SendRecord) {
        self.sends += 1;
        self.last_send = Some(last_send);
    }

    /// Where it was sent last.
    pub fn last_send(&self) -> Option<&SendRecord> {
        self.last_send.as_ref()
    }

    /// Notes the time to the first event.
    pub fn record_first_event(&mut self, elapsed: Duration) {
        self.first_event = Some(elapsed);
    }

    /// Time to the first event.
    pub fn first_event(&self) -> Option<Duration> {
        self.first_event
    }

    /// Whether another upstream may be asked to go on with a stream that has begun.
    pub fn can_resume(&self) -> bool {
        self.executions < self.max_executions && self.sends < self.max_executions + EXTRA_SENDS
    }

    /// Whether an upstream that may have begun to run it can be given up for another.
    pub fn can_fail_over(&self) -> bool {
        self.retryable
            && self.executions + 1 < self.max_executions
            && self.sends < self.max_executions + EXTRA_SENDS
    }

    /// Counts a run that began at an upstream and did not end well.
    pub fn record_execution(&mut self, instance: &InstanceId) {
        self.executions += 1;
        self.failed_upstreams.push(instance.clone());
    }

    /// Takes a failed send.
    pub fn record_failure(&mut self, instance: &InstanceId, error: &SendError) -> NextStep {
        if error.is_not_executed() {
            self.failed_upstreams.push(instance.clone());
        } else {
            self.record_execution(instance);
        }
        if self.may_have_executed() && !self.retryable {
            return NextStep::Fail(Rejection::unknown(Reason::UpstreamLost));
        }
        if !self.can_resume() {
            return NextStep::Fail(self.rejection(Reason::AttemptsUsed));
        }
        NextStep::Retry
    }

    /// Refusal that promises what is true after the sends so far.
    pub fn rejection(&self, reason: Reason) -> Rejection {
        if self.may_have_executed() {
            Rejection::unknown(reason)
        } else {
            Rejection::not_executed(reason, REJECTED_RETRY_AFTER)
        }
    }
}
