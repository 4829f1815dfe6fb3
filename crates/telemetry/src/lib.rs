//! Logs and metrics of turmerictack's processes.

pub mod logs;
pub mod queue;
pub mod registry;
