//! Command-line tool for operators of turmerictack: services configuration, node status, draining,
//! call records and the burn report.

pub mod cli;
pub mod client;
pub mod command;
pub mod error;
pub mod file;
pub mod operation;
