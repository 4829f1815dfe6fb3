//! Reports for operators: the error budget burn of each service and rank, and the status of nodes.

pub mod alert;
pub mod chart;
pub mod downtime;
pub mod snapshot;
pub mod status;
pub mod table;
pub mod tracker;
