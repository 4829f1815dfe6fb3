//! A call as the node sees it, free of any front end's encoding.

use {
    bytes::Bytes,
    std::time::Duration,
    turmerictack_model::{
        ids::{CallerId, IdempotencyKey, ServiceId, Tokens},
        outcome::Failure,
        rank::Rank,
    },
    turmerictack_upstream::service::PlainResponse,
};

/// Tokens that a call of a plain service counts as.
pub const PLAIN_COST: Tokens = 1;

/// What is asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Payload {
    /// A model's answer.
    Model {
        /// Path of the engine's interface.
        path: String,
        /// Request as a JSON object that asks for a stream.
        body: Bytes,
        /// Hash of the start of the prompt.
        prefix_hash: u64,
        /// Tokens that the call is expected to cost.
        cost: Tokens,
    },
    /// A call of a plain service.
    Plain {
        /// HTTP method, in capitals.
        method: String,
        /// Path and query below the service.
        path: String,
        /// Type of the body.
        content_type: Option<String>,
        /// Body.
        body: Bytes,
    },
}

/// A call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Who calls.
    pub caller: CallerId,
    /// Weight of the caller.
    pub weight: u32,
    /// Service.
    pub service: ServiceId,
    /// Rank, if the caller names one.
    pub rank: Option<Rank>,
    /// Key of a call that must not be repeated.
    pub key: Option<IdempotencyKey>,
    /// Longest time that the caller waits for the answer to begin.
    pub deadline: Option<Duration>,
    /// What is asked for.
    pub payload: Payload,
}

/// What a caller gets, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Text of an answer.
    Text(Vec<String>),
    /// The answer is whole.
    End(String),
    /// The whole answer of a plain service.
    Response(PlainResponse),
    /// There is no answer, or no more of it.
    Failed(Failure),
}
