//! Places of connections: who gets one, and who has to go for it.

use {
    super::{
        ClientMemory, Connection, HolderId,
        holding::{PlaceRank, Victim},
    },
    std::time::Instant,
};

/// Fraction of the places that is kept free of stalled clients.
const SPARE_FRACTION: usize = 8;

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

impl<S> ClientMemory<S> {
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
        let spare = self.max_connections / SPARE_FRACTION;
        if free >= spare || free + self.leaving_connections() >= spare {
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
    fn worst_client(&self, now: Instant) -> Option<(PlaceRank, Victim)> {
        let holdings = self
            .holdings
            .iter()
            .filter(|(_, h)| self.is_old(now, h))
            .map(|(id, h)| (h.place_rank(now), Victim::Holding(*id)));
        let idle = self.connections.iter().filter_map(|(id, c)| {
            let since = c.idle_since.filter(|since| now >= *since + self.min_age)?;
            c.signal.is_some().then_some(())?;
            let rank = PlaceRank::idle(c.has_had_request, since);
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
}
