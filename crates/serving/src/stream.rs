//! A stream of events towards a caller, which goes on at another upstream when one breaks off.

use {
    crate::{
        attempts::Attempts,
        borders::{Body, Events},
        desk::{Desk, Job, Permit, STALL_CHECK, verdict_of},
        load::Verdict,
    },
    bytes::Bytes,
    derive_more::Error,
    displaydoc::Display,
    http::StatusCode,
    std::{sync::Arc, time::Instant},
    tokio::time::timeout,
    turmerictack_model::ids::EventPosition,
    turmerictack_telemetry::logs,
};

/// Why a stream ended before its last event.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Error)]
pub enum StreamCut {
    /// the upstream broke off and none could go on
    UpstreamLost,
    /// the time for the whole answer is over
    Deadline,
}

/// A stream that an upstream sends.
pub(crate) struct Running {
    pub(crate) permit: Permit,
    pub(crate) body: Box<dyn Body>,
}

/// Events on their way to a caller; dropping it cancels the request at the upstream.
pub struct EventStream {
    desk: Arc<Desk>,
    job: Job,
    attempts: Attempts,
    running: Option<Running>,
    buffered: Option<Bytes>,
    last: Option<EventPosition>,
    moved: Instant,
}

impl EventStream {
    pub(crate) fn begin(
        desk: Arc<Desk>,
        job: Job,
        attempts: Attempts,
        running: Running,
        first: Events,
    ) -> Self {
        let moved = desk.clock.now();
        let last = first.last.or(job.request.resume_after);
        let buffered = Some(first.bytes);
        Self { desk, job, attempts, running: Some(running), buffered, last, moved }
    }

    /// Next events, or nothing at the proper end of the stream.
    ///
    /// # Errors
    /// The stream ends here, and is not whole.
    pub async fn next(&mut self) -> Result<Option<Bytes>, StreamCut> {
        if let Some(first) = self.buffered.take() {
            return Ok(Some(first));
        }
        loop {
            let now = self.desk.clock.now();
            let left = self.job.deadline.saturating_duration_since(now);
            if left.is_zero() {
                return Err(self.cut(StreamCut::Deadline));
            }
            let Some(running) = &mut self.running else {
                return Err(StreamCut::UpstreamLost);
            };
            match timeout(left.min(STALL_CHECK), running.body.events()).await {
                Ok(Ok(Some(events))) => {
                    if let Some(bytes) = self.accept(events) {
                        return Ok(Some(bytes));
                    }
                }
                Ok(Ok(None)) => {
                    self.finish();
                    return Ok(None);
                }
                Ok(Err(error)) => {
                    let target = Arc::clone(&running.permit.target);
                    self.desk.note_failed_send(&self.job, &target, &error);
                    self.go_on(verdict_of(&error), false).await?;
                }
                Err(_) => {
                    let target = Arc::clone(&running.permit.target);
                    if self.desk.may_leave_stalled(&self.job, &target, &self.attempts) {
                        self.go_on(Verdict::Neutral, true).await?;
                    }
                }
            }
        }
    }

    /// Takes events in; drops those that the caller already has.
    fn accept(&mut self, events: Events) -> Option<Bytes> {
        let now = self.desk.clock.now();
        let running = self.running.as_ref()?;
        let gap = now.saturating_duration_since(self.moved);
        self.moved = now;
        let key = running.permit.target.key;
        self.desk.tables.placing.lock().loads.moved(now, key, Some(gap));
        if events.last.is_some() && events.last <= self.last {
            return None;
        }
        self.last = events.last.or(self.last);
        Some(events.bytes)
    }

    /// Goes on at another upstream, or ends the stream; `is_paid` when a repeat was taken.
    async fn go_on(&mut self, verdict: Verdict, is_paid: bool) -> Result<(), StreamCut> {
        let Some(running) = self.running.take() else { return Err(StreamCut::UpstreamLost) };
        self.attempts.ran(&running.permit.target.instance);
        drop(running.body);
        running.permit.conclude(verdict);
        if !self.job.route.is_repeatable() {
            return Err(self.cut(StreamCut::UpstreamLost));
        }
        match self.desk.resume(&self.job, &mut self.attempts, self.last, is_paid).await {
            Some(next) => {
                logs::event("stream_resumed")
                    .with("request", &self.job.request.id)
                    .with("upstream", &next.permit.target.instance)
                    .with("after_event", self.last.unwrap_or(0))
                    .info();
                self.running = Some(next);
                Ok(())
            }
            None => Err(self.cut(StreamCut::UpstreamLost)),
        }
    }

    fn finish(&mut self) {
        if let Some(running) = self.running.take() {
            running.permit.conclude(Verdict::Served);
        }
        self.desk.note_served(&self.job, &self.attempts, StatusCode::OK);
    }

    fn cut(&mut self, cause: StreamCut) -> StreamCut {
        self.running = None;
        logs::event("stream_cut")
            .with("request", &self.job.request.id)
            .with("route", &self.job.route.id)
            .with("cause", cause)
            .with("last_event", self.last.unwrap_or(0))
            .with("sends", self.attempts.sends())
            .info();
        cause
    }
}
