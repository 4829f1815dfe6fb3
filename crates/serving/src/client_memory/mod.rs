//! Memory and connections that a node holds for its clients: who gets room, and who has to go.
//!
//! Answers the load of clients that open many connections, send heads and bodies that stop short of
//! their end, or leave their responses unread.

mod holding;

use {
    holding::{Holding, Victim},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

pub use holding::HoldingKind;

/// Fraction of the memory of the process that may be held for clients; the rest is for peers and the
/// process itself, and for the gaps between allocations.
const CLIENT_FRACTION: usize = 2;

/// Fraction of the budget that holdings above [`SMALL_BYTES`] leave to small ones.
const SMALL_FRACTION: usize = 4;

/// Size up to which a holding counts as small, in bytes.
const SMALL_BYTES: usize = 64 * 1024;

/// Fraction of the budget that idle connections may take.
const CONNECTION_FRACTION: usize = 2;

/// Fraction of the places that is kept free of stalled clients.
const SPARE_FRACTION: usize = 8;

/// Sockets that are left to the store, peers and upstreams, as a fraction of all.
const OTHER_SOCKETS_FRACTION: usize = 4;

/// Sockets of the listeners for operators and of the connections to the store and to peers.
const SYSTEM_SOCKETS: usize = 96;

/// Connections to upstreams that are possible with any number of sockets.
const MIN_UPSTREAM_CONNECTIONS: usize = 16;

/// Fraction of the budget that the receive buffers of [`LISTEN_BACKLOG`] connections may fill.
const RECEIVE_FRACTION: usize = 4;

/// Connections that the system accepts on behalf of a listener.
const LISTEN_BACKLOG: usize = 1024;

/// Smallest and largest receive buffer of a connection, in bytes.
const MIN_RECEIVE_BYTES: usize = 16 * 1024;
const MAX_RECEIVE_BYTES: usize = 64 * 1024;

/// Interval between two searches for something that may go.
const SCAN_INTERVAL: Duration = Duration::from_millis(50);

/// Default of [`AccountConfig::min_age`].
const DEFAULT_MIN_AGE: Duration = Duration::from_secs(1);

/// Delay after which a client that found no room may retry.
pub const NO_ROOM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Id of a holding or a connection.
pub type HolderId = u64;

/// What a node has; `None` is no bound.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientLimits {
    /// Memory of the process, in bytes.
    pub memory: Option<usize>,
    /// Number of sockets that may be open.
    pub sockets: Option<usize>,
}

impl ClientLimits {
    /// Bytes that may be held for clients.
    fn budget(&self) -> usize {
        self.memory.map_or(usize::MAX, |bytes| bytes / CLIENT_FRACTION)
    }

    /// Connections to upstreams that may be open, of the sockets that clients leave.
    pub fn upstream_connections(&self) -> Option<usize> {
        let others = self.sockets? / OTHER_SOCKETS_FRACTION;
        Some(others.saturating_sub(SYSTEM_SOCKETS).max(MIN_UPSTREAM_CONNECTIONS))
    }

    /// Size for the receive buffers of client connections, in bytes, since what the system has
    /// received for a process counts as its memory; `None` leaves it to the system.
    pub fn receive_buffer(&self) -> Option<usize> {
        self.memory?;
        let share = self.budget() / RECEIVE_FRACTION / LISTEN_BACKLOG;
        Some(share.clamp(MIN_RECEIVE_BYTES, MAX_RECEIVE_BYTES))
    }
}

/// What a connection of a front end takes, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionCosts {
    /// Without a request: task, buffers, and the start of a request head.
    pub idle: usize,
    /// In addition with a request: a further buffer, and its state.
    pub request: usize,
    /// In addition with a head that is longer than its start: its buffer, the table of its fields,
    /// and the head that is sent to the upstream.
    pub long_head: usize,
    /// In addition from the end of the request on: the connection to the upstream, a response that is
    /// not counted by itself, and what the client goes on sending.
    pub response: usize,
    /// In addition while the client does not read a stream.
    pub stream_backlog: usize,
}

impl Default for ConnectionCosts {
    fn default() -> Self {
        Self {
            idle: 16 * 1024,
            request: 8 * 1024,
            long_head: 64 * 1024,
            response: 16 * 1024,
            stream_backlog: 64 * 1024,
        }
    }
}

/// What an account allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountConfig {
    /// What the node has.
    pub limits: ClientLimits,
    /// What a connection takes.
    pub costs: ConnectionCosts,
    /// Maximum number of connections, if the limits allow so many.
    pub connections: usize,
    /// Age below which a client does not have to go.
    pub min_age: Duration,
}

impl Default for AccountConfig {
    fn default() -> Self {
        Self {
            limits: ClientLimits::default(),
            costs: ConnectionCosts::default(),
            connections: usize::MAX,
            min_age: DEFAULT_MIN_AGE,
        }
    }
}

/// Response to a holding that asks for room; `S` is how another one learns that it has to go.
#[derive(Debug, PartialEq, Eq)]
pub enum Room<S> {
    /// The room is taken.
    Granted,
    /// There may be room once something is released.
    Wait,
    /// The same, once this holder has been told to go.
    Evict(S),
    /// The holding has to go.
    Refused,
}

/// Response to a new connection.
#[derive(Debug, PartialEq, Eq)]
pub enum Admission<S> {
    /// The connection is counted.
    Admitted(HolderId),
    /// There may be a place once a connection is closed.
    Wait,
    /// The same, once this client has been told to go.
    Evict(S),
}

#[derive(Debug)]
struct Connection<S> {
    /// Start of the time without a request; `None` while one is served.
    idle_since: Option<Instant>,
    has_had_request: bool,
    /// Memory of the request that is under way.
    request: Option<HolderId>,
    /// `None` once it has been told to close.
    signal: Option<S>,
}

/// Memory and connections held for clients.
#[derive(Debug)]
pub struct ClientMemory<S> {
    budget: usize,
    costs: ConnectionCosts,
    max_connections: usize,
    min_age: Duration,
    /// Bytes held by requests and responses.
    held: usize,
    /// Bytes held by large ones of these.
    large: usize,
    /// Bytes that are released when those that were told to go have gone.
    leaving: usize,
    /// When to look again for something that may go, for large holdings only and for all.
    next_scans: [Option<Instant>; 2],
    next_id: HolderId,
    holdings: BTreeMap<HolderId, Holding<S>>,
    connections: BTreeMap<HolderId, Connection<S>>,
}

impl<S> ClientMemory<S> {
    /// Derives budget and number of connections from what the node has.
    pub fn new(limits: ClientLimits) -> Self {
        Self::with_config(AccountConfig { limits, ..AccountConfig::default() })
    }

    /// The same with a configuration.
    pub fn with_config(config: AccountConfig) -> Self {
        let AccountConfig { limits, costs, connections, min_age } = config;
        let budget = limits.budget();
        let by_memory = budget / CONNECTION_FRACTION / costs.idle;
        let by_sockets = limits.sockets.map_or(usize::MAX, |n| n - n / OTHER_SOCKETS_FRACTION);
        Self {
            budget,
            costs,
            max_connections: by_memory.min(by_sockets).min(connections).max(1),
            min_age,
            held: 0,
            large: 0,
            leaving: 0,
            next_scans: [None; 2],
            next_id: 0,
            holdings: BTreeMap::new(),
            connections: BTreeMap::new(),
        }
    }

    /// Maximum number of connections.
    pub fn max_connections(&self) -> usize {
        self.max_connections
    }

    /// What connections take.
    pub fn costs(&self) -> ConnectionCosts {
        self.costs
    }

    /// Bytes held, with those of connections.
    pub fn used(&self) -> usize {
        self.held + self.connection_bytes()
    }

    fn connection_bytes(&self) -> usize {
        self.connections.len() * self.costs.idle
    }

    fn new_id(&mut self) -> HolderId {
        self.next_id += 1;
        self.next_id
    }

    /// Starts a body that holds nothing yet; `signal` tells it to go.
    pub fn open_body(&mut self, now: Instant, signal: S) -> HolderId {
        self.insert(Holding::new(HoldingKind::Body, now, Some(signal)))
    }

    /// Starts a response that is received from an upstream and holds nothing yet. It never has to go
    /// by itself, but with its connection if its client does not read it.
    pub fn open_response(&mut self, now: Instant) -> HolderId {
        self.insert(Holding::new(HoldingKind::Response, now, None))
    }

    /// Counts a complete response of `bytes` bytes until it is released; it is never refused, but
    /// others find less room meanwhile.
    pub fn hold_response(&mut self, now: Instant, bytes: usize) -> HolderId {
        let id = self.open_response(now);
        self.set_held(id, bytes);
        id
    }

    /// Records that a connection is blocked by a client that does not read its response; `signal`
    /// tells the connection to close. `linked` bytes, counted elsewhere, are released with it, and
    /// `held` bytes are counted here.
    pub fn open_backlog(
        &mut self,
        now: Instant,
        signal: S,
        held: usize,
        linked: usize,
    ) -> HolderId {
        let id = self
            .insert(Holding { linked, ..Holding::new(HoldingKind::Backlog, now, Some(signal)) });
        self.set_held(id, held);
        id
    }

    fn insert(&mut self, holding: Holding<S>) -> HolderId {
        let id = self.new_id();
        self.holdings.insert(id, holding);
        id
    }

    /// Records that `moved` bytes have been received, or sent, in all.
    pub fn record_progress(&mut self, now: Instant, id: HolderId, moved: usize) {
        if let Some(holding) = self.holdings.get_mut(&id) {
            holding.moved = moved;
            holding.last_progress = now;
        }
    }

    /// Asks for room for `held` bytes in all. A holding that is to wait asks again.
    pub fn grow(&mut self, now: Instant, id: HolderId, held: usize) -> Room<S> {
        let Some(holding) = self.holdings.get(&id).filter(|h| !h.is_evicted) else {
            return Room::Refused;
        };
        let waiting_since = holding.waiting_since.unwrap_or(now);
        let is_response = holding.kind == HoldingKind::Response;
        let gives_up_at = waiting_since + holding.max_wait();
        let missing = self.missing(holding.held, held);
        if missing == 0 {
            self.set_held(id, held);
            if let Some(holding) = self.holdings.get_mut(&id).filter(|h| h.waiting_since.is_some())
            {
                holding.waiting_since = None;
                holding.last_progress = now;
            }
            return Room::Granted;
        }
        if now >= gives_up_at {
            return Room::Refused;
        }
        if let Some(holding) = self.holdings.get_mut(&id) {
            holding.waiting_since = Some(waiting_since);
        }
        if self.leaving >= missing {
            return Room::Wait;
        }
        match self.slowest(now, held > SMALL_BYTES) {
            // Responses that wait for each other would never be complete.
            None if is_response && !self.holdings.values().any(Holding::makes_room) => {
                Room::Refused
            }
            None => Room::Wait,
            Some(slowest) if slowest == id => Room::Refused,
            Some(slowest) => self.evict(slowest).map_or(Room::Wait, Room::Evict),
        }
    }

    /// Bytes that have to be released before a holding may grow from `old` to `new` bytes.
    fn missing(&self, old: usize, new: usize) -> usize {
        let more = new.saturating_sub(old);
        let over_budget = (self.used() + more).saturating_sub(self.budget);
        if new <= SMALL_BYTES {
            return over_budget;
        }
        let own = if old > SMALL_BYTES { more } else { new };
        let large_budget = self.budget - self.budget / SMALL_FRACTION;
        over_budget.max((self.large + own + self.connection_bytes()).saturating_sub(large_budget))
    }

    /// Holding that has made least progress for its age, the largest of those that are stalled. After
    /// a search in vain there is none for a while, since many that wait may ask at once.
    fn slowest(&mut self, now: Instant, only_large: bool) -> Option<HolderId> {
        let scan = usize::from(only_large);
        if self.next_scans[scan].is_some_and(|at| now < at) {
            return None;
        }
        let candidates = self.holdings.iter().filter(|(_, h)| {
            self.is_old(now, h) && (h.is_large() || !only_large) && h.released() > 0
        });
        let slowest = candidates.min_by_key(|(_, h)| h.memory_rank(now)).map(|(id, _)| *id);
        self.next_scans[scan] = slowest.is_none().then(|| now + SCAN_INTERVAL);
        slowest
    }

    /// Whether something may be told to go, and is old enough for that.
    fn is_old(&self, now: Instant, holding: &Holding<S>) -> bool {
        holding.signal.is_some() && now >= holding.opened_at + self.min_age
    }

    fn evict(&mut self, id: HolderId) -> Option<S> {
        let holding = self.holdings.get_mut(&id)?;
        let signal = holding.signal.take()?;
        holding.is_evicted = true;
        self.leaving += holding.released();
        Some(signal)
    }

    fn set_held(&mut self, id: HolderId, held: usize) {
        if let Some(holding) = self.holdings.get_mut(&id) {
            let large_bytes = |held: usize| if held > SMALL_BYTES { held } else { 0 };
            self.held = self.held - holding.held + held;
            self.large = self.large - large_bytes(holding.held) + large_bytes(held);
            if holding.is_evicted {
                self.leaving = self.leaving - holding.held + held;
            }
            holding.held = held;
        }
    }

    /// Records that a body is complete, and holds `held` bytes from now on; it need not go any more.
    /// Returns `false` if it has been told to go before.
    pub fn complete(&mut self, id: HolderId, held: usize) -> bool {
        self.set_held(id, held);
        let Some(holding) = self.holdings.get_mut(&id) else { return false };
        holding.signal = None;
        holding.is_complete = true;
        !holding.is_evicted
    }

    /// Gives back what is held.
    pub fn release(&mut self, id: HolderId) {
        self.set_held(id, 0);
        if let Some(holding) = self.holdings.remove(&id).filter(|h| h.is_evicted) {
            self.leaving -= holding.linked;
        }
    }

    /// Counts a new connection if there is a place; `signal` is called for if it has to close.
    pub fn admit(&mut self, now: Instant, signal: impl FnOnce() -> S) -> Admission<S> {
        if self.connections.len() < self.max_connections {
            let id = self.new_id();
            let connection = Connection {
                idle_since: Some(now),
                has_had_request: false,
                request: None,
                signal: Some(signal()),
            };
            self.connections.insert(id, connection);
            return Admission::Admitted(id);
        }
        if self.leaving_connections() > 0 {
            return Admission::Wait;
        }
        match self.worst_client(now).and_then(|(_, victim)| self.evict_victim(victim)) {
            Some(signal) => Admission::Evict(signal),
            None => Admission::Wait,
        }
    }

    /// Tells a client that does not get on to go if few places are left, so that there is one for the
    /// next client; to be called again until it returns `None`.
    pub fn keep_places_free(&mut self, now: Instant) -> Option<S> {
        let free = self.max_connections - self.connections.len();
        if free + self.leaving_connections() >= self.max_connections / SPARE_FRACTION {
            return None;
        }
        let (rank, victim) = self.worst_client(now)?;
        if rank.is_sound() { None } else { self.evict_victim(victim) }
    }

    /// Connections that are about to be closed; one that has got a request meanwhile serves it first.
    fn leaving_connections(&self) -> usize {
        let is_closing = |c: &&Connection<S>| c.signal.is_none() && c.request.is_none();
        let closing = self.connections.values().filter(is_closing).count();
        closing + self.holdings.values().filter(|h| h.is_evicted).count()
    }

    /// Client whose connection is the first to be closed for a place.
    fn worst_client(&self, now: Instant) -> Option<(holding::PlaceRank, Victim)> {
        let holdings = self
            .holdings
            .iter()
            .filter(|(_, h)| self.is_old(now, h))
            .map(|(id, h)| (h.place_rank(now), Victim::Holding(*id)));
        let idle = self.connections.iter().filter_map(|(id, c)| {
            let since = c.idle_since.filter(|since| now >= *since + self.min_age)?;
            c.signal.is_some().then_some(())?;
            let rank = holding::PlaceRank::idle(c.has_had_request, since);
            Some((rank, Victim::Connection(*id)))
        });
        holdings.chain(idle).min_by_key(|(rank, _)| *rank)
    }

    fn evict_victim(&mut self, victim: Victim) -> Option<S> {
        match victim {
            Victim::Holding(id) => self.evict(id),
            Victim::Connection(id) => self.connections.get_mut(&id)?.signal.take(),
        }
    }

    /// Records that a request on a connection begins (`None`), or when it has ended.
    pub fn set_idle_since(&mut self, id: HolderId, idle_since: Option<Instant>) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.idle_since = idle_since;
        }
    }

    /// Starts to count the request of a connection while its head is arriving; `signal` tells the
    /// connection to close. The holding asks for the room of a request, and is released by
    /// [`Self::end_request`].
    pub fn open_head(&mut self, now: Instant, connection: HolderId, signal: S) -> HolderId {
        let id = self.insert(Holding::new(HoldingKind::Head, now, Some(signal)));
        if let Some(connection) = self.connections.get_mut(&connection) {
            connection.idle_since = None;
            connection.request = Some(id);
        }
        id
    }

    /// Holding of the request whose head is complete now, which has to ask for its room, and the bytes
    /// that it has; the connection is not idle until [`Self::end_request`].
    pub fn begin_request(
        &mut self,
        now: Instant,
        connection: HolderId,
    ) -> Option<(HolderId, usize)> {
        let request = match self.connections.get(&connection)?.request {
            Some(request) => request,
            None => self.insert(Holding::new(HoldingKind::Head, now, None)),
        };
        let holding = self.holdings.get_mut(&request)?;
        holding.signal = None;
        let connection = self.connections.get_mut(&connection)?;
        connection.idle_since = None;
        connection.has_had_request = true;
        connection.request = Some(request);
        Some((request, holding.held))
    }

    /// Holding of the request on a connection, and the bytes that it has.
    pub fn request(&self, connection: HolderId) -> Option<(HolderId, usize)> {
        let id = self.connections.get(&connection)?.request?;
        Some((id, self.holdings.get(&id)?.held))
    }

    /// Records that a connection is idle again, and gives back what its request held.
    pub fn end_request(&mut self, now: Instant, connection: HolderId) {
        if let Some(connection) = self.connections.get_mut(&connection) {
            connection.idle_since = Some(now);
            let request = connection.request.take();
            request.into_iter().for_each(|id| self.release(id));
        }
    }

    /// Records that a connection is closed.
    pub fn close(&mut self, id: HolderId) {
        let request = self.connections.remove(&id).and_then(|c| c.request);
        request.into_iter().for_each(|id| self.release(id));
    }
}
