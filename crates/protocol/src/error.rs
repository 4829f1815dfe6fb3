//! Errors of requests to other nodes.

use {derive_more::Error, displaydoc::Display, turmerictack_model::ids::Address};

/// Failure to exchange messages with other nodes.
#[derive(Clone, Debug, Display, PartialEq, Eq, Error)]
pub enum PeerError {
    /// cannot connect to peer {address}
    Unreachable {
        /// Address of the peer.
        address: Address,
    },
    /// peer {address} did not answer in time
    Timeout {
        /// Address of the peer.
        address: Address,
    },
    /// handshake with peer {address} failed: key or version mismatch, or connection lost
    Handshake {
        /// Address of the peer.
        address: Address,
    },
    /// connection to peer {address} was lost
    Disconnected {
        /// Address of the peer.
        address: Address,
    },
    /// cannot encode or decode a message exchanged with peer {address}
    Codec {
        /// Address of the peer.
        address: Address,
    },
    /// cannot listen for peers on {address}
    Bind {
        /// Address of the listener.
        address: Address,
    },
}
