//! Serving core of an entry node.
//!
//! Decisions are plain code over [`tables::Tables`]: [`catalog`] says what may be asked,
//! [`directory`] where it can run, [`load`] and [`queue`] when, [`attempts`] what follows a failure.
//! [`desk::Desk`] carries a request through them. A front end and an adapter for the platform
//! meet them at the traits of [`borders`]; neither encodings nor sockets appear here.

pub mod attempts;
pub mod config;
pub mod directory;
pub mod group_controller;
pub mod heartbeat;
pub mod interfaces;
pub mod load;
pub mod membership;
pub mod proxy;
pub mod queue;
pub mod rejection;
pub mod request;
pub mod response_time;
pub mod retry_budget;
pub mod stream;
pub mod tables;
