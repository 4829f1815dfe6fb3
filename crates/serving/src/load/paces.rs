//! Signs for the paces of upstreams, from the requests of this node and from peers.

use {
    super::{LoadTracker, OVERLOAD_COOLDOWN, PeerLoads, UpstreamOutcome},
    crate::{
        directory::PoolKey,
        membership::heartbeat_round,
        pace::{Interval, PaceReason},
    },
    rand::Rng,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    turmerictack_model::ids::NodeId,
    turmerictack_protocol::heartbeat::{HeartbeatPace, UpstreamKey},
};

/// Age from which the report of a peer is overdue, at least.
const MIN_OVERDUE: Duration = Duration::from_millis(250);

impl LoadTracker {
    /// Records the time to the first event or the complete response, where `usual` is that of the
    /// pool.
    pub fn record_response(
        &mut self,
        now: Instant,
        key: UpstreamKey,
        elapsed: Duration,
        usual: Duration,
    ) {
        let in_flight = self.estimate(now, key);
        self.paces.record_response(now, key, elapsed, usual, in_flight);
    }

    /// Shares out what is free at paced upstreams until the next interval of heartbeats.
    pub fn begin_pace_interval(
        &mut self,
        now: Instant,
        peer_timeout: Duration,
        waiting: &dyn Fn(&PoolKey) -> usize,
        rng: &mut dyn Rng,
    ) {
        let in_flight = self.in_flight_of(now, self.paces.paced());
        let overdue = self.overdue_in_flight(now, self.paces.paced());
        let local = |key: &UpstreamKey| self.by_key.get(key).map_or(0, |l| l.local_in_flight);
        let elsewhere = in_flight.iter().map(|(key, all)| (*key, all.saturating_sub(local(key))));
        let elsewhere = elsewhere.collect();
        let allowances = &self.allowances;
        let interval = Interval {
            peers: self.peer_loads.len(),
            peer_timeout,
            in_flight: &in_flight,
            elsewhere: &elsewhere,
            overdue: &overdue,
            waiting,
            nodes_per_sender: &|upstream| allowances.nodes_per_sender(now, upstream),
        };
        self.paces.begin_interval(now, &interval, rng);
    }

    /// Requests in flight of peers whose reports are overdue.
    ///
    /// Where the bound is low, those of a few lost nodes would keep all others away until their
    /// reports expire.
    fn overdue_in_flight(
        &self,
        now: Instant,
        keys: impl Iterator<Item = UpstreamKey>,
    ) -> BTreeMap<UpstreamKey, u32> {
        let timeout = MIN_OVERDUE.max(heartbeat_round(self.peer_loads.len()) * 2);
        let is_overdue = |p: &&PeerLoads| now >= p.received_at + timeout;
        let overdue: Vec<&PeerLoads> = self.peer_loads.values().filter(is_overdue).collect();
        let in_flight = |key: UpstreamKey| {
            overdue.iter().filter_map(|p| p.by_upstream.get(&key)).map(|(count, _)| count).sum()
        };
        keys.map(|key| (key, in_flight(key))).collect()
    }

    /// Applies the paces that a peer reports.
    pub fn merge_peer_paces(&mut self, now: Instant, node: &NodeId, reports: &[HeartbeatPace]) {
        let in_flight = self.in_flight_of(now, reports.iter().map(|r| r.upstream));
        self.paces.merge_peer(now, node, reports, &in_flight);
    }

    pub(super) fn begin_pace(&mut self, now: Instant, key: UpstreamKey, reason: PaceReason) {
        let in_flight = self.estimate(now, key);
        self.paces.begin(now, key, reason, in_flight);
    }

    /// Applies the end of a request to the pace of its upstream; the request still counts as in
    /// flight.
    pub(super) fn record_paced_outcome(
        &mut self,
        now: Instant,
        key: UpstreamKey,
        outcome: UpstreamOutcome,
    ) {
        let in_flight = self.estimate(now, key);
        match outcome {
            UpstreamOutcome::Cooldown(cooldown) if cooldown <= OVERLOAD_COOLDOWN => {
                self.paces.record_rejection(now, key, in_flight);
            }
            UpstreamOutcome::Cooldown(_) => self.begin_pace(now, key, PaceReason::FailuresEnded),
            UpstreamOutcome::Failure
            | UpstreamOutcome::ConnectionLost
            | UpstreamOutcome::Stalled => self.paces.record_late(now, key),
            UpstreamOutcome::Success | UpstreamOutcome::Inconclusive => {}
        }
        self.paces.record_end(key);
    }

    fn in_flight_of(
        &self,
        now: Instant,
        keys: impl Iterator<Item = UpstreamKey>,
    ) -> BTreeMap<UpstreamKey, u32> {
        keys.map(|key| (key, self.estimate(now, key))).collect()
    }
}
