//! Client for the platform: interfaces to the object store and the instance list, and their
//! implementation over HTTP.

pub mod error;
pub mod http;
pub mod instance;
pub mod store;
