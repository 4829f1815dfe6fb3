//! Tunnels: what arrives at either end, bounds, and peers that fail.

#![allow(clippy::unwrap_used, reason = "test helpers panic on failure, as tests do")]

mod bounds;
mod fidelity;
mod fixtures;
mod peers;
