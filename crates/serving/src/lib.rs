//! Serving core of an entry node.
//!
//! Decisions are plain code over [`tables::Tables`]: [`catalog`] says what may be asked,
//! [`directory`] where it can run, [`load`] and [`queue`] when, [`attempts`] what follows a failure.
//! [`desk::Desk`] carries a request through them. A front end and an adapter for the platform
//! meet them at the traits of [`borders`]; neither encodings nor sockets appear here.

pub mod attempts;
pub mod beats;
pub mod borders;
pub mod catalog;
pub mod control;
pub mod desk;
pub mod directory;
pub mod load;
pub mod membership;
pub mod queue;
pub mod refusal;
pub mod repeats;
pub mod request;
pub mod stream;
pub mod tables;
pub mod timing;
