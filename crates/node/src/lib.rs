//! A turmerictack node: HTTP front ends, background tasks that coordinate the nodes, and daemon.
//!
//! [`node::Node::spawn`] takes each external interface as a trait object, so that an embedder, a
//! test or another front end supplies its own. Decisions run on the node's worker pool over the
//! tables of [`tables::Tables`]; the async runtime only performs I/O.

pub mod background;
pub mod call;
pub mod call_record;
pub mod cli;
pub mod coordinator;
pub mod error;
pub mod estimate;
pub mod front;
pub mod interfaces;
pub mod proxy;
pub use turmerictack_telemetry::logs;
pub mod call_policy;
pub mod metrics;
pub mod node;
pub mod options;
pub mod peer_handler;
mod response_space;
pub mod shared;
pub mod status;
pub mod tables;
pub mod wire;
