//! Logging and metrics of turmerictack processes.

pub mod logs;
pub mod queue;
pub mod registry;
