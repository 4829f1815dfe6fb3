//! Reservation of local TCP ports for processes that are started later.

use {crate::error::StandinError, tokio::net::TcpSocket, turmerictack_model::ids::Address};

/// A port of 127.0.0.1 that the system assigns to no other socket while this value lives.
///
/// The socket is bound with `SO_REUSEADDR` and never listens, so a program may still listen on the
/// port explicitly.
#[derive(Debug)]
pub struct ReservedPort {
    _socket: TcpSocket,
    number: u16,
}

impl ReservedPort {
    /// Reserves a free port.
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

    /// Port number.
    pub fn number(&self) -> u16 {
        self.number
    }

    /// Address with the port.
    pub fn address(&self) -> Address {
        format!("127.0.0.1:{}", self.number)
    }
}
