//! Forwards one call: carries out the actions that the coordinator decides on.

use {
    crate::{
        call::{Call, Output, Payload},
        call_record::{CallRecord, CallRecords, replayed_response},
        coordinator::{AcceptedCall, Attempt, CallCoordinator, RETRY_AFTER, SendDecision},
        interfaces::Interfaces,
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

/// Longest time that a caller may leave its output unread.
const CALLER_READ_TIMEOUT: Duration = Duration::from_secs(30);

/// State shared by the tasks of all calls.
pub struct Proxy {
    /// Workers that run the decisions.
    pub pool: Pool,
    /// Decisions for calls.
    pub coordinator: Arc<CallCoordinator>,
    /// Records of calls with an idempotency key.
    pub records: Arc<CallRecords>,
    /// Connections to the outside.
    pub interfaces: Interfaces,
}

impl Proxy {
    /// Runs a decision for a call in flight on the pool, without a limit on queued jobs, since
    /// admission bounds the number of such calls.
    ///
    /// # Errors
    /// [`PoolError::Closed`].
    pub async fn decide<F, T>(&self, decision: F) -> Result<T, PoolError>
    where
        F: FnOnce(&CallCoordinator) -> T + Send + 'static,
        T: Send + 'static,
    {
        let coordinator = Arc::clone(&self.coordinator);
        self.pool.run_unbounded(move || decision(&coordinator)).await
    }

    /// Accepts a call and starts its task; output for the caller is sent to `outputs`.
    ///
    /// # Errors
    /// The reason for the rejection; the call was not run.
    pub async fn serve(
        self: &Arc<Self>,
        call: Call,
        outputs: Sender<Output>,
    ) -> Result<(), Failure> {
        let overloaded = Failure::not_run(FailureCode::Overloaded).with_retry_after(RETRY_AFTER);
        let (coordinator, new_call) = (Arc::clone(&self.coordinator), call.clone());
        let result = self.pool.run(move || coordinator.accept(new_call)).await;
        let accepted = result.map_err(|_| overloaded)??;
        let task = CallTask {
            proxy: Arc::clone(self),
            call: Arc::new(call),
            id: accepted.id,
            outputs,
            record: None,
            caller_gone: false,
            started_at: self.interfaces.clock.now(),
            time_to_first_chunk: None,
        };
        tokio::spawn(task.run(accepted));
        Ok(())
    }
}

/// Send gate of one attempt.
struct AttemptGate {
    proxy: Arc<Proxy>,
    call: CallId,
    attempt: AttemptId,
}

#[async_trait]
impl SendGate for AttemptGate {
    async fn release(&self) -> bool {
        let (call, attempt) = (self.call, self.attempt);
        self.proxy
            .decide(move |coordinator| coordinator.release_body(call, attempt))
            .await
            .unwrap_or(false)
    }
}

/// Task that serves one call.
struct CallTask {
    proxy: Arc<Proxy>,
    call: Arc<Call>,
    id: CallId,
    outputs: Sender<Output>,
    record: Option<Arc<CallRecord>>,
    caller_gone: bool,
    started_at: Instant,
    time_to_first_chunk: Option<Duration>,
}

/// An attempt whose response stream is being read.
struct OpenStream {
    attempt: AttemptId,
    stream: Box<dyn ResponseStream>,
}

/// A replayed response, or that of a plain service, kept until the coordinator asks for it.
type ResponseSlot = Option<PlainResponse>;

impl CallTask {
    async fn run(mut self, mut accepted: AcceptedCall) {
        let mut action = Some(Action::AwaitAdmission { until: accepted.queue_deadline });
        let mut open: Option<OpenStream> = None;
        let mut response: ResponseSlot = None;
        loop {
            let next = match action.take() {
                Some(next) => next,
                None => self.await_action(&mut accepted, None).await,
            };
            action = match next {
                Action::AwaitAdmission { until } | Action::Requeue { until } => {
                    open = None;
                    Some(self.await_action(&mut accepted, Some(until)).await)
                }
                Action::WriteRecord => Some(self.write_record(&mut response).await),
                Action::Send { resume_from, .. } => {
                    self.send(&mut accepted, resume_from, &mut open, &mut response).await
                }
                Action::AwaitResponse => self.next_items(&mut accepted, &mut open).await,
                Action::Deliver { texts, finish_reason } => {
                    let last = finish_reason.is_some();
                    self.deliver(texts, finish_reason).await;
                    if last {
                        return;
                    }
                    Some(Action::AwaitResponse)
                }
                Action::Respond | Action::Replay => return self.respond(response).await,
                Action::Fail(failure) => return self.fail(failure).await,
                Action::Nothing => None,
            };
        }
    }

    async fn handle_event(&self, event: Event) -> Action {
        let id = self.id;
        let result =
            self.proxy.decide(move |coordinator| coordinator.handle_event(id, event)).await;
        result.unwrap_or(Action::Fail(Failure::unknown(FailureCode::Draining)))
    }

    async fn handle_attempt_event(&self, attempt: AttemptId, event: Event) -> Option<Action> {
        let id = self.id;
        let result = self
            .proxy
            .decide(move |coordinator| coordinator.handle_attempt_event(id, attempt, event))
            .await;
        match result {
            Ok(Action::Nothing) => None,
            Ok(action) => Some(action),
            Err(_) => Some(Action::Fail(Failure::unknown(FailureCode::Draining))),
        }
    }

    /// Waits for an action caused by another call's event.
    async fn await_action(
        &mut self,
        accepted: &mut AcceptedCall,
        until: Option<Instant>,
    ) -> Action {
        let expiry = async {
            match until {
                Some(until) => sleep_until(until.into()).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            action = accepted.actions.recv() => {
                action.unwrap_or(Action::Fail(Failure::unknown(FailureCode::Draining)))
            }
            () = self.outputs.closed(), if !self.caller_gone => {
                self.caller_gone = true;
                self.handle_event(Event::CallerGone).await
            }
            () = expiry => self.handle_event(Event::Expired).await,
        }
    }

    async fn write_record(&mut self, response: &mut ResponseSlot) -> Action {
        let Some(key) = self.call.key.clone() else {
            return self.handle_event(Event::Recorded(RecordResult::Unavailable)).await;
        };
        let records = Arc::clone(&self.proxy.records);
        let record = Arc::new(records.open(&self.call, &key, rand::rng().random()));
        let result = match records.acquire(&record).await {
            LedgerResult::Acquired | LedgerResult::Finished => {
                let (id, deadline) = (self.id, record.send_deadline());
                let _ = self
                    .proxy
                    .decide(move |coordinator| coordinator.set_send_deadline(id, deadline))
                    .await;
                self.record = Some(record);
                RecordResult::Acquired
            }
            LedgerResult::Replay(stored) => {
                *response = Some(replayed_response(stored));
                RecordResult::Replayed
            }
            LedgerResult::Blocked(_) => RecordResult::Blocked,
            LedgerResult::KeyReused => RecordResult::KeyReused,
            LedgerResult::Unavailable => {
                records.release(record);
                RecordResult::Unavailable
            }
        };
        self.handle_event(Event::Recorded(result)).await
    }

    async fn send(
        &mut self,
        accepted: &mut AcceptedCall,
        resume_from: ChunkIndex,
        open: &mut Option<OpenStream>,
        response: &mut ResponseSlot,
    ) -> Option<Action> {
        let id = self.id;
        let attempt =
            match self.proxy.decide(move |coordinator| coordinator.begin_attempt(id)).await {
                Ok(SendDecision::Send(attempt)) => attempt,
                Ok(SendDecision::NoTarget(attempt)) => {
                    return self.handle_attempt_event(attempt, Event::NotSent).await;
                }
                Ok(SendDecision::Stale) | Err(_) => return None,
            };
        let attempt_id = attempt.id;
        let (proxy, call) = (Arc::clone(&self.proxy), Arc::clone(&self.call));
        let gate =
            Arc::new(AttemptGate { proxy: Arc::clone(&proxy), call: id, attempt: attempt_id });
        let (rank, idempotent, stall_timeout) =
            (accepted.rank, accepted.idempotent, accepted.stall_timeout);
        let sending = async move {
            match upstream_call(&call, attempt, rank, idempotent, stall_timeout, resume_from) {
                UpstreamCall::Generate(call) => {
                    proxy.interfaces.engine.generate(call, gate).await.map(UpstreamReply::Stream)
                }
                UpstreamCall::Plain(call) => {
                    proxy.interfaces.service.call(call, gate).await.map(UpstreamReply::Response)
                }
            }
        };
        let send_timeout = if idempotent { stall_timeout } else { stall_timeout * 2 };
        let sending = timeout(send_timeout, sending);
        tokio::pin!(sending);
        let mut goes_on_alone = false;
        loop {
            tokio::select! {
                sent = &mut sending => {
                    let event = send_result_event(sent, attempt_id, open, response);
                    return self.handle_attempt_event(attempt_id, event).await;
                }
                action = accepted.actions.recv() => return action,
                () = self.outputs.closed(), if !self.caller_gone && !goes_on_alone => {
                    match self.handle_event(Event::CallerGone).await {
                        // The body was released, so the upstream may have begun to run the call.
                        Action::Nothing => goes_on_alone = true,
                        action => {
                            self.caller_gone = true;
                            return Some(action);
                        }
                    }
                }
            }
        }
    }

    async fn next_items(
        &mut self,
        accepted: &mut AcceptedCall,
        open: &mut Option<OpenStream>,
    ) -> Option<Action> {
        let OpenStream { attempt, stream } = open.as_mut()?;
        let attempt = *attempt;
        tokio::select! {
            items = timeout(accepted.stall_timeout, stream.next()) => {
                let event = match items {
                    Ok(Ok(items)) if items.is_empty() => Event::Lost,
                    Ok(Ok(items)) => Event::StreamItems(items.into_iter().map(to_item).collect()),
                    Ok(Err(_)) => Event::Lost,
                    Err(_) => Event::Stalled,
                };
                self.handle_attempt_event(attempt, event).await
            }
            action = accepted.actions.recv() => action,
            () = self.outputs.closed(), if !self.caller_gone => {
                self.caller_gone = true;
                Some(self.handle_event(Event::CallerGone).await)
            }
        }
    }

    async fn output(&self, output: Output) {
        let _ = timeout(CALLER_READ_TIMEOUT, self.outputs.send(output)).await;
    }

    fn record_success(&self, time_to_first_chunk: Option<Duration>) {
        let client = &self.proxy.interfaces.metrics;
        metrics::record_answered(client, &self.call.service, time_to_first_chunk);
        logs::event("call_answered")
            .with("call", self.id)
            .with("caller", &self.call.caller)
            .with("service", &self.call.service)
            .debug();
    }

    async fn deliver(&mut self, texts: Vec<String>, finish_reason: Option<String>) {
        if !texts.is_empty() {
            let now = self.proxy.interfaces.clock.now();
            self.time_to_first_chunk.get_or_insert(now.saturating_duration_since(self.started_at));
            self.output(Output::Text(texts)).await;
        }
        if let Some(reason) = finish_reason {
            self.record_success(self.time_to_first_chunk);
            self.output(Output::End(reason)).await;
        }
    }

    async fn respond(self, response: ResponseSlot) {
        let Some(response) = response else { return };
        if let Some(record) = &self.record {
            self.proxy.records.store_response(Arc::clone(record), &response).await;
        }
        self.record_success(None);
        self.output(Output::Response(response)).await;
    }

    async fn fail(self, failure: Failure) {
        if let Some(record) = &self.record
            && failure.outcome == Outcome::NotRun
        {
            self.proxy.records.release(Arc::clone(record));
        }
        metrics::record_failed(&self.proxy.interfaces.metrics, &self.call.service, &failure);
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

/// Request to an upstream.
enum UpstreamCall {
    Generate(GenerateRequest),
    Plain(PlainCall),
}

/// Response of an upstream.
enum UpstreamReply {
    Stream(Box<dyn ResponseStream>),
    Response(PlainResponse),
}

fn upstream_call(
    call: &Call,
    attempt: Attempt,
    rank: Rank,
    idempotent: bool,
    stall_timeout: Duration,
    resume_from: ChunkIndex,
) -> UpstreamCall {
    match &call.payload {
        Payload::Model { path, body, .. } => {
            let (group, epoch) = attempt.target.group.unwrap_or_default();
            UpstreamCall::Generate(GenerateRequest {
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
        Payload::Plain { method, path, content_type, body } => UpstreamCall::Plain(PlainCall {
            address: attempt.target.address,
            method: method.clone(),
            path: path.clone(),
            content_type: content_type.clone(),
            body: body.clone(),
            idempotency_key: call.key.clone(),
            attempt: attempt.id,
            new_connection: !idempotent,
            timeout: stall_timeout,
        }),
    }
}

fn send_result_event(
    sent: Result<Result<UpstreamReply, UpstreamError>, tokio::time::error::Elapsed>,
    attempt: AttemptId,
    open: &mut Option<OpenStream>,
    response: &mut ResponseSlot,
) -> Event {
    match sent {
        Ok(Ok(UpstreamReply::Stream(stream))) => {
            *open = Some(OpenStream { attempt, stream });
            Event::Accepted
        }
        Ok(Ok(UpstreamReply::Response(reply))) => {
            *response = Some(reply);
            Event::ResponseReceived
        }
        Ok(Err(UpstreamError::NotSent)) => Event::NotSent,
        Ok(Err(UpstreamError::Rejected { .. })) => Event::Rejected,
        Ok(Err(_)) => Event::Lost,
        Err(_) => Event::Stalled,
    }
}

fn to_item(item: engine::StreamItem) -> StreamItem {
    match item {
        engine::StreamItem::Chunk(engine::Chunk { attempt, index, text }) => {
            StreamItem::Chunk { attempt, index, text }
        }
        engine::StreamItem::End { attempt, chunks, finish_reason } => {
            StreamItem::End { attempt, chunks, finish_reason }
        }
    }
}
