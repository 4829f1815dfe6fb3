//! Queues of requests that wait for an upstream.
//!
//! Under overload, requests that can still meet their latency target go before those that are
//! already late, and a request whose expected wait exceeds its limit is rejected on arrival.

use {
    crate::directory::PoolKey,
    std::{
        collections::{BTreeMap, VecDeque},
        time::{Duration, Instant},
    },
};

/// Fraction of the time to a request's deadline that it may wait.
const MAX_WAIT_FRACTION: f64 = 0.25;

/// The same fraction for a request that its client is already retrying, and so will not retry
/// again.
const CLIENT_RETRY_WAIT_FRACTION: f64 = 0.25;

/// Lower bound on the rate, in requests per second, at which late requests are expected to be
/// dispatched.
const MIN_LATE_RATE: f64 = 0.5;

/// Window over which the dispatch rate is measured.
const RATE_WINDOW: Duration = Duration::from_secs(2);

/// Maximum length of each queue.
const MAX_QUEUE_LENGTH: usize = 512;

/// Id of a queued request, in order of arrival.
pub type Ticket = u64;

/// Parameters that decide the order of a queued request and how long it may wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulingParams {
    /// Priority; 0 goes first.
    pub priority: u8,
    /// Whether the client is retrying after an earlier rejection.
    pub is_client_retry: bool,
    /// Whether the client already has a part of the response, which was interrupted.
    pub is_resumption: bool,
    /// Latest dispatch time that meets the latency target.
    pub dispatch_by: Instant,
    /// Time at which the request is rejected if it is still queued.
    pub expires_at: Instant,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u32,
}

/// Fraction of the slots at each upstream that late requests leave free.
///
/// A node dispatches into whatever slots its own requests free. Without this reserve a node with a
/// backlog of late requests would keep reusing its slots, at the cost of requests at other nodes
/// that can still be on time.
const LATE_RESERVED_SHARE: f64 = 0.25;

impl SchedulingParams {
    /// Fraction of the slots at an upstream that the request leaves free.
    pub fn reserved_share(&self, now: Instant) -> f64 {
        if is_late(now, self) { LATE_RESERVED_SHARE } else { 0.0 }
    }
}

/// Latest time at which a request that arrives now may still be dispatched.
pub fn wait_deadline(now: Instant, deadline: Instant, is_client_retry: bool) -> Instant {
    let fraction = if is_client_retry { CLIENT_RETRY_WAIT_FRACTION } else { MAX_WAIT_FRACTION };
    now + deadline.saturating_duration_since(now).mul_f64(fraction)
}

/// Result of admission control.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may be queued.
    Queued,
    /// The expected wait exceeds the limit.
    WaitTooLong {
        /// Expected wait.
        expected_wait: Duration,
    },
    /// The queue has reached its maximum length.
    QueueFull,
}

/// Queue of requests for one pool.
#[derive(Debug)]
pub struct Queue<T> {
    waiting: BTreeMap<Ticket, (SchedulingParams, T)>,
    next_ticket: Ticket,
    /// Dispatch times within the rate window, and whether the request was late.
    dispatches: VecDeque<(Instant, bool)>,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self { waiting: BTreeMap::new(), next_ticket: 0, dispatches: VecDeque::new() }
    }
}

/// Queues by pool.
pub type Queues<T> = BTreeMap<PoolKey, Queue<T>>;

impl<T> Queue<T> {
    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Records a dispatch, queued or not, for the rate estimate.
    pub fn record_dispatch(&mut self, now: Instant, params: &SchedulingParams) {
        self.dispatches.push_back((now, is_late(now, params)));
        while self.dispatches.front().is_some_and(|(at, _)| now >= *at + RATE_WINDOW) {
            self.dispatches.pop_front();
        }
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Decides whether a request may be queued, from the requests that would go before it.
    pub fn admit(&self, now: Instant, params: &SchedulingParams) -> Admission {
        self.admit_for(now, params, self.expected_wait(now, params))
    }

    /// Decides whether a request may be queued, given the time that it would wait.
    pub fn admit_for(
        &self,
        now: Instant,
        params: &SchedulingParams,
        expected_wait: Duration,
    ) -> Admission {
        if self.waiting.len() >= MAX_QUEUE_LENGTH {
            return Admission::QueueFull;
        }
        if now + expected_wait > params.expires_at {
            return Admission::WaitTooLong { expected_wait };
        }
        Admission::Queued
    }

    /// Expected time to dispatch.
    ///
    /// A request waits for the on-time requests ahead of it. If it can't be on time itself, it also
    /// waits for the late ones ahead, which get only the capacity that on-time requests leave.
    fn expected_wait(&self, now: Instant, params: &SchedulingParams) -> Duration {
        let key = sort_key(now, params);
        let (mut on_time, mut late) = (0, 0);
        for (other, _) in self.waiting.values() {
            if is_late(now, other) {
                late += usize::from(!is_late(now, params) || sort_key(now, other) <= key);
            } else {
                on_time += usize::from(sort_key(now, other) <= key);
            }
        }
        let wait = drain_time(on_time, self.dispatch_rate(now, |_| true));
        if now + wait <= params.dispatch_by || late == 0 {
            return wait;
        }
        wait + drain_time(late, self.dispatch_rate(now, |late| late).max(MIN_LATE_RATE))
    }

    /// Dispatches per second in the rate window, of the late or on-time requests that `counts`
    /// selects.
    fn dispatch_rate(&self, now: Instant, counts: impl Fn(bool) -> bool) -> f64 {
        let recent = |(at, late): &&(Instant, bool)| now < *at + RATE_WINDOW && counts(*late);
        self.dispatches.iter().filter(recent).count() as f64 / RATE_WINDOW.as_secs_f64()
    }

    /// Queues a request.
    pub fn push(&mut self, params: SchedulingParams, request: T) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.waiting.insert(ticket, (params, request));
        ticket
    }

    /// Removes a request; returns `None` if it is no longer queued.
    pub fn remove(&mut self, ticket: Ticket) -> Option<T> {
        self.waiting.remove(&ticket).map(|(_, request)| request)
    }

    /// Removes all requests but those that `is_kept` selects.
    pub fn retain(&mut self, is_kept: impl Fn(&SchedulingParams) -> bool) {
        self.waiting.retain(|_, (params, _)| is_kept(params));
    }

    /// The request that has waited longest.
    pub fn peek_oldest(&self) -> Option<(Ticket, SchedulingParams, &T)> {
        let (ticket, (params, request)) = self.waiting.first_key_value()?;
        Some((*ticket, *params, request))
    }

    /// The request to dispatch next.
    pub fn peek(&self, now: Instant) -> Option<(Ticket, SchedulingParams, &T)> {
        let first = self
            .waiting
            .iter()
            .min_by_key(|(ticket, (params, _))| (sort_key(now, params), **ticket));
        first.map(|(ticket, (params, request))| (*ticket, *params, request))
    }
}

fn is_late(now: Instant, params: &SchedulingParams) -> bool {
    !params.is_resumption && now > params.dispatch_by
}

/// Time to dispatch `count` requests at a rate; zero if the rate is unknown.
fn drain_time(count: usize, per_second: f64) -> Duration {
    if count == 0 || per_second <= 0.0 {
        return Duration::ZERO;
    }
    Duration::from_secs_f64(count as f64 / per_second)
}

/// Sort key: interrupted responses, whose clients wait for the rest; on-time requests by priority and
/// latest dispatch time; then late ones, retries by clients first, as these will not be sent again.
fn sort_key(now: Instant, params: &SchedulingParams) -> (bool, bool, u8, Instant) {
    if is_late(now, params) {
        (true, !params.is_client_retry, params.priority, params.expires_at)
    } else {
        (false, !params.is_resumption, params.priority, params.dispatch_by)
    }
}
