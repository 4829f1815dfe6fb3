//! State machine of one call: admission, attempts, delivery of the response, and failures.
//!
//! A call leaves [`Phase::Queued`] either for an upstream or with a failure, never both, and the
//! body is released at most once for each attempt. The outcome that a failure reports to the caller
//! follows from this: a call whose body was never released has not run, unless another call with
//! the same key may have.

use {
    crate::{UpstreamId, budget::RetryBudget},
    std::time::{Duration, Instant},
    turmerictack_model::{
        ids::{AttemptId, ChunkIndex},
        outcome::{Failure, FailureCode, Outcome},
    },
};

/// Largest number of attempts for one call, including the first.
pub const MAX_ATTEMPTS: u32 = 4;

/// Properties of a call that control its dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallOptions {
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Whether the ledger must hold a record of the call before it is sent.
    pub needs_record: bool,
    /// Time at which the call fails if it is still queued.
    pub queue_deadline: Instant,
    /// Minimum time from a requeue until the queue deadline, which is extended if necessary.
    pub requeue_wait: Duration,
}

/// Phase of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The call waits for admission.
    Queued,
    /// The call has an upstream, and its record is being written to the ledger.
    Recording,
    /// An attempt is being sent to the upstream.
    Sending {
        /// Whether the body was released, after which the call may run at the upstream.
        body_released: bool,
    },
    /// The response is being received.
    Responding,
    /// The call has ended.
    Done,
}

/// Result of looking up or creating the ledger record of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordResult {
    /// The call holds the record and may be sent.
    Acquired,
    /// An earlier call with this key has finished; its stored response is returned instead.
    Replayed,
    /// Another call holds an open record under this key, or an operator settled one as run.
    Blocked,
    /// The key was used before with a different body.
    KeyReused,
    /// The platform that stores the ledger gave no definite answer.
    Unavailable,
}

/// Item of a response stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// A chunk of generated text.
    Chunk {
        /// Attempt identifier that the upstream echoed.
        attempt: AttemptId,
        /// Position of the chunk in the whole response.
        index: ChunkIndex,
        /// Text of the chunk.
        text: String,
    },
    /// End of the stream.
    End {
        /// Attempt identifier that the upstream echoed.
        attempt: AttemptId,
        /// Number of chunks in the whole response.
        chunks: ChunkIndex,
        /// Finish reason given by the upstream.
        finish_reason: String,
    },
}

/// Event that drives a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Admission has let the call through, and this upstream was chosen for it.
    Admitted(UpstreamId),
    /// Admission refused the call, or evicted it from the queue.
    Refused(Failure),
    /// The call was still queued at its queue deadline.
    Expired,
    /// The ledger returned a result.
    Recorded(RecordResult),
    /// The upstream accepted the call.
    Accepted,
    /// The attempt ended before its body was released.
    NotSent,
    /// The upstream rejected the attempt without running it.
    Rejected,
    /// The connection broke after the body may have been released.
    Lost,
    /// The upstream sent nothing within the time limit.
    Stalled,
    /// Items of the response stream arrived.
    StreamItems(Vec<StreamItem>),
    /// The complete response of a plain service arrived.
    ResponseReceived,
    /// Admission preempted the call in favour of a more urgent one.
    Preempted,
    /// The caller disconnected.
    CallerGone,
}

/// Action that the task of a call has to carry out next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Wait for admission.
    AwaitAdmission {
        /// Time at which to send [`Event::Expired`].
        until: Instant,
    },
    /// Look up or create the ledger record.
    WriteRecord,
    /// Send an attempt.
    Send {
        /// Upstream to send it to.
        upstream: UpstreamId,
        /// Position of the first chunk that the caller does not have yet.
        resume_from: ChunkIndex,
    },
    /// Return the call to the admission queue, and wait for admission.
    Requeue {
        /// Time at which to send [`Event::Expired`].
        until: Instant,
    },
    /// Wait for more of the response.
    AwaitResponse,
    /// Send chunks to the caller.
    Deliver {
        /// Texts of the chunks, in order.
        texts: Vec<String>,
        /// Finish reason, if the response is complete.
        finish_reason: Option<String>,
    },
    /// Store the complete response of a plain service if the call has a record, then send it to the
    /// caller.
    Respond,
    /// Send the stored response to the caller.
    Replay,
    /// Report a failure to the caller.
    Fail(Failure),
    /// Do nothing; the call has ended or the event does not apply to its phase.
    Nothing,
}

/// State of the dispatch of one call.
#[derive(Clone, Debug)]
pub struct Dispatch {
    options: CallOptions,
    phase: Phase,
    upstream: Option<UpstreamId>,
    tried: Vec<UpstreamId>,
    attempt: AttemptId,
    attempt_count: u32,
    delivered_chunks: ChunkIndex,
    has_record: bool,
    any_body_released: bool,
    lost_upstreams: Vec<UpstreamId>,
}

impl Dispatch {
    /// A call that waits for admission for the first time.
    pub fn new(options: CallOptions) -> Self {
        Self {
            options,
            phase: Phase::Queued,
            upstream: None,
            tried: Vec::new(),
            attempt: 0,
            attempt_count: 0,
            delivered_chunks: 0,
            has_record: false,
            any_body_released: false,
            lost_upstreams: Vec::new(),
        }
    }

    /// Current phase.
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Identifier of the current attempt, 0 if there is none; items of other attempts are ignored.
    pub fn attempt(&self) -> AttemptId {
        self.attempt
    }

    /// Upstream of the current attempt.
    pub fn upstream(&self) -> Option<&UpstreamId> {
        self.upstream.as_ref()
    }

    /// Upstreams on which an attempt of the call failed.
    pub fn tried(&self) -> &[UpstreamId] {
        &self.tried
    }

    /// Allows attempts on the upstreams that failed before.
    pub fn clear_tried(&mut self) {
        self.tried.clear();
    }

    /// Number of chunks delivered to the caller.
    pub fn delivered_chunks(&self) -> ChunkIndex {
        self.delivered_chunks
    }

    /// Whether this call holds an open ledger record under its key.
    pub fn has_record(&self) -> bool {
        self.has_record
    }

    /// Returns and clears the upstreams lost while they may have been running the call.
    pub fn take_lost_upstreams(&mut self) -> Vec<UpstreamId> {
        std::mem::take(&mut self.lost_upstreams)
    }

    /// Starts an attempt with the given identifier, before its connection is opened.
    pub fn begin_attempt(&mut self, attempt: AttemptId) {
        self.attempt = attempt;
        self.attempt_count += 1;
    }

    /// Grants permission to send the body of an attempt; `true` at most once for each attempt, and
    /// only for the current one.
    pub fn release_body(&mut self, attempt: AttemptId) -> bool {
        let current = attempt == self.attempt;
        match &mut self.phase {
            Phase::Sending { body_released } if current && !*body_released => {
                *body_released = true;
                self.any_body_released = true;
                true
            }
            _ => false,
        }
    }

    /// Applies an event and returns the next action; retries are paid for from `budget`.
    pub fn step(&mut self, now: Instant, event: Event, budget: &mut RetryBudget) -> Action {
        let action = match (self.phase.clone(), event) {
            (Phase::Done, _) => Action::Nothing,
            (Phase::Queued, event) => self.step_queued(event),
            (Phase::Recording, event) => self.step_recording(event),
            (Phase::Sending { body_released }, event) => {
                self.step_sending(event, body_released, budget)
            }
            (Phase::Responding, event) => self.step_responding(event, budget),
        };
        match action {
            Action::Requeue { .. } => self.enqueue_again(now),
            action => action,
        }
    }

    fn enqueue_again(&mut self, now: Instant) -> Action {
        let until = self.options.queue_deadline.max(now + self.options.requeue_wait);
        self.options.queue_deadline = until;
        self.attempt = 0;
        self.phase = Phase::Queued;
        Action::Requeue { until }
    }

    fn step_queued(&mut self, event: Event) -> Action {
        match event {
            Event::Admitted(upstream) => {
                self.upstream = Some(upstream);
                if self.options.needs_record && !self.has_record {
                    self.phase = Phase::Recording;
                    Action::WriteRecord
                } else {
                    self.send()
                }
            }
            Event::Refused(failure) => self.fail_with(failure),
            Event::Expired => self.fail(FailureCode::Deadline),
            Event::CallerGone => self.fail(FailureCode::CallerGone),
            _ => Action::AwaitAdmission { until: self.options.queue_deadline },
        }
    }

    fn step_recording(&mut self, event: Event) -> Action {
        let Event::Recorded(result) = event else {
            return Action::Nothing;
        };
        match result {
            RecordResult::Acquired => {
                self.has_record = true;
                self.send()
            }
            RecordResult::Replayed => {
                self.phase = Phase::Done;
                Action::Replay
            }
            RecordResult::Blocked => self.fail_with(Failure::unknown(FailureCode::CallOpen)),
            RecordResult::KeyReused => self.fail(FailureCode::KeyReused),
            RecordResult::Unavailable => self.fail(FailureCode::PlatformUnavailable),
        }
    }

    fn step_sending(
        &mut self,
        event: Event,
        body_released: bool,
        budget: &mut RetryBudget,
    ) -> Action {
        match event {
            Event::Accepted => {
                self.phase = Phase::Responding;
                Action::AwaitResponse
            }
            Event::NotSent if !body_released => self.retry(budget, FailureCode::NoUpstream),
            Event::Rejected => self.handle_rejection(budget),
            Event::NotSent | Event::Lost | Event::Stalled => {
                self.handle_broken_attempt(body_released, budget)
            }
            Event::ResponseReceived => self.complete(),
            Event::CallerGone if !body_released || self.options.idempotent => {
                self.fail(FailureCode::CallerGone)
            }
            Event::Preempted if self.options.idempotent => self.preempt(),
            _ => Action::Nothing,
        }
    }

    fn step_responding(&mut self, event: Event, budget: &mut RetryBudget) -> Action {
        match event {
            Event::StreamItems(items) => self.deliver_items(items, budget),
            Event::Lost | Event::Stalled | Event::NotSent => {
                self.handle_broken_attempt(true, budget)
            }
            Event::CallerGone => self.fail(FailureCode::CallerGone),
            Event::Preempted => self.preempt(),
            _ => Action::AwaitResponse,
        }
    }

    fn send(&mut self) -> Action {
        let Some(upstream) = self.upstream.clone() else {
            return self.fail(FailureCode::NoUpstream);
        };
        self.phase = Phase::Sending { body_released: false };
        Action::Send { upstream, resume_from: self.delivered_chunks }
    }

    /// Returns a preempted call to the queue; the attempt does not count towards [`MAX_ATTEMPTS`].
    fn preempt(&mut self) -> Action {
        self.upstream = None;
        self.attempt_count = self.attempt_count.saturating_sub(1);
        Action::Requeue { until: self.options.queue_deadline }
    }

    fn complete(&mut self) -> Action {
        self.phase = Phase::Done;
        Action::Respond
    }

    /// Handles a failed attempt; once the body was released, only an idempotent call is retried.
    fn handle_broken_attempt(&mut self, body_released: bool, budget: &mut RetryBudget) -> Action {
        if body_released {
            self.lost_upstreams.extend(self.upstream.clone());
        }
        if body_released && !self.options.idempotent {
            return self.fail(FailureCode::UpstreamLost);
        }
        self.retry(budget, FailureCode::UpstreamLost)
    }

    fn handle_rejection(&mut self, budget: &mut RetryBudget) -> Action {
        if self.options.idempotent {
            self.retry(budget, FailureCode::UpstreamFailed)
        } else {
            self.fail(FailureCode::UpstreamFailed)
        }
    }

    /// Requeues the call for another upstream if the number of attempts and the budget allow it, or
    /// else fails it with this code.
    fn retry(&mut self, budget: &mut RetryBudget, code: FailureCode) -> Action {
        self.tried.extend(self.upstream.take());
        if self.attempt_count >= MAX_ATTEMPTS || !budget.try_withdraw() {
            return self.fail(code);
        }
        Action::Requeue { until: self.options.queue_deadline }
    }

    fn deliver_items(&mut self, items: Vec<StreamItem>, budget: &mut RetryBudget) -> Action {
        let mut texts = Vec::new();
        for item in items {
            match item {
                StreamItem::Chunk { attempt, .. } | StreamItem::End { attempt, .. }
                    if attempt != self.attempt => {}
                StreamItem::Chunk { index, .. } if index < self.delivered_chunks => {}
                StreamItem::Chunk { index, text, .. } if index == self.delivered_chunks => {
                    self.delivered_chunks += 1;
                    texts.push(text);
                }
                StreamItem::End { chunks, finish_reason, .. }
                    if chunks == self.delivered_chunks =>
                {
                    self.phase = Phase::Done;
                    return Action::Deliver { texts, finish_reason: Some(finish_reason) };
                }
                StreamItem::Chunk { .. } | StreamItem::End { .. } if texts.is_empty() => {
                    return self.handle_broken_attempt(true, budget);
                }
                StreamItem::Chunk { .. } | StreamItem::End { .. } => break,
            }
        }
        if texts.is_empty() {
            Action::AwaitResponse
        } else {
            Action::Deliver { texts, finish_reason: None }
        }
    }

    fn fail(&mut self, code: FailureCode) -> Action {
        let outcome = if self.any_body_released { Outcome::Unknown } else { Outcome::NotRun };
        self.fail_with(Failure { code, outcome, retry_after: None })
    }

    fn fail_with(&mut self, failure: Failure) -> Action {
        self.phase = Phase::Done;
        let outcome = if self.any_body_released { Outcome::Unknown } else { failure.outcome };
        Action::Fail(Failure { outcome, ..failure })
    }
}
