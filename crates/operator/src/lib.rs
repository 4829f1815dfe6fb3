//! The operators' command line of turmerictack: settings, status, drains, calls and the burn report.

pub mod cli;
pub mod client;
pub mod command;
pub mod error;
pub mod file;
pub mod operation;
