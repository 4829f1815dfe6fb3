//! Mutual authentication with a shared key, before any message is read.
//!
//! The dialing node sends the magic bytes, the protocol version and a nonce. The listening node
//! answers with its own nonce and an HMAC-SHA-256 over its role and both nonces. The dialing node
//! verifies it and sends the HMAC for its own role. All parts have a fixed size.

use {
    crate::message::PROTOCOL_VERSION,
    derive_more::Error,
    displaydoc::Display,
    hmac::{Hmac, Mac},
    sha2::Sha256,
    std::{io, time::Duration},
    tokio::{
        io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _},
        time::timeout,
    },
};

/// Time limit for the whole exchange.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);

const MAGIC: [u8; 4] = *b"TTCK";
const NONCE_BYTES: usize = 16;
const MAC_BYTES: usize = 32;

/// Random bytes that protect an exchange from being replayed.
pub type Nonce = [u8; NONCE_BYTES];

/// Reason for which a handshake failed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Error)]
pub enum HandshakeError {
    /// the peer uses another protocol or another version
    Version,
    /// the peer does not hold the shared key
    Key,
    /// the connection was lost or the handshake timed out
    Connection,
}

impl From<io::Error> for HandshakeError {
    fn from(_: io::Error) -> Self {
        Self::Connection
    }
}

/// Performs the dialing node's side of the handshake.
///
/// # Errors
/// Any [`HandshakeError`].
pub async fn dial<S>(stream: &mut S, key: &[u8], nonce: Nonce) -> Result<(), HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let exchange = async {
        stream.write_all(&MAGIC).await?;
        stream.write_all(&PROTOCOL_VERSION.to_be_bytes()).await?;
        stream.write_all(&nonce).await?;
        let mut peer_nonce = Nonce::default();
        stream.read_exact(&mut peer_nonce).await?;
        let mut peer_mac = [0; MAC_BYTES];
        stream.read_exact(&mut peer_mac).await?;
        verify(key, b"listener", &nonce, &peer_nonce, &peer_mac)?;
        stream.write_all(&compute_mac(key, b"caller", &nonce, &peer_nonce)).await?;
        Ok(())
    };
    timeout(HANDSHAKE_TIMEOUT, exchange).await.unwrap_or(Err(HandshakeError::Connection))
}

/// Performs the listening node's side of the handshake.
///
/// # Errors
/// Any [`HandshakeError`].
pub async fn accept<S>(stream: &mut S, key: &[u8], nonce: Nonce) -> Result<(), HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let exchange = async {
        let mut magic = [0; MAGIC.len()];
        stream.read_exact(&mut magic).await?;
        let version = stream.read_u16().await?;
        if magic != MAGIC || version != PROTOCOL_VERSION {
            return Err(HandshakeError::Version);
        }
        let mut peer_nonce = Nonce::default();
        stream.read_exact(&mut peer_nonce).await?;
        stream.write_all(&nonce).await?;
        stream.write_all(&compute_mac(key, b"listener", &peer_nonce, &nonce)).await?;
        let mut peer_mac = [0; MAC_BYTES];
        stream.read_exact(&mut peer_mac).await?;
        verify(key, b"caller", &peer_nonce, &nonce, &peer_mac)
    };
    timeout(HANDSHAKE_TIMEOUT, exchange).await.unwrap_or(Err(HandshakeError::Connection))
}

fn hmac(
    key: &[u8],
    role: &[u8],
    dialer_nonce: &Nonce,
    listener_nonce: &Nonce,
) -> Option<Hmac<Sha256>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).ok()?;
    mac.update(role);
    mac.update(dialer_nonce);
    mac.update(listener_nonce);
    Some(mac)
}

fn compute_mac(
    key: &[u8],
    role: &[u8],
    dialer_nonce: &Nonce,
    listener_nonce: &Nonce,
) -> [u8; MAC_BYTES] {
    hmac(key, role, dialer_nonce, listener_nonce)
        .map_or([0; MAC_BYTES], |mac| mac.finalize().into_bytes().into())
}

fn verify(
    key: &[u8],
    role: &[u8],
    dialer_nonce: &Nonce,
    listener_nonce: &Nonce,
    peer_mac: &[u8; MAC_BYTES],
) -> Result<(), HandshakeError> {
    let mac = hmac(key, role, dialer_nonce, listener_nonce).ok_or(HandshakeError::Key)?;
    mac.verify_slice(peer_mac).map_err(|_| HandshakeError::Key)
}
