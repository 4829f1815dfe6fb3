//! Tunnels: a node that has no path to an instance reaches it through a peer that has one.
//!
//! A tunnel carries the bytes of one connection over one HTTP/2 stream. It has one hop: the peer
//! connects to the instance itself. A clean end of either side arrives as an end of file; every
//! other end arrives as an error, so that a response that was cut never looks complete.
//!
//! The stream starts with the [`TunnelTarget`], and in the other direction with the peer's answer,
//! each preceded by its length in two bytes, big-endian. Everything after them belongs to the tunnel.

mod client;
mod server;
mod stream;

pub(crate) use server::{TunnelService, reject_request};
pub use {client::H2TunnelClient, stream::TunnelStream};

use {
    crate::codec::{decode, encode},
    async_trait::async_trait,
    bincode::{Decode, Encode},
    derive_more::Error,
    displaydoc::Display,
    socket2::{SockRef, TcpKeepalive},
    std::{io, time::Duration},
    tokio::{
        io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _},
        net::TcpStream,
    },
    turmerictack_model::ids::{Address, InstanceId},
};

/// Bytes that one tunnel holds at most on each of its nodes, both directions together, without the
/// buffers of the kernel.
pub const TUNNEL_BYTES: usize = 2 * STREAM_WINDOW_BYTES as usize;

/// Tunnels of one connection; a node with more tunnels to one peer gets [`TunnelFailure::Busy`].
pub(crate) const MAX_TUNNELS_PER_CONNECTION: u32 = 1024;

/// Bytes of one tunnel that the receiving node holds until they are read.
pub(crate) const STREAM_WINDOW_BYTES: u32 = 64 * 1024;

/// Window that never makes one tunnel wait for the reader of another one.
pub(crate) const CONNECTION_WINDOW_BYTES: u32 = MAX_TUNNELS_PER_CONNECTION * STREAM_WINDOW_BYTES;

/// Bytes of one tunnel that wait to be sent; the window and two copy buffers take up the rest of
/// [`TUNNEL_BYTES`].
pub(crate) const SEND_BUFFER_BYTES: usize =
    TUNNEL_BYTES - STREAM_WINDOW_BYTES as usize - 2 * COPY_BUFFER_BYTES;

/// Copy buffer of each direction.
const COPY_BUFFER_BYTES: usize = 16 * 1024;

/// Request path that opens a tunnel.
pub(crate) const TUNNEL_PATH: &str = "/tunnel";

/// Largest encoded [`TunnelTarget`] or answer.
const MAX_HEAD_BYTES: u16 = 1024;

/// Time without a sign of life after which the kernel probes a connection, and between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes after which the kernel closes a connection.
const KEEPALIVE_PROBES: u32 = 2;

/// Time that sent bytes may stay unacknowledged. On Linux it also ends the probes, at the first one
/// after it, whatever their number.
const ACK_TIMEOUT: Duration = Duration::from_millis(1500);

/// End of a tunnel at an instance.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct TunnelTarget {
    /// Instance, which the peer has to know at this address.
    pub instance: InstanceId,
    /// Address to connect to.
    pub address: Address,
}

/// Failure to open a tunnel; nothing of it has reached the instance.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Error, Encode, Decode)]
pub enum TunnelFailure {
    /// no connection to the peer, or it was lost before the peer answered
    PeerUnreachable,
    /// the peer or the connection to it has no tunnel to spare
    Busy,
    /// the peer does not know the instance at this address
    UnknownInstance,
    /// the instance refuses connections from the peer
    Refused,
    /// the peer could not connect to the instance in time
    Unreachable,
}

/// Opens tunnels through other nodes.
#[async_trait]
pub trait TunnelClient: Send + Sync {
    /// Opens a tunnel to `target` through the node at `peer`.
    ///
    /// # Errors
    /// Any [`TunnelFailure`].
    async fn open(
        &self,
        peer: &Address,
        target: &TunnelTarget,
    ) -> Result<TunnelStream, TunnelFailure>;
}

/// Connection to an instance, which closes when it is dropped.
///
/// Its end of file and its errors are passed on through the tunnel.
pub trait TunnelEnd: AsyncRead + AsyncWrite + Send + Unpin {}

impl<S: AsyncRead + AsyncWrite + Send + Unpin> TunnelEnd for S {}

/// Connects the tunnels of other nodes to instances.
#[async_trait]
pub trait TunnelHandler: Send + Sync {
    /// Connects to an instance, directly and not through another node; given up after 1 s.
    ///
    /// # Errors
    /// Any [`TunnelFailure`], which the other node gets.
    async fn connect(&self, target: TunnelTarget) -> Result<Box<dyn TunnelEnd>, TunnelFailure>;
}

/// What a peer answers to a [`TunnelTarget`].
type Answer = Result<(), TunnelFailure>;

/// Disables Nagle's algorithm, and lets the kernel close a connection whose peer vanished.
pub(crate) fn configure_socket(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(ACK_TIMEOUT))
}

/// Writes a message with its length before it.
async fn write_head<T: Encode>(writer: &mut (impl AsyncWrite + Unpin), head: &T) -> io::Result<()> {
    let bytes = encode(head).map_err(|_| io::ErrorKind::InvalidInput)?;
    let length = u16::try_from(bytes.len()).map_err(|_| io::ErrorKind::InvalidInput)?;
    writer.write_all(&[&length.to_be_bytes(), bytes.as_ref()].concat()).await
}

/// Reads a message of at most [`MAX_HEAD_BYTES`].
async fn read_head<T: Decode<()>>(reader: &mut (impl AsyncRead + Unpin)) -> io::Result<T> {
    let length = reader.read_u16().await?;
    if length > MAX_HEAD_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut bytes = vec![0; usize::from(length)];
    reader.read_exact(&mut bytes).await?;
    decode(&bytes).map_err(|_| io::ErrorKind::InvalidData.into())
}
