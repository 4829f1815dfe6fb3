//! Requests in flight at each upstream, over all nodes, and the choice between upstreams.

use {
    crate::directory::Upstream,
    rand::{Rng, RngExt as _},
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
    turmerictack_model::ids::{InstanceId, NodeId},
    turmerictack_protocol::beat::{BeatLoad, UpstreamKey},
};

/// Requests beyond its slots that an upstream is given; what waits here can still be put in order.
const MAX_EXCESS_REQUESTS: u32 = 1;

/// Time without any event after which the streams of an upstream stand still.
const STALL_TIMEOUT: Duration = Duration::from_millis(450);

/// Time after which a beat of another node counts no more.
const PEER_LOAD_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time for which an upstream that moved counts as alive.
const PROGRESS_WINDOW: Duration = Duration::from_secs(1);

/// Time for which an upstream without room gets nothing more.
pub const OVERLOAD_COOLDOWN: Duration = Duration::from_millis(100);

/// Time for which an upstream that can't be reached gets nothing more.
pub const UNREACHABLE_COOLDOWN: Duration = Duration::from_millis(1_000);

/// Time for which a report of silence counts.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Requests that nearness is worth.
const LOCAL_DATA_CENTRE_BONUS: f64 = 0.5;

/// Weight of the latest answer in the mean failure rate.
const FAILURE_EWMA_WEIGHT: f64 = 0.1;

/// Failure rate from which an upstream is avoided.
const MAX_FAILURE_RATE: f64 = 0.3;

/// Weight of the latest pace in the mean.
const INTERVAL_EWMA_WEIGHT: f64 = 0.2;

#[derive(Clone, Copy, Debug)]
struct UpstreamLoad {
    local_in_flight: u32,
    /// Own requests when the last two beats were sent, the older one first.
    reported: [u32; 2],
    peer_in_flight: u32,
    busy_since: Instant,
    last_progress: Option<Instant>,
    peer_last_progress: Option<Instant>,
    cooldown_until: Option<Instant>,
    failure_rate: f64,
    event_interval_ms: Option<f64>,
}

/// What one other node said last.
#[derive(Debug)]
struct PeerLoads {
    received_at: Instant,
    in_flight: BTreeMap<UpstreamKey, u32>,
}

/// What an upstream did with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamOutcome {
    /// It answered.
    Success,
    /// It answered with a failure, or broke off.
    Failure,
    /// It was not reached, or refused, and is to be left alone for a time.
    Cooldown(Duration),
    /// Nothing can be concluded.
    Inconclusive,
}

/// Where a request can go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Selection {
    /// Here, now.
    Upstream(Arc<Upstream>),
    /// Every upstream has all that it can take.
    Saturated,
    /// There is no upstream.
    NoCandidate,
}

/// Load by upstream.
#[derive(Debug, Default)]
pub struct LoadTracker {
    by_key: BTreeMap<UpstreamKey, UpstreamLoad>,
    instances: BTreeMap<UpstreamKey, InstanceId>,
    peer_loads: BTreeMap<NodeId, PeerLoads>,
    suspects: BTreeMap<InstanceId, Instant>,
}

impl LoadTracker {
    /// Chooses an upstream: the less loaded of those that nothing speaks against, with the
    /// part `reserve` of its places left free.
    pub fn select(
        &self,
        now: Instant,
        upstreams: &[Arc<Upstream>],
        excluded: &[InstanceId],
        data_centre: &str,
        reserved_share: f64,
        rng: &mut dyn Rng,
    ) -> Selection {
        let candidates: Vec<&Arc<Upstream>> =
            upstreams.iter().filter(|t| !excluded.contains(&t.instance)).collect();
        if candidates.is_empty() {
            return Selection::NoCandidate;
        }
        let has_healthy = candidates.iter().any(|t| self.is_healthy(now, t));
        let mut best: Option<(f64, &Arc<Upstream>)> = None;
        for upstream in candidates {
            let is_eligible = if has_healthy {
                self.is_healthy(now, upstream)
            } else {
                !self.is_cooling_down(now, upstream)
            };
            let score = self.score(upstream, data_centre, reserved_share).filter(|_| is_eligible);
            let Some(score) = score else { continue };
            // Small random part: nodes with the same view must not all choose the same one.
            let score = score + rng.random::<f64>();
            if best.is_none_or(|(b, _)| score < b) {
                best = Some((score, upstream));
            }
        }
        match best {
            Some((_, upstream)) => Selection::Upstream(Arc::clone(upstream)),
            None => Selection::Saturated,
        }
    }

    /// Whether an upstream that nothing speaks against has room.
    pub fn has_capacity(
        &self,
        now: Instant,
        upstreams: &[Arc<Upstream>],
        excluded: &[InstanceId],
    ) -> bool {
        upstreams
            .iter()
            .filter(|t| !excluded.contains(&t.instance) && self.is_healthy(now, t))
            .any(|t| self.score(t, "", 0.0).is_some())
    }

    /// Expected wait at an upstream in requests per slot; nothing when it is full.
    ///
    /// Answers the load of a group that opens while all nodes have requests waiting: what this
    /// node has sent since the last two beats, each of the others has probably sent as well.
    fn score(&self, upstream: &Upstream, data_centre: &str, reserved_share: f64) -> Option<f64> {
        let unreported = self
            .by_key
            .get(&upstream.key)
            .map_or(0, |l| l.local_in_flight.saturating_sub(l.reported[0]));
        let peer_nodes = u32::try_from(self.peer_loads.len()).unwrap_or(u32::MAX);
        let in_flight =
            self.in_flight(upstream.key).saturating_add(unreported.saturating_mul(peer_nodes));
        let reserved_slots = (f64::from(upstream.slots) * reserved_share).ceil() as u32;
        if in_flight + reserved_slots >= upstream.slots + MAX_EXCESS_REQUESTS {
            return None;
        }
        let slowdown = self.relative_interval(upstream);
        let bonus = if upstream.data_centre == data_centre { LOCAL_DATA_CENTRE_BONUS } else { 0.0 };
        Some(f64::from(in_flight + 1) * slowdown - bonus)
    }

    /// Pace against that of all upstreams; 1 is usual, 2 is twice as slow.
    fn relative_interval(&self, upstream: &Upstream) -> f64 {
        let Some(own_interval) = self.by_key.get(&upstream.key).and_then(|l| l.event_interval_ms)
        else {
            return 1.0;
        };
        let intervals = self.by_key.values().filter_map(|l| l.event_interval_ms);
        let (sum, count) =
            intervals.fold((0.0, 0), |(sum, count), interval| (sum + interval, count + 1));
        let mean = sum / f64::from(count.max(1));
        if mean > 0.0 { (own_interval / mean).max(1.0) } else { 1.0 }
    }

    fn is_cooling_down(&self, now: Instant, upstream: &Upstream) -> bool {
        let load = self.by_key.get(&upstream.key);
        load.and_then(|l| l.cooldown_until).is_some_and(|until| now < until)
    }

    fn is_healthy(&self, now: Instant, upstream: &Upstream) -> bool {
        if self.is_cooling_down(now, upstream) || self.is_stalled(now, upstream.key) {
            return false;
        }
        if upstream.is_incomplete && !self.has_recent_progress(now, upstream.key) {
            return false;
        }
        self.by_key.get(&upstream.key).is_none_or(|l| l.failure_rate < MAX_FAILURE_RATE)
    }

    /// Whether requests of this node are at an upstream and none of them moves.
    pub fn is_stalled(&self, now: Instant, key: UpstreamKey) -> bool {
        let Some(load) = self.by_key.get(&key) else { return false };
        let since = load.last_progress.map_or(load.busy_since, |m| m.max(load.busy_since));
        let peer_since = load.peer_last_progress.unwrap_or(since);
        load.local_in_flight > 0
            && now >= since + STALL_TIMEOUT
            && now >= peer_since + STALL_TIMEOUT
    }

    /// Whether a stream from an upstream moved lately, here or at another node.
    pub fn has_recent_progress(&self, now: Instant, key: UpstreamKey) -> bool {
        let Some(load) = self.by_key.get(&key) else { return false };
        load.last_progress.max(load.peer_last_progress).is_some_and(|m| now < m + PROGRESS_WINDOW)
    }

    /// Requests in flight at an upstream, over all nodes.
    pub fn in_flight(&self, key: UpstreamKey) -> u32 {
        self.by_key.get(&key).map_or(0, |l| l.local_in_flight + l.peer_in_flight)
    }

    /// Whether a request is at any upstream, from any node.
    pub fn has_in_flight(&self) -> bool {
        self.by_key.values().any(|l| l.local_in_flight + l.peer_in_flight > 0)
    }

    /// Counts a request that goes to an upstream.
    pub fn acquire(&mut self, now: Instant, upstream: &Upstream) {
        let load = self.entry(now, upstream.key);
        if load.local_in_flight == 0 {
            load.busy_since = now;
        }
        load.local_in_flight += 1;
        self.instances.entry(upstream.key).or_insert_with(|| upstream.instance.clone());
    }

    /// Counts a request that is no longer at an upstream.
    pub fn release(&mut self, now: Instant, key: UpstreamKey, outcome: UpstreamOutcome) {
        let load = self.entry(now, key);
        load.local_in_flight = load.local_in_flight.saturating_sub(1);
        match outcome {
            UpstreamOutcome::Success => {
                load.failure_rate *= 1.0 - FAILURE_EWMA_WEIGHT;
                load.cooldown_until = None;
            }
            UpstreamOutcome::Failure => {
                load.failure_rate += (1.0 - load.failure_rate) * FAILURE_EWMA_WEIGHT
            }
            UpstreamOutcome::Cooldown(cooldown) => load.cooldown_until = Some(now + cooldown),
            UpstreamOutcome::Inconclusive => {}
        }
    }

    /// Notes that a stream moved; `gap` is the time since its last event.
    pub fn record_progress(&mut self, now: Instant, key: UpstreamKey, gap: Option<Duration>) {
        let load = self.entry(now, key);
        load.last_progress = Some(now);
        if let Some(gap) = gap {
            let ms = gap.as_secs_f64() * 1_000.0;
            load.event_interval_ms =
                Some(load.event_interval_ms.map_or(ms, |p| p + (ms - p) * INTERVAL_EWMA_WEIGHT));
        }
    }

    /// Takes what another node says of its load.
    pub fn merge_peer_loads(&mut self, now: Instant, node: &NodeId, loads: &[BeatLoad]) {
        let in_flight = loads.iter().map(|l| (l.upstream, u32::from(l.in_flight))).collect();
        self.peer_loads.insert(node.clone(), PeerLoads { received_at: now, in_flight });
        for load in loads.iter().filter(|l| l.moved) {
            self.entry(now, load.upstream).peer_last_progress = Some(now);
        }
        self.update_peer_totals(now);
    }

    fn update_peer_totals(&mut self, now: Instant) {
        self.peer_loads.retain(|_, p| now < p.received_at + PEER_LOAD_TIMEOUT);
        let mut sums: BTreeMap<UpstreamKey, u32> = BTreeMap::new();
        for (key, in_flight) in self.peer_loads.values().flat_map(|p| &p.in_flight) {
            *sums.entry(*key).or_default() += in_flight;
        }
        for (key, load) in &mut self.by_key {
            load.peer_in_flight = sums.remove(key).unwrap_or(0);
        }
        for (key, sum) in sums {
            self.entry(now, key).peer_in_flight = sum;
        }
    }

    /// What to tell other nodes; notes that they are told.
    pub fn report_loads(&mut self, now: Instant) -> Vec<BeatLoad> {
        for load in self.by_key.values_mut() {
            load.reported = [load.reported[1], load.local_in_flight];
        }
        self.local_loads(now)
    }

    /// Own load.
    pub fn local_loads(&self, now: Instant) -> Vec<BeatLoad> {
        let to_beat_load = |(key, load): (&UpstreamKey, &UpstreamLoad)| {
            let moved = load.last_progress.is_some_and(|m| now < m + STALL_TIMEOUT);
            (load.local_in_flight > 0 || moved).then(|| BeatLoad {
                upstream: *key,
                in_flight: u16::try_from(load.local_in_flight).unwrap_or(u16::MAX),
                moved,
                stalled: self.is_stalled(now, *key),
            })
        };
        self.by_key.iter().filter_map(to_beat_load).collect()
    }

    /// Upstreams whose streams stand still here.
    pub fn stalled_upstreams(&self, now: Instant) -> Vec<InstanceId> {
        let keys = self.by_key.keys().filter(|key| self.is_stalled(now, **key));
        keys.filter_map(|key| self.instances.get(key).cloned()).collect()
    }

    /// Takes instances that were found silent, here or at another node.
    pub fn record_suspects(
        &mut self,
        now: Instant,
        instances: impl IntoIterator<Item = InstanceId>,
    ) {
        self.suspects.extend(instances.into_iter().map(|id| (id, now)));
    }

    /// Instances that were found silent lately.
    pub fn suspects(&mut self, now: Instant) -> Vec<InstanceId> {
        self.suspects.retain(|_, at| now < *at + SUSPICION_TIMEOUT);
        let mut suspects = self.stalled_upstreams(now);
        suspects.extend(self.suspects.keys().cloned());
        suspects
    }

    /// Forgets upstreams that are gone and have nothing in flight.
    pub fn retain(&mut self, is_listed: &dyn Fn(UpstreamKey) -> bool) {
        self.by_key.retain(|key, load| load.local_in_flight > 0 || is_listed(*key));
        self.instances.retain(|key, _| self.by_key.contains_key(key));
    }

    fn entry(&mut self, now: Instant, key: UpstreamKey) -> &mut UpstreamLoad {
        self.by_key.entry(key).or_insert(UpstreamLoad {
            local_in_flight: 0,
            reported: [0; 2],
            peer_in_flight: 0,
            busy_since: now,
            last_progress: None,
            peer_last_progress: None,
            cooldown_until: None,
            failure_rate: 0.0,
            event_interval_ms: None,
        })
    }
}
