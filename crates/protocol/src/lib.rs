//! Internal protocol between turmerictack nodes: messages, heartbeat datagrams, codec, handshake,
//! client and server.
//!
//! Messages are encoded with `bincode` and sent over HTTP/2. Frequent requests reuse persistent
//! streams; every other request has a stream of its own, and so has each tunnel to an instance. Both ends of a connection prove that they
//! hold the same key before any message is exchanged.

pub mod client;
pub mod codec;
pub mod error;
pub mod handshake;
pub mod heartbeat;
pub mod message;
mod persistent_stream;
pub mod server;
pub mod traffic;
pub mod tunnel;
