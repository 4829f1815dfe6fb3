//! Interface of the admission policies: the [`Admission`] trait with its requests and results.

use {
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    turmerictack_model::{
        ids::{CallId, CallerId, Tokens},
        outcome::FailureCode,
        rank::Rank,
    },
};

/// A call that requests admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Identifier of the call.
    pub call: CallId,
    /// Client account that sent the call.
    pub caller: CallerId,
    /// Weight of the caller relative to other callers of the same rank.
    pub weight: u32,
    /// Priority rank of the call.
    pub rank: Rank,
    /// Estimated cost in tokens; corrected by [`Admission::finish`].
    pub cost: Tokens,
    /// Time at which the call arrived.
    pub arrived_at: Instant,
    /// Longest queue wait that still meets the latency target of the rank.
    pub target_wait: Duration,
    /// Time after which the caller has no use for a response.
    pub deadline: Instant,
    /// Whether the call may be stopped in flight and resumed later.
    pub preemptible: bool,
}

/// Limits of a rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RankLimits {
    /// Share of the capacity, in percent, that other ranks cannot take from this one.
    pub floor_percent: u32,
    /// Largest number of queued calls.
    pub queue_limit: usize,
}

/// Result of [`Admission::enqueue`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EnqueueResult {
    /// The call is in the queue; a later [`Admission::admit`] returns it.
    Queued {
        /// Call that was removed from a full queue to make room and has to be refused.
        evicted: Option<CallId>,
    },
    /// The call was not queued.
    Refused {
        /// Reason for the refusal.
        code: FailureCode,
        /// Time after which the caller should try again.
        retry_after: Duration,
    },
}

/// Admission policy for one service on one node.
pub trait Admission: Send {
    /// Sets the largest number of calls in flight.
    fn set_capacity(&mut self, capacity: usize);

    /// Sets the limits of the given ranks; other ranks keep theirs.
    fn set_limits(&mut self, limits: &BTreeMap<Rank, RankLimits>);

    /// Queues a call, or refuses it.
    fn enqueue(&mut self, now: Instant, request: AdmissionRequest) -> EnqueueResult;

    /// Takes calls from the queue while there is capacity; they count as in flight from `now` on.
    fn admit(&mut self, now: Instant) -> Vec<CallId>;

    /// Selects calls in flight to be stopped in favour of more urgent ones; the caller of this
    /// method stops them and returns each with [`Admission::requeue`].
    fn preempt(&mut self, now: Instant) -> Vec<CallId>;

    /// Returns a call in flight to the queue, after preemption or when no upstream could take it.
    fn requeue(&mut self, now: Instant, call: CallId);

    /// Removes a call from the queue; `false` if it is not queued.
    fn cancel(&mut self, call: CallId) -> bool;

    /// Ends a call in flight that used this many tokens.
    fn finish(&mut self, now: Instant, call: CallId, used: Tokens);

    /// Number of queued calls of a rank.
    fn waiting(&self, rank: Rank) -> usize;

    /// Number of calls of a rank in flight.
    fn in_flight(&self, rank: Rank) -> usize;
}
