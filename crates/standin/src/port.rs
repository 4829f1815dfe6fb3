//! A port of the loopback that stays ours until it is listened on, and after.

use {crate::error::StandinError, tokio::net::TcpSocket, turmerictack_model::ids::Address};

/// A port that no other socket is given while this value lives.
///
/// The socket is bound and never listens, so a program that names the port may listen on it.
#[derive(Debug)]
pub struct ReservedPort {
    _socket: TcpSocket,
    number: u16,
}

impl ReservedPort {
    /// Takes a free port.
    ///
    /// # Errors
    /// [`StandinError::Io`].
    pub fn bind() -> Result<Self, StandinError> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(([127, 0, 0, 1], 0).into())?;
        let number = socket.local_addr()?.port();
        Ok(Self { _socket: socket, number })
    }

    /// Its number.
    pub fn number(&self) -> u16 {
        self.number
    }

    /// Where it is reached.
    pub fn address(&self) -> Address {
        format!("127.0.0.1:{}", self.number)
    }
}
