//! Memory and connections that a node holds for its clients: who gets room, and who has to go.
//!
//! Answers the load of clients that open many connections, or send many bodies, and stop short of
//! their end.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Fraction of the memory of the process that may be held for clients; the rest is for responses,
/// peers and the process itself.
const CLIENT_FRACTION: usize = 2;

/// Fraction of the budget that bodies above [`SMALL_BODY_BYTES`] leave to small ones.
const SMALL_BODY_FRACTION: usize = 4;

/// Size up to which a body counts as small, in bytes.
const SMALL_BODY_BYTES: usize = 64 * 1024;

/// Fraction of the budget that connections may take.
const CONNECTION_FRACTION: usize = 2;

/// Memory of a connection with its read buffer and task, in bytes.
const CONNECTION_BYTES: usize = 16 * 1024;

/// Sockets that are left to the store, peers and upstreams, as a fraction of all.
const OTHER_SOCKETS_FRACTION: usize = 4;

/// Age below which a body or an idle connection does not have to go.
const MIN_AGE: Duration = Duration::from_secs(1);

/// Time without progress after which a body counts as stalled.
const STALL_TIME: Duration = Duration::from_secs(1);

/// Time for which a body waits for room.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Delay after which a client that found no room may retry.
pub const NO_ROOM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Id of a body or a connection.
pub type HolderId = u64;

/// What a node has; `None` is no bound.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientLimits {
    /// Memory of the process, in bytes.
    pub memory: Option<usize>,
    /// Number of sockets that may be open.
    pub sockets: Option<usize>,
}

/// Response to a body that asks for room; `S` is how another one learns that it has to go.
#[derive(Debug, PartialEq, Eq)]
pub enum Room<S> {
    /// The room is taken.
    Granted,
    /// There may be room once something is released.
    Wait,
    /// The same, once this holder has been told to go.
    Evict(S),
    /// The body has to go.
    Refused,
}

/// Response to a new connection.
#[derive(Debug, PartialEq, Eq)]
pub enum Admission<S> {
    /// The connection is counted.
    Admitted(HolderId),
    /// There may be a place once a connection is closed.
    Wait,
    /// The same, once this idle connection has been told to close.
    Evict(S),
}

#[derive(Debug)]
struct Body<S> {
    /// Memory taken, in bytes.
    held: usize,
    received: usize,
    opened_at: Instant,
    last_progress: Instant,
    waiting_since: Option<Instant>,
    is_evicted: bool,
    /// `None` once the body is complete, or has been told to go.
    signal: Option<S>,
}

impl<S> Body<S> {
    fn is_large(&self) -> bool {
        self.held > SMALL_BODY_BYTES
    }

    /// Bytes per second since the body was opened; zero if it is stalled.
    fn pace(&self, now: Instant) -> u64 {
        // A body that waits for room is not read.
        let now = self.waiting_since.unwrap_or(now);
        if now.saturating_duration_since(self.last_progress) >= STALL_TIME {
            return 0;
        }
        let age_ms = now.saturating_duration_since(self.opened_at).as_millis().max(1) as u64;
        self.received as u64 * 1_000 / age_ms
    }
}

#[derive(Debug)]
struct Connection<S> {
    /// Start of the time without a request; `None` while one is served.
    idle_since: Option<Instant>,
    /// `None` once it has been told to close.
    signal: Option<S>,
}

/// Memory and connections held for clients.
#[derive(Debug)]
pub struct ClientMemory<S> {
    budget: usize,
    max_connections: usize,
    /// Bytes held by bodies.
    held: usize,
    next_id: HolderId,
    bodies: BTreeMap<HolderId, Body<S>>,
    connections: BTreeMap<HolderId, Connection<S>>,
}

impl<S> ClientMemory<S> {
    /// Derives budget and number of connections from what the node has.
    pub fn new(limits: ClientLimits) -> Self {
        let budget = limits.memory.map_or(usize::MAX, |bytes| bytes / CLIENT_FRACTION);
        let by_memory = budget / CONNECTION_FRACTION / CONNECTION_BYTES;
        let by_sockets = limits.sockets.map_or(usize::MAX, |n| n - n / OTHER_SOCKETS_FRACTION);
        Self {
            budget,
            max_connections: by_memory.min(by_sockets).max(1),
            held: 0,
            next_id: 0,
            bodies: BTreeMap::new(),
            connections: BTreeMap::new(),
        }
    }

    /// Maximum number of connections.
    pub fn max_connections(&self) -> usize {
        self.max_connections
    }

    /// Bytes held, with those of connections.
    pub fn used(&self) -> usize {
        self.held + self.connections.len() * CONNECTION_BYTES
    }

    fn new_id(&mut self) -> HolderId {
        self.next_id += 1;
        self.next_id
    }

    /// Starts a body that holds nothing yet; `signal` tells it to go.
    pub fn open_body(&mut self, now: Instant, signal: S) -> HolderId {
        self.insert(now, Some(signal))
    }

    /// Counts a complete response of `bytes` bytes until it is released; it is never refused, but
    /// bodies find less room meanwhile.
    pub fn hold_response(&mut self, now: Instant, bytes: usize) -> HolderId {
        let id = self.insert(now, None);
        self.set_held(id, bytes);
        id
    }

    fn insert(&mut self, now: Instant, signal: Option<S>) -> HolderId {
        let id = self.new_id();
        let body = Body {
            held: 0,
            received: 0,
            opened_at: now,
            last_progress: now,
            waiting_since: None,
            is_evicted: false,
            signal,
        };
        self.bodies.insert(id, body);
        id
    }

    /// Records that `received` bytes of a body have arrived in all.
    pub fn record_progress(&mut self, now: Instant, id: HolderId, received: usize) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.received = received;
            body.last_progress = now;
        }
    }

    /// Asks for room for `held` bytes of a body in all. A body that is to wait asks again.
    pub fn grow(&mut self, now: Instant, id: HolderId, held: usize) -> Room<S> {
        let Some(body) = self.bodies.get(&id).filter(|b| !b.is_evicted) else {
            return Room::Refused;
        };
        let waiting_since = body.waiting_since.unwrap_or(now);
        let missing = self.missing(body.held, held);
        if missing == 0 {
            self.set_held(id, held);
            if let Some(body) = self.bodies.get_mut(&id).filter(|b| b.waiting_since.is_some()) {
                body.waiting_since = None;
                body.last_progress = now;
            }
            return Room::Granted;
        }
        if now >= waiting_since + MAX_WAIT {
            return Room::Refused;
        }
        if let Some(body) = self.bodies.get_mut(&id) {
            body.waiting_since = Some(waiting_since);
        }
        let leaving: usize = self.bodies.values().filter(|b| b.is_evicted).map(|b| b.held).sum();
        if leaving >= missing {
            return Room::Wait;
        }
        match self.slowest(now, held > SMALL_BODY_BYTES) {
            None => Room::Wait,
            Some(slowest) if slowest == id => Room::Refused,
            Some(slowest) => self.evict(slowest).map_or(Room::Wait, Room::Evict),
        }
    }

    /// Bytes that have to be released before a body may grow from `old` to `new` bytes.
    fn missing(&self, old: usize, new: usize) -> usize {
        let more = new.saturating_sub(old);
        let over_budget = (self.used() + more).saturating_sub(self.budget);
        if new <= SMALL_BODY_BYTES {
            return over_budget;
        }
        let large: usize = self.bodies.values().filter(|b| b.is_large()).map(|b| b.held).sum();
        let own = if old > SMALL_BODY_BYTES { more } else { new };
        let connections = self.connections.len() * CONNECTION_BYTES;
        let large_budget = self.budget - self.budget / SMALL_BODY_FRACTION;
        over_budget.max((large + own + connections).saturating_sub(large_budget))
    }

    /// Body that has made least progress for its age, the largest of those that are stalled.
    fn slowest(&self, now: Instant, only_large: bool) -> Option<HolderId> {
        let candidates = self.bodies.iter().filter(|(_, b)| {
            b.signal.is_some()
                && now >= b.opened_at + MIN_AGE
                && (b.is_large() || !only_large)
                && b.held > 0
        });
        candidates.min_by_key(|(_, b)| (b.pace(now), Reverse(b.held))).map(|(id, _)| *id)
    }

    fn evict(&mut self, id: HolderId) -> Option<S> {
        let body = self.bodies.get_mut(&id)?;
        body.is_evicted = true;
        body.signal.take()
    }

    fn set_held(&mut self, id: HolderId, held: usize) {
        if let Some(body) = self.bodies.get_mut(&id) {
            self.held = self.held - body.held + held;
            body.held = held;
        }
    }

    /// Records that a body is complete, and holds `held` bytes from now on; it need not go any more.
    /// Returns `false` if it has been told to go before.
    pub fn complete(&mut self, id: HolderId, held: usize) -> bool {
        self.set_held(id, held);
        let Some(body) = self.bodies.get_mut(&id) else { return false };
        body.signal = None;
        !body.is_evicted
    }

    /// Gives back what a body holds.
    pub fn release(&mut self, id: HolderId) {
        if let Some(body) = self.bodies.remove(&id) {
            self.held -= body.held;
        }
    }

    /// Counts a new connection if there is a place; `signal` is called for if it has to close.
    pub fn admit(&mut self, now: Instant, signal: impl FnOnce() -> S) -> Admission<S> {
        let closing = self.connections.values().filter(|c| c.signal.is_none()).count();
        if self.connections.len() < self.max_connections {
            let id = self.new_id();
            let connection = Connection { idle_since: Some(now), signal: Some(signal()) };
            self.connections.insert(id, connection);
            return Admission::Admitted(id);
        }
        if closing > 0 {
            return Admission::Wait;
        }
        let idle = self.connections.values_mut().filter(|c| {
            c.signal.is_some() && c.idle_since.is_some_and(|since| now >= since + MIN_AGE)
        });
        match idle.min_by_key(|c| c.idle_since).and_then(|c| c.signal.take()) {
            Some(signal) => Admission::Evict(signal),
            None => Admission::Wait,
        }
    }

    /// Records that a request on a connection begins (`None`), or when it has ended.
    pub fn set_idle_since(&mut self, id: HolderId, idle_since: Option<Instant>) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.idle_since = idle_since;
        }
    }

    /// Records that a connection is closed.
    pub fn close(&mut self, id: HolderId) {
        self.connections.remove(&id);
    }
}
