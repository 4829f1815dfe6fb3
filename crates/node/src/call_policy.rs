//! Properties of a call that follow from its content and from the services configuration.

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

/// How a call may be sent and retried.
pub struct CallPolicy {
    /// Whether the call can safely be executed more than once.
    pub idempotent: bool,
    /// Whether a record must be acquired before the call is sent.
    pub needs_record: bool,
}

/// Derives the policy of a call from the configuration of its service.
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

/// Estimated cost of a call in tokens.
pub fn token_cost(payload: &Payload) -> Tokens {
    match payload {
        Payload::Model { cost, .. } => *cost,
        Payload::Plain { .. } => PLAIN_COST,
    }
}

/// Hash of the start of the prompt; absent for plain services.
pub fn prefix_hash(payload: &Payload) -> Option<u64> {
    match payload {
        Payload::Model { prefix_hash, .. } => Some(*prefix_hash),
        Payload::Plain { .. } => None,
    }
}

/// Tokens used by a call: its estimated prompt and the chunks delivered so far.
pub fn tokens_used(in_flight: &InFlight) -> Tokens {
    match &in_flight.call.payload {
        Payload::Model { body, .. } => {
            prompt_tokens(body.len()) + in_flight.dispatch.delivered_chunks()
        }
        Payload::Plain { .. } => PLAIN_COST,
    }
}

/// Digest by which quarantine identifies a request.
pub fn request_digest(call: &Call) -> String {
    let (route, body) = match &call.payload {
        Payload::Model { path, body, .. } => (path.clone(), body),
        Payload::Plain { method, path, body, .. } => (format!("{method} {path}"), body),
    };
    digest(&[call.caller.as_bytes(), call.service.as_bytes(), route.as_bytes(), body])
}

/// Whether a call met the targets of its rank; `None` if the call does not count, as when the
/// caller disconnected or reused a key.
pub fn call_sample(
    in_flight: &InFlight,
    action: &Action,
    rank_policy: &RankPolicy,
) -> Option<CallSample> {
    let time_to_first_chunk =
        in_flight.first_chunk_at.map(|f| f.saturating_duration_since(in_flight.arrived_at));
    match action {
        Action::Fail(Failure {
            code: FailureCode::CallerGone | FailureCode::KeyReused, ..
        }) => None,
        Action::Fail(Failure {
            code: FailureCode::CallOpen, outcome: Outcome::Unknown, ..
        }) => None,
        Action::Fail(_) => Some(CallSample { good: false, first_token: time_to_first_chunk }),
        Action::Deliver { .. } => {
            let first_token = time_to_first_chunk?;
            let span =
                in_flight.last_chunk_at?.saturating_duration_since(in_flight.first_chunk_at?);
            let gaps =
                u32::try_from(in_flight.dispatch.delivered_chunks().saturating_sub(1)).ok()?;
            let chunk_interval = span.checked_div(gaps).unwrap_or_default();
            let good = first_token <= rank_policy.first_token
                && chunk_interval <= rank_policy.between_tokens;
            Some(CallSample { good, first_token: time_to_first_chunk })
        }
        _ => Some(CallSample { good: true, first_token: None }),
    }
}
