//! Takes requests from the front end to upstreams and returns the responses.

mod context;
mod crashes;
mod permit;
mod send;
mod take_over;
mod telemetry;

pub(crate) use self::{context::RequestContext, permit::Permit, send::outcome_of};

use {
    self::send::SendResult,
    crate::{
        attempts::{Attempts, NextStep},
        client_presence::ClientPresence,
        config::{Access, Account, Config, Route},
        config_state::KeyFreshness,
        directory::PoolKey,
        in_flight::{InFlightEntry, RequestInFlight, Stage},
        interfaces::UpstreamClient,
        load::UpstreamOutcome,
        rejection::{Reason, Rejection, retry_after},
        request::{Reply, Request, ResponseHead},
        shutdown::Shutdown,
        tables::Tables,
    },
    bytes::Bytes,
    cadence::StatsdClient,
    rand::RngExt as _,
    std::{sync::Arc, time::Duration},
    turmerictack_model::{clock::Clock, ids::DataCentre},
};

/// Retry delay suggested to clients of a node that has no configuration yet, or doesn't know yet which
/// data centres are evacuated.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Minimum retry delay suggested to clients.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Retry delay suggested to clients whose request or prompt is quarantined.
const QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Interval at which a request that waits for bytes checks whether its upstream is stalled.
pub(crate) const STALL_CHECK: Duration = Duration::from_millis(150);

/// Serves client requests.
pub struct Proxy {
    /// Shared tables.
    pub tables: Arc<Tables>,
    /// Client for upstream requests.
    pub upstream_client: Arc<dyn UpstreamClient>,
    /// Clock.
    pub clock: Arc<dyn Clock>,
    /// Metrics client.
    pub metrics: Arc<StatsdClient>,
    /// Data centre of this node.
    pub data_centre: DataCentre,
}

impl Proxy {
    /// Serves a request; the reply is an upstream response or a rejection.
    pub async fn serve(self: &Arc<Self>, request: Request) -> Reply {
        let (waiting_client, client) = ClientPresence::open();
        let context = match self.prepare(request, client) {
            Ok(context) => context,
            Err(rejected) => {
                let (request, rejection) = *rejected;
                self.record_rejection(&request, None, &rejection);
                return Reply::Rejected(rejection);
            }
        };
        self.tables.retry_budget.lock().record_request(self.clock.now(), &context.pool.0);
        // A client that disconnects drops this future, and so cancels the request. Nobody else can
        // use a stream, so that holds for those that may be executed once, too.
        if context.route.is_retryable() || context.route.is_streaming {
            return self.execute(context).await;
        }
        // Runs as a task of its own, so that a client disconnect does not abort a non-idempotent
        // request that was sent; it is not sent any more once the client has left.
        let proxy = Arc::clone(self);
        let reply = tokio::spawn(async move { proxy.execute(context).await }).await;
        drop(waiting_client);
        reply.unwrap_or_else(|_| Reply::Rejected(Rejection::unknown(Reason::UpstreamLost)))
    }

    /// Enters a request in the table of requests in flight.
    fn register(&self, request: &Request, route: &Route) -> Arc<InFlightEntry> {
        let entry = RequestInFlight {
            request: request.id.clone(),
            route: route.id.clone(),
            received_at: request.received_at,
            stage: Stage::Queued,
            upstream: None,
            last_event: None,
        };
        Arc::new(InFlightEntry::insert(&self.tables, entry))
    }

    fn prepare(
        &self,
        request: Request,
        client: ClientPresence,
    ) -> Result<RequestContext, Box<(Request, Rejection)>> {
        let is_unread = self.tables.directory.lock().evacuations().is_unread();
        let Some(config) = self.tables.config().filter(|_| !is_unread) else {
            let rejection =
                Rejection::not_executed(Reason::NotConfigured, UNCONFIGURED_RETRY_AFTER);
            return Err(Box::new((request, rejection)));
        };
        match self.resolve(&config, &request) {
            Ok((route, account, pool)) => {
                let client_timeout =
                    request.client_timeout.unwrap_or(route.timeout).min(route.timeout);
                let deadline = request.received_at + client_timeout;
                let in_flight = self.register(&request, &route);
                Ok(RequestContext { request, route, account, pool, deadline, in_flight, client })
            }
            Err(rejection) => Err(Box::new((request, rejection))),
        }
    }

    /// The shutdown, if one has begun and the client has no part of a response yet.
    fn shutdown_for(&self, attempts: &Attempts) -> Option<Shutdown> {
        self.tables.lifecycle.lock().shutdown.filter(|_| attempts.first_event().is_none())
    }

    /// Time left until the client gets a final response, which is due before the node ends its
    /// connections; a stream that has begun keeps its deadline, since it can't be answered again.
    pub(crate) fn remaining_time(&self, context: &RequestContext, attempts: &Attempts) -> Duration {
        let deadline = match self.shutdown_for(attempts) {
            Some(shutdown) => context.deadline.min(shutdown.response_deadline()),
            None => context.deadline,
        };
        deadline.saturating_duration_since(self.clock.now())
    }

    fn resolve(
        &self,
        config: &Config,
        request: &Request,
    ) -> Result<(Route, Option<Account>, PoolKey), Rejection> {
        let route = config
            .find_route(&request.host, &request.path)
            .ok_or(Rejection::invalid(Reason::NoRoute))?;
        if config.is_key_required(route) && !self.are_keys_fresh() {
            return Err(Rejection::not_executed(Reason::KeysOutdated, MIN_RETRY_AFTER));
        }
        let Access::Granted(account) = config.authorize(route, request.api_key.as_deref()) else {
            return Err(Rejection::invalid(Reason::UnknownKey));
        };
        if self.is_quarantined(route, account.as_ref(), request) {
            return Err(Rejection::not_executed(Reason::Quarantined, QUARANTINE_RETRY_AFTER));
        }
        let draw = self.tables.balancer.lock().rng.random::<u32>();
        let service = route
            .select_service(draw)
            .ok_or(Rejection::not_executed(Reason::NoUpstream, MIN_RETRY_AFTER))?;
        let is_engine = config.services.get(service).is_some_and(|s| s.engine.is_some());
        let model = request.model.clone().filter(|_| is_engine);
        Ok((route.clone(), account, (service.clone(), model)))
    }

    fn are_keys_fresh(&self) -> bool {
        self.tables.key_freshness(self.clock.now()) == KeyFreshness::Fresh
    }

    /// Why a request that was admitted may not be sent any more, because its API key was revoked or
    /// may have been; `None` if it may be sent.
    fn key_objection(&self, context: &RequestContext) -> Option<Reason> {
        let config = self.tables.config()?;
        if !config.is_key_required(&context.route) {
            return None;
        }
        if !self.are_keys_fresh() {
            return Some(Reason::KeysOutdated);
        }
        let access = config.authorize(&context.route, context.request.api_key.as_deref());
        let is_same_account = |current: &Option<Account>| {
            current.as_ref().map(|a| &a.id) == context.account.as_ref().map(|a| &a.id)
        };
        match access {
            Access::Granted(current) if is_same_account(&current) => None,
            Access::Granted(_) | Access::Denied => Some(Reason::UnknownKey),
        }
    }

    async fn execute(self: &Arc<Self>, context: RequestContext) -> Reply {
        let mut attempts = Attempts::new(context.route.is_retryable(), context.route.max_attempts);
        let mut failure: Option<(ResponseHead, Bytes)> = None;
        loop {
            let acquired = tokio::select! {
                biased;
                () = context.client.left() => return self.abandon(&context, &attempts),
                acquired = self.acquire_permit(&context, &attempts) => acquired,
            };
            let permit = match acquired {
                Ok(permit) => permit,
                Err(rejection) => return self.fail(&context, &attempts, failure, rejection),
            };
            self.record_send(&context, &mut attempts, &permit);
            let upstream = Arc::clone(&permit.upstream);
            let result =
                self.send(&context, &upstream, &attempts, context.request.resume_after).await;
            let next_step = match result {
                SendResult::Responded(response)
                    if response.is_success
                        && response.may_be_events
                        && context.route.is_streaming =>
                {
                    match self.start_stream(&context, response, permit, &mut attempts).await {
                        Ok(reply) => return reply,
                        Err(next_step) => next_step,
                    }
                }
                SendResult::Responded(response) => {
                    match self
                        .read_response(&context, response, permit, &mut attempts, &mut failure)
                        .await
                    {
                        Ok(reply) => return reply,
                        Err(next_step) => next_step,
                    }
                }
                SendResult::Failed(error) => {
                    self.record_send_failure(&context, &attempts, &upstream, &error).await;
                    permit.release(outcome_of(&error));
                    attempts.record_failure(&upstream.instance, &error)
                }
                SendResult::Stalled => {
                    permit.release(UpstreamOutcome::Stalled);
                    self.after_stall(&mut attempts, &upstream)
                }
                SendResult::DeadlineExceeded => {
                    permit.release(UpstreamOutcome::Inconclusive);
                    attempts.record_execution(&upstream.instance);
                    NextStep::Fail(attempts.rejection(Reason::Deadline))
                }
            };
            match next_step {
                NextStep::RetryPrepaid | NextStep::Retry if context.client.has_left() => {
                    return self.abandon(&context, &attempts);
                }
                NextStep::RetryPrepaid => {}
                NextStep::Retry if self.try_acquire_retry(&context) => {}
                NextStep::Retry => {
                    let rejection = attempts.rejection(Reason::RetryBudget);
                    return self.fail(&context, &attempts, failure, rejection);
                }
                NextStep::Fail(rejection) => {
                    return self.fail(&context, &attempts, failure, rejection);
                }
            }
        }
    }

    /// Ends a request that is not sent any more since its client has left.
    fn abandon(&self, context: &RequestContext, attempts: &Attempts) -> Reply {
        self.record_abandoned(context, attempts);
        Reply::Rejected(attempts.rejection(Reason::ClientLeft))
    }

    fn fail(
        &self,
        context: &RequestContext,
        attempts: &Attempts,
        failure: Option<(ResponseHead, Bytes)>,
        rejection: Rejection,
    ) -> Reply {
        if let Some((head, body)) = failure {
            self.record_served(context, attempts, head.status);
            return Reply::Complete { head, body };
        }
        let now = self.clock.now();
        let rejection = Rejection {
            retry_after: rejection
                .retry_after
                .map(|delay| retry_after(delay.max(MIN_RETRY_AFTER), now, context.deadline)),
            ..rejection
        };
        self.record_rejection(&context.request, Some((context, attempts)), &rejection);
        Reply::Rejected(rejection)
    }
}
