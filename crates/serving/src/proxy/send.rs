//! Sends requests to upstreams and handles responses, failures and stalls.

use {
    super::{Proxy, RequestContext, STALL_CHECK, permit::Permit},
    crate::{
        attempts::{Attempts, NextStep},
        directory::Upstream,
        interfaces::{ResponseBody, SendError, UpstreamNotice, UpstreamResponse},
        load::{OVERLOAD_COOLDOWN, UNREACHABLE_COOLDOWN, UpstreamOutcome},
        rejection::Reason,
        request::{Reply, ResponseHead},
        stream::{ActiveStream, EventStream},
    },
    bytes::Bytes,
    cadence::Counted as _,
    std::sync::Arc,
    tokio::time::timeout,
    turmerictack_model::ids::EventPosition,
    turmerictack_telemetry::logs,
};

/// Result of a send.
pub(super) enum SendResult {
    Responded(UpstreamResponse),
    Failed(SendError),
    Stalled,
    DeadlineExceeded,
}

impl Proxy {
    /// Takes one retry from the budget; returns `false` if it is exhausted.
    pub(crate) fn try_acquire_retry(&self, context: &RequestContext) -> bool {
        let now = self.clock.now();
        let nodes = self.tables.peers.lock().live_count(now);
        self.tables.retry_budget.lock().try_acquire(now, &context.pool.0, nodes)
    }

    /// Sends a request and waits for the response head.
    pub(super) async fn send(
        &self,
        context: &RequestContext,
        upstream: &Upstream,
        attempts: &Attempts,
        resume_after: Option<EventPosition>,
    ) -> SendResult {
        let now = self.clock.now();
        if self.tables.balancer.lock().loads.allowances.is_cold(now, &upstream.run()) {
            let _ = self.metrics.count("sends.cold", 1);
        }
        let upstream_request = context.upstream_request(resume_after);
        let mut pending_response =
            self.upstream_client.send(&upstream.instance, &upstream.address, upstream_request);
        let may_fail_over = context.route.is_streaming && context.route.is_retryable();
        loop {
            let remaining = self.remaining_time(context, attempts);
            if remaining.is_zero() {
                return SendResult::DeadlineExceeded;
            }
            match timeout(remaining.min(STALL_CHECK), &mut pending_response).await {
                Ok(report) => {
                    self.apply_notice(upstream, report.notice);
                    return match report.result {
                        Ok(response) => SendResult::Responded(response),
                        Err(error) => SendResult::Failed(error),
                    };
                }
                Err(_) if may_fail_over && self.try_leave_stalled(context, upstream, attempts) => {
                    return SendResult::Stalled;
                }
                Err(_) => {}
            }
        }
    }

    /// Applies what an upstream stated about itself.
    fn apply_notice(&self, upstream: &Upstream, notice: UpstreamNotice) {
        let now = self.clock.now();
        if let Some(pause) = notice.pause {
            self.tables.balancer.lock().loads.pause(now, upstream, pause);
            logs::event("upstream_paused")
                .with("upstream", &upstream.instance)
                .with("pause_ms", pause.as_millis())
                .info();
        }
        if let Some(load) = notice.load {
            self.tables.balancer.lock().loads.record_stated_load(now, upstream.key, load);
        }
        self.tables.apply_stated_limit(now, upstream, notice.rate_limit);
        if notice.is_leaving && self.tables.mark_leaving(now, upstream) {
            self.upstream_client.close_idle_connections(&upstream.instance);
            logs::event("upstream_leaving").with("upstream", &upstream.instance).info();
        }
    }

    /// Whether to move a request away from a stalled upstream; if so, takes a retry from the
    /// budget.
    ///
    /// Without another healthy upstream or a retry in the budget, waiting longer is the better
    /// choice.
    pub(crate) fn try_leave_stalled(
        &self,
        context: &RequestContext,
        upstream: &Upstream,
        attempts: &Attempts,
    ) -> bool {
        let leave = self.should_leave(context, upstream, attempts, false)
            && self.try_acquire_retry(context);
        if leave {
            self.record_stall(context, upstream);
        }
        leave
    }

    /// Whether another upstream should take a request over; `has_stalled` if the stream of this
    /// request has stalled, whatever the others at the upstream do.
    pub(crate) fn should_leave(
        &self,
        context: &RequestContext,
        upstream: &Upstream,
        attempts: &Attempts,
        has_stalled: bool,
    ) -> bool {
        let now = self.clock.now();
        let excluded = attempts.failed_upstreams();
        let reserved_share = self.scheduling_params(now, context, attempts).reserved_share(now);
        attempts.can_fail_over()
            && self.check_send(context, attempts).is_ok()
            && self.tables.should_fail_over(
                now,
                &context.pool,
                upstream,
                excluded,
                reserved_share,
                has_stalled,
            )
    }

    pub(crate) fn record_stall(&self, context: &RequestContext, upstream: &Upstream) {
        let _ = self.metrics.count("streams.stalled", 1);
        logs::event("upstream_stalled")
            .with("request", &context.request.id)
            .with("upstream", &upstream.instance)
            .with("group", upstream.group.as_deref().unwrap_or("-"))
            .with("elapsed_ms", self.elapsed_ms(context))
            .info();
    }

    pub(super) fn after_stall(&self, attempts: &mut Attempts, upstream: &Upstream) -> NextStep {
        attempts.record_execution(&upstream.instance);
        NextStep::RetryPrepaid
    }

    /// Resumes an interrupted stream at another upstream, after the last delivered event.
    pub(crate) async fn resume(
        self: &Arc<Self>,
        context: &RequestContext,
        attempts: &mut Attempts,
        last_event: Option<EventPosition>,
    ) -> Option<ActiveStream> {
        let mut is_prepaid = false;
        while attempts.can_send_again() {
            let permit = self.acquire_permit(context, attempts).await.ok()?;
            if !is_prepaid && !self.try_acquire_retry(context) {
                return None;
            }
            is_prepaid = false;
            self.record_send(context, attempts, &permit);
            let upstream = Arc::clone(&permit.upstream);
            match self.send(context, &upstream, attempts, last_event).await {
                SendResult::Responded(response)
                    if response.is_success && response.may_be_events =>
                {
                    return Some(ActiveStream { permit, body: response.body });
                }
                SendResult::Responded(_) => {
                    permit.release(UpstreamOutcome::Failure);
                    attempts.record_execution(&upstream.instance);
                }
                SendResult::Failed(error) => {
                    self.record_send_failure(context, attempts, &upstream, &error).await;
                    permit.release(outcome_of(&error));
                    attempts.record_failure(&upstream.instance, &error);
                }
                SendResult::Stalled => {
                    permit.release(UpstreamOutcome::Stalled);
                    attempts.record_execution(&upstream.instance);
                    is_prepaid = true;
                }
                SendResult::DeadlineExceeded => return None,
            }
        }
        None
    }

    /// Waits for the first event; until then the request can fail over without the client noticing.
    pub(super) async fn start_stream(
        self: &Arc<Self>,
        context: &RequestContext,
        response: UpstreamResponse,
        mut permit: Permit,
        attempts: &mut Attempts,
    ) -> Result<Reply, NextStep> {
        let upstream = Arc::clone(&permit.upstream);
        let UpstreamResponse { head, mut body, .. } = response;
        loop {
            let remaining = self.remaining_time(context, attempts);
            if remaining.is_zero() {
                attempts.record_execution(&upstream.instance);
                return Err(NextStep::Fail(attempts.rejection(Reason::Deadline)));
            }
            match timeout(remaining.min(STALL_CHECK), body.next_events()).await {
                Ok(Ok(Some(first))) => {
                    let now = self.clock.now();
                    self.tables.balancer.lock().loads.record_progress(now, upstream.key, None);
                    permit.record_response();
                    self.record_first_event(context, attempts, now);
                    let active = ActiveStream { permit, body };
                    let events = EventStream::start(
                        Arc::clone(self),
                        context.clone_for_stream(),
                        attempts.clone(),
                        active,
                        first,
                    );
                    return Ok(Reply::Stream { head, events: Box::new(events) });
                }
                // A stream that is resumed after its last event has no events left.
                Ok(Ok(None)) if context.request.resume_after.is_some() => {
                    permit.release(UpstreamOutcome::Success);
                    self.record_answer(context, attempts);
                    self.record_served(context, attempts, head.status);
                    return Ok(Reply::Complete { head, body: Bytes::new() });
                }
                Ok(Ok(None)) => {
                    let error = SendError::ConnectionLost;
                    self.record_send_failure(context, attempts, &upstream, &error).await;
                    permit.release(outcome_of(&error));
                    return Err(attempts.record_failure(&upstream.instance, &error));
                }
                Ok(Err(error)) => {
                    self.record_send_failure(context, attempts, &upstream, &error).await;
                    permit.release(outcome_of(&error));
                    return Err(attempts.record_failure(&upstream.instance, &error));
                }
                Err(_)
                    if context.route.is_retryable()
                        && self.try_leave_stalled(context, &upstream, attempts) =>
                {
                    permit.release(UpstreamOutcome::Stalled);
                    return Err(self.after_stall(attempts, &upstream));
                }
                Err(_) => {}
            }
        }
    }

    /// Reads a complete response; a server error is kept in `failure` in case no retry succeeds.
    pub(super) async fn read_response(
        self: &Arc<Self>,
        context: &RequestContext,
        response: UpstreamResponse,
        mut permit: Permit,
        attempts: &mut Attempts,
        failure: &mut Option<(ResponseHead, Bytes)>,
    ) -> Result<Reply, NextStep> {
        let upstream = Arc::clone(&permit.upstream);
        let UpstreamResponse { head, is_success, mut body, .. } = response;
        let body = match self.read_body(context, attempts, body.as_mut()).await {
            Some(Ok(body)) => body,
            Some(Err(error)) => {
                self.record_send_failure(context, attempts, &upstream, &error).await;
                permit.release(outcome_of(&error));
                return Err(attempts.record_failure(&upstream.instance, &error));
            }
            None => {
                attempts.record_execution(&upstream.instance);
                return Err(NextStep::Fail(attempts.rejection(Reason::Deadline)));
            }
        };
        permit.record_response();
        permit.record_duration();
        let is_server_error = head.status.is_server_error();
        permit.release(if is_server_error {
            UpstreamOutcome::Failure
        } else {
            UpstreamOutcome::Success
        });
        if is_success || !is_server_error || !context.route.is_retryable() {
            self.record_served(context, attempts, head.status);
            return Ok(Reply::Complete { head, body });
        }
        *failure = Some((head, body));
        attempts.record_execution(&upstream.instance);
        let can_retry = attempts.can_send_again();
        Err(if can_retry {
            NextStep::Retry
        } else {
            NextStep::Fail(attempts.rejection(Reason::AttemptsUsed))
        })
    }

    /// Reads a complete body; `None` once the time for the response is over.
    async fn read_body(
        &self,
        context: &RequestContext,
        attempts: &Attempts,
        body: &mut dyn ResponseBody,
    ) -> Option<Result<Bytes, SendError>> {
        let mut reading = body.read_to_end();
        loop {
            // A shutdown that begins meanwhile leaves less time.
            let remaining = self.remaining_time(context, attempts);
            if remaining.is_zero() {
                return None;
            }
            if let Ok(result) = timeout(remaining.min(STALL_CHECK), &mut reading).await {
                return Some(result);
            }
        }
    }
}

/// What a failed send says about the health of its upstream.
pub(crate) fn outcome_of(error: &SendError) -> UpstreamOutcome {
    match error {
        SendError::NotSent | SendError::GroupBroken(_) | SendError::WrongInstance => {
            UpstreamOutcome::Cooldown(UNREACHABLE_COOLDOWN)
        }
        SendError::Overloaded => UpstreamOutcome::Cooldown(OVERLOAD_COOLDOWN),
        SendError::ConnectionLost => UpstreamOutcome::ConnectionLost,
        SendError::Abandoned | SendError::InvalidResponse => UpstreamOutcome::Inconclusive,
    }
}
