//! Routing result of a request, and the upstream request built from it.

use {
    super::crashes::request_part,
    crate::{
        client_presence::ClientPresence,
        config::{Account, Route},
        directory::PoolKey,
        in_flight::InFlightEntry,
        request::{Request, UpstreamRequest},
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    turmerictack_model::ids::{EventPosition, PromptPartId},
};

/// Difference in engine priority between two adjacent request priorities.
const ENGINE_PRIORITY_STEP: u8 = 2;

/// Fraction of the route timeout below which a client timeout indicates a retry by the client.
const MIN_FIRST_TRY_TIMEOUT_FRACTION: f64 = 0.75;

/// Time without a whole event after which a stream counts as stalled, at least.
const MIN_EVENT_GAP: Duration = Duration::from_secs(1);

/// The same time, as a multiple of the latency target. Callers give up after twice that.
const EVENT_GAP_FACTOR: u32 = 2;

/// Least urgent engine priority.
const MAX_ENGINE_PRIORITY: u8 = 9;

/// A request with its route, account, pool and deadline.
pub(crate) struct RequestContext {
    pub(crate) request: Request,
    pub(crate) route: Route,
    pub(crate) account: Option<Account>,
    pub(crate) pool: PoolKey,
    pub(crate) deadline: Instant,
    pub(crate) in_flight: Arc<InFlightEntry>,
    pub(crate) client: ClientPresence,
}

impl RequestContext {
    /// Hash by which the quarantine identifies the request.
    pub(super) fn request_part(&self) -> PromptPartId {
        request_part(&self.route, self.account.as_ref(), &self.request)
    }

    pub(super) fn priority(&self) -> u8 {
        self.account.as_ref().and_then(|a| a.priority).unwrap_or(self.route.priority)
    }

    /// Estimated time since the client first sent this request; zero unless it looks like a retry.
    ///
    /// A client that retries has less time left than the route allows. Client timeouts differ, so
    /// only one well below the route timeout is taken as a sign of a retry.
    pub(super) fn prior_elapsed(&self) -> Duration {
        let timeout = self.route.timeout;
        let client_timeout = self.request.client_timeout.unwrap_or(timeout);
        if client_timeout >= timeout.mul_f64(MIN_FIRST_TRY_TIMEOUT_FRACTION) {
            return Duration::ZERO;
        }
        timeout - client_timeout
    }

    /// Time without a whole event after which the stream counts as stalled, however many bytes have
    /// arrived and whatever other streams of the upstream do.
    pub(crate) fn max_event_gap(&self) -> Duration {
        MIN_EVENT_GAP.max(self.route.latency_target * EVENT_GAP_FACTOR)
    }

    pub(super) fn upstream_request(&self, resume_after: Option<EventPosition>) -> UpstreamRequest {
        let priority =
            self.priority().saturating_mul(ENGINE_PRIORITY_STEP).min(MAX_ENGINE_PRIORITY);
        UpstreamRequest {
            request: self.request.id.clone(),
            service: self.pool.0.clone(),
            account: self.account.as_ref().map(|a| a.id.clone()),
            deadline: self.deadline,
            engine_priority: self.pool.1.as_ref().map(|_| priority),
            resume_after,
            reuse_connection: self.route.is_retryable(),
            is_streaming: self.route.is_streaming,
            client: self.client.clone(),
            raw: Arc::clone(&self.request.raw),
        }
    }

    pub(super) fn clone_for_stream(&self) -> Self {
        Self {
            request: self.request.clone(),
            route: self.route.clone(),
            account: self.account.clone(),
            pool: self.pool.clone(),
            deadline: self.deadline,
            in_flight: Arc::clone(&self.in_flight),
            // A client that leaves drops the stream.
            client: ClientPresence::assumed(),
        }
    }
}
