//! Requests that wait for an upstream: who goes first, and who need not wait at all.
//!
//! Answers the load of a flood: requests that can still be on time go before those that are late
//! anyway, and one whose wait would outlast its bound is refused when it comes.

use {
    crate::directory::PoolKey,
    std::{
        collections::{BTreeMap, VecDeque},
        time::{Duration, Instant},
    },
};

/// Part of a caller's patience that a request waits at most.
const MAX_WAIT_FRACTION: f64 = 0.25;

/// The same for a request that was refused before, since its caller will not come again.
const CLIENT_RETRY_WAIT_FRACTION: f64 = 0.25;

/// Late requests a second that an upstream kind is expected to take at least.
const MIN_LATE_RATE: f64 = 0.5;

/// Window over which the rate of grants is counted.
const RATE_WINDOW: Duration = Duration::from_secs(2);

/// Requests that wait at most for each kind of upstream.
const MAX_QUEUE_LENGTH: usize = 512;

/// Number of a waiting request, in the order of arrival.
pub type Ticket = u64;

/// What decides the place of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulingParams {
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Whether it was refused before.
    pub is_client_retry: bool,
    /// Until when it has to go to be on time.
    pub dispatch_by: Instant,
    /// When it is refused.
    pub expires_at: Instant,
}

/// Part of the places at each upstream that late requests leave free.
///
/// Each node fills the places that its own requests leave. Without these a node with a backlog of
/// late requests would keep all of its places from requests at other nodes that can be on time.
const LATE_RESERVED_SHARE: f64 = 0.25;

impl SchedulingParams {
    /// Part of the places at an upstream that a request leaves free.
    pub fn reserved_share(&self, now: Instant) -> f64 {
        if is_late(now, self) { LATE_RESERVED_SHARE } else { 0.0 }
    }
}

/// Latest time at which a request that comes now is still worth sending.
pub fn wait_deadline(now: Instant, deadline: Instant, is_client_retry: bool) -> Instant {
    let share = if is_client_retry { CLIENT_RETRY_WAIT_FRACTION } else { MAX_WAIT_FRACTION };
    now + deadline.saturating_duration_since(now).mul_f64(share)
}

/// Whether a request may wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It waits.
    Queued,
    /// It would wait too long.
    WaitTooLong {
        /// Expected wait.
        expected_wait: Duration,
    },
    /// Too many wait.
    QueueFull,
}

/// Requests that wait for one kind of upstream.
#[derive(Debug)]
pub struct Queue<T> {
    waiting: BTreeMap<Ticket, (SchedulingParams, T)>,
    next_ticket: Ticket,
    /// When requests went, and whether they were late then.
    dispatches: VecDeque<(Instant, bool)>,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self { waiting: BTreeMap::new(), next_ticket: 0, dispatches: VecDeque::new() }
    }
}

/// Queues by what the upstreams serve.
pub type Queues<T> = BTreeMap<PoolKey, Queue<T>>;

impl<T> Queue<T> {
    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Notes that a request went to an upstream.
    pub fn record_dispatch(&mut self, now: Instant, params: &SchedulingParams) {
        self.dispatches.push_back((now, is_late(now, params)));
        while self.dispatches.front().is_some_and(|(at, _)| now >= *at + RATE_WINDOW) {
            self.dispatches.pop_front();
        }
    }

    /// Whether a request may wait, by those that would go before it.
    pub fn admit(&self, now: Instant, params: &SchedulingParams) -> Admission {
        if self.waiting.len() >= MAX_QUEUE_LENGTH {
            return Admission::QueueFull;
        }
        let wait = self.expected_wait(now, params);
        if now + wait > params.expires_at {
            return Admission::WaitTooLong { expected_wait: wait };
        }
        Admission::Queued
    }

    /// Time until a request goes: behind those that can be on time, and if it can't be on time
    /// itself, behind the late ones before it, which get only what the others leave.
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

    /// Requests that went in a second lately.
    fn dispatch_rate(&self, now: Instant, counts: impl Fn(bool) -> bool) -> f64 {
        let recent = |(at, late): &&(Instant, bool)| now < *at + RATE_WINDOW && counts(*late);
        self.dispatches.iter().filter(recent).count() as f64 / RATE_WINDOW.as_secs_f64()
    }

    /// Adds a request.
    pub fn push(&mut self, params: SchedulingParams, request: T) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.waiting.insert(ticket, (params, request));
        ticket
    }

    /// Removes a request, if it still waits.
    pub fn remove(&mut self, ticket: Ticket) -> Option<T> {
        self.waiting.remove(&ticket).map(|(_, request)| request)
    }

    /// The request that goes next.
    pub fn peek(&self, now: Instant) -> Option<(Ticket, SchedulingParams, &T)> {
        let first = self.waiting.iter().min_by_key(|(ticket, (t, _))| (sort_key(now, t), **ticket));
        first.map(|(ticket, (params, request))| (*ticket, *params, request))
    }
}

fn is_late(now: Instant, params: &SchedulingParams) -> bool {
    now > params.dispatch_by
}

/// Time in which so many go; none at all when nothing is known of the rate.
fn drain_time(count: usize, per_second: f64) -> Duration {
    if count == 0 || per_second <= 0.0 {
        return Duration::ZERO;
    }
    Duration::from_secs_f64(count as f64 / per_second)
}

/// Those that can be on time first, by rank and by how soon they must go; then the late ones,
/// first those that will not come again.
fn sort_key(now: Instant, params: &SchedulingParams) -> (bool, bool, u8, Instant) {
    if is_late(now, params) {
        (true, !params.is_client_retry, params.priority, params.expires_at)
    } else {
        (false, false, params.priority, params.dispatch_by)
    }
}
