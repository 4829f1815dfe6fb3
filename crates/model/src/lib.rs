//! Core types of turmerictack: ids, priority ranks, call outcomes, clocks, shared tables with a lock
//! order, and the worker pool.

pub mod clock;
pub mod digest;
pub mod ids;
pub mod outcome;
pub mod pool;
pub mod rank;
pub mod rate;
pub mod rendezvous;
pub mod store_version;
pub mod table;
