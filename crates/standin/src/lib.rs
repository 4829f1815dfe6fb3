//! Stand-in servers for the systems around turmerictack (platform, model engines, booking service),
//! and the tools for tests and measurements: fleets of processes, scenarios, load and simulation.
//!
//! Nothing here is deployed. Each stand-in writes its effects to a log file, which the checks read.

pub mod booking_service;
pub mod client;
pub mod crowd;
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
