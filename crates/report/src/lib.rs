//! The service-level burn report: how fast each rank of each service spends its error budget.

pub mod alert;
pub mod chart;
pub mod downtime;
pub mod snapshot;
pub mod status;
pub mod table;
pub mod tracker;
