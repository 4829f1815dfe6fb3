//! Shares of the nodes in what is free below a bound.

use {
    super::{Pace, Paces, peers::PeerCounts},
    crate::{
        directory::{PoolKey, Upstream},
        membership::{HEARTBEAT_INTERVAL, heartbeat_round},
        spread::SendRate,
    },
    rand::{Rng, RngExt as _},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    turmerictack_protocol::heartbeat::UpstreamKey,
};

/// Smallest number of intervals over which what is free is used up.
const MIN_INTERVALS: f64 = 2.0;

/// Time for which requests count as waiting after one found no room.
const UNMET_TIME: Duration = Duration::from_secs(1);

/// State of a node at the start of an interval of heartbeats.
pub struct Interval<'a> {
    /// Number of other nodes that report loads.
    pub peers: usize,
    /// Time without a report after which a peer counts as gone.
    pub peer_timeout: Duration,
    /// Requests in flight at paced upstreams, over all nodes.
    pub in_flight: &'a BTreeMap<UpstreamKey, u32>,
    /// Those of them that are of other nodes.
    pub elsewhere: &'a BTreeMap<UpstreamKey, u32>,
    /// Those of them that only overdue reports of peers name.
    pub overdue: &'a BTreeMap<UpstreamKey, u32>,
    /// Number of requests of this node that wait for an upstream of a pool.
    pub waiting: &'a dyn Fn(&PoolKey) -> usize,
    /// Number of nodes for each that may send to an upstream at all.
    pub nodes_per_sender: &'a dyn Fn(&Upstream) -> f64,
}

impl Paces {
    /// Upstreams that are paced.
    pub fn paced(&self) -> impl Iterator<Item = UpstreamKey> + '_ {
        self.by_key.iter().filter(|(_, t)| t.pace.is_some()).map(|(key, _)| *key)
    }

    /// Draws how many requests this node may send to each paced upstream until the next interval.
    ///
    /// What others send is known after a round of heartbeats, so all nodes together use up what is
    /// free over such a round. A draw decides about fractions of a request, and whether there is a
    /// request to send in this interval has a part in it. What isn't used lapses, so that idle nodes
    /// don't save up for a burst.
    pub fn begin_interval(&mut self, now: Instant, interval: &Interval<'_>, rng: &mut dyn Rng) {
        self.round = heartbeat_round(interval.peers);
        let intervals = self.round.as_secs_f64() / HEARTBEAT_INTERVAL.as_secs_f64();
        for (key, tracked) in &mut self.by_key {
            let Some(pace) = &mut tracked.pace else { continue };
            let waiting = (interval.waiting)(&tracked.pool);
            let demand = self.demands.get(&tracked.pool);
            pace.is_waiting = waiting > 0 || demand.is_some_and(|d| d.was_unmet(now));
            let arrivals = demand.map_or(0.0, |d| d.arrivals.per_second(now));
            let expected = waiting as f64 + arrivals * HEARTBEAT_INTERVAL.as_secs_f64();
            pace.overdue = interval.overdue.get(key).copied().unwrap_or(0);
            let in_flight = interval.in_flight.get(key).copied().unwrap_or(0);
            let in_flight = in_flight.saturating_sub(pace.overdue);
            let elsewhere = interval.elsewhere.get(key).copied().unwrap_or(0);
            if !pace.reason.is_listed() && elsewhere >= pace.bound.current() {
                // The others don't hold back, and would keep this node away.
                pace.bound.open();
            }
            let free = f64::from(pace.bound.current().saturating_sub(in_flight));
            let nodes_per_sender = (interval.nodes_per_sender)(&tracked.upstream);
            let senders = (pace.senders(now, interval) as f64 / nodes_per_sender).max(1.0);
            let share = free / senders / intervals.max(MIN_INTERVALS);
            let share = (share / expected.min(1.0)).min(share.max(1.0));
            let share = if free > 0.0 && share.is_finite() { share } else { 0.0 };
            pace.sends_left = share as u32 + u32::from(rng.random::<f64>() < share.fract());
        }
        self.end_finished(now);
    }

    /// Counts a request for a pool, and whether no upstream had room for it.
    pub(crate) fn record_demand(&mut self, now: Instant, pool: &PoolKey, is_unmet: bool) {
        if let Some(demand) = self.demands.get_mut(pool) {
            demand.arrivals.record_send(now);
            if is_unmet {
                demand.unmet_at = Some(now);
            }
        }
    }

    /// Counts a request sent to an upstream.
    pub(crate) fn record_send(&mut self, key: UpstreamKey) {
        if let Some(pace) = self.pace_mut(key) {
            pace.sends_left = pace.sends_left.saturating_sub(1);
        }
    }

    /// Lets this node use the place of a request that has ended at once.
    pub(crate) fn record_end(&mut self, key: UpstreamKey) {
        if let Some(pace) = self.pace_mut(key) {
            pace.sends_left += 1;
        }
    }
}

/// Requests of this node for a pool.
#[derive(Debug)]
pub(super) struct Demand {
    arrivals: SendRate,
    /// Time at which no upstream had room for a request.
    unmet_at: Option<Instant>,
}

impl Demand {
    pub(super) fn new(now: Instant) -> Self {
        Self { arrivals: SendRate::new(now), unmet_at: None }
    }

    fn was_unmet(&self, now: Instant) -> bool {
        self.unmet_at.is_some_and(|at| now < at + UNMET_TIME)
    }
}

impl Pace {
    /// Number of nodes among which this node shares what is free: those that pace the upstream, which
    /// are all unless only some have seen a reason; if requests wait here, without those that have
    /// told that none waits there.
    fn senders(&self, now: Instant, interval: &Interval<'_>) -> usize {
        if !self.reason.is_listed() {
            return self.peers.len() + 1;
        }
        if !self.is_waiting {
            return interval.peers + 1;
        }
        let is_idle = |p: &&PeerCounts| p.is_idle(now, interval.peer_timeout);
        let idle = self.peers.values().filter(is_idle).count();
        1 + interval.peers.saturating_sub(idle)
    }
}
