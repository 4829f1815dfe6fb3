//! Direct paths from this node to instances: which are open, which are lost, and whether the node is
//! cut off.
//!
//! A node that fails to reach an instance can't tell by itself whether it has lost its path or the
//! instance is gone. The difference is what a peer sees: only an instance that a peer reaches at
//! about the same time has lost nothing but the path to this node.

mod apply;
pub mod dialer;
mod instance_path;
mod isolation;
pub mod peers;
mod recorder;
mod tunnel;

pub use self::isolation::IsolationChange;

use {
    self::{
        instance_path::{InstancePath, is_recent},
        isolation::Isolation,
    },
    crate::interfaces::StreamPath,
    displaydoc::Display,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    turmerictack_model::ids::{Address, InstanceId},
};

/// Time that a direct dial gets before a tunnel is dialled beside it.
pub const DIRECT_HEAD_START: Duration = Duration::from_millis(100);

/// Time after which a direct dial that lost against a tunnel counts as timed out.
pub const DIRECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time between the direct dial and the tunnel's up to which an open tunnel shows that the instance
/// could be reached when the direct dial began.
///
/// An instance that is silent for a while may answer the tunnel and not the earlier direct dial.
const EVIDENCE_GAP: Duration = Duration::from_millis(150);

/// Time within which a second direct dial must time out for the path to count as lost.
///
/// One that times out alone may be a lost packet, or the end of a silence of the instance.
const SUSPICION_TIME: Duration = Duration::from_secs(2);

/// Interval at which the direct path is tried again beside a tunnel while it is down.
const RECHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time after a refusal that peers confirmed for which they are not asked again.
const CONFIRMED_CRASH_TIME: Duration = Duration::from_millis(250);

/// Number of instances that a peer must fail to reach to be asked last for others too.
const MIN_PEER_FAILURES: usize = 2;

/// Time for which a peer that failed to reach an instance is asked last.
const PEER_FAILURE_TIME: Duration = Duration::from_secs(1);

/// Time without a dial or a response after which an instance is forgotten.
const PATH_RETENTION: Duration = Duration::from_secs(30);

/// Number of lost paths from which a node may count as isolated.
const MIN_LOST_PATHS: usize = 2;

/// How the direct path to an instance was lost.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum PathLoss {
    /// refused
    Refused,
    /// timed_out
    TimedOut,
}

/// State of the direct path to an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DirectPath {
    /// Nothing is known.
    #[default]
    Unknown,
    /// A direct connection was opened.
    Open,
    /// Direct dials fail, while peers reach the instance.
    Down {
        /// When the path was found to be lost.
        since: Instant,
        /// How it was lost.
        how: PathLoss,
    },
}

/// Change of the state of a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathChange {
    /// The path was lost.
    Lost(PathLoss),
    /// The path is open again.
    Restored,
}

/// Order in which a connection is dialled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialPlan {
    /// Directly only, because peers have just found the instance to have crashed.
    DirectOnly,
    /// Directly, and through a peer if that fails or takes long.
    DirectFirst,
    /// Through a peer, and directly if that fails.
    TunnelFirst,
    /// Through a peer, and directly beside it, to learn whether the path is back.
    Both,
}

/// Direct dial that failed although a tunnel to the same instance opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedDial {
    /// When the direct dial began.
    pub began_at: Instant,
    /// When the dial through the peer began.
    pub tunnel_began_at: Instant,
    /// How the direct dial failed.
    pub how: PathLoss,
}

/// Paths to all instances that were dialled lately.
#[derive(Debug, Default)]
pub struct PathTable {
    paths: BTreeMap<InstanceId, InstancePath>,
    isolation: Isolation,
    /// Start of the latest dial by which a path was found to be silent.
    silent_since: Option<Instant>,
}

impl PathTable {
    /// Says how to dial an instance now.
    pub fn plan_dial(&mut self, now: Instant, instance: &InstanceId) -> DialPlan {
        let is_isolated = self.is_isolated(now);
        let silent_since = self.silent_since.filter(|_| is_isolated);
        let path = self.entry(now, instance);
        path.used_at = now;
        if path.crashed_until.is_some_and(|until| now < until) {
            return DialPlan::DirectOnly;
        }
        if !path.is_down() {
            // Most other paths are silent, so a head start would most likely be lost.
            let is_doubtful = silent_since.is_some() && path.success_at < silent_since;
            return if is_doubtful { DialPlan::Both } else { DialPlan::DirectFirst };
        }
        if now < path.tried_at + RECHECK_INTERVAL {
            return DialPlan::TunnelFirst;
        }
        path.tried_at = now;
        DialPlan::Both
    }

    /// Whether an idle connection, which delivered its last response at `proven_at`, may carry another
    /// request.
    ///
    /// Where one path has gone silent, other open connections may hang as well, while all those may
    /// live on that were open when new ones began to be refused.
    pub fn may_reuse(&self, instance: &InstanceId, by: StreamPath, proven_at: Instant) -> bool {
        let state = self.state(instance);
        match by {
            StreamPath::Tunnel => matches!(state, DirectPath::Down { .. }),
            StreamPath::Direct => {
                !matches!(state, DirectPath::Down { how: PathLoss::TimedOut, .. })
                    && self.silent_since.is_none_or(|at| proven_at >= at)
            }
        }
    }

    /// Records that a direct connection was opened.
    pub fn record_open(&mut self, now: Instant, instance: &InstanceId) -> Option<PathChange> {
        let path = self.entry(now, instance);
        let was_down = path.is_down();
        path.state = DirectPath::Open;
        path.opened_at = Some(now);
        path.success_at = Some(now);
        path.suspicion = None;
        path.crashed_until = None;
        was_down.then_some(PathChange::Restored)
    }

    /// Records that an instance has responded.
    ///
    /// It counts for the path unless that is in doubt, since the response may have come through a
    /// peer, or on a connection that lives on while new ones fail.
    pub fn record_response(&mut self, now: Instant, instance: &InstanceId) {
        let path = self.entry(now, instance);
        path.used_at = now;
        if !path.is_down() && path.suspicion.is_none() {
            path.success_at = Some(now);
        }
    }

    /// Records that a direct dial failed or takes long, whether or not peers reach the instance.
    pub fn record_direct_failure(&mut self, now: Instant, instance: &InstanceId) {
        self.entry(now, instance).failure_at = Some(now);
    }

    /// Records that a direct dial failed although a tunnel to the instance opened.
    ///
    /// A refusal shows at once that the path is lost. A dial that timed out does so together with a
    /// second one, to this instance or another, that began so much later that no single silence of
    /// an instance explains both.
    pub fn record_failure(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        dial: FailedDial,
    ) -> Option<PathChange> {
        let is_supported = self.has_other_suspicion(now, instance, dial.began_at);
        let path = self.entry(now, instance);
        if path.opened_at.is_some_and(|at| dial.began_at < at) {
            return None;
        }
        if dial.how == PathLoss::TimedOut && !path.is_down() {
            if dial.tunnel_began_at > dial.began_at + EVIDENCE_GAP {
                return None;
            }
            let earlier = path.suspicion.filter(|at| now < *at + SUSPICION_TIME);
            let is_repeated = earlier.is_some_and(|at| is_apart(at, dial.began_at));
            path.suspicion = earlier.or(Some(dial.began_at));
            if !is_repeated && !is_supported {
                return None;
            }
        }
        path.confirmed_at = Some(now);
        if path.is_down() {
            return None;
        }
        path.state = DirectPath::Down { since: now, how: dial.how };
        path.tried_at = now;
        if dial.how == PathLoss::TimedOut {
            self.silent_since = self.silent_since.max(Some(dial.began_at));
        }
        Some(PathChange::Lost(dial.how))
    }

    /// Whether another instance could not be reached directly by a dial that began at another time.
    fn has_other_suspicion(&self, now: Instant, instance: &InstanceId, began_at: Instant) -> bool {
        self.paths.iter().filter(|(id, _)| *id != instance).any(|(_, path)| {
            path.suspicion.is_some_and(|at| now < at + SUSPICION_TIME && is_apart(at, began_at))
        })
    }

    /// Records that peers, too, were refused by an instance.
    pub fn record_crash(&mut self, now: Instant, instance: &InstanceId) {
        self.entry(now, instance).crashed_until = Some(now + CONFIRMED_CRASH_TIME);
    }

    /// Whether peers have just been refused by an instance.
    pub fn has_just_crashed(&self, now: Instant, instance: &InstanceId) -> bool {
        let path = self.paths.get(instance);
        path.and_then(|p| p.crashed_until).is_some_and(|until| now < until)
    }

    /// Records that a peer could not open a tunnel to an instance.
    pub fn record_peer_failure(&mut self, now: Instant, instance: &InstanceId, peer: &Address) {
        let path = self.entry(now, instance);
        path.failed_peers.retain(|_, at| now < *at + PEER_FAILURE_TIME);
        path.failed_peers.insert(peer.clone(), now);
    }

    /// Peers that lately could not open tunnels to an instance, or to several others.
    pub fn failed_peers(&self, now: Instant, instance: &InstanceId) -> BTreeSet<Address> {
        let mut failures: BTreeMap<&Address, usize> = BTreeMap::new();
        for (id, path) in &self.paths {
            let weight = if id == instance { MIN_PEER_FAILURES } else { 1 };
            for (peer, at) in &path.failed_peers {
                if now < *at + PEER_FAILURE_TIME {
                    *failures.entry(peer).or_default() += weight;
                }
            }
        }
        let failed = failures.into_iter().filter(|(_, count)| *count >= MIN_PEER_FAILURES);
        failed.map(|(peer, _)| peer.clone()).collect()
    }

    /// State of the direct path to an instance.
    pub fn state(&self, instance: &InstanceId) -> DirectPath {
        self.paths.get(instance).map_or(DirectPath::Unknown, |p| p.state)
    }

    /// Number of instances to which the direct path is down.
    pub fn down_count(&self) -> usize {
        self.paths.values().filter(|p| p.is_down()).count()
    }

    /// Number of instances of which anything is known.
    pub fn len(&self) -> usize {
        self.paths.len()
    }

    /// Whether nothing is known of any instance.
    pub fn is_empty(&self) -> bool {
        self.paths.is_empty()
    }

    /// Whether the node counts as cut off: it lately lost the paths to at least two instances, and to
    /// at least half of those of which it knows.
    pub fn is_isolated(&self, now: Instant) -> bool {
        let (down, known) = self.recent_evidence(now);
        down >= MIN_LOST_PATHS && 2 * down >= known
    }

    /// Whether the node is of no use as a peer: most of its direct dials fail, because it is cut off or
    /// because the instances are gone.
    pub fn lacks_paths(&self, now: Instant) -> bool {
        let is_known = |p: &&InstancePath| is_recent(now, p.success_at.max(p.failure_at));
        let (failing, known) = self
            .paths
            .values()
            .filter(is_known)
            .fold((0, 0), |(f, k), p| (f + usize::from(p.is_failing()), k + 1));
        failing >= MIN_LOST_PATHS && 2 * failing >= known
    }

    /// Whether a refusal by an instance may be the sign of a path that this node has lost itself, so that
    /// it should not confirm to a peer that the instance has crashed.
    pub fn is_doubtful_witness(&self, now: Instant) -> bool {
        self.recent_evidence(now).0 > 0 || self.lacks_paths(now)
    }

    /// Number of paths that are down, and of all paths, with recent evidence.
    fn recent_evidence(&self, now: Instant) -> (usize, usize) {
        let known = self.paths.values().filter(|p| p.has_evidence(now));
        known.fold((0, 0), |(down, all), p| (down + usize::from(p.is_down()), all + 1))
    }

    /// Whether the node should leave leadership to nodes that aren't cut off, as of the last
    /// [`Self::expire`].
    pub fn defers_leadership(&self) -> bool {
        self.isolation.defers_leadership()
    }

    /// Forgets instances that are not listed or not used any more; returns whether the node has
    /// become isolated, or no longer is.
    pub fn expire(
        &mut self,
        now: Instant,
        is_listed: &dyn Fn(&InstanceId) -> bool,
    ) -> Option<IsolationChange> {
        self.paths.retain(|id, path| now < path.used_at + PATH_RETENTION && is_listed(id));
        let (down, known) = self.recent_evidence(now);
        self.isolation.update(now, self.is_isolated(now), down, known)
    }

    fn entry(&mut self, now: Instant, instance: &InstanceId) -> &mut InstancePath {
        self.paths.entry(instance.clone()).or_insert_with(|| InstancePath::new(now))
    }
}

/// Whether two dials began too far apart for the end of one silence to have failed both.
fn is_apart(first: Instant, second: Instant) -> bool {
    let gap = second.saturating_duration_since(first).max(first.saturating_duration_since(second));
    gap > EVIDENCE_GAP
}
