//! Errors of requests to upstreams.

use {derive_more::Error, displaydoc::Display};

/// Reason for which an upstream returned no response, or only part of one.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Error)]
pub enum UpstreamError {
    /// the request body was never sent, so the upstream cannot have run the call
    NotSent,
    /// the upstream rejected the call with status {status}
    Rejected {
        /// HTTP status.
        status: u16,
    },
    /// the connection to the upstream was lost after the request may have been sent
    ConnectionLost,
    /// the response belongs to another attempt
    AttemptMismatch,
    /// the response of the upstream is malformed
    Malformed,
    /// the upstream did not respond in time
    Timeout,
    /// the HTTP client could not be created
    Client,
}
