//! The account of what clients hold, shared by the connections of a node: waits for room, tells
//! clients to go, and gives back what is held when it is dropped.

use {
    crate::client_memory::{AccountConfig, Admission, ClientLimits, ClientMemory, HolderId, Room},
    bytes::Bytes,
    cadence::{Counted as _, StatsdClient},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::{Notify, oneshot},
        time::timeout,
    },
    turmerictack_model::{
        clock::Clock,
        table::{LockRank, Table},
    },
    turmerictack_telemetry::logs,
};

/// Interval at which a waiting holder asks again if nothing has been released.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum interval between two log lines about refused clients.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Why a client has to go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// Others need the memory.
    Memory,
    /// Others need the place.
    Connections,
}

impl Shortage {
    fn name(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Connections => "connections",
        }
    }
}

/// Tells a holder that it has to go.
type Signal = oneshot::Sender<Shortage>;

struct State {
    memory: ClientMemory<Signal>,
    logged_at: Option<Instant>,
    /// Refusals since the last log line.
    refusals: u64,
}

/// Memory and connections that a node holds for its clients.
pub struct ClientGate {
    state: Table<State>,
    limits: ClientLimits,
    released: Notify,
    clock: Arc<dyn Clock>,
    metrics: Arc<StatsdClient>,
}

/// Client refused for lack of memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom;

impl ClientGate {
    /// Opens an account.
    pub fn open(
        config: AccountConfig,
        clock: Arc<dyn Clock>,
        metrics: Arc<StatsdClient>,
    ) -> Arc<Self> {
        let memory = ClientMemory::with_config(config);
        let state = State { memory, logged_at: None, refusals: 0 };
        let state = Table::new(LockRank::Clients, state);
        Arc::new(Self { state, limits: config.limits, released: Notify::new(), clock, metrics })
    }

    /// What the node has.
    pub fn limits(&self) -> ClientLimits {
        self.limits
    }

    /// Waits for a place for a new connection; clients that do not get on are closed for it.
    pub async fn admit(self: &Arc<Self>) -> ConnectionHold {
        loop {
            let released = self.released.notified();
            let (signal, closed) = oneshot::channel();
            let now = self.clock.now();
            let admission = self.state.lock().memory.admit(now, || signal);
            match admission {
                Admission::Admitted(id) => {
                    self.keep_places_free(now);
                    return ConnectionHold { gate: Arc::clone(self), id, evicted: closed };
                }
                Admission::Evict(worst) => self.evict(worst, Shortage::Connections),
                Admission::Wait => {}
            }
            let _ = timeout(RETRY_INTERVAL, released).await;
        }
    }

    fn keep_places_free(&self, now: Instant) {
        loop {
            let worst = self.state.lock().memory.keep_places_free(now);
            match worst {
                Some(worst) => self.evict(worst, Shortage::Connections),
                None => return,
            }
        }
    }

    /// Starts a body that holds nothing yet.
    pub fn open_body(self: &Arc<Self>) -> Hold {
        let (signal, evicted) = oneshot::channel();
        let id = self.state.lock().memory.open_body(self.clock.now(), signal);
        Hold { evicted, room: self.room(id) }
    }

    /// Starts a response that is received from an upstream and holds nothing yet.
    pub fn open_response(self: &Arc<Self>) -> HeldRoom {
        let id = self.state.lock().memory.open_response(self.clock.now());
        self.room(id)
    }

    /// Takes room of `bytes` bytes for a connection that this node carries for another one; `None` if
    /// that would make clients of this node go or wait.
    pub fn open_carried(self: &Arc<Self>, bytes: usize) -> Option<HeldRoom> {
        let id = self.state.lock().memory.open_carried(self.clock.now(), bytes)?;
        Some(self.room(id))
    }

    fn room(self: &Arc<Self>, id: HolderId) -> HeldRoom {
        HeldRoom { gate: Arc::clone(self), id }
    }

    fn evict(&self, signal: Signal, shortage: Shortage) {
        // The holder may have ended in the meantime.
        let _ = signal.send(shortage);
        self.record_refusal(shortage.name());
    }

    /// Waits for room for `bytes` bytes of a holding in all.
    async fn grow(&self, id: HolderId, bytes: usize) -> Result<(), NoRoom> {
        let first = self.state.lock().memory.grow(self.clock.now(), id, bytes);
        self.wait_for_room(id, bytes, first).await
    }

    /// Acts on the response to a holding that has asked for `bytes` bytes, and asks again until it has
    /// them or has to go.
    async fn wait_for_room(
        &self,
        id: HolderId,
        bytes: usize,
        mut room: Room<Signal>,
    ) -> Result<(), NoRoom> {
        loop {
            let released = self.released.notified();
            match room {
                Room::Granted => return Ok(()),
                Room::Refused => return Err(NoRoom),
                Room::Evict(slowest) => self.evict(slowest, Shortage::Memory),
                Room::Wait => {}
            }
            let _ = timeout(RETRY_INTERVAL, released).await;
            room = self.state.lock().memory.grow(self.clock.now(), id, bytes);
        }
    }

    /// Counts a client that is refused or disconnected, and logs it unless that was done just before.
    pub fn record_refusal(&self, reason: &str) {
        let _ = self
            .metrics
            .count_with_tags("clients.refused", 1)
            .with_tag("reason", reason)
            .try_send();
        let now = self.clock.now();
        let mut state = self.state.lock();
        state.refusals += 1;
        if state.logged_at.is_some_and(|at| now < at + LOG_INTERVAL) {
            return;
        }
        state.logged_at = Some(now);
        logs::event("clients_refused")
            .with("reason", reason)
            .with("count", std::mem::take(&mut state.refusals))
            .with("held_bytes", state.memory.used())
            .warn();
    }
}

/// A counted connection; dropping it gives its place back, with what its request holds.
pub struct ConnectionHold {
    gate: Arc<ClientGate>,
    id: HolderId,
    /// Resolves when the connection has to be closed.
    pub evicted: oneshot::Receiver<Shortage>,
}

impl ConnectionHold {
    /// Part of the hold that the requests of the connection use.
    pub fn requests(&self) -> ConnectionRequests {
        ConnectionRequests { gate: Arc::clone(&self.gate), id: self.id }
    }
}

impl Drop for ConnectionHold {
    fn drop(&mut self) {
        self.gate.state.lock().memory.close(self.id);
        self.gate.released.notify_waiters();
    }
}

/// Counts the requests of a connection, which is idle between them.
#[derive(Clone)]
pub struct ConnectionRequests {
    gate: Arc<ClientGate>,
    id: HolderId,
}

impl ConnectionRequests {
    /// Records that the head of a request begins to arrive.
    pub fn record_first_byte(&self) {
        let now = self.gate.clock.now();
        self.gate.state.lock().memory.set_idle_since(self.id, Some(now));
    }

    /// Starts to count a request whose head is arriving; what it holds is released by
    /// [`Self::end`].
    pub fn open_head(&self) -> HeadHold {
        let (signal, evicted) = oneshot::channel();
        let now = self.gate.clock.now();
        let id = self.gate.state.lock().memory.open_head(now, self.id, signal);
        HeadHold { evicted, gate: Arc::clone(&self.gate), id }
    }

    /// Begins a request whose head is complete, once there is room for it.
    ///
    /// # Errors
    /// [`NoRoom`] if there is none in time; the request still has to be ended.
    pub async fn begin(&self) -> Result<(), NoRoom> {
        let now = self.gate.clock.now();
        let (request, bytes, room) = {
            let memory = &mut self.gate.state.lock().memory;
            let (request, held) = memory.begin_request(now, self.id).ok_or(NoRoom)?;
            let bytes = held.max(memory.costs().request);
            (request, bytes, memory.grow(now, request, bytes))
        };
        self.gate.wait_for_room(request, bytes, room).await
    }

    /// Takes the room of a response, for a request that is complete.
    ///
    /// # Errors
    /// [`NoRoom`] if there is none in time; the request still has to be ended.
    pub async fn reserve_response(&self) -> Result<(), NoRoom> {
        let now = self.gate.clock.now();
        let (request, bytes, room) = {
            let memory = &mut self.gate.state.lock().memory;
            let (request, held) = memory.request(self.id).ok_or(NoRoom)?;
            let bytes = held + memory.costs().response;
            (request, bytes, memory.grow(now, request, bytes))
        };
        self.gate.wait_for_room(request, bytes, room).await
    }

    /// Ends a request, whose response has been written.
    pub fn end(&self) {
        let now = self.gate.clock.now();
        self.gate.state.lock().memory.end_request(now, self.id);
        self.gate.released.notify_waiters();
    }

    /// Counts the part of a response that the client does not read. `response_bytes` is the size of a
    /// complete response, which is counted already; `None` for a stream.
    pub fn open_backlog(&self, response_bytes: Option<usize>) -> Hold {
        let (signal, evicted) = oneshot::channel();
        let now = self.gate.clock.now();
        let mut state = self.gate.state.lock();
        let costs = state.memory.costs();
        let (held, linked) = match response_bytes {
            Some(bytes) => (0, costs.response + bytes),
            None => (costs.stream_backlog, costs.response),
        };
        let id = state.memory.open_backlog(now, signal, held, linked);
        drop(state);
        Hold { evicted, room: self.gate.room(id) }
    }
}

/// Head that is being received.
pub struct HeadHold {
    /// Resolves when the connection has to be closed.
    pub evicted: oneshot::Receiver<Shortage>,
    gate: Arc<ClientGate>,
    id: HolderId,
}

impl HeadHold {
    /// Future that waits for the room of a request with a long head.
    pub fn grow(&self) -> impl Future<Output = Result<(), NoRoom>> + Send + use<> {
        let (gate, id) = (Arc::clone(&self.gate), self.id);
        async move {
            let costs = gate.state.lock().memory.costs();
            gate.grow(id, costs.request + costs.long_head).await
        }
    }

    /// Records the number of bytes received in all.
    pub fn record_progress(&self, received: usize) {
        let now = self.gate.clock.now();
        self.gate.state.lock().memory.record_progress(now, self.id, received);
    }
}

/// Something that may be told to go.
pub struct Hold {
    /// Resolves when it has to go.
    pub evicted: oneshot::Receiver<Shortage>,
    /// What it holds.
    pub room: HeldRoom,
}

/// Room that a body or a response takes; dropping it gives it back.
pub struct HeldRoom {
    gate: Arc<ClientGate>,
    id: HolderId,
}

impl HeldRoom {
    /// Waits for room for `bytes` bytes in all.
    ///
    /// # Errors
    /// [`NoRoom`] if there is none in time, or the holder has to go.
    pub async fn grow(&self, bytes: usize) -> Result<(), NoRoom> {
        self.gate.grow(self.id, bytes).await
    }

    /// Current time of the account's clock.
    pub(crate) fn now(&self) -> Instant {
        self.gate.clock.now()
    }

    /// Records the number of bytes that have been received or sent in all.
    pub fn record_progress(&self, moved: usize) {
        let now = self.now();
        self.gate.state.lock().memory.record_progress(now, self.id, moved);
    }

    /// Makes complete bytes of the buffer, which give the room back when they are dropped.
    ///
    /// # Errors
    /// [`NoRoom`] if the holder has been told to go before.
    pub fn complete(self, buf: Vec<u8>) -> Result<Bytes, NoRoom> {
        if !self.gate.state.lock().memory.complete(self.id, buf.capacity()) {
            return Err(NoRoom);
        }
        Ok(Bytes::from_owner(HeldBytes { buf, _room: self }))
    }
}

impl Drop for HeldRoom {
    fn drop(&mut self) {
        self.gate.state.lock().memory.release(self.id);
        self.gate.released.notify_waiters();
    }
}

struct HeldBytes {
    buf: Vec<u8>,
    _room: HeldRoom,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.buf
    }
}
