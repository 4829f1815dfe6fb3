//! Carries the ledger's writes to the platform.

use {
    crate::{call::Call, logs, shared::Responses, tables::Tables},
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

/// Wait between tries to write what a record has to say after its call ended.
const RETRY_WAIT: Duration = Duration::from_millis(500);

/// Tries for such a write before the record is left open for an operator.
const MAX_TRIES: u32 = 120;

/// Largest time between writes that get no answer, while a caller waits.
const WRITE_WAIT: Duration = Duration::from_millis(50);

/// Writes records of calls.
pub struct Keeper {
    store: Arc<dyn ObjectStore>,
    clock: Arc<dyn Clock>,
    tables: Arc<Tables>,
    node: NodeId,
    pending: Responses,
}

/// A node's hold on the record of one call.
#[derive(Debug)]
pub struct Hold {
    key: String,
    entry: Mutex<RecordWriter>,
}

impl Keeper {
    /// Writes records through this store.
    pub fn new(
        store: Arc<dyn ObjectStore>,
        clock: Arc<dyn Clock>,
        tables: Arc<Tables>,
        node: NodeId,
    ) -> Self {
        Self { store, clock, tables, node, pending: Responses::default() }
    }

    /// A hold on the record of a call with a key; nothing is written yet.
    pub fn hold(&self, call: &Call, key: &str, nonce: Nonce) -> Hold {
        let entry = RecordWriter::new(
            nonce,
            call_digest(call),
            self.node.clone(),
            unix_millis(self.clock.wall_time()),
            self.clock.now(),
        );
        Hold { key: record_key(&call.caller, key), entry: Mutex::new(entry) }
    }

    /// Begins the attempt.
    pub async fn begin(&self, hold: &Hold) -> LedgerResult {
        let step = hold.with(RecordWriter::begin);
        self.carry_out(hold, step).await
    }

    /// Stores the answer; goes on in the background when the platform is away.
    pub async fn store(self: &Arc<Self>, hold: Arc<Hold>, reply: &PlainResponse) {
        let reply = stored(reply);
        let step = hold.with(|e| e.store_response(reply.clone()));
        if self.carry_out(&hold, step).await == LedgerResult::Unavailable {
            self.keep_trying(hold, move |entry| entry.store_response(reply.clone()));
        }
    }

    /// Records that still have something to say after their calls ended.
    pub fn pending(&self) -> u64 {
        self.pending.open()
    }

    /// Lets another attempt begin, in the background.
    pub fn release(self: &Arc<Self>, hold: Arc<Hold>) {
        self.keep_trying(hold, RecordWriter::release);
    }

    fn keep_trying<F>(self: &Arc<Self>, hold: Arc<Hold>, begin: F)
    where
        F: Fn(&mut RecordWriter) -> Step + Send + 'static,
    {
        let keeper = Arc::clone(self);
        let pending = self.pending.begin();
        tokio::spawn(async move {
            let _pending = pending;
            for _ in 0..MAX_TRIES {
                let step = hold.with(&begin);
                if keeper.carry_out(&hold, step).await != LedgerResult::Unavailable {
                    return;
                }
                sleep(RETRY_WAIT).await;
            }
            logs::event("record_left_open").with("key", &hold.key).error();
        });
    }

    async fn carry_out(&self, hold: &Hold, mut step: Step) -> LedgerResult {
        loop {
            match step {
                Step::Complete(verdict) => return verdict,
                Step::Write(write) => {
                    let result = self.write(&hold.key, write).await;
                    if matches!(result, WriteResult::NotApplied | WriteResult::Indeterminate) {
                        sleep(WRITE_WAIT).await;
                    }
                    step = hold.with(|e| e.on_write_result(result));
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

impl Hold {
    /// Time until which the record permits a send.
    pub fn send_until(&self) -> Instant {
        self.with(|e| e.send_deadline())
    }

    fn with<T>(&self, f: impl FnOnce(&mut RecordWriter) -> T) -> T {
        f(&mut self.entry.lock().unwrap_or_else(PoisonError::into_inner))
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

fn stored(reply: &PlainResponse) -> StoredResponse {
    let small = reply.body.len() <= MAX_STORED_BODY_BYTES;
    let body = small.then(|| String::from_utf8(reply.body.to_vec()).ok()).flatten();
    StoredResponse { status: reply.status, content_type: reply.content_type.clone(), body }
}

/// The answer that a stored one stands for.
pub fn replayed(stored: StoredResponse) -> PlainResponse {
    PlainResponse {
        status: stored.status,
        content_type: stored.content_type,
        body: stored.body.unwrap_or_default().into(),
    }
}
