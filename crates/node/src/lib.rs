//! A turmerictack node: front end, assembly of the coordination parts, and daemon.
//!
//! [`node::Node::spawn`] takes every border as a trait object, so that an embedder, a test or
//! another front end supplies its own. Decisions run on the node's worker pool over the tables of
//! [`tables::Tables`]; the async runtime only moves bytes.

pub mod borders;
pub mod call;
pub mod cli;
pub mod core;
pub mod driver;
pub mod duty;
pub mod error;
pub mod estimate;
pub mod front;
pub mod keeper;
pub use turmerictack_telemetry::logs;
pub mod metrics;
pub mod node;
pub mod options;
pub mod peers;
pub mod shared;
pub mod status;
pub mod tables;
pub mod terms;
pub mod wire;
