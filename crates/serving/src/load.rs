//! Requests in flight at each upstream, over all nodes, and the choice between upstreams.

use {
    crate::directory::Target,
    rand::{Rng, RngExt as _},
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
    turmerictack_model::ids::{InstanceId, NodeId},
    turmerictack_protocol::heartbeat::{HeartbeatLoad, UpstreamKey},
};

/// Requests beyond its slots that an upstream is given; what waits here can still be put in order.
const EXTRA_PER_UPSTREAM: u32 = 1;

/// Time without any event after which the streams of an upstream stand still.
const STALL: Duration = Duration::from_millis(450);

/// Time after which a beat of another node counts no more.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time for which an upstream that moved counts as alive.
const MOVED_RECENTLY: Duration = Duration::from_secs(1);

/// Time for which an upstream without room gets nothing more.
pub const FULL_PAUSE: Duration = Duration::from_millis(100);

/// Time for which an upstream that can't be reached gets nothing more.
pub const UNREACHABLE_PAUSE: Duration = Duration::from_millis(1_000);

/// Time for which a report of silence counts.
const SUSPICION: Duration = Duration::from_millis(1_500);

/// Requests that nearness is worth.
const LOCAL_BONUS: f64 = 0.5;

/// Weight of the latest answer in the mean failure rate.
const FAILURE_WEIGHT: f64 = 0.1;

/// Failure rate from which an upstream is avoided.
const MAX_FAILURE_RATE: f64 = 0.3;

/// Weight of the latest pace in the mean.
const PACE_WEIGHT: f64 = 0.2;

#[derive(Clone, Copy, Debug)]
struct Load {
    own: u32,
    /// Own requests when the last two beats were sent, the older one first.
    told: [u32; 2],
    peers: u32,
    busy_since: Instant,
    moved: Option<Instant>,
    peer_moved: Option<Instant>,
    avoid_until: Option<Instant>,
    failure_rate: f64,
    pace_ms: Option<f64>,
}

/// What one other node said last.
#[derive(Debug)]
struct PeerLoads {
    heard: Instant,
    in_flight: BTreeMap<UpstreamKey, u32>,
}

/// What an upstream did with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It answered.
    Served,
    /// It answered with a failure, or broke off.
    Failed,
    /// It was not reached, or refused, and is to be left alone for a time.
    Avoid(Duration),
    /// Nothing can be concluded.
    Neutral,
}

/// Where a request can go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Pick {
    /// Here, now.
    Place(Arc<Target>),
    /// Every upstream has all that it can take.
    Full,
    /// There is no upstream.
    Nowhere,
}

/// Load by upstream.
#[derive(Debug, Default)]
pub struct Loads {
    by_key: BTreeMap<UpstreamKey, Load>,
    names: BTreeMap<UpstreamKey, InstanceId>,
    peers: BTreeMap<NodeId, PeerLoads>,
    suspects: BTreeMap<InstanceId, Instant>,
}

impl Loads {
    /// Chooses an upstream: the less loaded of those that nothing speaks against, with the
    /// part `reserve` of its places left free.
    pub fn pick(
        &self,
        now: Instant,
        targets: &[Arc<Target>],
        tried: &[InstanceId],
        data_centre: &str,
        reserve: f64,
        rng: &mut dyn Rng,
    ) -> Pick {
        let fresh: Vec<&Arc<Target>> =
            targets.iter().filter(|t| !tried.contains(&t.instance)).collect();
        if fresh.is_empty() {
            return Pick::Nowhere;
        }
        let has_sound = fresh.iter().any(|t| self.is_sound(now, t));
        let mut best: Option<(f64, &Arc<Target>)> = None;
        for target in fresh {
            let is_candidate =
                if has_sound { self.is_sound(now, target) } else { !self.is_avoided(now, target) };
            let score = self.score(target, data_centre, reserve).filter(|_| is_candidate);
            let Some(score) = score else { continue };
            // Small random part: nodes with the same view must not all choose the same one.
            let score = score + rng.random::<f64>();
            if best.is_none_or(|(b, _)| score < b) {
                best = Some((score, target));
            }
        }
        match best {
            Some((_, target)) => Pick::Place(Arc::clone(target)),
            None => Pick::Full,
        }
    }

    /// Whether an upstream that nothing speaks against has room.
    pub fn has_room(&self, now: Instant, targets: &[Arc<Target>], tried: &[InstanceId]) -> bool {
        targets
            .iter()
            .filter(|t| !tried.contains(&t.instance) && self.is_sound(now, t))
            .any(|t| self.score(t, "", 0.0).is_some())
    }

    /// Expected wait at an upstream in requests per slot; nothing when it is full.
    ///
    /// Answers the load of a group that opens while all nodes have requests waiting: what this
    /// node has sent since the last two beats, each of the others has probably sent as well.
    fn score(&self, target: &Target, data_centre: &str, reserve: f64) -> Option<f64> {
        let unseen = self.by_key.get(&target.key).map_or(0, |l| l.own.saturating_sub(l.told[0]));
        let others = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
        let in_flight = self.in_flight(target.key).saturating_add(unseen.saturating_mul(others));
        let reserved = (f64::from(target.slots) * reserve).ceil() as u32;
        if in_flight + reserved >= target.slots + EXTRA_PER_UPSTREAM {
            return None;
        }
        let pace = self.relative_pace(target);
        let bonus = if target.data_centre == data_centre { LOCAL_BONUS } else { 0.0 };
        Some(f64::from(in_flight + 1) * pace - bonus)
    }

    /// Pace against that of all upstreams; 1 is usual, 2 is twice as slow.
    fn relative_pace(&self, target: &Target) -> f64 {
        let Some(own) = self.by_key.get(&target.key).and_then(|l| l.pace_ms) else { return 1.0 };
        let paces = self.by_key.values().filter_map(|l| l.pace_ms);
        let (sum, count) = paces.fold((0.0, 0), |(sum, count), pace| (sum + pace, count + 1));
        let mean = sum / f64::from(count.max(1));
        if mean > 0.0 { (own / mean).max(1.0) } else { 1.0 }
    }

    fn is_avoided(&self, now: Instant, target: &Target) -> bool {
        let load = self.by_key.get(&target.key);
        load.and_then(|l| l.avoid_until).is_some_and(|until| now < until)
    }

    fn is_sound(&self, now: Instant, target: &Target) -> bool {
        if self.is_avoided(now, target) || self.is_stalled(now, target.key) {
            return false;
        }
        if target.incomplete && !self.moved_recently(now, target.key) {
            return false;
        }
        self.by_key.get(&target.key).is_none_or(|l| l.failure_rate < MAX_FAILURE_RATE)
    }

    /// Whether requests of this node are at an upstream and none of them moves.
    pub fn is_stalled(&self, now: Instant, key: UpstreamKey) -> bool {
        let Some(load) = self.by_key.get(&key) else { return false };
        let since = load.moved.map_or(load.busy_since, |m| m.max(load.busy_since));
        let peer_since = load.peer_moved.unwrap_or(since);
        load.own > 0 && now >= since + STALL && now >= peer_since + STALL
    }

    /// Whether a stream from an upstream moved lately, here or at another node.
    pub fn moved_recently(&self, now: Instant, key: UpstreamKey) -> bool {
        let Some(load) = self.by_key.get(&key) else { return false };
        load.moved.max(load.peer_moved).is_some_and(|m| now < m + MOVED_RECENTLY)
    }

    /// Requests in flight at an upstream, over all nodes.
    pub fn in_flight(&self, key: UpstreamKey) -> u32 {
        self.by_key.get(&key).map_or(0, |l| l.own + l.peers)
    }

    /// Whether a request is at any upstream, from any node.
    pub fn is_any_in_flight(&self) -> bool {
        self.by_key.values().any(|l| l.own + l.peers > 0)
    }

    /// Counts a request that goes to an upstream.
    pub fn take(&mut self, now: Instant, target: &Target) {
        let load = self.entry(now, target.key);
        if load.own == 0 {
            load.busy_since = now;
        }
        load.own += 1;
        self.names.entry(target.key).or_insert_with(|| target.instance.clone());
    }

    /// Counts a request that is no longer at an upstream.
    pub fn give(&mut self, now: Instant, key: UpstreamKey, verdict: Verdict) {
        let load = self.entry(now, key);
        load.own = load.own.saturating_sub(1);
        match verdict {
            Verdict::Served => {
                load.failure_rate *= 1.0 - FAILURE_WEIGHT;
                load.avoid_until = None;
            }
            Verdict::Failed => load.failure_rate += (1.0 - load.failure_rate) * FAILURE_WEIGHT,
            Verdict::Avoid(pause) => load.avoid_until = Some(now + pause),
            Verdict::Neutral => {}
        }
    }

    /// Notes that a stream moved; `gap` is the time since its last event.
    pub fn moved(&mut self, now: Instant, key: UpstreamKey, gap: Option<Duration>) {
        let load = self.entry(now, key);
        load.moved = Some(now);
        if let Some(gap) = gap {
            let ms = gap.as_secs_f64() * 1_000.0;
            load.pace_ms = Some(load.pace_ms.map_or(ms, |p| p + (ms - p) * PACE_WEIGHT));
        }
    }

    /// Takes what another node says of its load.
    pub fn heard(&mut self, now: Instant, node: &NodeId, loads: &[HeartbeatLoad]) {
        let in_flight = loads.iter().map(|l| (l.upstream, u32::from(l.in_flight))).collect();
        self.peers.insert(node.clone(), PeerLoads { heard: now, in_flight });
        for load in loads.iter().filter(|l| l.progressing) {
            self.entry(now, load.upstream).peer_moved = Some(now);
        }
        self.sum_peers(now);
    }

    fn sum_peers(&mut self, now: Instant) {
        self.peers.retain(|_, p| now < p.heard + PEER_TIMEOUT);
        let mut sums: BTreeMap<UpstreamKey, u32> = BTreeMap::new();
        for (key, in_flight) in self.peers.values().flat_map(|p| &p.in_flight) {
            *sums.entry(*key).or_default() += in_flight;
        }
        for (key, load) in &mut self.by_key {
            load.peers = sums.remove(key).unwrap_or(0);
        }
        for (key, sum) in sums {
            self.entry(now, key).peers = sum;
        }
    }

    /// What to tell other nodes; notes that they are told.
    pub fn tell(&mut self, now: Instant) -> Vec<HeartbeatLoad> {
        for load in self.by_key.values_mut() {
            load.told = [load.told[1], load.own];
        }
        self.own(now)
    }

    /// Own load.
    pub fn own(&self, now: Instant) -> Vec<HeartbeatLoad> {
        let told = |(key, load): (&UpstreamKey, &Load)| {
            let moved = load.moved.is_some_and(|m| now < m + STALL);
            (load.own > 0 || moved).then(|| HeartbeatLoad {
                upstream: *key,
                in_flight: u16::try_from(load.own).unwrap_or(u16::MAX),
                progressing: moved,
                stalled: self.is_stalled(now, *key),
            })
        };
        self.by_key.iter().filter_map(told).collect()
    }

    /// Upstreams whose streams stand still here.
    pub fn stalled(&self, now: Instant) -> Vec<InstanceId> {
        let keys = self.by_key.keys().filter(|key| self.is_stalled(now, **key));
        keys.filter_map(|key| self.names.get(key).cloned()).collect()
    }

    /// Takes instances that were found silent, here or at another node.
    pub fn heard_silent(&mut self, now: Instant, silent: impl IntoIterator<Item = InstanceId>) {
        self.suspects.extend(silent.into_iter().map(|id| (id, now)));
    }

    /// Instances that were found silent lately.
    pub fn suspects(&mut self, now: Instant) -> Vec<InstanceId> {
        self.suspects.retain(|_, at| now < *at + SUSPICION);
        let mut suspects = self.stalled(now);
        suspects.extend(self.suspects.keys().cloned());
        suspects
    }

    /// Forgets upstreams that are gone and have nothing in flight.
    pub fn retain(&mut self, is_listed: &dyn Fn(UpstreamKey) -> bool) {
        self.by_key.retain(|key, load| load.own > 0 || is_listed(*key));
        self.names.retain(|key, _| self.by_key.contains_key(key));
    }

    fn entry(&mut self, now: Instant, key: UpstreamKey) -> &mut Load {
        self.by_key.entry(key).or_insert(Load {
            own: 0,
            told: [0; 2],
            peers: 0,
            busy_since: now,
            moved: None,
            peer_moved: None,
            avoid_until: None,
            failure_rate: 0.0,
            pace_ms: None,
        })
    }
}
