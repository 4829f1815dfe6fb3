//! Stored record of a call.

use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
    turmerictack_model::{
        digest::{Digest, sha256_hex},
        ids::{NodeId, Nonce},
    },
};

/// Prefix of the storage keys of all records.
pub const RECORD_PREFIX: &str = "calls/";

/// Largest response body that is stored, in bytes; a larger response is stored without its body.
pub const MAX_STORED_BODY_BYTES: usize = 64 * 1024;

/// Response that is stored in the record and returned to retries of the call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: Option<String>,
    /// Body; `None` if it exceeded [`MAX_STORED_BODY_BYTES`] or was not valid UTF-8.
    pub body: Option<String>,
}

/// State of a recorded call.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "kebab-case")]
pub enum RecordState {
    /// The attempt may not have started, may be running or may have run.
    #[display("open")]
    Open,
    /// The attempt did not run; another attempt may begin.
    #[display("unsent")]
    Unsent,
    /// The call completed with this response.
    #[display("done")]
    Done(StoredResponse),
    /// An operator determined that the call ran.
    #[display("settled")]
    Settled {
        /// Name of the operator.
        by: String,
    },
}

/// Record of a call with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Identifies the attempt that the record belongs to.
    pub nonce: Nonce,
    /// Digest of the service, path, body and, for a plain service, method; detects reuse of a key
    /// with another request.
    pub digest: Digest,
    /// Node that made the attempt.
    pub node: NodeId,
    /// Wall-clock time at which the attempt began, in milliseconds since the Unix epoch.
    pub created_ms: u64,
    /// State of the call.
    #[serde(flatten)]
    pub state: RecordState,
}

/// Returns the storage key of a record.
///
/// The caller id and the idempotency key are hashed, so that they may contain any characters.
pub fn record_key(caller: &str, key: &str) -> String {
    format!("{RECORD_PREFIX}{}/{}", sha256_hex(caller), sha256_hex(key))
}
