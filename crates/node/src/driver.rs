//! Moves the bytes of one call: carries out the actions that the core decides on.

use {
    crate::{
        borders::Borders,
        call::{Call, Output, Payload},
        core::{Attempt, Core, Next, RETRY_AFTER, Ticket},
        keeper::{Hold, Keeper, replayed},
        logs, metrics,
    },
    async_trait::async_trait,
    rand::RngExt as _,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::mpsc::Sender,
        time::{sleep_until, timeout},
    },
    turmerictack_ledger::record_writer::LedgerResult,
    turmerictack_model::{
        ids::{AttemptId, CallId, ChunkIndex},
        outcome::{Failure, FailureCode, Outcome},
        pool::{Pool, PoolError},
        rank::Rank,
    },
    turmerictack_routing::dispatch::{Action, Event, RecordResult, StreamItem},
    turmerictack_upstream::{
        engine::{self, GenerateRequest, ResponseStream},
        error::UpstreamError,
        gate::SendGate,
        service::{PlainCall, PlainResponse},
    },
};

/// Longest time that a caller may leave its answer unread.
const CALLER_WAIT: Duration = Duration::from_secs(30);

/// What drivers share.
pub struct Desk {
    /// Workers for decisions.
    pub pool: Pool,
    /// Decisions.
    pub core: Arc<Core>,
    /// Records.
    pub keeper: Arc<Keeper>,
    /// Borders.
    pub borders: Borders,
}

impl Desk {
    /// Runs a decision on a call in flight; those calls are bounded by admission.
    ///
    /// # Errors
    /// [`PoolError::Closed`].
    pub async fn decide<F, T>(&self, decision: F) -> Result<T, PoolError>
    where
        F: FnOnce(&Core) -> T + Send + 'static,
        T: Send + 'static,
    {
        let core = Arc::clone(&self.core);
        self.pool.run_unbounded(move || decision(&core)).await
    }

    /// Takes a call in and serves it; what the caller gets goes to `outputs`.
    ///
    /// # Errors
    /// The refusal; the call was not run.
    pub async fn serve(
        self: &Arc<Self>,
        call: Call,
        outputs: Sender<Output>,
    ) -> Result<(), Failure> {
        let overloaded = Failure::not_run(FailureCode::Overloaded).with_retry_after(RETRY_AFTER);
        let (core, taken) = (Arc::clone(&self.core), call.clone());
        let begun = self.pool.run(move || core.begin(taken)).await;
        let ticket = begun.map_err(|_| overloaded)??;
        let driver = Driver {
            desk: Arc::clone(self),
            call: Arc::new(call),
            id: ticket.id,
            outputs,
            hold: None,
            caller_gone: false,
            since: self.borders.clock.now(),
            first: None,
        };
        tokio::spawn(driver.run(ticket));
        Ok(())
    }
}

/// The gate of one attempt.
struct AttemptGate {
    desk: Arc<Desk>,
    call: CallId,
    attempt: AttemptId,
}

#[async_trait]
impl SendGate for AttemptGate {
    async fn release(&self) -> bool {
        let (call, attempt) = (self.call, self.attempt);
        self.desk.decide(move |core| core.release(call, attempt)).await.unwrap_or(false)
    }
}

/// The task of one call.
struct Driver {
    desk: Arc<Desk>,
    call: Arc<Call>,
    id: CallId,
    outputs: Sender<Output>,
    hold: Option<Arc<Hold>>,
    caller_gone: bool,
    since: Instant,
    first: Option<Duration>,
}

/// An attempt whose answer arrives.
struct Open {
    attempt: AttemptId,
    answer: Box<dyn ResponseStream>,
}

/// A stored answer or the answer of a plain service, kept until the core asks for it.
type Kept = Option<PlainResponse>;

impl Driver {
    async fn run(mut self, mut ticket: Ticket) {
        let mut action = Some(Action::AwaitAdmission { until: ticket.queue_until });
        let mut open: Option<Open> = None;
        let mut kept: Kept = None;
        loop {
            let next = match action.take() {
                Some(next) => next,
                None => self.await_action(&mut ticket, None).await,
            };
            action = match next {
                Action::AwaitAdmission { until } | Action::Requeue { until } => {
                    open = None;
                    Some(self.await_action(&mut ticket, Some(until)).await)
                }
                Action::WriteRecord => Some(self.record(&mut kept).await),
                Action::Send { resume_from, .. } => {
                    self.send(&mut ticket, resume_from, &mut open, &mut kept).await
                }
                Action::AwaitResponse => self.next_pieces(&mut ticket, &mut open).await,
                Action::Deliver { texts, finish_reason } => {
                    let last = finish_reason.is_some();
                    self.deliver(texts, finish_reason).await;
                    if last {
                        return;
                    }
                    Some(Action::AwaitResponse)
                }
                Action::Respond | Action::Replay => return self.reply(kept).await,
                Action::Fail(failure) => return self.fail(failure).await,
                Action::Nothing => None,
            };
        }
    }

    async fn event(&self, event: Event) -> Action {
        let id = self.id;
        let decided = self.desk.decide(move |core| core.event(id, event)).await;
        decided.unwrap_or(Action::Fail(Failure::unknown(FailureCode::Draining)))
    }

    async fn attempt_event(&self, attempt: AttemptId, event: Event) -> Option<Action> {
        let id = self.id;
        let decided = self.desk.decide(move |core| core.attempt_event(id, attempt, event)).await;
        match decided {
            Ok(Action::Nothing) => None,
            Ok(action) => Some(action),
            Err(_) => Some(Action::Fail(Failure::unknown(FailureCode::Draining))),
        }
    }

    /// Waits for an action that another call's event brought about.
    async fn await_action(&mut self, ticket: &mut Ticket, until: Option<Instant>) -> Action {
        let expiry = async {
            match until {
                Some(until) => sleep_until(until.into()).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
        biased;
        action = ticket.actions.recv() => {
        action.unwrap_or(Action::Fail(Failure::unknown(FailureCode::Draining)))
        }
        () = self.outputs.closed(), if !self.caller_gone => {
        self.caller_gone = true;
        self.event(Event::CallerGone).await
        }
        () = expiry => self.event(Event::Expired).await,
        }
    }

    async fn record(&mut self, kept: &mut Kept) -> Action {
        let Some(key) = self.call.key.clone() else {
            return self.event(Event::Recorded(RecordResult::Unavailable)).await;
        };
        let keeper = Arc::clone(&self.desk.keeper);
        let hold = Arc::new(keeper.hold(&self.call, &key, rand::rng().random()));
        let found = match keeper.begin(&hold).await {
            LedgerResult::Acquired | LedgerResult::Finished => {
                let (id, until) = (self.id, hold.send_until());
                let _ = self.desk.decide(move |core| core.permit_until(id, until)).await;
                self.hold = Some(hold);
                RecordResult::Acquired
            }
            LedgerResult::Replay(stored) => {
                *kept = Some(replayed(stored));
                RecordResult::Replayed
            }
            LedgerResult::Blocked(_) => RecordResult::Blocked,
            LedgerResult::KeyReused => RecordResult::KeyReused,
            LedgerResult::Unavailable => {
                keeper.release(hold);
                RecordResult::Unavailable
            }
        };
        self.event(Event::Recorded(found)).await
    }

    async fn send(
        &mut self,
        ticket: &mut Ticket,
        resume_from: ChunkIndex,
        open: &mut Option<Open>,
        kept: &mut Kept,
    ) -> Option<Action> {
        let id = self.id;
        let attempt = match self.desk.decide(move |core| core.attempt(id)).await {
            Ok(Next::Go(attempt)) => attempt,
            Ok(Next::NoTarget(attempt)) => {
                return self.attempt_event(attempt, Event::NotSent).await;
            }
            Ok(Next::Stale) | Err(_) => return None,
        };
        let number = attempt.id;
        let (desk, call) = (Arc::clone(&self.desk), Arc::clone(&self.call));
        let gate = Arc::new(AttemptGate { desk: Arc::clone(&desk), call: id, attempt: number });
        let (rank, idempotent, silence) = (ticket.rank, ticket.idempotent, ticket.silence);
        let sending = async move {
            match plan(&call, attempt, rank, idempotent, silence, resume_from) {
                Plan::Generate(call) => {
                    desk.borders.engine.generate(call, gate).await.map(Sent::Answer)
                }
                Plan::Plain(call) => desk.borders.service.call(call, gate).await.map(Sent::Reply),
            }
        };
        let bound = if idempotent { silence } else { silence * 2 };
        tokio::select! {
        sent = timeout(bound, sending) => {
        let event = sent_event(sent, number, open, kept);
        self.attempt_event(number, event).await
        }
        action = ticket.actions.recv() => action,
        () = self.outputs.closed(), if idempotent && !self.caller_gone => {
        self.caller_gone = true;
        Some(self.event(Event::CallerGone).await)
        }
        }
    }

    async fn next_pieces(
        &mut self,
        ticket: &mut Ticket,
        open: &mut Option<Open>,
    ) -> Option<Action> {
        let Open { attempt, answer } = open.as_mut()?;
        let attempt = *attempt;
        tokio::select! {
        pieces = timeout(ticket.silence, answer.next()) => {
        let event = match pieces {
        Ok(Ok(pieces)) if pieces.is_empty() => Event::Lost,
        Ok(Ok(pieces)) => Event::StreamItems(pieces.into_iter().map(piece).collect()),
        Ok(Err(_)) => Event::Lost,
        Err(_) => Event::Stalled,
        };
        self.attempt_event(attempt, event).await
        }
        action = ticket.actions.recv() => action,
        () = self.outputs.closed(), if !self.caller_gone => {
        self.caller_gone = true;
        Some(self.event(Event::CallerGone).await)
        }
        }
    }

    async fn output(&self, output: Output) {
        let _ = timeout(CALLER_WAIT, self.outputs.send(output)).await;
    }

    fn count_answer(&self, first: Option<Duration>) {
        let client = &self.desk.borders.metrics;
        metrics::answered(client, &self.call.service, first);
        logs::event("call_answered")
            .with("call", self.id)
            .with("caller", &self.call.caller)
            .with("service", &self.call.service)
            .debug();
    }

    async fn deliver(&mut self, texts: Vec<String>, end: Option<String>) {
        if !texts.is_empty() {
            let now = self.desk.borders.clock.now();
            self.first.get_or_insert(now.saturating_duration_since(self.since));
            self.output(Output::Text(texts)).await;
        }
        if let Some(reason) = end {
            self.count_answer(self.first);
            self.output(Output::End(reason)).await;
        }
    }

    async fn reply(self, kept: Kept) {
        let Some(reply) = kept else { return };
        if let Some(hold) = &self.hold {
            self.desk.keeper.store(Arc::clone(hold), &reply).await;
        }
        self.count_answer(None);
        self.output(Output::Reply(reply)).await;
    }

    async fn fail(self, failure: Failure) {
        if let Some(hold) = &self.hold
            && failure.outcome == Outcome::NotRun
        {
            self.desk.keeper.release(Arc::clone(hold));
        }
        metrics::failed(&self.desk.borders.metrics, &self.call.service, &failure);
        logs::event("call_failed")
            .with("call", self.id)
            .with("caller", &self.call.caller)
            .with("service", &self.call.service)
            .with("code", failure.code)
            .with("outcome", failure.outcome)
            .info();
        self.output(Output::Failed(failure)).await;
    }
}

/// What goes to an upstream.
enum Plan {
    Generate(GenerateRequest),
    Plain(PlainCall),
}

/// What came back from one.
enum Sent {
    Answer(Box<dyn ResponseStream>),
    Reply(PlainResponse),
}

fn plan(
    call: &Call,
    attempt: Attempt,
    rank: Rank,
    idempotent: bool,
    silence: Duration,
    resume_from: ChunkIndex,
) -> Plan {
    match &call.payload {
        Payload::Model { path, body, .. } => {
            let (group, epoch) = attempt.target.group.unwrap_or_default();
            Plan::Generate(GenerateRequest {
                address: attempt.target.address,
                path: path.clone(),
                body: body.clone(),
                attempt: attempt.id,
                group,
                epoch,
                rank,
                resume_from,
            })
        }
        Payload::Plain { method, path, content_type, body } => Plan::Plain(PlainCall {
            address: attempt.target.address,
            method: method.clone(),
            path: path.clone(),
            content_type: content_type.clone(),
            body: body.clone(),
            idempotency_key: call.key.clone(),
            attempt: attempt.id,
            new_connection: !idempotent,
            timeout: silence,
        }),
    }
}

fn sent_event(
    sent: Result<Result<Sent, UpstreamError>, tokio::time::error::Elapsed>,
    attempt: AttemptId,
    open: &mut Option<Open>,
    kept: &mut Kept,
) -> Event {
    match sent {
        Ok(Ok(Sent::Answer(answer))) => {
            *open = Some(Open { attempt, answer });
            Event::Accepted
        }
        Ok(Ok(Sent::Reply(reply))) => {
            *kept = Some(reply);
            Event::ResponseReceived
        }
        Ok(Err(UpstreamError::NotSent)) => Event::NotSent,
        Ok(Err(UpstreamError::Rejected { .. })) => Event::Rejected,
        Ok(Err(_)) => Event::Lost,
        Err(_) => Event::Stalled,
    }
}

fn piece(piece: engine::StreamItem) -> StreamItem {
    match piece {
        engine::StreamItem::Chunk(engine::Chunk { attempt, index, text }) => {
            StreamItem::Chunk { attempt, index, text }
        }
        engine::StreamItem::End { attempt, chunks, finish_reason: reason } => {
            StreamItem::End { attempt, chunks, finish_reason: reason }
        }
    }
}
