//! Replica groups: evidence of members, the serve gate, forming and regrouping.

pub mod control;
pub mod domain;
pub mod error;
pub mod evidence;
pub mod formation;
pub mod plan;
pub mod quota;
pub mod shortfall;
pub mod subset;
