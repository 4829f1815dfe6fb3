//! Cluster membership: which nodes are alive, and which of them owns a task.

pub mod gossip;
pub mod ownership;
pub mod table;
