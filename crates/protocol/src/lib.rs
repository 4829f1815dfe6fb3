//! The inner protocol between turmerictack nodes: messages, codec, handshake and link.
//!
//! Nodes speak `bincode` over `h2` streams: a long one for frequent questions, one each for the
//! others. Before the first frame both ends prove that they hold the same key.

pub mod beat;
pub mod client;
pub mod codec;
pub mod counted;
pub mod error;
pub mod handshake;
mod lane;
pub mod message;
pub mod server;
