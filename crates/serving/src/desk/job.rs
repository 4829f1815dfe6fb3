//! What was found out about a request, and what goes with it to an upstream.

use {
    crate::{
        catalog::{Account, Route},
        directory::TargetKind,
        request::{Dispatch, Request},
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
const PRIORITY_STEP: u8 = 2;

/// Part of a route's timeout that a caller which comes for the first time waits at least.
const LEAST_FRESH_PATIENCE: f64 = 0.75;

/// Last engine priority.
const LAST_PRIORITY: u8 = 9;

/// What was found out about a request before it is placed.
pub(crate) struct Job {
    pub(crate) request: Request,
    pub(crate) route: Route,
    pub(crate) account: Option<Account>,
    pub(crate) kind: TargetKind,
    pub(crate) deadline: Instant,
    pub(super) digest: Option<Digest>,
}

impl Job {
    pub(super) fn urgency(&self) -> u8 {
        self.account.as_ref().and_then(|a| a.urgency).unwrap_or(self.route.urgency)
    }

    /// Time since the caller asked first.
    ///
    /// Callers differ in patience, so only one that has far less than the route allows is known
    /// to come back after a refusal.
    pub(super) fn elapsed_before(&self) -> Duration {
        let timeout = self.route.timeout;
        let patience = self.request.patience.unwrap_or(timeout);
        if patience >= timeout.mul_f64(LEAST_FRESH_PATIENCE) {
            return Duration::ZERO;
        }
        timeout - patience
    }

    pub(super) fn dispatch(&self, resume_after: Option<EventPosition>) -> Dispatch {
        let priority = self.urgency().saturating_mul(PRIORITY_STEP).min(LAST_PRIORITY);
        Dispatch {
            request: self.request.id.clone(),
            service: self.kind.0.clone(),
            account: self.account.as_ref().map(|a| a.id.clone()),
            deadline: self.deadline,
            priority: self.kind.1.as_ref().map(|_| priority),
            resume_after,
            reuse_connection: self.route.is_repeatable(),
            streams: self.route.streams,
            parcel: Arc::clone(&self.request.parcel),
        }
    }

    pub(super) fn clone_for_stream(&self) -> Self {
        Self {
            request: self.request.clone(),
            route: self.route.clone(),
            account: self.account.clone(),
            kind: self.kind.clone(),
            deadline: self.deadline,
            digest: self.digest.clone(),
        }
    }
}

pub(super) fn digest_of(route: &Route, account: Option<&Account>, request: &Request) -> Digest {
    let account = account.map_or("", |a| a.id.as_str());
    let parcel = &request.parcel;
    digest(&[route.id.as_bytes(), account.as_bytes(), parcel.target.as_bytes(), &parcel.body])
}
