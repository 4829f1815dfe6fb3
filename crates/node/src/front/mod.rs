//! HTTP front ends for callers and operators.

pub mod acceptor;
pub mod callers;
pub mod completion;
pub mod connections;
pub mod operators;
pub mod plain;
pub mod response;
