//! Table of open connections and their timeouts.

use {
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    turmerictack_serving::request_account::RequestAccount,
};

/// Limits of one listener's connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest number of open connections; further ones wait to be accepted.
    pub connections: usize,
    /// Longest time from the first byte of a request until a handler takes it.
    pub request: Duration,
    /// Longest time between a response and the next request.
    pub idle: Duration,
    /// Longest time that a caller may accept no bytes of its response.
    pub write: Duration,
}

impl Limits {
    /// Default timeouts with the given number of connections.
    pub fn new(connections: usize) -> Self {
        Self {
            connections,
            request: Duration::from_secs(10),
            idle: Duration::from_secs(600),
            write: Duration::from_secs(60),
        }
    }
}

/// State of the current request on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestState {
    /// No request has begun.
    Idle {
        /// When the connection became idle.
        since: Instant,
    },
    /// A request is arriving that no handler has taken yet.
    Receiving {
        /// When its first byte arrived.
        since: Instant,
    },
    /// A handler has taken the request and limits its time from here on.
    Handling,
}

/// The timeout that closed a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimeoutKind {
    /// The request did not arrive completely.
    Request,
    /// The connection was idle.
    Idle,
}

/// Result of a timeout check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimeoutCheck {
    /// The connection is to be closed; handlers can no longer take its request.
    Close(TimeoutKind),
    /// The connection is to be checked again at this time.
    RecheckAt(Instant),
}

/// HTTP listener of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Listener {
    /// Listener for callers.
    Callers,
    /// Listener for operators.
    Operators,
}

/// Identifies a connection by its remote end, as HTTP handlers see it.
///
/// The listener is part of the id, since connections to different listeners may have the same
/// remote address and port.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId {
    /// Listener that accepted the connection.
    pub listener: Listener,
    /// Remote address.
    pub address: SocketAddr,
}

/// An open connection.
struct Connection {
    state: RequestState,
    /// Account of its requests; `None` if nobody counts them.
    account: Option<RequestAccount>,
}

/// Open connections of a node's listeners.
#[derive(Default)]
pub struct Connections(BTreeMap<ConnectionId, Connection>);

impl Connections {
    /// Adds a new connection.
    pub fn open(&mut self, id: ConnectionId, now: Instant) {
        let state = RequestState::Idle { since: now };
        self.0.insert(id, Connection { state, account: None });
    }

    /// Sets the account of a connection.
    pub fn set_account(&mut self, id: ConnectionId, account: RequestAccount) {
        if let Some(connection) = self.0.get_mut(&id) {
            connection.account = Some(account);
        }
    }

    /// Account of the requests on a connection.
    pub fn account(&self, id: ConnectionId) -> Option<RequestAccount> {
        self.0.get(&id)?.account.clone()
    }

    /// Removes a connection.
    pub fn close(&mut self, id: ConnectionId) {
        self.0.remove(&id);
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Records that bytes arrived from the caller.
    pub fn record_request_bytes(&mut self, id: ConnectionId, now: Instant) {
        if let Some(connection) = self.0.get_mut(&id)
            && matches!(connection.state, RequestState::Idle { .. })
        {
            connection.state = RequestState::Receiving { since: now };
        }
    }

    /// Records that bytes of a response are sent to the caller.
    pub fn record_response_bytes(&mut self, id: ConnectionId, now: Instant) {
        if let Some(connection) = self.0.get_mut(&id) {
            connection.state = RequestState::Idle { since: now };
        }
    }

    /// Marks the request as taken by a handler; false if the connection has been closed.
    pub fn begin_handling(&mut self, id: ConnectionId) -> bool {
        match self.0.get_mut(&id) {
            Some(connection) => {
                connection.state = RequestState::Handling;
                true
            }
            None => false,
        }
    }

    /// Checks the timeouts of a connection, and removes it if one has expired.
    pub fn check_timeout(
        &mut self,
        id: ConnectionId,
        limits: &Limits,
        now: Instant,
    ) -> TimeoutCheck {
        let (due, expired) = match self.0.get(&id).map(|c| c.state) {
            Some(RequestState::Idle { since }) => (since + limits.idle, TimeoutKind::Idle),
            Some(RequestState::Receiving { since }) => {
                (since + limits.request, TimeoutKind::Request)
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
