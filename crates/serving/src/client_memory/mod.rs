//! Memory and connections that a node holds for its clients: who gets room, and who has to go.
//!
//! Answers the load of clients that open many connections, send heads and bodies that stop short of
//! their end, or leave their responses unread.

mod holding;
mod limits;
mod places;

use {
    holding::Holding,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

pub(crate) use limits::LISTEN_BACKLOG;
pub use {
    holding::HoldingKind,
    limits::{AccountConfig, ClientLimits, ConnectionCosts},
    places::Admission,
};

/// Fraction of the budget that holdings above [`SMALL_BYTES`] leave to small ones.
const SMALL_FRACTION: usize = 4;

/// Size up to which a holding counts as small, in bytes.
const SMALL_BYTES: usize = 64 * 1024;

/// Interval between two searches for something that may go.
const SCAN_INTERVAL: Duration = Duration::from_millis(50);

/// Delay after which a client that found no room may retry.
pub const NO_ROOM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Id of a holding or a connection.
pub type HolderId = u64;

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
        Self {
            budget: config.limits.budget(),
            costs: config.costs,
            max_connections: config.max_connections(),
            min_age: config.min_age,
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

    /// Starts a connection that this node carries for another one, with `held` bytes; `None` if there
    /// is no room at once, since no client is to go or wait for it.
    pub fn open_carried(&mut self, now: Instant, held: usize) -> Option<HolderId> {
        if self.missing(0, held) > 0 {
            return None;
        }
        let id = self.open_response(now);
        self.set_held(id, held);
        Some(id)
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
