//! The record of a call.

use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
    turmerictack_model::{
        digest::{Digest, sha256_hex},
        ids::{NodeId, Nonce},
    },
};

/// Prefix of the keys of all records.
pub const RECORD_PREFIX: &str = "calls/";

/// Largest stored answer, in bytes; a larger one is stored without its body.
pub const MAX_STORED_BODY_BYTES: usize = 64 * 1024;

/// Answer that is stored for retries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredReply {
    /// HTTP status.
    pub status: u16,
    /// Type of the body.
    pub content_type: Option<String>,
    /// Body; absent when it was too large or not a text.
    pub body: Option<String>,
}

/// Where a recorded call stands.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "kebab-case")]
pub enum RecordState {
    /// Its attempt may run, be running or have run.
    #[display("open")]
    Open,
    /// Its attempt was never sent; another may begin.
    #[display("unsent")]
    Unsent,
    /// It ended with this answer.
    #[display("done")]
    Done(StoredReply),
    /// An operator found out that it ran.
    #[display("settled")]
    Settled {
        /// Who settled it.
        by: String,
    },
}

/// Record of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Attempt that the record belongs to.
    pub nonce: Nonce,
    /// Digest of route and body.
    pub digest: Digest,
    /// Node that wrote the attempt.
    pub node: NodeId,
    /// Time of day at which the attempt was recorded, in ms since the Unix epoch.
    pub created_ms: u64,
    /// Where it stands.
    #[serde(flatten)]
    pub state: RecordState,
}

/// Key under which the platform keeps a record; ids are hashed, so that any text may be one.
pub fn record_key(caller: &str, key: &str) -> String {
    format!("{RECORD_PREFIX}{}/{}", sha256_hex(caller), sha256_hex(key))
}
