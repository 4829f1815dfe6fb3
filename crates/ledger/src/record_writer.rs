//! State machine that writes the record of one attempt; performs no I/O itself.
//!
//! All writes are conditional: a record is created only if none exists, and replaced only at the
//! version that was last read. A write whose result is unknown is repeated unchanged; the nonce in
//! the stored record then shows whether the earlier write was applied.

use {
    crate::record::{Record, RecordState, StoredResponse},
    std::time::{Duration, Instant},
    turmerictack_model::{
        digest::Digest,
        ids::{NodeId, Nonce, Version},
    },
};

/// Time after the first write request for a record within which the call may be sent.
pub const MAX_SEND_AGE: Duration = Duration::from_secs(10);

/// Longest time from sending a request body until the upstream acknowledges it.
///
/// Connections to upstreams are closed if sent bytes stay unacknowledged for longer than this
/// (`TCP_USER_TIMEOUT`).
pub const MAX_DELIVERY_TIME: Duration = Duration::from_secs(60);

/// Minimum age of an open record before an operator may settle it.
///
/// Much longer than [`MAX_SEND_AGE`] plus [`MAX_DELIVERY_TIME`], so that even with clock errors the
/// first attempt can no longer run once a second one is permitted.
pub const MIN_SETTLE_AGE: Duration = Duration::from_secs(900);

/// Time after its creation for which a record is kept that is no longer open.
pub const RECORD_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Attempts at one write before the platform is reported as unavailable.
const MAX_WRITE_ATTEMPTS: u32 = 3;

/// Stored record and its version.
pub type VersionedRecord = (Version, Record);

/// Conditional write of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordWrite {
    /// Version that the stored record must have; `None` if no record may exist.
    pub expect: Option<Version>,
    /// New content of the record.
    pub record: Record,
}

/// Result of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The write was applied and gave the record this version.
    Written(Version),
    /// The stored record, if any, does not have the expected version; nothing was written.
    Conflict(Option<VersionedRecord>),
    /// The write may or may not have been applied, for example because the response was lost.
    Indeterminate,
    /// The write was not applied.
    NotApplied,
}

/// Result of beginning, completing or releasing an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerResult {
    /// The record belongs to this attempt, and the call may be sent.
    Acquired,
    /// The call already completed with this response.
    Replay(StoredResponse),
    /// Another attempt is open, or an operator settled the call as run.
    Blocked(RecordState),
    /// The idempotency key was used before with a different request.
    KeyReused,
    /// The platform did not confirm the write.
    Unavailable,
    /// The final state of the attempt is stored, or another writer has replaced the record.
    Finished,
}

/// Next step for the caller of a [`RecordWriter`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Perform this write and pass its result to [`RecordWriter::on_write_result`].
    Write(RecordWrite),
    /// No further write is needed.
    Complete(LedgerResult),
}

/// Writer of the record of one attempt.
#[derive(Clone, Debug)]
pub struct RecordWriter {
    record: Record,
    version: Option<Version>,
    requested_at: Instant,
    write_attempts: u32,
}

impl RecordWriter {
    /// Creates a writer for a new attempt.
    ///
    /// `requested_at` must be taken before the first write is sent, because the send deadline is
    /// counted from it.
    pub fn new(
        nonce: Nonce,
        digest: Digest,
        node: NodeId,
        created_ms: u64,
        requested_at: Instant,
    ) -> Self {
        let record = Record { nonce, digest, node, created_ms, state: RecordState::Open };
        Self { record, version: None, requested_at, write_attempts: 0 }
    }

    /// Time after which the call must no longer be sent.
    pub fn send_deadline(&self) -> Instant {
        self.requested_at + MAX_SEND_AGE
    }

    /// Begins the attempt by writing an open record.
    pub fn begin(&mut self) -> Step {
        self.write_attempts = 0;
        self.next_write()
    }

    /// Completes the attempt by storing its response.
    pub fn store_response(&mut self, response: StoredResponse) -> Step {
        self.set_state(RecordState::Done(response))
    }

    /// Marks the attempt as unsent, so that another one may begin.
    ///
    /// Must be called only if the call was not sent and can no longer be sent.
    pub fn release(&mut self) -> Step {
        self.set_state(RecordState::Unsent)
    }

    fn set_state(&mut self, state: RecordState) -> Step {
        self.record.state = state;
        self.write_attempts = 0;
        self.next_write()
    }

    fn next_write(&mut self) -> Step {
        self.write_attempts += 1;
        Step::Write(RecordWrite { expect: self.version, record: self.record.clone() })
    }

    /// Processes the result of the last write.
    pub fn on_write_result(&mut self, result: WriteResult) -> Step {
        match result {
            WriteResult::Written(version) => {
                self.version = Some(version);
                Step::Complete(self.success_result())
            }
            WriteResult::Conflict(None) => {
                self.version = None;
                self.retry_write()
            }
            WriteResult::Conflict(Some((version, stored))) => {
                self.resolve_conflict(version, stored)
            }
            WriteResult::Indeterminate | WriteResult::NotApplied => self.retry_write(),
        }
    }

    fn success_result(&self) -> LedgerResult {
        match self.record.state {
            RecordState::Open => LedgerResult::Acquired,
            _ => LedgerResult::Finished,
        }
    }

    fn retry_write(&mut self) -> Step {
        if self.write_attempts >= MAX_WRITE_ATTEMPTS {
            Step::Complete(LedgerResult::Unavailable)
        } else {
            self.next_write()
        }
    }

    fn resolve_conflict(&mut self, version: Version, stored: Record) -> Step {
        if stored == self.record {
            self.version = Some(version);
            return Step::Complete(self.success_result());
        }
        // The open record of this attempt was written, but the response with its version was lost.
        if stored.nonce == self.record.nonce && stored.state == RecordState::Open {
            self.version = Some(version);
            return self.retry_write();
        }
        // The record was replaced, such as by an operator, after this attempt had begun.
        if self.record.state != RecordState::Open {
            return Step::Complete(LedgerResult::Finished);
        }
        if stored.digest != self.record.digest {
            return Step::Complete(LedgerResult::KeyReused);
        }
        match stored.state {
            RecordState::Done(response) => Step::Complete(LedgerResult::Replay(response)),
            RecordState::Unsent => {
                self.version = Some(version);
                self.retry_write()
            }
            state => Step::Complete(LedgerResult::Blocked(state)),
        }
    }
}
