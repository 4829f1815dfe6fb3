//! Permits to send to an upstream, and the wait for one.

use {
    super::{MIN_RETRY_AFTER, Proxy, QUARANTINE_RETRY_AFTER, RequestContext},
    crate::{
        attempts::{Attempts, SendRecord},
        directory::{PoolKey, Upstream},
        in_flight::Stage,
        load::UpstreamOutcome,
        queue::{SchedulingParams, Ticket, wait_deadline},
        rejection::{Reason, Rejection},
        tables::{Placement, Tables},
    },
    cadence::Counted as _,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{sync::oneshot, time::sleep_until},
    turmerictack_model::clock::Clock,
};

/// Retry delay suggested to clients if all upstreams are evacuated; groups elsewhere take some seconds
/// to form.
const EVACUATED_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Estimated age above which a request counts as a retry by the client.
const MIN_CLIENT_RETRY_AGE: Duration = Duration::from_millis(100);

/// A slot at an upstream; dropping the permit releases it.
pub(crate) struct Permit {
    tables: Arc<Tables>,
    clock: Arc<dyn Clock>,
    pool: PoolKey,
    pub(crate) upstream: Arc<Upstream>,
    outcome: UpstreamOutcome,
    /// Whether the request waits for its upstream, and not for its client to read.
    is_waiting: bool,
    acquired_at: Instant,
    /// Prompt tokens that the upstream has to read before the first event.
    unread_tokens: u32,
}

impl Permit {
    /// Records the time from the permit to the first event or the complete response.
    pub(super) fn record_response(&mut self) {
        let now = self.clock.now();
        let elapsed = now.saturating_duration_since(self.acquired_at);
        let unread_tokens = std::mem::take(&mut self.unread_tokens);
        let mut balancer = self.tables.balancer.lock();
        let usual = balancer.response_times.median(&self.pool);
        balancer.loads.record_response(now, self.upstream.key, elapsed, usual);
        balancer.response_times.record(&self.pool, elapsed);
        balancer.loads.record_prompt_read(self.upstream.key, unread_tokens);
        drop(balancer);
        self.tables.paths.lock().record_response(now, &self.upstream.instance);
    }

    /// Records the time from the permit to the end of the response.
    pub(crate) fn record_duration(&self) {
        let elapsed = self.clock.now().saturating_duration_since(self.acquired_at);
        self.tables.balancer.lock().response_durations.record(&self.pool, elapsed);
    }

    /// Records whether the request waits for its upstream, and not for its client to read.
    pub(crate) fn set_waiting(&mut self, is_waiting: bool) {
        if self.is_waiting != is_waiting {
            self.is_waiting = is_waiting;
            let now = self.clock.now();
            self.tables.balancer.lock().loads.record_wait(now, self.upstream.key, is_waiting);
        }
    }

    pub(crate) fn release(mut self, outcome: UpstreamOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.set_waiting(true);
        let now = self.clock.now();
        let outcome = self.tables.outcome_on_path(&self.upstream.instance, self.outcome);
        {
            let mut balancer = self.tables.balancer.lock();
            balancer.loads.record_prompt_read(self.upstream.key, self.unread_tokens);
            balancer.loads.release(now, self.upstream.key, outcome);
        }
        self.tables.dispatch_waiting(now, &self.pool);
    }
}

impl Proxy {
    /// Acquires a slot at an upstream, waiting in the queue if necessary.
    ///
    /// A request that was quarantined in the meantime, by itself or for its prompt, is rejected, and
    /// so is one whose API key was revoked or may have been, or whose response would not be complete
    /// before the end of a shutdown. A slot whose data centre was evacuated in the meantime is given
    /// back for another one.
    pub(crate) async fn acquire_permit(
        &self,
        context: &RequestContext,
        attempts: &Attempts,
    ) -> Result<Permit, Rejection> {
        loop {
            let permit = self.wait_for_permit(context, attempts).await?;
            self.check_send(context, attempts)?;
            if !self.tables.is_evacuated(&permit.upstream.data_centre) {
                return Ok(permit);
            }
            self.give_back(permit);
        }
    }

    /// Gives back a slot that was not used.
    fn give_back(&self, permit: Permit) {
        let now = self.clock.now();
        self.tables.balancer.lock().loads.allowances.cancel_send(now, &permit.upstream);
    }

    /// Rejects a request that may not be sent now, whatever the load of the upstreams.
    pub(super) fn check_send(
        &self,
        context: &RequestContext,
        attempts: &Attempts,
    ) -> Result<(), Rejection> {
        self.latest_send(context, attempts)?;
        if self.is_quarantined(&context.route, context.account.as_ref(), &context.request) {
            let reason = Reason::Quarantined;
            return Err(rejection_after(attempts, reason, QUARANTINE_RETRY_AFTER));
        }
        match self.key_objection(context) {
            None => Ok(()),
            Some(reason) if attempts.may_have_executed() => Err(Rejection::unknown(reason)),
            Some(Reason::UnknownKey) => Err(Rejection::invalid(Reason::UnknownKey)),
            Some(reason) => Err(Rejection::not_executed(reason, MIN_RETRY_AFTER)),
        }
    }

    pub(super) fn scheduling_params(
        &self,
        now: Instant,
        context: &RequestContext,
        attempts: &Attempts,
    ) -> SchedulingParams {
        let elapsed = context.prior_elapsed();
        let is_client_retry = elapsed > MIN_CLIENT_RETRY_AGE;
        let received_at = context.request.received_at;
        let median_response = self.tables.balancer.lock().response_times.median(&context.pool);
        let dispatch_by = received_at.checked_sub(elapsed).unwrap_or(received_at)
            + context.route.latency_target.saturating_sub(median_response);
        let is_resumption = attempts.first_event().is_some();
        // A response that has begun can't be rejected any more.
        let expires_at = if is_resumption {
            context.deadline
        } else {
            wait_deadline(now, context.deadline, is_client_retry)
        };
        SchedulingParams {
            priority: context.priority(),
            is_client_retry,
            is_resumption,
            dispatch_by,
            expires_at,
            prompt_tokens: context.request.prompt_tokens,
        }
    }

    async fn wait_for_permit(
        &self,
        context: &RequestContext,
        attempts: &Attempts,
    ) -> Result<Permit, Rejection> {
        let now = self.clock.now();
        let latest_send = self.latest_send(context, attempts)?;
        let mut params = self.scheduling_params(now, context, attempts);
        params.expires_at = params.expires_at.min(latest_send);
        let excluded = attempts.failed_upstreams();
        let placement = self.tables.place(now, &context.pool, params, excluded, &self.data_centre);
        let (ticket, assigned) = match placement {
            Placement::Assigned(upstream) => return Ok(self.permit(context, upstream)),
            Placement::Queued(ticket, assigned) => (ticket, assigned),
            Placement::WaitTooLong(wait) => {
                let is_limited = self.tables.is_rate_limited(now, &context.pool, excluded);
                let reason = if is_limited { Reason::RateLimited } else { Reason::PredictedWait };
                return Err(rejection_after(attempts, reason, wait));
            }
            Placement::Unavailable => {
                let reason =
                    if excluded.is_empty() { Reason::QueueFull } else { Reason::UpstreamsRejected };
                return Err(rejection_after(attempts, reason, MIN_RETRY_AFTER));
            }
            Placement::Evacuated => return Err(evacuated(attempts)),
        };
        let mut queued = QueuedRequest { proxy: self, context, ticket, assigned };
        loop {
            let began = self.tables.shutdown_began.notified();
            tokio::pin!(began);
            began.as_mut().enable();
            let expires_at = params.expires_at.min(self.latest_send(context, attempts)?);
            tokio::select! {
                biased;
                assigned = queued.assignment(expires_at) => return match assigned {
                    Assignment::Upstream(upstream) => Ok(self.permit(context, upstream)),
                    Assignment::Evacuated => Err(evacuated(attempts)),
                    Assignment::TimedOut => {
                        let wait = expires_at.saturating_duration_since(now);
                        Err(rejection_after(attempts, Reason::QueueTimeout, wait))
                    }
                },
                () = began => {}
            }
        }
    }

    /// Latest time at which a request may be sent.
    pub(super) fn latest_send(
        &self,
        context: &RequestContext,
        attempts: &Attempts,
    ) -> Result<Instant, Rejection> {
        let Some(shutdown) = self.shutdown_for(attempts) else { return Ok(context.deadline) };
        let longest = self.tables.balancer.lock().response_durations.longest(&context.pool);
        shutdown
            .latest_send(self.clock.now(), context.deadline, longest)
            .ok_or_else(|| rejection_after(attempts, Reason::Stopping, MIN_RETRY_AFTER))
    }

    pub(super) fn record_send(
        &self,
        context: &RequestContext,
        attempts: &mut Attempts,
        permit: &Permit,
    ) {
        let instance = &permit.upstream.instance;
        if self.tables.balancer.lock().loads.paces.limit(permit.upstream.key).is_some() {
            let _ = self.metrics.count("sends.paced", 1);
        }
        attempts.record_send(SendRecord {
            instance: instance.clone(),
            in_flight: self.tables.balancer.lock().loads.in_flight(permit.upstream.key),
            elapsed: self.clock.now().saturating_duration_since(context.request.received_at),
        });
        context.in_flight.update(|r| {
            r.upstream = Some(instance.clone());
            if r.stage == Stage::Queued {
                r.stage = Stage::Sent;
            }
        });
    }

    fn permit(&self, context: &RequestContext, upstream: Arc<Upstream>) -> Permit {
        Permit {
            tables: Arc::clone(&self.tables),
            clock: Arc::clone(&self.clock),
            pool: context.pool.clone(),
            upstream,
            outcome: UpstreamOutcome::Inconclusive,
            is_waiting: true,
            acquired_at: self.clock.now(),
            unread_tokens: context.request.prompt_tokens,
        }
    }
}

/// End of the wait for a slot.
enum Assignment {
    /// A slot at an upstream.
    Upstream(Arc<Upstream>),
    /// All upstreams are in evacuated data centres.
    Evacuated,
    /// There was no slot in time.
    TimedOut,
}

/// A request in the queue.
///
/// Dropping it, for example when its client disconnects, removes it from the queue and releases a
/// slot that was assigned in the meantime.
struct QueuedRequest<'a> {
    proxy: &'a Proxy,
    context: &'a RequestContext,
    ticket: Ticket,
    assigned: oneshot::Receiver<Arc<Upstream>>,
}

impl QueuedRequest<'_> {
    /// Waits for a slot at an upstream.
    async fn assignment(&mut self, expires_at: Instant) -> Assignment {
        tokio::select! {
            biased;
            assigned = &mut self.assigned => {
                assigned.map_or(Assignment::Evacuated, Assignment::Upstream)
            }
            () = sleep_until(expires_at.into()) => Assignment::TimedOut,
        }
    }
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        self.proxy.tables.cancel_wait(&self.context.pool, self.ticket);
        // Nothing is assigned once the request has left the queue.
        if let Ok(upstream) = self.assigned.try_recv() {
            self.proxy.give_back(self.proxy.permit(self.context, upstream));
        }
    }
}

fn evacuated(attempts: &Attempts) -> Rejection {
    rejection_after(attempts, Reason::Evacuated, EVACUATED_RETRY_AFTER)
}

fn rejection_after(attempts: &Attempts, reason: Reason, wait: Duration) -> Rejection {
    if attempts.may_have_executed() {
        Rejection::unknown(reason)
    } else {
        Rejection::not_executed(reason, wait)
    }
}
