//! What follows for a call from the services text and from its own content.

use {
    crate::{
        call::{Call, PLAIN_COST, Payload},
        estimate::prompt_tokens,
        tables::InFlight,
    },
    turmerictack_model::{
        digest::digest,
        ids::Tokens,
        outcome::{Failure, FailureCode, Outcome},
    },
    turmerictack_report::tracker::CallSample,
    turmerictack_routing::dispatch::Action,
    turmerictack_settings::services::{RankPolicy, Service},
};

/// How calls to a service may be treated.
pub struct Treatment {
    /// Whether a second run does no harm.
    pub idempotent: bool,
    /// Whether it needs a record before it is sent.
    pub recorded: bool,
}

/// How a call may be treated, by the services text.
pub fn treat(service: &Service, call: &Call) -> Treatment {
    match &call.payload {
        Payload::Model { .. } => Treatment { idempotent: true, recorded: false },
        Payload::Plain { method, path, .. } => {
            let path = path.split('?').next().unwrap_or_default();
            let route = service.route(method, &format!("/{path}"));
            let idempotent = route.is_some_and(|r| r.idempotent);
            let deduplicated = route.is_some_and(|r| r.deduplicates_by_key);
            let keyed = call.key.is_some();
            Treatment {
                idempotent: idempotent || (deduplicated && keyed),
                recorded: keyed && !idempotent && !deduplicated,
            }
        }
    }
}

/// Tokens that a call is expected to cost.
pub fn cost(payload: &Payload) -> Tokens {
    match payload {
        Payload::Model { cost, .. } => *cost,
        Payload::Plain { .. } => PLAIN_COST,
    }
}

/// Hash of the start of the prompt, where there is one.
pub fn prefix(payload: &Payload) -> Option<u64> {
    match payload {
        Payload::Model { prefix, .. } => Some(*prefix),
        Payload::Plain { .. } => None,
    }
}

/// Tokens that a call used, as far as its answer shows.
pub fn used(in_flight: &InFlight) -> Tokens {
    match &in_flight.call.payload {
        Payload::Model { body, .. } => {
            prompt_tokens(body.len()) + in_flight.dispatch.delivered_chunks()
        }
        Payload::Plain { .. } => PLAIN_COST,
    }
}

/// Digest by which a request that ends upstreams is known again.
pub fn request_digest(call: &Call) -> String {
    let (route, body) = match &call.payload {
        Payload::Model { path, body, .. } => (path.clone(), body),
        Payload::Plain { method, path, body, .. } => (format!("{method} {path}"), body),
    };
    digest(&[call.caller.as_bytes(), call.service.as_bytes(), route.as_bytes(), body])
}

/// Whether a call met its rank's targets; absent when the fault was the caller's.
pub fn sample(in_flight: &InFlight, action: &Action, policy: &RankPolicy) -> Option<CallSample> {
    let first = in_flight.first.map(|f| f.saturating_duration_since(in_flight.since));
    match action {
        Action::Fail(Failure {
            code: FailureCode::CallerGone | FailureCode::KeyReused, ..
        }) => None,
        Action::Fail(Failure {
            code: FailureCode::CallOpen, outcome: Outcome::Unknown, ..
        }) => None,
        Action::Fail(_) => Some(CallSample { good: false, first_token: first }),
        Action::Deliver { .. } => {
            let first_token = first?;
            let span = in_flight.last?.saturating_duration_since(in_flight.first?);
            let gaps =
                u32::try_from(in_flight.dispatch.delivered_chunks().saturating_sub(1)).ok()?;
            let between = span.checked_div(gaps).unwrap_or_default();
            let good = first_token <= policy.first_token && between <= policy.between_tokens;
            Some(CallSample { good, first_token: first })
        }
        _ => Some(CallSample { good: true, first_token: None }),
    }
}
