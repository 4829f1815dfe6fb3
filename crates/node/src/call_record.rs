//! Records of calls with an idempotency key, written to the platform's object store.

use {
    crate::{call::Call, logs, shared::InFlightCount, tables::Tables},
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
    tokio::time::sleep,
    turmerictack_ledger::{
        record::{MAX_STORED_BODY_BYTES, Record, StoredResponse, record_key},
        record_writer::{LedgerResult, RecordWrite, RecordWriter, Step, WriteResult},
    },
    turmerictack_model::{
        clock::{Clock, unix_millis},
        digest::{Digest, digest},
        ids::{NodeId, Nonce},
    },
    turmerictack_platform::{
        error::StoreError,
        store::{ExpectedState, Object, ObjectStore},
    },
    turmerictack_upstream::service::PlainResponse,
};

/// Wait between retries of a background write.
const BACKGROUND_RETRY_WAIT: Duration = Duration::from_millis(500);

/// Tries of a background write before the record is left open for an operator to settle.
const MAX_BACKGROUND_TRIES: u32 = 120;

/// Wait after a write that was not applied or whose result is unknown; a caller may be waiting.
const WRITE_RETRY_WAIT: Duration = Duration::from_millis(50);

/// Writes the records of calls.
pub struct CallRecords {
    store: Arc<dyn ObjectStore>,
    clock: Arc<dyn Clock>,
    tables: Arc<Tables>,
    node: NodeId,
    pending: InFlightCount,
}

/// Handle on the record of one call.
#[derive(Debug)]
pub struct CallRecord {
    key: String,
    writer: Mutex<RecordWriter>,
}

impl CallRecords {
    /// Creates a writer of records over this store.
    pub fn new(
        store: Arc<dyn ObjectStore>,
        clock: Arc<dyn Clock>,
        tables: Arc<Tables>,
        node: NodeId,
    ) -> Self {
        Self { store, clock, tables, node, pending: InFlightCount::default() }
    }

    /// Opens a handle on the record of a call with an idempotency key; writes nothing yet.
    pub fn open(&self, call: &Call, key: &str, nonce: Nonce) -> CallRecord {
        let writer = RecordWriter::new(
            nonce,
            call_digest(call),
            self.node.clone(),
            unix_millis(self.clock.wall_time()),
            self.clock.now(),
        );
        CallRecord { key: record_key(&call.caller, key), writer: Mutex::new(writer) }
    }

    /// Acquires the record for an attempt.
    pub async fn acquire(&self, record: &CallRecord) -> LedgerResult {
        let step = record.with(RecordWriter::begin);
        self.perform_writes(record, step).await
    }

    /// Stores the response; retries in the background while the platform is unavailable.
    pub async fn store_response(
        self: &Arc<Self>,
        record: Arc<CallRecord>,
        response: &PlainResponse,
    ) {
        let response = stored_response(response);
        let step = record.with(|w| w.store_response(response.clone()));
        if self.perform_writes(&record, step).await == LedgerResult::Unavailable {
            self.retry_in_background(record, move |writer| writer.store_response(response.clone()));
        }
    }

    /// Number of records that are still being written in the background.
    pub fn pending_writes(&self) -> u64 {
        self.pending.count()
    }

    /// Releases the record in the background, so that another attempt may acquire it.
    pub fn release(self: &Arc<Self>, record: Arc<CallRecord>) {
        self.retry_in_background(record, RecordWriter::release);
    }

    fn retry_in_background<F>(self: &Arc<Self>, record: Arc<CallRecord>, begin: F)
    where
        F: Fn(&mut RecordWriter) -> Step + Send + 'static,
    {
        let records = Arc::clone(self);
        let pending = self.pending.begin();
        tokio::spawn(async move {
            let _pending = pending;
            for _ in 0..MAX_BACKGROUND_TRIES {
                let step = record.with(&begin);
                if records.perform_writes(&record, step).await != LedgerResult::Unavailable {
                    return;
                }
                sleep(BACKGROUND_RETRY_WAIT).await;
            }
            logs::event("record_left_open").with("key", &record.key).error();
        });
    }

    async fn perform_writes(&self, record: &CallRecord, mut step: Step) -> LedgerResult {
        loop {
            match step {
                Step::Complete(result) => return result,
                Step::Write(write) => {
                    let result = self.write(&record.key, write).await;
                    if matches!(result, WriteResult::NotApplied | WriteResult::Indeterminate) {
                        sleep(WRITE_RETRY_WAIT).await;
                    }
                    step = record.with(|w| w.on_write_result(result));
                }
            }
        }
    }

    async fn write(&self, key: &str, write: RecordWrite) -> WriteResult {
        self.tables.lifecycle.lock().platform.writes += 1;
        let expect = write.expect.map_or(ExpectedState::Absent, ExpectedState::Version);
        let Ok(value) = serde_json::to_string(&write.record) else {
            return WriteResult::NotApplied;
        };
        match self.store.put(key, value, expect).await {
            Ok(version) => WriteResult::Written(version),
            Err(StoreError::Conflict { current }) => conflict(current),
            Err(e) if e.may_have_taken_effect() => WriteResult::Indeterminate,
            Err(_) => WriteResult::NotApplied,
        }
    }
}

impl CallRecord {
    /// Time until which the record permits sending the call.
    pub fn send_deadline(&self) -> Instant {
        self.with(|w| w.send_deadline())
    }

    fn with<T>(&self, f: impl FnOnce(&mut RecordWriter) -> T) -> T {
        f(&mut self.writer.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

fn conflict(current: Option<Object>) -> WriteResult {
    let Some(object) = current else {
        return WriteResult::Conflict(None);
    };
    match serde_json::from_str::<Record>(&object.value) {
        Ok(record) => WriteResult::Conflict(Some((object.version, record))),
        Err(_) => WriteResult::NotApplied,
    }
}

fn call_digest(call: &Call) -> Digest {
    match &call.payload {
        crate::call::Payload::Plain { method, path, body, .. } => {
            digest(&[call.service.as_bytes(), method.as_bytes(), path.as_bytes(), body])
        }
        crate::call::Payload::Model { path, body, .. } => {
            digest(&[call.service.as_bytes(), path.as_bytes(), body])
        }
    }
}

fn stored_response(response: &PlainResponse) -> StoredResponse {
    let small = response.body.len() <= MAX_STORED_BODY_BYTES;
    let body = small.then(|| String::from_utf8(response.body.to_vec()).ok()).flatten();
    StoredResponse { status: response.status, content_type: response.content_type.clone(), body }
}

/// Builds the response to replay from a stored one.
pub fn replayed_response(stored: StoredResponse) -> PlainResponse {
    PlainResponse {
        status: stored.status,
        content_type: stored.content_type,
        body: stored.body.unwrap_or_default().into(),
    }
}
