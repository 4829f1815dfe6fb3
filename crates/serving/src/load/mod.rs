//! Requests in flight at each upstream, over all nodes, and the choice between upstreams.

mod failures;
mod paces;
mod pauses;
mod peers;
mod room;
mod stalls;

use {
    self::failures::FailureRate,
    crate::{
        allowance::SendAllowances,
        directory::Upstream,
        flap_damping::FlapDamping,
        interfaces::StatedLoad,
        membership::heartbeat_round,
        pace::{PaceReason, Paces},
        spread::{Score, SendRate, choose_below_level},
    },
    rand::Rng,
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
    turmerictack_model::ids::{GroupId, InstanceId, NodeId},
    turmerictack_protocol::heartbeat::UpstreamKey,
};

/// Time without any event after which an upstream with requests in flight counts as stalled.
const STALL_TIMEOUT: Duration = Duration::from_millis(450);

/// Time without new requests for an upstream that rejected one for lack of capacity.
pub const OVERLOAD_COOLDOWN: Duration = Duration::from_millis(100);

/// Time without new requests for an upstream that could not be reached.
pub const UNREACHABLE_COOLDOWN: Duration = Duration::from_millis(1_000);

/// Time for which a load that an upstream stated is used, at least.
const MIN_STATED_LOAD_TIME: Duration = Duration::from_millis(50);

/// Number of unread prompt tokens that count as much as a request in flight.
///
/// An engine reads prompts between the tokens of the streams that it writes, so unread prompts delay
/// all of them far more than further streams do.
const UNREAD_TOKENS_PER_REQUEST: f64 = 200.0;

/// Time of a round of heartbeats up to which the unread prompts of peers count.
const MAX_UNREAD_TOKENS_AGE: Duration = Duration::from_millis(150);

/// Advantage of an upstream in the same data centre, in requests in flight.
const LOCAL_DATA_CENTRE_BONUS: f64 = 0.5;

/// Weight of the latest interval in the moving average of the time between events.
const INTERVAL_EWMA_WEIGHT: f64 = 0.2;

#[derive(Clone, Debug)]
struct UpstreamLoad {
    local_in_flight: u32,
    /// Local requests in flight at the start of the last two rounds of heartbeats, the older one
    /// first.
    reported: [u32; 2],
    peer_in_flight: u32,
    /// Prompt tokens of the requests that have had no event yet, of this node and of peers.
    local_unread_tokens: u32,
    peer_unread_tokens: u32,
    /// Requests of this node that wait for bytes; the others wait for their clients to read.
    local_waiting: u32,
    /// Time since which any of them waits.
    busy_since: Instant,
    last_progress: Option<Instant>,
    /// Time at which a request was last moved away because of a stall.
    stalled_at: Option<Instant>,
    /// Group that the upstream headed when it last got a request.
    group: Option<GroupId>,
    peer_last_progress: Option<Instant>,
    cooldown_until: Option<Instant>,
    flaps: FlapDamping,
    /// Start time of the run of the upstream that asked for a pause, and the end of the pause.
    pause: Option<(u64, Instant)>,
    /// Difference between the load that the upstream stated and the one that was counted then, and
    /// the time until which it is used.
    correction: Option<(i64, Instant)>,
    failures: FailureRate,
    event_interval_ms: Option<f64>,
    send_rate: SendRate,
}

/// Load last reported by one peer.
#[derive(Debug)]
struct PeerLoads {
    received_at: Instant,
    /// Requests in flight and unread prompt tokens.
    by_upstream: BTreeMap<UpstreamKey, (u32, u32)>,
}

/// What the result of a request says about the health of its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamOutcome {
    /// The upstream responded.
    Success,
    /// The upstream responded with an error.
    Failure,
    /// The connection was lost.
    ConnectionLost,
    /// The upstream was unreachable or rejected the request; it gets no new ones for this long.
    Cooldown(Duration),
    /// The request was moved away because the upstream made no progress.
    Stalled,
    /// No conclusion about the upstream.
    Inconclusive,
}

/// Result of choosing an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Selection {
    /// The chosen upstream, which has capacity.
    Upstream(Arc<Upstream>),
    /// Upstreams exist, but none can take a request now.
    Saturated,
    /// There is no upstream besides the excluded ones.
    NoCandidate,
}

/// Load and health of all upstreams.
#[derive(Debug, Default)]
pub struct LoadTracker {
    by_key: BTreeMap<UpstreamKey, UpstreamLoad>,
    instances: BTreeMap<UpstreamKey, InstanceId>,
    peer_loads: BTreeMap<NodeId, PeerLoads>,
    suspects: BTreeMap<InstanceId, Instant>,
    /// What upstreams take from all nodes together.
    pub allowances: SendAllowances,
    /// Paces of upstreams that have just started or returned.
    pub paces: Paces,
}

impl LoadTracker {
    /// Chooses the least loaded healthy upstream or, if none is healthy, the least loaded one that
    /// is not in its cooldown; `reserved_share` of the slots of each upstream is kept free.
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
            upstreams.iter().filter(|u| !excluded.contains(&u.instance)).collect();
        if candidates.is_empty() {
            return Selection::NoCandidate;
        }
        let has_healthy =
            candidates.iter().any(|u| self.is_healthy(now, u) && self.allowances.may_send(now, u));
        let is_eligible = |upstream: &Upstream| {
            if has_healthy {
                self.is_healthy(now, upstream)
            } else {
                !self.is_cooling_down(now, upstream)
            }
        };
        let mean_interval = self.mean_event_interval();
        let score = |u: &Upstream| {
            let slowdown = self.relative_interval(u, mean_interval);
            self.score(now, u, data_centre, reserved_share, slowdown)
        };
        let weight = |u: &Upstream| self.allowances.nodes_per_sender(now, u);
        let scores: Vec<Score<'_>> = candidates
            .into_iter()
            .filter(|u| is_eligible(u))
            .filter_map(|u| Some(Score { load: score(u)?, weight: weight(u), upstream: u }))
            .collect();
        let unseen = self.expected_unseen_sends(now, upstreams);
        match choose_below_level(&scores, 1.0 + unseen, rng) {
            Some(upstream) => Selection::Upstream(Arc::clone(upstream)),
            None => Selection::Saturated,
        }
    }

    /// Requests that peers are expected to have sent to these upstreams since their latest
    /// heartbeats, if they send as many as this node does.
    fn expected_unseen_sends(&self, now: Instant, upstreams: &[Arc<Upstream>]) -> f64 {
        let own_rate: f64 = upstreams
            .iter()
            .filter_map(|u| self.by_key.get(&u.key))
            .map(|l| l.send_rate.per_second(now))
            .sum();
        let ages = self.peer_loads.values().map(|p| now.saturating_duration_since(p.received_at));
        own_rate * ages.sum::<Duration>().as_secs_f64()
    }

    /// Whether a healthy upstream that is not excluded can take another request that leaves
    /// `reserved_share` of its slots free.
    pub fn has_capacity(
        &self,
        now: Instant,
        upstreams: &[Arc<Upstream>],
        excluded: &[InstanceId],
        reserved_share: f64,
    ) -> bool {
        upstreams
            .iter()
            .filter(|u| !excluded.contains(&u.instance) && self.is_healthy(now, u))
            .any(|u| self.score(now, u, "", reserved_share, 1.0).is_some())
    }

    /// Load score of an upstream, lower being better; `None` if it is full, or if its allowance or its
    /// pace permits no request now.
    fn score(
        &self,
        now: Instant,
        upstream: &Upstream,
        data_centre: &str,
        reserved_share: f64,
        slowdown: f64,
    ) -> Option<f64> {
        if !self.allowances.may_send(now, upstream) {
            return None;
        }
        let in_flight = self.in_flight_with_room(now, upstream, reserved_share)?;
        let bonus = if upstream.data_centre == data_centre { LOCAL_DATA_CENTRE_BONUS } else { 0.0 };
        let unread = f64::from(self.unread_tokens(upstream.key)) / UNREAD_TOKENS_PER_REQUEST;
        Some((f64::from(in_flight + 1) + unread) * slowdown - bonus)
    }

    /// Mean time between events of all upstreams, in ms; 0 if none is known.
    fn mean_event_interval(&self) -> f64 {
        let intervals = self.by_key.values().filter_map(|l| l.event_interval_ms);
        let (sum, count) =
            intervals.fold((0.0, 0), |(sum, count), interval| (sum + interval, count + 1));
        sum / f64::from(count.max(1))
    }

    /// Mean time between events relative to that of all upstreams: 1 is average or faster, 2 twice
    /// as slow.
    fn relative_interval(&self, upstream: &Upstream, mean: f64) -> f64 {
        let interval = self.by_key.get(&upstream.key).and_then(|l| l.event_interval_ms);
        interval.filter(|_| mean > 0.0).map_or(1.0, |interval| (interval / mean).max(1.0))
    }

    fn is_cooling_down(&self, now: Instant, upstream: &Upstream) -> bool {
        let load = self.by_key.get(&upstream.key);
        load.and_then(|l| l.cooldown_until).is_some_and(|until| now < until)
            || self.paused_until(upstream).is_some_and(|until| now < until)
    }

    fn is_healthy(&self, now: Instant, upstream: &Upstream) -> bool {
        if self.is_cooling_down(now, upstream)
            || self.is_stalled(now, upstream.key)
            || self.is_suspected(now, upstream)
        {
            return false;
        }
        if upstream.is_incomplete && !self.has_recent_progress(now, upstream.key) {
            return false;
        }
        !self.by_key.get(&upstream.key).is_some_and(|l| l.failures.is_too_high(now))
    }

    /// Requests in flight at an upstream, summed over all nodes.
    pub fn in_flight(&self, key: UpstreamKey) -> u32 {
        self.by_key.get(&key).map_or(0, |l| l.local_in_flight + l.peer_in_flight)
    }

    /// Requests in flight at an upstream, as counted and corrected by what it stated lately.
    fn estimate(&self, now: Instant, key: UpstreamKey) -> u32 {
        let Some(load) = self.by_key.get(&key) else { return 0 };
        let correction = load.correction.filter(|(_, until)| now < *until).map_or(0, |(c, _)| c);
        let counted = i64::from(load.local_in_flight) + i64::from(load.peer_in_flight);
        let estimate = (counted + correction).max(load.local_in_flight.into());
        u32::try_from(estimate).unwrap_or(u32::MAX)
    }

    /// Records the load that an upstream stated; it is used until the peers have reported theirs.
    ///
    /// The counts of this node's own requests stay exact, so a statement only corrects what is known
    /// of the others.
    pub fn record_stated_load(&mut self, now: Instant, key: UpstreamKey, stated: StatedLoad) {
        let until = now + heartbeat_round(self.peer_loads.len()).max(MIN_STATED_LOAD_TIME);
        let load = self.entry(now, key);
        let counted = i64::from(load.local_in_flight) + i64::from(load.peer_in_flight);
        let stated = i64::from(stated.running) + i64::from(stated.waiting);
        load.correction = Some((stated - counted, until));
    }

    /// Whether any upstream has a request in flight, from any node.
    pub fn has_in_flight(&self) -> bool {
        self.by_key.values().any(|l| l.local_in_flight + l.peer_in_flight > 0)
    }

    /// Counts a request sent to an upstream, with the tokens of its prompt.
    pub fn acquire(&mut self, now: Instant, upstream: &Upstream, prompt_tokens: u32) {
        self.record_wait(now, upstream.key, true);
        let load = self.entry(now, upstream.key);
        load.local_in_flight += 1;
        load.local_unread_tokens = load.local_unread_tokens.saturating_add(prompt_tokens);
        if load.group != upstream.group {
            load.group.clone_from(&upstream.group);
            load.stalled_at = None;
            load.flaps = FlapDamping::default();
        }
        load.send_rate.record_send(now);
        self.allowances.record_send(now, upstream);
        self.paces.record_send(upstream.key);
        self.instances.entry(upstream.key).or_insert_with(|| upstream.instance.clone());
    }

    /// Records that a request waits for bytes of its upstream, or no longer does.
    pub fn record_wait(&mut self, now: Instant, key: UpstreamKey, is_waiting: bool) {
        let load = self.entry(now, key);
        if !is_waiting {
            load.local_waiting = load.local_waiting.saturating_sub(1);
            return;
        }
        if load.local_waiting == 0 {
            load.busy_since = now;
        }
        load.local_waiting += 1;
    }

    /// Counts a prompt as read, because its first event has arrived or its request has ended.
    pub fn record_prompt_read(&mut self, key: UpstreamKey, prompt_tokens: u32) {
        if let Some(load) = self.by_key.get_mut(&key) {
            load.local_unread_tokens = load.local_unread_tokens.saturating_sub(prompt_tokens);
        }
    }

    /// Prompt tokens that an upstream has to read before it can answer, as far as known.
    ///
    /// Peers' prompts are read by the time their heartbeats arrive if a round of them takes long.
    fn unread_tokens(&self, key: UpstreamKey) -> u32 {
        let Some(load) = self.by_key.get(&key) else { return 0 };
        let are_peers_recent = heartbeat_round(self.peer_loads.len()) <= MAX_UNREAD_TOKENS_AGE;
        let peers = if are_peers_recent { load.peer_unread_tokens } else { 0 };
        load.local_unread_tokens.saturating_add(peers)
    }

    /// Counts the end of a request, which counts as waiting, and applies its outcome to the upstream's
    /// health.
    pub fn release(&mut self, now: Instant, key: UpstreamKey, outcome: UpstreamOutcome) {
        self.record_paced_outcome(now, key, outcome);
        let load = self.entry(now, key);
        load.local_in_flight = load.local_in_flight.saturating_sub(1);
        load.local_waiting = load.local_waiting.saturating_sub(1);
        match outcome {
            UpstreamOutcome::Success => {
                load.failures.record(now, false);
                load.cooldown_until = None;
            }
            UpstreamOutcome::Failure | UpstreamOutcome::ConnectionLost => {
                load.failures.record(now, true);
            }
            UpstreamOutcome::Cooldown(cooldown) => {
                let cooldown = load.flaps.damped(now, cooldown);
                load.cooldown_until = Some(now + cooldown);
            }
            UpstreamOutcome::Stalled => load.stalled_at = Some(now),
            UpstreamOutcome::Inconclusive => {}
        }
    }

    /// Records a stream event; `gap` is the time since the previous one.
    pub fn record_progress(&mut self, now: Instant, key: UpstreamKey, gap: Option<Duration>) {
        let has_stalled = self.by_key.get(&key).is_some_and(|load| self.has_stalled(now, load));
        if has_stalled {
            self.begin_pace(now, key, PaceReason::StallEnded);
        }
        let load = self.entry(now, key);
        load.last_progress = Some(now);
        if let Some(gap) = gap {
            let ms = gap.as_secs_f64() * 1_000.0;
            load.event_interval_ms = Some(
                load.event_interval_ms.map_or(ms, |mean| mean + (ms - mean) * INTERVAL_EWMA_WEIGHT),
            );
        }
    }

    /// Drops upstreams that are no longer listed and have no requests in flight.
    pub fn retain(&mut self, is_listed: &dyn Fn(UpstreamKey) -> bool) {
        let is_in_use = |load: &UpstreamLoad| load.local_in_flight + load.peer_in_flight > 0;
        self.by_key.retain(|key, load| is_in_use(load) || is_listed(*key));
        self.instances.retain(|key, _| self.by_key.contains_key(key));
    }

    fn entry(&mut self, now: Instant, key: UpstreamKey) -> &mut UpstreamLoad {
        self.by_key.entry(key).or_insert(UpstreamLoad {
            local_in_flight: 0,
            reported: [0; 2],
            peer_in_flight: 0,
            local_unread_tokens: 0,
            peer_unread_tokens: 0,
            local_waiting: 0,
            busy_since: now,
            last_progress: None,
            stalled_at: None,
            group: None,
            peer_last_progress: None,
            cooldown_until: None,
            flaps: FlapDamping::default(),
            pause: None,
            correction: None,
            failures: FailureRate::new(now),
            event_interval_ms: None,
            send_rate: SendRate::new(now),
        })
    }
}
