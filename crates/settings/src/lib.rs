//! Node settings and services configuration of turmerictack: JSON with comments, validated as a
//! whole.
//!
//! Errors give the line and column of the fault, counted from 1.

pub mod dependencies;
pub mod document;
pub mod error;
pub mod millis;
pub mod node;
pub mod services;
pub mod stored;
pub mod validate;
