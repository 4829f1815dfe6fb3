//! Allowances of cold upstreams.
//!
//! The senders to a cold upstream are chosen among all registered nodes, live or not, and have even
//! shares. So nodes that are cut off from the others, or have just started, agree with them, and all
//! of them together keep the bound without a message.

use {
    super::{
        ColdBound, SendAllowances,
        limit::{Cold, Limit},
        senders::{Senders, assign_senders},
    },
    crate::{
        cold_periods::ColdPeriod,
        directory::{PoolKey, Upstream, UpstreamRun},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    turmerictack_model::{ids::Address, rate::RequestRate},
    turmerictack_protocol::heartbeat::UpstreamKey,
};

/// An upstream that has become cold or warm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdChange {
    /// Upstream.
    pub upstream: UpstreamKey,
    /// Time for which it stays cold, and its rate meanwhile; `None` if it is warm.
    pub cold: Option<(Duration, RequestRate)>,
}

/// Addresses of the senders to cold upstreams, and what they were derived from.
#[derive(Debug, Default)]
pub(super) struct RegisteredSenders {
    counts: BTreeMap<PoolKey, BTreeMap<UpstreamRun, usize>>,
    nodes: BTreeSet<Address>,
    /// Senders by address.
    by_run: BTreeMap<UpstreamRun, Senders>,
}

impl SendAllowances {
    /// Sets how far the requests to cold upstreams may exceed their rate.
    pub fn set_cold_bound(&mut self, bound: ColdBound) {
        self.cold_bound = bound;
    }

    /// Whether any upstream was cold when the allowances were last updated.
    pub fn has_cold(&self) -> bool {
        self.limits.values().any(|limit| limit.cold.is_some())
    }

    /// Whether an upstream is cold.
    pub fn is_cold(&self, now: Instant, run: &UpstreamRun) -> bool {
        self.limits.get(run).is_some_and(|limit| limit.cold(now).is_some())
    }

    /// Number of nodes for each that may send to an upstream; 1 unless it is cold.
    pub(crate) fn nodes_per_sender(&self, now: Instant, upstream: &Upstream) -> f64 {
        let limit = self.limits.get(&upstream.run()).filter(|limit| limit.cold(now).is_some());
        let senders = limit.map_or(0, |limit| limit.cold_senders.0);
        if senders == 0 { 1.0 } else { self.cluster.registered as f64 / senders as f64 }
    }

    /// Applies the upstreams that are cold; returns the changes.
    pub fn set_cold(
        &mut self,
        now: Instant,
        periods: &BTreeMap<UpstreamRun, ColdPeriod>,
    ) -> Vec<ColdChange> {
        let mut changes = Vec::new();
        for (run, period) in periods {
            let limit = self.limits.entry(*run).or_insert_with(|| Limit::new(now));
            if limit.cold(now).is_none() {
                limit.bucket.drain(now);
                limit.cold_senders = (0, false);
                let remaining = period.until.saturating_duration_since(now);
                changes.push(ColdChange { upstream: run.0, cold: Some((remaining, period.rate)) });
            }
            let bound = self.cold_bound.of_rate(period.rate);
            limit.cold = Some(Cold { until: period.until, bound });
        }
        changes.extend(self.end_cold(now, |run| !periods.contains_key(run)));
        changes
    }

    /// Ends the cold starts whose time is over; returns the changes.
    pub fn expire_cold(&mut self, now: Instant) -> Vec<ColdChange> {
        self.end_cold(now, |_| false)
    }

    fn end_cold(
        &mut self,
        now: Instant,
        is_over: impl Fn(&UpstreamRun) -> bool,
    ) -> Vec<ColdChange> {
        let mut changes = Vec::new();
        for (run, limit) in &mut self.limits {
            if limit.cold.is_some_and(|cold| now >= cold.until || is_over(run)) {
                limit.cold = None;
                limit.senders.clear();
                changes.push(ColdChange { upstream: run.0, cold: None });
            }
        }
        if !changes.is_empty() {
            self.limits.retain(|_, limit| limit.cold.is_some() || limit.latest.is_some());
            self.assigned.0.clear();
        }
        changes
    }

    /// Assigns registered nodes to the cold upstreams as senders.
    pub(super) fn assign_registered(&mut self, now: Instant) {
        if !self.has_cold() {
            return;
        }
        let counts = self.cold_pools(now);
        let registered = &self.cluster.registered_addresses;
        if (&counts, registered)
            != (&self.registered_senders.counts, &self.registered_senders.nodes)
        {
            let none = BTreeSet::new();
            let assigned = counts.values().flat_map(|runs| assign_senders(runs, registered, &none));
            self.registered_senders =
                RegisteredSenders { by_run: assigned.collect(), nodes: registered.clone(), counts };
        }
        for (run, limit) in &mut self.limits {
            let Some(assigned) = self.registered_senders.by_run.get(run) else { continue };
            if limit.cold(now).is_none() {
                continue;
            }
            let is_sender = assigned.contains_key(&self.own_address);
            if is_sender && !limit.cold_senders.1 {
                limit.bucket.drain(now);
            }
            limit.cold_senders = (assigned.len(), is_sender);
        }
    }

    /// Pools with cold upstreams, each with the number of senders to each of its upstreams.
    ///
    /// Warm upstreams of a pool take part in the assignment, so that it stays as it is when one
    /// becomes cold or warm.
    fn cold_pools(&self, now: Instant) -> BTreeMap<PoolKey, BTreeMap<UpstreamRun, usize>> {
        let mut max_senders: BTreeMap<&PoolKey, usize> = BTreeMap::new();
        for (run, limit) in self.limits.iter().filter(|(_, limit)| limit.cold(now).is_some()) {
            let (Some(pool), Some(bound)) = (self.listed.get(run), limit.bound(now)) else {
                continue;
            };
            let max = max_senders.entry(pool).or_insert(bound.max_senders);
            *max = bound.max_senders.min(*max);
        }
        let mut counts: BTreeMap<PoolKey, BTreeMap<UpstreamRun, usize>> = BTreeMap::new();
        for (run, pool) in &self.listed {
            if let Some(max) = max_senders.get(pool) {
                counts.entry(pool.clone()).or_default().insert(*run, *max);
            }
        }
        counts
    }
}
