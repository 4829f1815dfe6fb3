//! Requests and replies as the core sees them.

use {
    crate::{refusal::Refusal, stream::EventStream},
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
pub struct Parcel {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Fields that go to the upstream.
    pub fields: HeaderMap,
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
    pub key: Option<ApiKey>,
    /// Time that the caller waits for the whole answer.
    pub patience: Option<Duration>,
    /// Model that has to run it.
    pub model: Option<ModelId>,
    /// Last event that the caller has of an earlier stream.
    pub resume_after: Option<EventPosition>,
    /// When its head had arrived.
    pub arrived: Instant,
    /// What the upstream gets.
    pub parcel: Arc<Parcel>,
}

/// What goes with a request to one upstream.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// Id that the upstream has to echo.
    pub request: RequestId,
    /// Service that the upstream belongs to.
    pub service: ServiceId,
    /// Account that pays for it.
    pub account: Option<AccountId>,
    /// When the upstream may stop working on it.
    pub deadline: Instant,
    /// Engine priority; 0 is first.
    pub priority: Option<u8>,
    /// Event after which the stream goes on.
    pub resume_after: Option<EventPosition>,
    /// Whether a connection may be used again that an earlier request has used.
    pub reuse_connection: bool,
    /// Whether the answer is a stream of events.
    pub streams: bool,
    /// What the caller sent.
    pub parcel: Arc<Parcel>,
}

/// Head of an upstream's answer.
#[derive(Clone, Debug)]
pub struct Head {
    /// Status.
    pub status: StatusCode,
    /// Fields.
    pub fields: HeaderMap,
}

/// What a caller gets.
pub enum Reply {
    /// The upstream's whole answer.
    Whole {
        /// Head.
        head: Head,
        /// Body.
        body: Bytes,
    },
    /// The upstream's answer as it arrives.
    Stream {
        /// Head.
        head: Head,
        /// Events.
        events: Box<EventStream>,
    },
    /// No upstream's answer.
    Refused(Refusal),
}
