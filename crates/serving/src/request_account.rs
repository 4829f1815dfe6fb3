//! Requests of a client connection, between its stream and their handlers.

use {
    crate::client_gate::{ConnectionRequests, NoRoom},
    futures::task::AtomicWaker,
    std::sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    tokio::sync::Notify,
};

/// Bytes that a relay may read ahead of a handler: what the handler has not read piles up between
/// them.
const RELAY_WINDOW_BYTES: usize = 64 * 1024;

/// Value of [`Progress::relay_credit`] for a connection without a relay.
pub(crate) const UNLIMITED: usize = usize::MAX;

/// Value of [`Progress::response_bytes`] for a response whose size is not known.
pub(crate) const STREAM: usize = usize::MAX;

/// Progress of the request on a connection, shared between its stream and the handler of the request.
pub(crate) struct Progress {
    /// Whether a handler has the request; the head has arrived then.
    pub is_handled: AtomicBool,
    /// Whether the response has been handed to the connection.
    pub is_responded: AtomicBool,
    pub response_bytes: AtomicUsize,
    pub requests_ended: AtomicUsize,
    /// Bytes that may be read before the handler reads on.
    pub relay_credit: AtomicUsize,
    ended: Notify,
    /// Wakes a stream that waits for a handler to take the request, or to read on.
    pub handled: AtomicWaker,
}

impl Progress {
    /// Ends the request that has been handled; its connection is idle then.
    pub fn end(&self, requests: &ConnectionRequests) {
        self.is_handled.store(false, Ordering::Release);
        self.requests_ended.fetch_add(1, Ordering::AcqRel);
        requests.end();
        self.ended.notify_waiters();
    }
}

/// Requests of an accounted connection, for their handlers.
#[derive(Clone)]
pub struct RequestAccount {
    pub(crate) requests: ConnectionRequests,
    pub(crate) progress: Arc<Progress>,
}

/// A request that is being handled.
pub struct RequestGuard {
    account: RequestAccount,
    is_relayed: bool,
}

impl RequestAccount {
    pub(crate) fn new(requests: ConnectionRequests) -> Self {
        let progress = Progress {
            is_handled: AtomicBool::new(false),
            is_responded: AtomicBool::new(false),
            response_bytes: AtomicUsize::new(0),
            requests_ended: AtomicUsize::new(0),
            relay_credit: AtomicUsize::new(UNLIMITED),
            ended: Notify::new(),
            handled: AtomicWaker::new(),
        };
        Self { requests, progress: Arc::new(progress) }
    }

    /// Begins a request whose head is complete, once there is room for it. The request ends once the
    /// guard has been dropped and the response is written.
    ///
    /// # Errors
    /// [`NoRoom`] if there is none in time; the guard covers the response that says so.
    pub async fn begin(&self) -> (RequestGuard, Result<(), NoRoom>) {
        self.begin_with(false).await
    }

    /// The same for a handler behind a relay, which writes the rest of the response after the guard
    /// has been dropped. The request ends with the guard.
    ///
    /// # Errors
    /// As for [`Self::begin`].
    pub async fn begin_relayed(&self) -> (RequestGuard, Result<(), NoRoom>) {
        self.begin_with(true).await
    }

    async fn begin_with(&self, is_relayed: bool) -> (RequestGuard, Result<(), NoRoom>) {
        self.progress.is_responded.store(false, Ordering::Relaxed);
        self.progress.response_bytes.store(0, Ordering::Relaxed);
        let credit = if is_relayed { RELAY_WINDOW_BYTES } else { UNLIMITED };
        self.progress.relay_credit.store(credit, Ordering::Relaxed);
        self.progress.is_handled.store(true, Ordering::Release);
        self.progress.handled.wake();
        let guard = RequestGuard { account: self.clone(), is_relayed };
        let result = self.requests.begin().await;
        (guard, result)
    }

    /// Waits until no request is being handled.
    pub async fn wait_for_idle(&self) {
        loop {
            let ended = self.progress.ended.notified();
            if !self.progress.is_handled.load(Ordering::Acquire) {
                return;
            }
            ended.await;
        }
    }

    /// Lets the relay read on by as much as the handler of a request has read.
    pub fn record_read(&self, bytes: usize) {
        self.progress.relay_credit.fetch_add(bytes, Ordering::Relaxed);
        self.progress.handled.wake();
    }

    /// Lets the relay read on since the handler has read all that has reached it.
    pub fn record_all_read(&self) {
        self.progress.relay_credit.store(RELAY_WINDOW_BYTES, Ordering::Relaxed);
        self.progress.handled.wake();
    }

    /// Ends a request that was answered without a handler that counts it.
    pub fn end_unhandled(&self) {
        if !self.progress.is_handled.load(Ordering::Acquire) {
            self.progress.end(&self.requests);
        }
    }

    /// Takes the room of a response, for a request that is complete.
    ///
    /// # Errors
    /// [`NoRoom`] if there is none in time.
    pub async fn reserve_response(&self) -> Result<(), NoRoom> {
        self.requests.reserve_response().await
    }

    /// Records the size of a response that is counted by itself.
    pub fn set_response_bytes(&self, bytes: usize) {
        self.progress.response_bytes.store(bytes, Ordering::Relaxed);
    }

    /// Records that the response is a stream.
    pub fn set_streaming(&self) {
        self.set_response_bytes(STREAM);
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let RequestAccount { requests, progress } = &self.account;
        if self.is_relayed {
            progress.end(requests);
        } else {
            progress.is_responded.store(true, Ordering::Release);
        }
    }
}
