//! HTTP front ends for callers and operators.

pub mod acceptor;
mod call_account;
pub mod callers;
pub mod completion;
pub mod connections;
mod incoming_body;
pub mod operators;
pub mod plain;
pub mod response;
