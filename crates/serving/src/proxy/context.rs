//! What was found out about a request, and what goes with it to an upstream.

use {
    crate::{
        config::{Account, Route},
        directory::PoolKey,
        request::{Request, UpstreamRequest},
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    turmerictack_model::{
        digest::{Digest, digest},
        ids::EventPosition,
    },
};

/// Engine priority of the most urgent rank, and the step to the next rank.
const ENGINE_PRIORITY_STEP: u8 = 2;

/// Part of a route's timeout that a caller which comes for the first time waits at least.
const MIN_FIRST_TRY_TIMEOUT_FRACTION: f64 = 0.75;

/// Last engine priority.
const MAX_ENGINE_PRIORITY: u8 = 9;

/// What was found out about a request before it is placed.
pub(crate) struct RequestContext {
    pub(crate) request: Request,
    pub(crate) route: Route,
    pub(crate) account: Option<Account>,
    pub(crate) pool: PoolKey,
    pub(crate) deadline: Instant,
    pub(super) digest: Option<Digest>,
}

impl RequestContext {
    pub(super) fn priority(&self) -> u8 {
        self.account.as_ref().and_then(|a| a.priority).unwrap_or(self.route.priority)
    }

    /// Time since the caller asked first.
    ///
    /// Callers differ in patience, so only one that has far less than the route allows is known
    /// to come back after a refusal.
    pub(super) fn prior_elapsed(&self) -> Duration {
        let timeout = self.route.timeout;
        let client_timeout = self.request.client_timeout.unwrap_or(timeout);
        if client_timeout >= timeout.mul_f64(MIN_FIRST_TRY_TIMEOUT_FRACTION) {
            return Duration::ZERO;
        }
        timeout - client_timeout
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
            digest: self.digest.clone(),
        }
    }
}

pub(super) fn request_digest(
    route: &Route,
    account: Option<&Account>,
    request: &Request,
) -> Digest {
    let account = account.map_or("", |a| a.id.as_str());
    let raw = &request.raw;
    digest(&[route.id.as_bytes(), account.as_bytes(), raw.path_and_query.as_bytes(), &raw.body])
}
