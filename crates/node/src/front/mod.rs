//! Front ends: callers and operators over HTTP.

pub mod acceptor;
pub mod callers;
pub mod completion;
pub mod connections;
pub mod operators;
pub mod plain;
pub mod response;
