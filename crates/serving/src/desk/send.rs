//! Sends to upstreams: the wait for an answer, and what follows when none comes.

use {
    super::{Desk, Job, STALL_CHECK, place::Permit},
    crate::{
        attempts::{Attempts, Next},
        borders::{Answer, SendError},
        directory::Target,
        load::{FULL_PAUSE, UNREACHABLE_PAUSE, Verdict},
        refusal::Reason,
        request::{Head, Reply},
        stream::{EventStream, Running},
    },
    bytes::Bytes,
    cadence::Counted as _,
    std::sync::Arc,
    tokio::time::timeout,
    turmerictack_model::ids::EventPosition,
    turmerictack_telemetry::logs,
};

/// What a send came to.
pub(super) enum Sent {
    Answered(Answer),
    Failed(SendError),
    Stalled,
    Expired,
}

impl Desk {
    /// Whether the budget of repeats allows one more send.
    pub(crate) fn take_repeat(&self, job: &Job) -> bool {
        let now = self.clock.now();
        let nodes = self.tables.members.lock().live_count(now);
        self.tables.repeats.lock().take(now, &job.kind.0, nodes)
    }

    /// Sends a request and waits for the head of its answer.
    pub(super) async fn send(
        &self,
        job: &Job,
        target: &Target,
        attempts: &Attempts,
        resume_after: Option<EventPosition>,
    ) -> Sent {
        let dispatch = job.dispatch(resume_after);
        let mut sending = self.upstreams.send(&target.instance, &target.address, dispatch);
        let may_move = job.route.streams && job.route.is_repeatable();
        loop {
            let left = job.deadline.saturating_duration_since(self.clock.now());
            if left.is_zero() {
                return Sent::Expired;
            }
            match timeout(left.min(STALL_CHECK), &mut sending).await {
                Ok(Ok(answer)) => return Sent::Answered(answer),
                Ok(Err(error)) => return Sent::Failed(error),
                Err(_) if may_move && self.may_leave_stalled(job, target, attempts) => {
                    return Sent::Stalled;
                }
                Err(_) => {}
            }
        }
    }

    /// Whether a request should leave an upstream whose streams stand still; takes a repeat.
    ///
    /// Without another upstream or a repeat it is better to go on waiting.
    pub(crate) fn may_leave_stalled(
        &self,
        job: &Job,
        target: &Target,
        attempts: &Attempts,
    ) -> bool {
        let now = self.clock.now();
        let leaves = attempts.may_leave()
            && self.tables.should_leave(now, &job.kind, target, attempts.tried())
            && self.take_repeat(job);
        if leaves {
            let _ = self.metrics.count("streams.stalled", 1);
            logs::event("upstream_stalled")
                .with("request", &job.request.id)
                .with("upstream", &target.instance)
                .with("group", target.group.as_deref().unwrap_or("-"))
                .with("waited_ms", self.age_ms(job))
                .info();
        }
        leaves
    }

    pub(super) fn after_stall(&self, attempts: &mut Attempts, target: &Target) -> Next {
        attempts.ran(&target.instance);
        Next::AgainPaid
    }

    /// Sends a stream that broke off to another upstream, from its last event on.
    pub(crate) async fn resume(
        &self,
        job: &Job,
        attempts: &mut Attempts,
        last: Option<EventPosition>,
        is_paid: bool,
    ) -> Option<Running> {
        let mut is_paid = is_paid;
        while attempts.may_resume() && (is_paid || self.take_repeat(job)) {
            is_paid = false;
            let permit = self.place(job, attempts).await.ok()?;
            attempts.sending(self.placement(job, &permit));
            let target = Arc::clone(&permit.target);
            match self.send(job, &target, attempts, last).await {
                Sent::Answered(answer) if answer.success => {
                    return Some(Running { permit, body: answer.body });
                }
                Sent::Answered(_) => {
                    permit.conclude(Verdict::Failed);
                    attempts.ran(&target.instance);
                }
                Sent::Failed(error) => {
                    self.note_failed_send(job, &target, &error);
                    permit.conclude(verdict_of(&error));
                    attempts.failed(&target.instance, &error);
                }
                Sent::Stalled => {
                    permit.conclude(Verdict::Neutral);
                    attempts.ran(&target.instance);
                    is_paid = true;
                }
                Sent::Expired => return None,
            }
        }
        None
    }

    /// Waits for the first event, before which the caller is told nothing.
    pub(super) async fn begin_stream(
        self: &Arc<Self>,
        job: &Job,
        answer: Answer,
        permit: Permit,
        attempts: &mut Attempts,
    ) -> Result<Reply, Next> {
        let target = Arc::clone(&permit.target);
        let Answer { head, mut body, .. } = answer;
        loop {
            let left = job.deadline.saturating_duration_since(self.clock.now());
            if left.is_zero() {
                attempts.ran(&target.instance);
                return Err(Next::GiveUp(attempts.refusal(Reason::Deadline)));
            }
            match timeout(left.min(STALL_CHECK), body.events()).await {
                Ok(Ok(Some(first))) => {
                    let now = self.clock.now();
                    self.tables.placing.lock().loads.moved(now, target.key, None);
                    permit.answered();
                    self.note_first_event(job, attempts, now);
                    let running = Running { permit, body };
                    let events = EventStream::begin(
                        Arc::clone(self),
                        job.clone_for_stream(),
                        attempts.clone(),
                        running,
                        first,
                    );
                    return Ok(Reply::Stream { head, events: Box::new(events) });
                }
                Ok(Ok(None)) => {
                    permit.conclude(Verdict::Served);
                    self.note_served(job, attempts, head.status);
                    return Ok(Reply::Whole { head, body: Bytes::new() });
                }
                Ok(Err(error)) => {
                    self.note_failed_send(job, &target, &error);
                    permit.conclude(verdict_of(&error));
                    return Err(attempts.failed(&target.instance, &error));
                }
                Err(_)
                    if job.route.is_repeatable()
                        && self.may_leave_stalled(job, &target, attempts) =>
                {
                    permit.conclude(Verdict::Neutral);
                    return Err(self.after_stall(attempts, &target));
                }
                Err(_) => {}
            }
        }
    }

    /// Reads a whole answer; a failure of the upstream is kept in case no other does better.
    pub(super) async fn take_whole(
        &self,
        job: &Job,
        answer: Answer,
        permit: Permit,
        attempts: &mut Attempts,
        failure: &mut Option<(Head, Bytes)>,
    ) -> Result<Reply, Next> {
        let target = Arc::clone(&permit.target);
        let Answer { head, success, mut body } = answer;
        let left = job.deadline.saturating_duration_since(self.clock.now());
        let body = match timeout(left, body.rest()).await {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => {
                self.note_failed_send(job, &target, &error);
                permit.conclude(verdict_of(&error));
                return Err(attempts.failed(&target.instance, &error));
            }
            Err(_) => {
                attempts.ran(&target.instance);
                return Err(Next::GiveUp(attempts.refusal(Reason::Deadline)));
            }
        };
        permit.answered();
        let is_own_failure = head.status.is_server_error();
        permit.conclude(if is_own_failure { Verdict::Failed } else { Verdict::Served });
        if success || !is_own_failure || !job.route.is_repeatable() {
            self.note_served(job, attempts, head.status);
            return Ok(Reply::Whole { head, body });
        }
        *failure = Some((head, body));
        attempts.ran(&target.instance);
        let again = attempts.may_resume();
        Err(if again { Next::Again } else { Next::GiveUp(attempts.refusal(Reason::AttemptsUsed)) })
    }
}

/// What a failed send says about its upstream.
pub(crate) fn verdict_of(error: &SendError) -> Verdict {
    match error {
        SendError::NotSent | SendError::GroupBroken(_) | SendError::WrongInstance => {
            Verdict::Avoid(UNREACHABLE_PAUSE)
        }
        SendError::Full => Verdict::Avoid(FULL_PAUSE),
        SendError::Broken => Verdict::Failed,
        SendError::Garbled => Verdict::Neutral,
    }
}
