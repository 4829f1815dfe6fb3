//! First-in, first-out admission, the baseline that benchmarks compare the fair policy with.

use {
    crate::policy::{Admission, AdmissionRequest, EnqueueResult, RankLimits},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Instant,
    },
    turmerictack_model::{
        ids::{CallId, Tokens},
        rank::Rank,
    },
};

/// Admits calls in the order of arrival; never refuses, preempts or requeues a call.
#[derive(Debug, Default)]
pub struct FifoAdmission {
    capacity: usize,
    waiting: VecDeque<AdmissionRequest>,
    running: BTreeMap<CallId, Rank>,
}

impl Admission for FifoAdmission {
    fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    fn set_limits(&mut self, _limits: &BTreeMap<Rank, RankLimits>) {}

    fn enqueue(&mut self, _now: Instant, request: AdmissionRequest) -> EnqueueResult {
        self.waiting.push_back(request);
        EnqueueResult::Queued { evicted: None }
    }

    fn admit(&mut self, _now: Instant) -> Vec<CallId> {
        let mut admitted = Vec::new();
        while self.running.len() < self.capacity {
            let Some(request) = self.waiting.pop_front() else {
                break;
            };
            self.running.insert(request.call, request.rank);
            admitted.push(request.call);
        }
        admitted
    }

    fn preempt(&mut self, _now: Instant) -> Vec<CallId> {
        Vec::new()
    }

    fn requeue(&mut self, _now: Instant, _call: CallId) {}

    fn cancel(&mut self, call: CallId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|r| r.call != call);
        self.waiting.len() < before
    }

    fn finish(&mut self, _now: Instant, call: CallId, _used: Tokens) {
        self.running.remove(&call);
    }

    fn waiting(&self, rank: Rank) -> usize {
        self.waiting.iter().filter(|r| r.rank == rank).count()
    }

    fn in_flight(&self, rank: Rank) -> usize {
        self.running.values().filter(|r| **r == rank).count()
    }
}
