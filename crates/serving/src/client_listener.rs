//! Listening sockets for clients.

use {
    crate::client_memory::{ClientLimits, LISTEN_BACKLOG},
    std::{io, net::SocketAddr},
    tokio::net::{TcpListener, TcpSocket},
};

/// Binds a listener whose connections have receive buffers of the size that the limits allow, those
/// included that are not accepted yet.
///
/// When the queue of new connections is full, a client's first packet is dropped and sent again
/// seconds later, so that it is a matter of luck who is next; a longer queue keeps the order.
///
/// # Errors
/// [`io::Error`] if the address is none, is in use, or is not a local one.
pub fn bind(address: &str, limits: ClientLimits) -> io::Result<TcpListener> {
    let address: SocketAddr = address.parse().map_err(|_| io::ErrorKind::InvalidInput)?;
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    if let Some(bytes) = limits.receive_buffer() {
        socket.set_recv_buffer_size(u32::try_from(bytes).unwrap_or(u32::MAX))?;
    }
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}
