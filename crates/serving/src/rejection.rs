//! Answers of the node's own, and what each promises.

use {
    displaydoc::Display,
    std::time::{Duration, Instant},
};

/// Why a request got no upstream's answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// not_configured
    NotConfigured,
    /// no_route
    NoRoute,
    /// unknown_key
    UnknownKey,
    /// quarantined
    Quarantined,
    /// no_upstream
    NoUpstream,
    /// predicted_wait
    PredictedWait,
    /// queue_timeout
    QueueTimeout,
    /// queue_full
    QueueFull,
    /// upstreams_refused
    UpstreamsRefused,
    /// repeat_budget
    RetryBudget,
    /// attempts_used
    AttemptsUsed,
    /// upstream_lost
    UpstreamLost,
    /// deadline
    Deadline,
}

/// What the caller may conclude.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ExecutionStatus {
    /// not_run
    NotExecuted,
    /// unknown
    Unknown,
    /// invalid
    Invalid,
}

/// An answer of the node's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Why.
    pub reason: Reason,
    /// What it promises.
    pub execution: ExecutionStatus,
    /// When the caller may come again.
    pub retry_after: Option<Duration>,
}

impl Rejection {
    /// A refusal of a request that has not run and will not.
    pub fn not_executed(reason: Reason, retry_after: Duration) -> Self {
        Self { reason, execution: ExecutionStatus::NotExecuted, retry_after: Some(retry_after) }
    }

    /// A failure after which the request may have run.
    pub fn unknown(reason: Reason) -> Self {
        Self { reason, execution: ExecutionStatus::Unknown, retry_after: None }
    }

    /// A request that no accepted configuration allows.
    pub fn invalid(reason: Reason) -> Self {
        Self { reason, execution: ExecutionStatus::Invalid, retry_after: None }
    }

    /// Whether waiting longer could not have helped.
    pub fn is_timeout(&self) -> bool {
        matches!(self.reason, Reason::Deadline | Reason::QueueTimeout)
    }
}

/// Part of the time left up to which callers wait before they come again.
const RETRY_AFTER_DIVISOR: u32 = 3;

/// A time to come again that callers still honour.
pub fn retry_after(wanted: Duration, now: Instant, deadline: Instant) -> Duration {
    wanted.min(deadline.saturating_duration_since(now) / RETRY_AFTER_DIVISOR)
}
