//! Admission by rank with guaranteed floors, weighted fair queueing among callers, early refusal
//! and preemption of batch calls.

use {
    crate::{
        policy::{Admission, AdmissionRequest, EnqueueResult, RankLimits},
        queue::FairQueue,
    },
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    turmerictack_model::{
        ids::{CallId, Tokens},
        outcome::FailureCode,
        rank::Rank,
    },
};

/// Share of the capacity, in percent, that is reserved for urgent calls.
const URGENT_HEADROOM_PERCENT: usize = 5;

/// Weight of a new sample in the moving average of the service time.
const EWMA_WEIGHT: f64 = 0.1;

/// Ratio of the expected wait to the time left until the deadline above which a call is refused.
const REFUSAL_FACTOR: f64 = 1.5;

/// [`REFUSAL_FACTOR`] of [`FairAdmission::lenient`].
const LENIENT_REFUSAL_FACTOR: f64 = 1000.0;

/// Smallest and largest `retry_after` of a refusal.
const RETRY_AFTER_BOUNDS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));

/// A call in flight.
#[derive(Debug)]
struct Running {
    request: AdmissionRequest,
    started_at: Instant,
    preempting: bool,
}

/// Queue, limits and number of calls in flight of one rank.
#[derive(Debug)]
struct RankState {
    limits: RankLimits,
    queue: FairQueue,
    in_flight: usize,
}

impl Default for RankState {
    fn default() -> Self {
        let limits = RankLimits { floor_percent: 0, queue_limit: 1 };
        Self { limits, queue: FairQueue::default(), in_flight: 0 }
    }
}

/// Admission policy with a guaranteed floor for each rank and fair shares for its callers.
#[derive(Debug)]
pub struct FairAdmission {
    capacity: usize,
    ranks: BTreeMap<Rank, RankState>,
    running: BTreeMap<CallId, Running>,
    /// Number of running calls that were selected for preemption and have not stopped yet.
    preempting: usize,
    mean_service_time: Option<Duration>,
    refusal_factor: f64,
}

impl Default for FairAdmission {
    fn default() -> Self {
        Self {
            capacity: 0,
            ranks: Rank::ALL.into_iter().map(|r| (r, RankState::default())).collect(),
            running: BTreeMap::new(),
            preempting: 0,
            mean_service_time: None,
            refusal_factor: REFUSAL_FACTOR,
        }
    }
}

impl FairAdmission {
    /// A policy that refuses a call early only if the expected wait exceeds the time left a
    /// thousandfold, so that benchmarks can measure the policy without early refusal.
    pub fn lenient() -> Self {
        Self { refusal_factor: LENIENT_REFUSAL_FACTOR, ..Self::default() }
    }

    fn state(&mut self, rank: Rank) -> &mut RankState {
        self.ranks.entry(rank).or_default()
    }

    /// Number of calls in flight that a rank is guaranteed, whatever the load of the others.
    fn floor(&self, rank: Rank) -> usize {
        let percent = self.ranks.get(&rank).map_or(0, |s| s.limits.floor_percent as usize);
        (self.capacity * percent).div_ceil(100)
    }

    fn below_floor(&self, rank: Rank) -> bool {
        self.in_flight(rank) < self.floor(rank)
    }

    /// Free capacity that is reserved for urgent calls.
    fn headroom(&self) -> usize {
        let reserved = self.capacity * URGENT_HEADROOM_PERCENT / 100;
        reserved.saturating_sub(self.in_flight(Rank::Urgent))
    }

    fn free_capacity(&self) -> usize {
        self.capacity.saturating_sub(self.running.len())
    }

    /// The rank to serve next: the most urgent one below its floor, or else the most urgent one.
    fn next_rank(&self) -> Option<Rank> {
        let free_capacity = self.free_capacity();
        let can_run = |rank: &Rank| {
            let headroom = if *rank == Rank::Urgent { 0 } else { self.headroom() };
            self.waiting(*rank) > 0 && free_capacity > headroom
        };
        let mut ranks = Rank::ALL.into_iter().filter(can_run);
        let first = ranks.clone().find(|r| self.below_floor(*r));
        first.or_else(|| ranks.next())
    }

    /// Estimated queue wait of a new call, from the mean service time; zero without a sample. While
    /// calls of more urgent ranks are queued, only the floor of the call's own rank counts
    /// as capacity.
    fn expected_wait(&self, request: &AdmissionRequest) -> Duration {
        let Some(mean) = self.mean_service_time else {
            return Duration::ZERO;
        };
        let own = self.ranks.get(&request.rank);
        let mut ahead = own.map_or(0, |s| s.queue.calls_before(&request.caller));
        let mut share = self.floor(request.rank).max(1);
        let more_urgent = Rank::ALL.into_iter().filter(|r| *r < request.rank);
        let urgent_waiting: usize = more_urgent.map(|r| self.waiting(r)).sum();
        if urgent_waiting == 0 {
            share = self.capacity.max(1);
        }
        ahead += 1;
        if ahead <= self.free_capacity() {
            return Duration::ZERO;
        }
        mean.mul_f64(ahead as f64 / share as f64)
    }

    fn record_service_time(&mut self, sample: Duration) {
        self.mean_service_time = Some(match self.mean_service_time {
            Some(mean) => mean.mul_f64(1.0 - EWMA_WEIGHT) + sample.mul_f64(EWMA_WEIGHT),
            None => sample,
        });
    }

    fn remove_running(&mut self, call: CallId) -> Option<Running> {
        let running = self.running.remove(&call)?;
        self.state(running.request.rank).in_flight -= 1;
        if running.preempting {
            self.preempting -= 1;
        }
        Some(running)
    }

    /// Batch calls in flight that can be stopped without taking batch below its floor, the newest
    /// first.
    fn preemption_candidates(&self) -> Vec<CallId> {
        let above_floor = self.in_flight(Rank::Batch).saturating_sub(self.floor(Rank::Batch));
        let mut calls: Vec<(Instant, CallId)> = self
            .running
            .iter()
            .filter(|(_, r)| r.request.rank == Rank::Batch && r.request.preemptible)
            .filter(|(_, r)| !r.preempting)
            .map(|(call, r)| (r.started_at, *call))
            .collect();
        calls.sort_unstable_by(|a, b| b.cmp(a));
        calls.truncate(above_floor.saturating_sub(self.preempting));
        calls.into_iter().map(|(_, call)| call).collect()
    }
}

impl Admission for FairAdmission {
    fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    fn set_limits(&mut self, limits: &BTreeMap<Rank, RankLimits>) {
        for (rank, limits) in limits {
            self.state(*rank).limits = *limits;
        }
    }

    fn enqueue(&mut self, now: Instant, request: AdmissionRequest) -> EnqueueResult {
        let wait = self.expected_wait(&request);
        let left = request.deadline.saturating_duration_since(now);
        let retry_after = wait.clamp(RETRY_AFTER_BOUNDS.0, RETRY_AFTER_BOUNDS.1);
        if wait > left.mul_f64(self.refusal_factor) {
            return EnqueueResult::Refused { code: FailureCode::Deadline, retry_after };
        }
        let state = self.state(request.rank);
        let mut evicted = None;
        if state.queue.len() >= state.limits.queue_limit {
            evicted = state.queue.evict_last_after(&request.caller).map(|r| r.call);
            if evicted.is_none() {
                return EnqueueResult::Refused { code: FailureCode::Overloaded, retry_after };
            }
        }
        state.queue.push(request);
        EnqueueResult::Queued { evicted }
    }

    fn admit(&mut self, now: Instant) -> Vec<CallId> {
        let mut admitted = Vec::new();
        while let Some(rank) = self.next_rank() {
            let state = self.state(rank);
            let Some(request) = state.queue.pop(now) else {
                break;
            };
            state.in_flight += 1;
            admitted.push(request.call);
            let running = Running { request, started_at: now, preempting: false };
            self.running.insert(running.request.call, running);
        }
        admitted
    }

    fn preempt(&mut self, _now: Instant) -> Vec<CallId> {
        let waiting = self.waiting(Rank::Urgent) + self.waiting(Rank::Standard);
        let shortfall = waiting.saturating_sub(self.free_capacity() + self.preempting);
        if shortfall == 0 || self.in_flight(Rank::Batch) <= self.floor(Rank::Batch) {
            return Vec::new();
        }
        let mut calls = self.preemption_candidates();
        calls.truncate(shortfall);
        for call in &calls {
            if let Some(running) = self.running.get_mut(call) {
                running.preempting = true;
                self.preempting += 1;
            }
        }
        calls
    }

    fn requeue(&mut self, now: Instant, call: CallId) {
        if let Some(running) = self.remove_running(call) {
            self.record_service_time(now.saturating_duration_since(running.started_at));
            self.state(running.request.rank).queue.push_front(running.request);
        }
    }

    fn cancel(&mut self, call: CallId) -> bool {
        self.ranks.values_mut().any(|s| s.queue.remove(call).is_some())
    }

    fn finish(&mut self, now: Instant, call: CallId, used: Tokens) {
        if let Some(running) = self.remove_running(call) {
            self.record_service_time(now.saturating_duration_since(running.started_at));
            self.state(running.request.rank).queue.settle(&running.request, used);
        }
    }

    fn waiting(&self, rank: Rank) -> usize {
        self.ranks.get(&rank).map_or(0, |s| s.queue.len())
    }

    fn in_flight(&self, rank: Rank) -> usize {
        self.ranks.get(&rank).map_or(0, |s| s.in_flight)
    }
}
