//! Routing of calls: load balancing, attempts and retries, concurrency limits and quarantine.

pub mod budget;
pub mod crash_quarantine;
pub mod crash_records;
pub mod dispatch;
pub mod limit;
pub mod picker;
pub mod quarantine;
pub mod upstream_set;

/// Name of an upstream: a group of instances that serve one model, or an instance of a plain
/// service.
pub type UpstreamId = String;
