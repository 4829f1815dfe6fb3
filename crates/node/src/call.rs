//! Calls as the node handles them, independent of a front end's encoding.

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

/// Cost of a call to a plain service, in tokens.
pub const PLAIN_COST: Tokens = 1;

/// Request content of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Payload {
    /// A completion by a model.
    Model {
        /// Path of the engine's API.
        path: String,
        /// Request as a JSON object that asks for a streamed response.
        body: Bytes,
        /// Hash of the start of the prompt.
        prefix_hash: u64,
        /// Estimated cost of the call.
        cost: Tokens,
    },
    /// A call to a plain service.
    Plain {
        /// HTTP method, in capitals.
        method: String,
        /// Path below the service, with the query.
        path: String,
        /// Media type of the body.
        content_type: Option<String>,
        /// Request body.
        body: Bytes,
    },
}

/// A call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Id of the caller.
    pub caller: CallerId,
    /// Weight of the caller in fair sharing.
    pub weight: u32,
    /// Service that is called.
    pub service: ServiceId,
    /// Requested rank; the service's default if absent.
    pub rank: Option<Rank>,
    /// Idempotency key, if any.
    pub key: Option<IdempotencyKey>,
    /// Longest time that the caller waits for the response to begin.
    pub deadline: Option<Duration>,
    /// Request content.
    pub payload: Payload,
}

/// Output of a call for its caller, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Chunks of text.
    Text(Vec<String>),
    /// End of a complete stream, with its finish reason.
    End(String),
    /// Complete response of a plain service.
    Response(PlainResponse),
    /// The call failed, possibly after some output.
    Failed(Failure),
}
