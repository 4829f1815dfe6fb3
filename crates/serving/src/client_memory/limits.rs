//! What an account of clients allows, from what the node has.

use std::time::Duration;

/// Fraction of the memory of the process that may be held for clients; the rest is for peers and the
/// process itself, and for the gaps between allocations.
const CLIENT_FRACTION: usize = 2;

/// Fraction of the budget that idle connections may take.
const CONNECTION_FRACTION: usize = 2;

/// Sockets that are left to the store, peers and upstreams, as a fraction of all.
const OTHER_SOCKETS_FRACTION: usize = 4;

/// Sockets of the listeners for operators and of the connections to the store and to peers.
const SYSTEM_SOCKETS: usize = 96;

/// Connections to upstreams that are possible with any number of sockets.
const MIN_UPSTREAM_CONNECTIONS: usize = 16;

/// Fraction of the budget that connections may take that are carried for other nodes.
const CARRIED_FRACTION: usize = 4;

/// Fraction of the budget that the receive buffers of [`LISTEN_BACKLOG`] connections may fill.
const RECEIVE_FRACTION: usize = 4;

/// Connections that the system accepts on behalf of a listener.
pub(crate) const LISTEN_BACKLOG: u32 = 1024;

/// Smallest and largest receive buffer of a connection, in bytes.
const MIN_RECEIVE_BYTES: usize = 16 * 1024;
const MAX_RECEIVE_BYTES: usize = 64 * 1024;

/// Default of [`AccountConfig::min_age`].
const DEFAULT_MIN_AGE: Duration = Duration::from_secs(1);

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
    pub(super) fn budget(&self) -> usize {
        self.memory.map_or(usize::MAX, |bytes| bytes / CLIENT_FRACTION)
    }

    /// Connections to upstreams that may be open, of the sockets that clients leave.
    pub fn upstream_connections(&self) -> Option<usize> {
        let others = self.sockets? / OTHER_SOCKETS_FRACTION;
        Some(others.saturating_sub(SYSTEM_SOCKETS).max(MIN_UPSTREAM_CONNECTIONS))
    }

    /// Connections of `bytes` bytes each that may be carried for other nodes, so that most of the
    /// memory, and half of the connections to upstreams, are left to the clients of this node; one at
    /// least. `None` is no bound.
    pub fn carried_connections(&self, bytes: usize) -> Option<usize> {
        let by_memory = self.memory.map(|_| self.budget() / CARRIED_FRACTION / bytes.max(1));
        let by_sockets = self.upstream_connections().map(|connections| connections / 2);
        by_memory.into_iter().chain(by_sockets).min().map(|connections| connections.max(1))
    }

    /// Size for the receive buffers of client connections, in bytes, since what the system has
    /// received for a process counts as its memory; `None` leaves it to the system.
    pub fn receive_buffer(&self) -> Option<usize> {
        self.memory?;
        let share = self.budget() / RECEIVE_FRACTION / LISTEN_BACKLOG as usize;
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

impl AccountConfig {
    /// Number of connections that memory, sockets and the configuration allow; one at least.
    pub(super) fn max_connections(&self) -> usize {
        let by_memory = self.limits.budget() / CONNECTION_FRACTION / self.costs.idle;
        let sockets = self.limits.sockets;
        let by_sockets = sockets.map_or(usize::MAX, |n| n - n / OTHER_SOCKETS_FRACTION);
        by_memory.min(by_sockets).min(self.connections).max(1)
    }
}
