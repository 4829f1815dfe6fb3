//! Requests and replies as the core sees them.

use {
    crate::{rejection::Rejection, stream::EventStream},
    bytes::Bytes,
    http::{HeaderMap, Method, StatusCode},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    turmerictack_model::ids::{AccountId, ApiKey, EventPosition, ModelId, RequestId, ServiceId},
};

/// Request as the front end took it; decisions don't look into it.
#[derive(Clone, Debug)]
pub struct RawRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path_and_query: String,
    /// Fields that go to the upstream.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// A request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Id that the caller gave.
    pub id: RequestId,
    /// Host that it names.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// Key of the client account.
    pub api_key: Option<ApiKey>,
    /// Time that the caller waits for the whole answer.
    pub client_timeout: Option<Duration>,
    /// Model that has to run it.
    pub model: Option<ModelId>,
    /// Last event that the caller has of an earlier stream.
    pub resume_after: Option<EventPosition>,
    /// When its head had arrived.
    pub received_at: Instant,
    /// What the upstream gets.
    pub raw: Arc<RawRequest>,
}

/// What goes with a request to one upstream.
#[derive(Clone, Debug)]
pub struct UpstreamRequest {
    /// Id that the upstream has to echo.
    pub request: RequestId,
    /// Service that the upstream belongs to.
    pub service: ServiceId,
    /// Account that pays for it.
    pub account: Option<AccountId>,
    /// When the upstream may stop working on it.
    pub deadline: Instant,
    /// Engine priority; 0 is first.
    pub engine_priority: Option<u8>,
    /// Event after which the stream goes on.
    pub resume_after: Option<EventPosition>,
    /// Whether a connection may be used again that an earlier request has used.
    pub reuse_connection: bool,
    /// Whether the answer is a stream of events.
    pub is_streaming: bool,
    /// What the caller sent.
    pub raw: Arc<RawRequest>,
}

/// Head of an upstream's answer.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status.
    pub status: StatusCode,
    /// Fields.
    pub headers: HeaderMap,
}

/// What a caller gets.
pub enum Reply {
    /// The upstream's whole answer.
    Complete {
        /// Head.
        head: ResponseHead,
        /// Body.
        body: Bytes,
    },
    /// The upstream's answer as it arrives.
    Stream {
        /// Head.
        head: ResponseHead,
        /// Events.
        events: Box<EventStream>,
    },
    /// No upstream's answer.
    Rejected(Rejection),
}
