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
    turmerictack_report::counts::Sample,
    turmerictack_routing::dispatch::Action,
    turmerictack_settings::services::{RankPolicy, Service},
};

/// How calls to a service may be treated.
pub struct CallPolicy {
    /// Whether a second run does no harm.
    pub idempotent: bool,
    /// Whether it needs a record before it is sent.
    pub needs_record: bool,
}

/// How a call may be treated, by the services text.
pub fn policy_for(service: &Service, call: &Call) -> CallPolicy {
    match &call.payload {
        Payload::Model { .. } => CallPolicy { idempotent: true, needs_record: false },
        Payload::Plain { method, path, .. } => {
            let path = path.split('?').next().unwrap_or_default();
            let route = service.route(method, &format!("/{path}"));
            let idempotent = route.is_some_and(|r| r.idempotent);
            let deduplicates = route.is_some_and(|r| r.deduplicates_by_key);
            let keyed = call.key.is_some();
            CallPolicy {
                idempotent: idempotent || (deduplicates && keyed),
                needs_record: keyed && !idempotent && !deduplicates,
            }
        }
    }
}

/// Tokens that a call is expected to cost.
pub fn token_cost(payload: &Payload) -> Tokens {
    match payload {
        Payload::Model { cost, .. } => *cost,
        Payload::Plain { .. } => PLAIN_COST,
    }
}

/// Hash of the start of the prompt, where there is one.
pub fn prefix_hash(payload: &Payload) -> Option<u64> {
    match payload {
        Payload::Model { prefix_hash, .. } => Some(*prefix_hash),
        Payload::Plain { .. } => None,
    }
}

/// Tokens that a call used, as far as its answer shows.
pub fn tokens_used(in_flight: &InFlight) -> Tokens {
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
pub fn call_sample(in_flight: &InFlight, action: &Action, policy: &RankPolicy) -> Option<Sample> {
    let first = in_flight.first_chunk_at.map(|f| f.saturating_duration_since(in_flight.arrived_at));
    match action {
        Action::Fail(Failure {
            code: FailureCode::CallerGone | FailureCode::KeyReused, ..
        }) => None,
        Action::Fail(Failure {
            code: FailureCode::CallOpen, outcome: Outcome::Unknown, ..
        }) => None,
        Action::Fail(_) => Some(Sample { good: false, first_token: first }),
        Action::Deliver { .. } => {
            let first_token = first?;
            let span =
                in_flight.last_chunk_at?.saturating_duration_since(in_flight.first_chunk_at?);
            let gaps =
                u32::try_from(in_flight.dispatch.delivered_chunks().saturating_sub(1)).ok()?;
            let chunk_interval = span.checked_div(gaps).unwrap_or_default();
            let good = first_token <= policy.first_token && chunk_interval <= policy.between_tokens;
            Some(Sample { good, first_token: first })
        }
        _ => Some(Sample { good: true, first_token: None }),
    }
}
