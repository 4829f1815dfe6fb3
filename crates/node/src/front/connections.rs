//! Which connections are open, and how long each may take for what it is at.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Bounds on the connections of one listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Connections open at once; more wait to be accepted.
    pub connections: usize,
    /// Longest time from the first byte of a request until a handler take_request it.
    pub request: Duration,
    /// Longest time between an answer and the next request.
    pub idle: Duration,
    /// Longest time that a caller may take no byte of its answer.
    pub write: Duration,
}

impl Limits {
    /// The usual bounds for so many connections.
    pub fn new(connections: usize) -> Self {
        Self {
            connections,
            request: Duration::from_secs(10),
            idle: Duration::from_secs(600),
            write: Duration::from_secs(60),
        }
    }
}

/// What a connection is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestState {
    /// No request is on its way.
    Idle {
        /// Since when.
        since: Instant,
    },
    /// A request is coming that no handler has job_shared.
    Receiving {
        /// When its first byte came.
        since: Instant,
    },
    /// A handler has the request, and bounds it from there on.
    Handling,
}

/// Why a connection is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimeoutKind {
    /// Its request did not come whole.
    Request,
    /// It was idle.
    Idle,
}

/// What is to be done about a connection now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimeoutCheck {
    /// It is given up; no handler take_request its request any more.
    Close(TimeoutKind),
    /// Look again at this time.
    RecheckAt(Instant),
}

/// A listener of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Listener {
    /// That of callers.
    Callers,
    /// That of operators.
    Operators,
}

/// The far end of a connection as the handlers see it.
///
/// Connections to different listeners may come from the same address and port.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId {
    /// Listener that it came through.
    pub listener: Listener,
    /// Address that it came from.
    pub address: SocketAddr,
}

/// The connections of a node's listeners.
#[derive(Debug, Default)]
pub struct Connections(BTreeMap<ConnectionId, RequestState>);

impl Connections {
    /// Notes a new connection.
    pub fn open(&mut self, id: ConnectionId, now: Instant) {
        self.0.insert(id, RequestState::Idle { since: now });
    }

    /// Forgets a connection.
    pub fn close(&mut self, id: ConnectionId) {
        self.0.remove(&id);
    }

    /// Connections that are open.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether none is open.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Bytes came from the caller.
    pub fn record_request_bytes(&mut self, id: ConnectionId, now: Instant) {
        if let Some(state @ RequestState::Idle { .. }) = self.0.get_mut(&id) {
            *state = RequestState::Receiving { since: now };
        }
    }

    /// Bytes of an answer went to the caller.
    pub fn record_response_bytes(&mut self, id: ConnectionId, now: Instant) {
        if let Some(state) = self.0.get_mut(&id) {
            *state = RequestState::Idle { since: now };
        }
    }

    /// A handler take_request the request; false when the connection was given up.
    pub fn begin_handling(&mut self, id: ConnectionId) -> bool {
        match self.0.get_mut(&id) {
            Some(state) => {
                *state = RequestState::Handling;
                true
            }
            None => false,
        }
    }

    /// Judges a connection; one that is given up is forgotten at once.
    pub fn check_timeout(
        &mut self,
        id: ConnectionId,
        limits: &Limits,
        now: Instant,
    ) -> TimeoutCheck {
        let (due, expired) = match self.0.get(&id) {
            Some(RequestState::Idle { since }) => (*since + limits.idle, TimeoutKind::Idle),
            Some(RequestState::Receiving { since }) => {
                (*since + limits.request, TimeoutKind::Request)
            }
            Some(RequestState::Handling) => return TimeoutCheck::RecheckAt(now + limits.request),
            None => return TimeoutCheck::Close(TimeoutKind::Idle),
        };
        if due > now {
            return TimeoutCheck::RecheckAt(due.min(now + limits.request));
        }
        self.0.remove(&id);
        TimeoutCheck::Close(expired)
    }
}
