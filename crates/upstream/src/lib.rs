//! Clients for the upstreams: interfaces to model engines and plain services, and their
//! implementation over HTTP.

pub mod engine;
pub mod error;
pub mod gate;
pub mod http;
pub mod response_space;
pub mod service;
