//! Failures reported to callers: a stable code, and whether the call may have run.

use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Whether a failed call was executed by an upstream, as far as is known.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No upstream ran the call, and none will run it.
    #[display("not-run")]
    NotRun,
    /// An upstream may have run the call.
    #[display("unknown")]
    Unknown,
    /// An upstream ran the call and it failed there.
    #[display("failed")]
    Failed,
}

/// Failure code returned to callers; the codes are part of the public API and do not change.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureCode {
    /// The request is malformed.
    #[display("bad_request")]
    BadRequest,
    /// The caller's API key is missing or unknown.
    #[display("unauthorized")]
    Unauthorized,
    /// The requested rank is above the highest one that the caller may use.
    #[display("rank_not_allowed")]
    RankNotAllowed,
    /// The service or model does not exist.
    #[display("not_found")]
    NotFound,
    /// The request body exceeds the limit of the service.
    #[display("too_large")]
    TooLarge,
    /// The node is at capacity, such as when the queue for the call's rank is full.
    #[display("overloaded")]
    Overloaded,
    /// The deadline passed before the call was sent, or was predicted to pass.
    #[display("deadline")]
    Deadline,
    /// No upstream is currently available for the call.
    #[display("no_upstream")]
    NoUpstream,
    /// A service that the requested one depends on is down.
    #[display("dependency_down")]
    DependencyDown,
    /// The platform did not confirm the write of the call's record, so the call was not sent.
    #[display("platform_unavailable")]
    PlatformUnavailable,
    /// Another call with the same idempotency key is in progress, or ran without a stored response.
    #[display("call_open")]
    CallOpen,
    /// The idempotency key was used before with a different request.
    #[display("key_reused")]
    KeyReused,
    /// The same request crashed several upstreams and is no longer sent to any.
    #[display("quarantined")]
    Quarantined,
    /// The node is draining and accepts no new calls.
    #[display("draining")]
    Draining,
    /// The attempt broke off: the connection was lost, or the upstream stalled or sent an
    /// incomplete response.
    #[display("upstream_lost")]
    UpstreamLost,
    /// The upstream returned an error.
    #[display("upstream_failed")]
    UpstreamFailed,
    /// The caller disconnected before the response was complete.
    #[display("caller_gone")]
    CallerGone,
}

/// Failure of a call, as reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Failure code.
    pub code: FailureCode,
    /// Whether the call may have run.
    pub outcome: Outcome,
    /// Time after which the caller should retry, if known.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// Creates a failure of a call that did not run.
    pub fn not_run(code: FailureCode) -> Self {
        Self { code, outcome: Outcome::NotRun, retry_after: None }
    }

    /// Creates a failure of a call that may have run.
    pub fn unknown(code: FailureCode) -> Self {
        Self { code, outcome: Outcome::Unknown, retry_after: None }
    }

    /// Sets the time after which the caller should retry.
    pub fn with_retry_after(self, wait: Duration) -> Self {
        Self { retry_after: Some(wait), ..self }
    }
}
