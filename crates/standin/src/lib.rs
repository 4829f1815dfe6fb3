//! Stand-ins for what turmerictack meets, and the tools that run and judge it.
//!
//! Nothing here ships. The stand-ins keep a log line for each effect; proofs read those lines.

pub mod booking_service;
pub mod client;
pub mod demo;
pub mod effect_log;
pub mod engine;
pub mod error;
pub mod etag;
pub mod experiment;
pub mod fault;
pub mod fleet;
pub mod fleet_config;
pub mod invariants;
pub mod load;
pub mod memory_platform;
pub mod model_output;
pub mod platform;
pub mod port;
pub mod process;
pub mod program;
pub mod relay;
pub mod scenario;
pub mod serve;
pub mod simulator;
