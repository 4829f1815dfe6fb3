//! What a node does besides calls: each duty is one task that moves bytes and asks the pool.

pub mod alerts;
pub mod gossip;
pub mod group_controller;
pub mod health;
pub mod instances;
pub mod settings;
pub mod upstreams;
