//! Interface to plain services: HTTP services other than model engines.

use {
    crate::{error::UpstreamError, gate::SendGate},
    async_trait::async_trait,
    bytes::Bytes,
    std::{sync::Arc, time::Duration},
    turmerictack_model::ids::{Address, AttemptId, IdempotencyKey},
};

/// One attempt to call a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlainCall {
    /// Address of the instance.
    pub address: Address,
    /// HTTP method in upper case.
    pub method: String,
    /// Path and query, relative to the root of the service.
    pub path: String,
    /// Content type of the body, if the caller gave one.
    pub content_type: Option<String>,
    /// Request body.
    pub body: Bytes,
    /// Idempotency key, passed on so that the service can deduplicate calls too.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Attempt id; a service that echoes it must echo this value.
    pub attempt: AttemptId,
    /// Whether a new connection must be opened instead of reusing a pooled one.
    pub new_connection: bool,
    /// Time limit for the complete response.
    pub timeout: Duration,
}

/// Complete response of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlainResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Response body.
    pub body: Bytes,
}

/// Client for plain services.
#[async_trait]
pub trait PlainService: Send + Sync {
    /// Sends a call as soon as `gate` releases it and waits for the complete response.
    async fn call(
        &self,
        call: PlainCall,
        gate: Arc<dyn SendGate>,
    ) -> Result<PlainResponse, UpstreamError>;
}
