//! Permission check before the body of a call is sent to an upstream.

use async_trait::async_trait;

/// Decides whether the body of a call may be sent.
///
/// The gate is asked once the connection is established, before the first byte of the body is sent.
/// If it withholds the body, the upstream has only an incomplete request and cannot run the call.
#[async_trait]
pub trait SendGate: Send + Sync {
    /// Whether the body may be sent; `true` cannot be revoked.
    async fn release(&self) -> bool;
}
