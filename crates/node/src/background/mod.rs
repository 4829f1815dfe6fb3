//! Background tasks of a node. Each runs its decisions on the worker pool.

pub mod alerts;
pub mod gossip;
pub mod group_controller;
pub mod health;
pub mod instances;
pub mod settings;
pub mod upstreams;
