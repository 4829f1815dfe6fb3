//! What follows when an upstream gave no answer to a request.

use {
    crate::{
        borders::SendError,
        refusal::{Reason, Refusal},
    },
    std::time::Duration,
    turmerictack_model::ids::InstanceId,
};

/// Sends beyond the allowed attempts, for upstreams that did not run the request.
const EXTRA_SENDS: u32 = 2;

/// Time after which a caller may come again when all upstreams refused.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Sends of one request and what they came to.
#[derive(Clone, Debug)]
pub struct Attempts {
    repeatable: bool,
    max_runs: u32,
    sends: u32,
    runs: u32,
    tried: Vec<InstanceId>,
    placement: Option<Placement>,
    first_event: Option<Duration>,
}

/// Where and under which load a request was sent last; for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Upstream.
    pub instance: InstanceId,
    /// Requests that were in flight there, over all nodes.
    pub load: u32,
    /// Time since the request came.
    pub waited: Duration,
}

/// What to do after a failed send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Send it to another upstream, if the budget of repeats allows it.
    Again,
    /// Send it to another upstream; the budget was asked before.
    AgainPaid,
    /// Give up.
    GiveUp(Refusal),
}

impl Attempts {
    /// No sends yet.
    pub fn new(repeatable: bool, max_runs: u32) -> Self {
        Self {
            repeatable,
            max_runs,
            sends: 0,
            runs: 0,
            tried: Vec::new(),
            placement: None,
            first_event: None,
        }
    }

    /// Upstreams that failed it.
    pub fn tried(&self) -> &[InstanceId] {
        &self.tried
    }

    /// Sends so far.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Whether an upstream may have run it.
    pub fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// Counts a send.
    pub fn sending(&mut self, placement: Placement) {
        self.sends += 1;
        self.placement = Some(placement);
    }

    /// Where it was sent last.
    pub fn placement(&self) -> Option<&Placement> {
        self.placement.as_ref()
    }

    /// Notes the time to the first event.
    pub fn began(&mut self, after: Duration) {
        self.first_event = Some(after);
    }

    /// Time to the first event.
    pub fn first_event(&self) -> Option<Duration> {
        self.first_event
    }

    /// Whether another upstream may be asked to go on with a stream that has begun.
    pub fn may_resume(&self) -> bool {
        self.runs < self.max_runs && self.sends < self.max_runs + EXTRA_SENDS
    }

    /// Whether an upstream that may have begun to run it can be given up for another.
    pub fn may_leave(&self) -> bool {
        self.repeatable && self.runs + 1 < self.max_runs && self.sends < self.max_runs + EXTRA_SENDS
    }

    /// Counts a run that began at an upstream and did not end well.
    pub fn ran(&mut self, instance: &InstanceId) {
        self.runs += 1;
        self.tried.push(instance.clone());
    }

    /// Takes a failed send.
    pub fn failed(&mut self, instance: &InstanceId, error: &SendError) -> Next {
        if error.is_not_run() {
            self.tried.push(instance.clone());
        } else {
            self.ran(instance);
        }
        if self.may_have_run() && !self.repeatable {
            return Next::GiveUp(Refusal::unknown(Reason::UpstreamLost));
        }
        if !self.may_resume() {
            return Next::GiveUp(self.refusal(Reason::AttemptsUsed));
        }
        Next::Again
    }

    /// Refusal that promises what is true after the sends so far.
    pub fn refusal(&self, reason: Reason) -> Refusal {
        if self.may_have_run() {
            Refusal::unknown(reason)
        } else {
            Refusal::not_run(reason, REFUSED_RETRY_AFTER)
        }
    }
}
