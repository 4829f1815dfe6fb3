//! Replica groups of model instances: health of members, checks before a call is sent, and
//! forming, retiring and re-forming of groups.

pub mod control;
pub mod domain;
pub mod error;
pub mod formation;
pub mod health;
pub mod held_plan;
pub mod partition;
pub mod plan;
pub mod quota;
pub mod shortfall;
pub mod subset;
