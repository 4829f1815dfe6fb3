//! Event streams to clients, which fail over to another upstream when one is lost.

use {
    crate::{
        attempts::Attempts,
        in_flight::Stage,
        interfaces::{EventChunk, ResponseBody, SendError},
        load::UpstreamOutcome,
        proxy::{Permit, Proxy, RequestContext, STALL_CHECK, outcome_of},
    },
    bytes::Bytes,
    derive_more::Error,
    displaydoc::Display,
    http::StatusCode,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::timeout,
    turmerictack_model::ids::EventPosition,
    turmerictack_telemetry::logs,
};

/// Reason why a stream ended before its last event.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Error)]
pub enum StreamError {
    /// the upstream was lost and the stream could not be resumed
    UpstreamLost,
    /// the deadline passed before the response was complete
    DeadlineExceeded,
}

/// Response body at an upstream, with the permit for its slot.
pub(crate) struct ActiveStream {
    pub(crate) permit: Permit,
    pub(crate) body: Box<dyn ResponseBody>,
}

/// Event stream to a client; dropping it cancels the request at the upstream.
pub struct EventStream {
    proxy: Arc<Proxy>,
    context: RequestContext,
    attempts: Attempts,
    active: Option<ActiveStream>,
    buffered: Option<Bytes>,
    last_event: Option<EventPosition>,
    last_progress: Instant,
    /// Whether the stream was resumed and no event has arrived since.
    awaits_resumed_events: bool,
}

/// Events of a chunk, compared with those that the client already has.
enum Accepted {
    /// The client has none of them.
    New(Bytes),
    /// The client has all of them.
    Known,
    /// The client has some of them.
    Overlapping,
}

impl EventStream {
    pub(crate) fn start(
        proxy: Arc<Proxy>,
        context: RequestContext,
        attempts: Attempts,
        mut active: ActiveStream,
        first: EventChunk,
    ) -> Self {
        active.permit.set_waiting(false);
        let last_progress = proxy.clock.now();
        let last_event = first.last_event.or(context.request.resume_after);
        let buffered = Some(first.bytes);
        context.in_flight.update(|r| {
            r.stage = Stage::Streaming;
            r.last_event = last_event;
        });
        Self {
            proxy,
            context,
            attempts,
            active: Some(active),
            buffered,
            last_event,
            last_progress,
            awaits_resumed_events: false,
        }
    }

    /// Waits for the next events; returns `None` at the proper end of the stream.
    ///
    /// # Errors
    /// The stream ended early and is incomplete.
    pub async fn next(&mut self) -> Result<Option<Bytes>, StreamError> {
        if let Some(first) = self.buffered.take() {
            return Ok(Some(first));
        }
        self.set_waiting(true);
        let next = self.next_unseen().await;
        if matches!(next, Ok(Some(_))) {
            self.set_waiting(false);
        }
        next
    }

    /// Records whether the stream waits for its upstream, and not for its client to read.
    fn set_waiting(&mut self, is_waiting: bool) {
        if let Some(active) = &mut self.active {
            active.permit.set_waiting(is_waiting);
        }
    }

    /// Waits for events that the client does not have yet.
    async fn next_unseen(&mut self) -> Result<Option<Bytes>, StreamError> {
        loop {
            let now = self.proxy.clock.now();
            let remaining = self.context.deadline.saturating_duration_since(now);
            if remaining.is_zero() {
                return Err(self.abort(StreamError::DeadlineExceeded));
            }
            if self.active.is_none() {
                return Err(StreamError::UpstreamLost);
            }
            let Some(received) = self.receive(remaining.min(STALL_CHECK)).await else { continue };
            match received {
                Ok(Some(events)) => match self.accept(events) {
                    Accepted::New(bytes) => return Ok(Some(bytes)),
                    Accepted::Known => {}
                    // They can't be told apart any more, so another upstream has to go on.
                    Accepted::Overlapping => {
                        let error = SendError::InvalidResponse;
                        self.fail_over(outcome_of(&error)).await?;
                    }
                },
                // An upstream that resumes a stream without any event may have failed itself, so the
                // stream can't be taken for complete.
                Ok(None) if self.awaits_resumed_events => {
                    self.handle_failure(&SendError::ConnectionLost).await?;
                }
                Ok(None) => {
                    self.finish();
                    return Ok(None);
                }
                Err(error) => self.handle_failure(&error).await?,
            }
        }
    }

    /// Waits for events for a while; `None` if none have arrived.
    async fn receive(&mut self, limit: Duration) -> Option<Result<Option<EventChunk>, SendError>> {
        let active = self.active.as_mut()?;
        match timeout(limit, active.body.next_events()).await {
            Ok(received) => Some(received),
            Err(_) if self.should_leave() => self.replace_upstream().await,
            Err(_) => None,
        }
    }

    async fn handle_failure(&mut self, error: &SendError) -> Result<(), StreamError> {
        if let Some(active) = &self.active {
            let upstream = Arc::clone(&active.permit.upstream);
            self.proxy.record_send_failure(&self.context, &self.attempts, &upstream, error).await;
        }
        self.fail_over(outcome_of(error)).await
    }

    /// Whether the upstream is silent, and another should take the stream over.
    fn should_leave(&self) -> bool {
        let Some(active) = &self.active else { return false };
        let gap = self.proxy.clock.now().saturating_duration_since(self.last_progress);
        let has_stalled = gap >= self.context.max_event_gap();
        let upstream = &active.permit.upstream;
        self.proxy.should_leave(&self.context, upstream, &self.attempts, has_stalled)
    }

    /// Lets another upstream take the stream over, unless the silent one goes on first; returns what
    /// has been received. The stream stays where it is if no other upstream sends events.
    async fn replace_upstream(&mut self) -> Option<Result<Option<EventChunk>, SendError>> {
        let silent = self.active.as_mut()?;
        // It may still succeed, but no other upstream may execute the request in its place.
        self.attempts.record_execution(&silent.permit.upstream.instance);
        let (received, taken_over) = {
            let taking_over =
                self.proxy.take_over(&self.context, &mut self.attempts, self.last_event);
            tokio::pin!(taking_over);
            tokio::select! {
                biased;
                received = silent.body.next_events() => match received {
                    Err(error) => (Some(Err(error)), taking_over.await),
                    received => (Some(received), None),
                },
                taken_over = &mut taking_over => (None, taken_over),
            }
        };
        let Some((next, events)) = taken_over else {
            self.attempts.abandon_pending();
            return received;
        };
        self.leave(received.and_then(Result::err)).await;
        self.go_on_with(next);
        Some(Ok(Some(events)))
    }

    /// Gives the current upstream up, because its connection was lost or it has stalled.
    async fn leave(&mut self, loss: Option<SendError>) {
        let Some(active) = self.active.take() else { return };
        let upstream = Arc::clone(&active.permit.upstream);
        drop(active.body);
        let outcome = match &loss {
            Some(error) => {
                self.proxy
                    .record_send_failure(&self.context, &self.attempts, &upstream, error)
                    .await;
                outcome_of(error)
            }
            None => {
                self.proxy.record_stall(&self.context, &upstream);
                UpstreamOutcome::Stalled
            }
        };
        active.permit.release(outcome);
    }

    /// Records progress, and compares events with those that the client already has.
    fn accept(&mut self, events: EventChunk) -> Accepted {
        let now = self.proxy.clock.now();
        let Some(active) = &self.active else { return Accepted::Known };
        self.proxy.record_answer(&self.context, &mut self.attempts);
        let gap = now.saturating_duration_since(self.last_progress);
        self.last_progress = now;
        let key = active.permit.upstream.key;
        self.proxy.tables.balancer.lock().loads.record_progress(now, key, Some(gap));
        if events.last_event.is_some() && events.last_event <= self.last_event {
            return Accepted::Known;
        }
        if events.first_event.is_some() && events.first_event <= self.last_event {
            return Accepted::Overlapping;
        }
        self.last_event = events.last_event.or(self.last_event);
        self.context.in_flight.update(|r| r.last_event = self.last_event);
        self.awaits_resumed_events = false;
        Accepted::New(events.bytes)
    }

    /// Resumes the stream at another upstream or ends it.
    async fn fail_over(&mut self, outcome: UpstreamOutcome) -> Result<(), StreamError> {
        let Some(active) = self.active.take() else { return Err(StreamError::UpstreamLost) };
        self.attempts.record_execution(&active.permit.upstream.instance);
        drop(active.body);
        active.permit.release(outcome);
        if !self.context.route.is_retryable() {
            return Err(self.abort(StreamError::UpstreamLost));
        }
        match self.proxy.resume(&self.context, &mut self.attempts, self.last_event).await {
            Some(next) => {
                self.go_on_with(next);
                Ok(())
            }
            None => Err(self.abort(StreamError::UpstreamLost)),
        }
    }

    fn go_on_with(&mut self, next: ActiveStream) {
        logs::event("stream_resumed")
            .with("request", &self.context.request.id)
            .with("upstream", &next.permit.upstream.instance)
            .with("after_event", self.last_event.unwrap_or(0))
            .info();
        self.active = Some(next);
        self.awaits_resumed_events = true;
        self.last_progress = self.proxy.clock.now();
    }

    fn finish(&mut self) {
        if let Some(active) = self.active.take() {
            active.permit.record_duration();
            active.permit.release(UpstreamOutcome::Success);
        }
        self.proxy.record_answer(&self.context, &mut self.attempts);
        self.proxy.record_served(&self.context, &self.attempts, StatusCode::OK);
    }

    fn abort(&mut self, cause: StreamError) -> StreamError {
        self.active = None;
        logs::event("stream_aborted")
            .with("request", &self.context.request.id)
            .with("route", &self.context.route.id)
            .with("cause", cause)
            .with("last_event", self.last_event.unwrap_or(0))
            .with("sends", self.attempts.sends())
            .info();
        cause
    }
}
