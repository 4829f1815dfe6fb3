//! Pace of upstreams that have just started or returned, found from how they answer.
//!
//! Such an upstream has no requests in flight, so that all nodes with waiting requests would send
//! there at once. A paced upstream has a bound on the requests in flight, over all nodes, below its
//! slots: responses as fast as usual in its pool raise it, late ones and rejections lower it. Nodes
//! exchange what they have seen, so their bounds agree. What is free below the bound is shared out
//! in each interval among the nodes, since they learn late of what the others send.

mod apply;
mod bound;
mod fastest;
mod peers;
mod sharing;

pub use self::sharing::Interval;

pub(crate) use self::apply::update_paces;

use {
    self::{
        bound::{Bound, fall_window},
        fastest::Fastest,
        peers::PeerCounts,
        sharing::Demand,
    },
    crate::directory::{PoolKey, Upstream, UpstreamPools},
    derive_more::Display,
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
    turmerictack_model::{
        digest::hash64,
        ids::{InstanceId, NodeId, ServiceId},
    },
    turmerictack_protocol::heartbeat::{RunKey, UpstreamKey},
};

/// Time after which an upstream no longer counts as one that has just returned.
const MAX_PACED_TIME: Duration = Duration::from_secs(30);

/// Time of a round of heartbeats up to which upstreams are paced.
///
/// Where a round takes longer, what is free becomes known too late, and upstreams are left idle.
const MAX_ROUND: Duration = Duration::from_secs(1);

/// Time for which an upstream that is not listed any more is remembered.
const MEMORY: Duration = Duration::from_secs(60);

/// Multiple of the usual response time above which a response counts as late.
const LATE_RESPONSE_FACTOR: f64 = 2.0;

/// Multiple of the usual response time up to which a response raises the bound.
const GOOD_RESPONSE_FACTOR: f64 = 1.25;

/// Multiple of the usual response time up to which an upstream may be slow by itself.
const MAX_SLOWNESS: f64 = 8.0;

/// Time for which a report that requests wait at a peer counts.
const WAITING_NEWS_TIME: Duration = Duration::from_secs(1);

/// Factor on raises while callers wait.
const WAITING_RAISE: u32 = 2;

/// Why an upstream is paced.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum PaceReason {
    /// Its group opened, or the instance was listed for the first time.
    #[display("opened")]
    Opened,
    /// The instance has started again.
    #[display("restarted")]
    Restarted,
    /// Its data centre was taken back.
    #[display("data_centre_returned")]
    DataCentreReturned,
    /// It answers again after a stall.
    #[display("stall_ended")]
    StallEnded,
    /// It could not be reached, and may be tried again.
    #[display("failures_ended")]
    FailuresEnded,
    /// A peer paces it, and this node did not see it return.
    #[display("learned")]
    Learned,
}

impl PaceReason {
    /// Whether all nodes see this in the list of instances; otherwise it concerns only this node.
    fn is_listed(self) -> bool {
        !matches!(self, Self::StallEnded | Self::FailuresEnded)
    }
}

/// Begin or end of a pace, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PaceChange {
    /// An upstream is paced.
    Began {
        /// Upstream.
        upstream: InstanceId,
        /// Why.
        reason: PaceReason,
        /// Bound that it starts with.
        bound: u32,
        /// Slots of the upstream.
        slots: u32,
    },
    /// An upstream is no longer paced.
    Ended {
        /// Upstream.
        upstream: InstanceId,
        /// Time for which it was paced.
        after: Duration,
    },
}

/// What this node may do at a paced upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PaceLimit {
    /// Largest number of requests in flight, over all nodes.
    pub bound: u32,
    /// Requests that this node may still send in this interval.
    pub sends_left: u32,
    /// Requests in flight that only overdue reports of peers name.
    pub overdue: u32,
}

/// Signs of how an upstream answers, as counted by one node since it began to pace it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Counts {
    raises: u16,
    late: u16,
    rejected: u16,
}

#[derive(Debug)]
struct Pace {
    reason: PaceReason,
    began_at: Instant,
    bound: Bound,
    own: Counts,
    peers: BTreeMap<NodeId, PeerCounts>,
    fastest: Fastest,
    sends_left: u32,
    overdue: u32,
    /// Whether requests of this node wait for an upstream of the pool, or found none lately.
    is_waiting: bool,
    troubled_at: Option<Instant>,
}

/// An upstream of a service that asks for paces.
#[derive(Debug)]
struct Tracked {
    upstream: Arc<Upstream>,
    pool: PoolKey,
    run: RunKey,
    listed_at: Instant,
    /// Whether this node could tell if the upstream had returned.
    is_judged: bool,
    pace: Option<Pace>,
    ended_at: Option<Instant>,
}

impl Tracked {
    /// Why an upstream counts as returned, from what it was before; `None` if it has gone on.
    fn reason(&self, upstream: &Upstream, listing: &Listing<'_>) -> Option<PaceReason> {
        if self.upstream.started_ms != upstream.started_ms {
            return Some(PaceReason::Restarted);
        }
        if self.upstream.group != upstream.group {
            return Some(PaceReason::Opened);
        }
        let returned_at = (listing.returned_at)(&upstream.data_centre);
        returned_at.filter(|at| *at > self.listed_at).map(|_| PaceReason::DataCentreReturned)
    }
}

/// What decides whether listed upstreams have returned.
pub struct Listing<'a> {
    /// Upstreams by pool.
    pub pools: &'a UpstreamPools,
    /// Whether a service asks for paces.
    pub is_paced: &'a dyn Fn(&ServiceId) -> bool,
    /// Whether the usual response time of a pool is known.
    pub has_usual: &'a dyn Fn(&PoolKey) -> bool,
    /// Time at which a data centre was taken back.
    pub returned_at: &'a dyn Fn(&str) -> Option<Instant>,
}

/// Upstreams that may be paced, and the paces of those that are.
#[derive(Debug, Default)]
pub struct Paces {
    by_key: BTreeMap<UpstreamKey, Tracked>,
    /// Demand for the pools of services that ask for paces.
    demands: BTreeMap<PoolKey, Demand>,
    changes: Vec<PaceChange>,
    /// Time of a round of heartbeats.
    round: Duration,
}

impl Paces {
    /// Applies a new list of upstreams, and begins to pace those that have returned.
    ///
    /// Nothing is paced before the usual response time of its pool is known: then the whole pool, or
    /// this node, has just started.
    pub fn set_listed(&mut self, now: Instant, listing: &Listing<'_>) {
        let asking = listing.pools.iter().filter(|(pool, _)| (listing.is_paced)(&pool.0));
        let mut listed = BTreeMap::new();
        self.demands.retain(|pool, _| (listing.is_paced)(&pool.0));
        for (pool, upstreams) in asking {
            self.demands.entry(pool.clone()).or_insert_with(|| Demand::new(now));
            listed.extend(upstreams.iter().map(|u| (u.key, (pool, u))));
        }
        self.by_key.retain(|key, t| listed.contains_key(key) || now < t.listed_at + MEMORY);
        for (key, tracked) in &mut self.by_key {
            if !listed.contains_key(key) {
                tracked.pace = None;
            }
        }
        for (key, (pool, upstream)) in listed {
            self.list(now, key, pool, upstream, listing);
        }
    }

    fn list(
        &mut self,
        now: Instant,
        key: UpstreamKey,
        pool: &PoolKey,
        upstream: &Arc<Upstream>,
        listing: &Listing<'_>,
    ) {
        let previous = self.by_key.get(&key);
        let reason = previous.map_or(Some(PaceReason::Opened), |t| t.reason(upstream, listing));
        let Some(reason) = reason else {
            if let Some(tracked) = self.by_key.get_mut(&key) {
                tracked.upstream = Arc::clone(upstream);
                tracked.listed_at = now;
            }
            return;
        };
        let is_judged = (listing.has_usual)(pool);
        let tracked = Tracked {
            upstream: Arc::clone(upstream),
            pool: pool.clone(),
            run: run_key(upstream),
            listed_at: now,
            is_judged,
            pace: None,
            ended_at: None,
        };
        self.by_key.insert(key, tracked);
        if is_judged {
            self.begin(now, key, reason, 0);
        }
    }

    /// Begins to pace a listed upstream that has returned, unless it is paced already.
    pub fn begin(&mut self, now: Instant, key: UpstreamKey, reason: PaceReason, in_flight: u32) {
        let Some(tracked) = self.by_key.get(&key) else { return };
        if tracked.pace.is_none() {
            let bound = Bound::new(tracked.upstream.slots, in_flight);
            self.begin_at(now, key, reason, bound);
        }
    }

    fn begin_at(&mut self, now: Instant, key: UpstreamKey, reason: PaceReason, bound: Bound) {
        let Some(tracked) = self.by_key.get_mut(&key) else { return };
        if bound.has_reached_slots() || self.round > MAX_ROUND {
            return;
        }
        tracked.is_judged = true;
        tracked.ended_at = None;
        tracked.pace = Some(Pace {
            reason,
            began_at: now,
            bound,
            own: Counts::default(),
            peers: BTreeMap::new(),
            fastest: Fastest::default(),
            sends_left: 0,
            overdue: 0,
            is_waiting: false,
            troubled_at: None,
        });
        self.changes.push(PaceChange::Began {
            upstream: tracked.upstream.instance.clone(),
            reason,
            bound: bound.current(),
            slots: tracked.upstream.slots,
        });
    }

    /// Ends the paces that have reached the slots of their upstreams, or have lasted too long.
    fn end_finished(&mut self, now: Instant) {
        for tracked in self.by_key.values_mut() {
            let is_finished =
                |p: &Pace| p.bound.has_reached_slots() || now >= p.began_at + MAX_PACED_TIME;
            if let Some(pace) = tracked.pace.take_if(|p| is_finished(p)) {
                tracked.ended_at = Some(now).filter(|_| pace.reason.is_listed());
                self.changes.push(PaceChange::Ended {
                    upstream: tracked.upstream.instance.clone(),
                    after: now.saturating_duration_since(pace.began_at),
                });
            }
        }
    }

    /// Limit of an upstream; `None` if it is not paced.
    pub fn limit(&self, key: UpstreamKey) -> Option<PaceLimit> {
        let pace = self.by_key.get(&key)?.pace.as_ref()?;
        Some(PaceLimit {
            bound: pace.bound.current(),
            sends_left: pace.sends_left,
            overdue: pace.overdue,
        })
    }

    /// Records the time to the first event or the complete response, where `usual` is that of the
    /// pool; zero if it is not known yet, and then nothing follows from this response.
    pub fn record_response(
        &mut self,
        now: Instant,
        key: UpstreamKey,
        elapsed: Duration,
        usual: Duration,
        in_flight: u32,
    ) {
        let Some(pace) = self.pace_mut(key).filter(|_| !usual.is_zero()) else { return };
        pace.fastest.record(now, elapsed);
        let expected = pace.expected_response(now, usual);
        if elapsed > expected.mul_f64(LATE_RESPONSE_FACTOR) {
            self.record_late(now, key);
        } else if elapsed <= expected.mul_f64(GOOD_RESPONSE_FACTOR) {
            let by = if pace.does_any_wait(now) { WAITING_RAISE } else { 1 };
            pace.own.raises = pace.own.raises.saturating_add(by as u16);
            pace.bound.raise(by, in_flight);
            self.end_finished(now);
        }
    }

    /// Records a late response, or a request that was moved away or lost.
    pub fn record_late(&mut self, now: Instant, key: UpstreamKey) {
        let window = fall_window(self.round);
        let Some(pace) = self.pace_mut(key) else { return };
        pace.own.late = pace.own.late.saturating_add(1);
        pace.bound.lower(now, 1, window);
        pace.troubled_at = Some(now);
    }

    /// Records a rejection for lack of capacity.
    pub fn record_rejection(&mut self, now: Instant, key: UpstreamKey, in_flight: u32) {
        let window = fall_window(self.round);
        let Some(pace) = self.pace_mut(key) else { return };
        pace.own.rejected = pace.own.rejected.saturating_add(1);
        pace.bound.halve(now, in_flight, window);
        pace.troubled_at = Some(now);
    }

    /// Paces that began or ended since the last call.
    pub fn take_changes(&mut self) -> Vec<PaceChange> {
        std::mem::take(&mut self.changes)
    }

    fn pace_mut(&mut self, key: UpstreamKey) -> Option<&mut Pace> {
        self.by_key.get_mut(&key)?.pace.as_mut()
    }
}

impl Pace {
    /// Whether requests of any node wait, as far as known.
    fn does_any_wait(&self, now: Instant) -> bool {
        self.is_waiting || self.peers.values().any(|p| p.is_waiting(now, WAITING_NEWS_TIME))
    }

    /// Time that a response takes if the upstream has not too many requests.
    ///
    /// A cold upstream is slow with few requests too. While no other has room, it is compared with
    /// itself, as callers are better served late than not at all.
    fn expected_response(&self, now: Instant, usual: Duration) -> Duration {
        let peers = self.peers.values().filter_map(|p| p.fastest(now));
        let fastest = self.fastest.get(now).into_iter().chain(peers).min();
        match fastest.filter(|_| self.does_any_wait(now)) {
            Some(fastest) => usual.max(fastest.min(usual.mul_f64(MAX_SLOWNESS))),
            None => usual,
        }
    }
}

/// Hash of one run of an upstream: of its process and of the group that it heads.
fn run_key(upstream: &Upstream) -> RunKey {
    let group = upstream.group.as_deref().unwrap_or_default();
    let hash = hash64(&[&upstream.started_ms.to_be_bytes(), group.as_bytes()]);
    (hash >> u32::BITS) as RunKey
}
