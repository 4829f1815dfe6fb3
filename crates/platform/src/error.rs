//! Errors of requests to the platform.

use {crate::store::Object, derive_more::Error, displaydoc::Display};

/// Failure of a request to the platform.
#[derive(Clone, Debug, Display, PartialEq, Eq, Error)]
pub enum StoreError {
    /// the object is not in the expected state
    Conflict {
        /// Current state of the object; `None` if it does not exist.
        current: Option<Object>,
    },
    /// the platform is unreachable or overloaded; the request had no effect
    NotApplied,
    /// the platform did not answer or failed internally; the request may have taken effect
    Indeterminate,
    /// the platform rejected the request with status {status}
    Rejected {
        /// HTTP status.
        status: u16,
    },
    /// the response of the platform is malformed
    Malformed,
    /// the platform URL is invalid, or the HTTP client could not be created
    Client,
}

impl StoreError {
    /// Whether a write that failed with this error may have taken effect.
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::Indeterminate | Self::Malformed)
    }
}
