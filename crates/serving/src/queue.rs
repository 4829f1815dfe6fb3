//! Requests that wait for an upstream: who goes first, and who need not wait at all.
//!
//! Answers the load of a flood: requests that can still be on time go before those that are late
//! anyway, and one whose wait would outlast its bound is refused when it comes.

use {
    crate::directory::TargetKind,
    std::{
        collections::{BTreeMap, VecDeque},
        time::{Duration, Instant},
    },
};

/// Part of a caller's patience that a request waits at most.
const MAX_WAIT_SHARE: f64 = 0.25;

/// The same for a request that was refused before, since its caller will not come again.
const RETURNED_WAIT_SHARE: f64 = 0.25;

/// Late requests a second that an upstream kind is expected to take at least.
const MIN_LATE_RATE: f64 = 0.5;

/// Window over which the rate of grants is counted.
const RATE_WINDOW: Duration = Duration::from_secs(2);

/// Requests that wait at most for each kind of upstream.
const MAX_WAITING: usize = 512;

/// Number of a waiting request, in the order of arrival.
pub type Ticket = u64;

/// What decides the place of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitTerms {
    /// Rank; 0 goes first.
    pub urgency: u8,
    /// Whether it was refused before.
    pub returned: bool,
    /// Until when it has to go to be on time.
    pub on_time_until: Instant,
    /// When it is refused.
    pub give_up_at: Instant,
}

/// Part of the places at each upstream that late requests leave free.
///
/// Each node fills the places that its own requests leave. Without these a node with a backlog of
/// late requests would keep all of its places from requests at other nodes that can be on time.
const LATE_RESERVE: f64 = 0.25;

impl WaitTerms {
    /// Part of the places at an upstream that a request leaves free.
    pub fn reserve(&self, now: Instant) -> f64 {
        if is_late(now, self) { LATE_RESERVE } else { 0.0 }
    }
}

/// Latest time at which a request that comes now is still worth sending.
pub fn give_up_at(now: Instant, deadline: Instant, returned: bool) -> Instant {
    let share = if returned { RETURNED_WAIT_SHARE } else { MAX_WAIT_SHARE };
    now + deadline.saturating_duration_since(now).mul_f64(share)
}

/// Whether a request may wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It waits.
    Waits,
    /// It would wait too long.
    TooLong {
        /// Expected wait.
        wait: Duration,
    },
    /// Too many wait.
    Full,
}

/// Requests that wait for one kind of upstream.
#[derive(Debug)]
pub struct Queue<T> {
    waiting: BTreeMap<Ticket, (WaitTerms, T)>,
    next: Ticket,
    /// When requests went, and whether they were late then.
    grants: VecDeque<(Instant, bool)>,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self { waiting: BTreeMap::new(), next: 0, grants: VecDeque::new() }
    }
}

/// Queues by what the upstreams serve.
pub type Queues<T> = BTreeMap<TargetKind, Queue<T>>;

impl<T> Queue<T> {
    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Notes that a request went to an upstream.
    pub fn granted(&mut self, now: Instant, terms: &WaitTerms) {
        self.grants.push_back((now, is_late(now, terms)));
        while self.grants.front().is_some_and(|(at, _)| now >= *at + RATE_WINDOW) {
            self.grants.pop_front();
        }
    }

    /// Whether a request may wait, by those that would go before it.
    pub fn admit(&self, now: Instant, terms: &WaitTerms) -> Admission {
        if self.waiting.len() >= MAX_WAITING {
            return Admission::Full;
        }
        let wait = self.expected_wait(now, terms);
        if now + wait > terms.give_up_at {
            return Admission::TooLong { wait };
        }
        Admission::Waits
    }

    /// Time until a request goes: behind those that can be on time, and if it can't be on time
    /// itself, behind the late ones before it, which get only what the others leave.
    fn expected_wait(&self, now: Instant, terms: &WaitTerms) -> Duration {
        let rank = order(now, terms);
        let (mut on_time, mut late) = (0, 0);
        for (other, _) in self.waiting.values() {
            if is_late(now, other) {
                late += usize::from(!is_late(now, terms) || order(now, other) <= rank);
            } else {
                on_time += usize::from(order(now, other) <= rank);
            }
        }
        let wait = time_for(on_time, self.rate(now, |_| true));
        if now + wait <= terms.on_time_until || late == 0 {
            return wait;
        }
        wait + time_for(late, self.rate(now, |late| late).max(MIN_LATE_RATE))
    }

    /// Requests that went in a second lately.
    fn rate(&self, now: Instant, counts: impl Fn(bool) -> bool) -> f64 {
        let recent = |(at, late): &&(Instant, bool)| now < *at + RATE_WINDOW && counts(*late);
        self.grants.iter().filter(recent).count() as f64 / RATE_WINDOW.as_secs_f64()
    }

    /// Adds a request.
    pub fn push(&mut self, terms: WaitTerms, request: T) -> Ticket {
        let ticket = self.next;
        self.next += 1;
        self.waiting.insert(ticket, (terms, request));
        ticket
    }

    /// Removes a request, if it still waits.
    pub fn remove(&mut self, ticket: Ticket) -> Option<T> {
        self.waiting.remove(&ticket).map(|(_, request)| request)
    }

    /// The request that goes next.
    pub fn first(&self, now: Instant) -> Option<(Ticket, WaitTerms, &T)> {
        let first = self.waiting.iter().min_by_key(|(ticket, (t, _))| (order(now, t), **ticket));
        first.map(|(ticket, (terms, request))| (*ticket, *terms, request))
    }
}

fn is_late(now: Instant, terms: &WaitTerms) -> bool {
    now > terms.on_time_until
}

/// Time in which so many go; none at all when nothing is known of the rate.
fn time_for(count: usize, per_second: f64) -> Duration {
    if count == 0 || per_second <= 0.0 {
        return Duration::ZERO;
    }
    Duration::from_secs_f64(count as f64 / per_second)
}

/// Those that can be on time first, by rank and by how soon they must go; then the late ones,
/// first those that will not come again.
fn order(now: Instant, terms: &WaitTerms) -> (bool, bool, u8, Instant) {
    if is_late(now, terms) {
        (true, !terms.returned, terms.urgency, terms.give_up_at)
    } else {
        (false, false, terms.urgency, terms.on_time_until)
    }
}
