//! Serving core of an entry node.
//!
//! Routing and scheduling decisions are plain code over [`tables::Tables`]: [`config`] defines the
//! routes, [`config_state`] says how old they may be, [`directory`] defines the upstreams without those
//! of [`evacuations`], [`load`] and [`queue`] choose an upstream and the time to send, within the
//! [`allowance`] of the upstream and the [`pace`] of one that has just returned, [`attempts`] decides
//! on retries, [`paths`] how to reach an upstream whose direct path is lost, and [`client_memory`] on
//! what is held for clients, for which [`client_gate`] keeps the account. [`membership`] knows the other
//! nodes, and elects the one that runs the [`group_controller`]. [`proxy::Proxy`] takes a request through
//! them. Front ends and platform adapters implement or call the traits of [`interfaces`]; this crate
//! contains no message encodings, and no sockets but those of [`client_listener`].

pub mod accounted_stream;
pub mod allowance;
pub mod attempts;
pub mod body_buffer;
mod candidacy;
pub mod client_gate;
pub mod client_listener;
pub mod client_memory;
pub mod client_presence;
pub mod cold_periods;
pub mod config;
pub mod config_state;
pub mod directory;
pub mod evacuations;
mod flap_damping;
pub mod group_controller;
pub mod heartbeat;
pub mod in_flight;
pub mod interfaces;
pub mod load;
pub mod membership;
pub mod pace;
pub mod paths;
pub mod proxy;
pub mod queue;
pub mod rejection;
pub mod relay;
pub mod request;
pub mod request_account;
pub mod response_time;
pub mod retry_budget;
pub mod shutdown;
mod spread;
pub mod stream;
pub mod tables;
