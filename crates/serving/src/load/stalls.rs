//! Upstreams that make no progress, as seen by this node and by peers.

use {
    super::{LoadTracker, STALL_TIMEOUT, UpstreamLoad},
    crate::{
        directory::{Upstream, upstream_key},
        membership::heartbeat_round,
    },
    std::time::{Duration, Instant},
    turmerictack_model::ids::InstanceId,
    turmerictack_protocol::heartbeat::UpstreamKey,
};

/// Time after its last event during which an upstream counts as making progress.
const PROGRESS_WINDOW: Duration = Duration::from_secs(1);

/// Time for which an instance that was reported stalled stays suspected.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time for which a suspicion that was reported by a peer is passed on.
const SUSPICION_NEWS_TIME: Duration = Duration::from_millis(200);

/// Time of a round of heartbeats up to which the stalls that peers report are acted upon.
///
/// A stall is refuted by the next progress that any node reports. Where that takes longer, one slow
/// first event would keep all nodes away from a sound group.
const MAX_REFUTATION_TIME: Duration = Duration::from_secs(1);

/// Time for which a node remembers that a group has stalled; about the time after which the head of
/// the group notices that a member is missing.
const STALL_MEMORY: Duration = Duration::from_secs(4);

impl UpstreamLoad {
    /// Time at which this node or a peer last received an event from the upstream.
    fn latest_progress(&self) -> Option<Instant> {
        self.last_progress.max(self.peer_last_progress)
    }
}

impl LoadTracker {
    /// Whether requests of this node wait for the upstream, and neither it nor a peer has received an
    /// event from the upstream within the stall timeout.
    pub fn is_stalled(&self, now: Instant, key: UpstreamKey) -> bool {
        let Some(load) = self.by_key.get(&key) else { return false };
        let last_activity =
            load.last_progress.map_or(load.busy_since, |at| at.max(load.busy_since));
        let peer_last_activity = load.peer_last_progress.unwrap_or(last_activity);
        load.local_waiting > 0
            && now >= last_activity + STALL_TIMEOUT
            && now >= peer_last_activity + STALL_TIMEOUT
    }

    /// Whether this node has lately moved a request away from the upstream because of a stall, and
    /// neither it nor a peer has received an event from there since.
    pub(super) fn has_stalled(&self, now: Instant, load: &UpstreamLoad) -> bool {
        let is_recent = |at: &Instant| now < *at + STALL_MEMORY;
        load.stalled_at.filter(is_recent).is_some_and(|at| Some(at) > load.latest_progress())
    }

    /// Whether this node or a peer has lately found the upstream stalled, and no event from there is
    /// known since.
    ///
    /// A group that stands still has few requests in flight, since they are moved away. Without this
    /// it would attract new ones, at every node.
    pub(super) fn is_suspected(&self, now: Instant, upstream: &Upstream) -> bool {
        let Some(load) = self.by_key.get(&upstream.key) else { return false };
        if load.group.is_some() && load.group != upstream.group {
            return false;
        }
        if self.has_stalled(now, load) {
            return true;
        }
        let is_recent = |at: &&Instant| now < **at + STALL_MEMORY;
        let suspected_at = self.suspects.get(&upstream.instance).filter(is_recent).copied();
        self.are_refutations_recent()
            && suspected_at.is_some_and(|at| Some(at) > load.latest_progress())
    }

    /// Whether progress at any node becomes known soon enough to act upon stalls that peers report.
    fn are_refutations_recent(&self) -> bool {
        heartbeat_round(self.peer_loads.len()) <= MAX_REFUTATION_TIME
    }

    /// Whether this node or a peer has received an event from the upstream lately.
    pub fn has_recent_progress(&self, now: Instant, key: UpstreamKey) -> bool {
        let Some(load) = self.by_key.get(&key) else { return false };
        load.latest_progress().is_some_and(|at| now < at + PROGRESS_WINDOW)
    }

    /// Upstreams that are stalled as seen by this node, or were when it last had requests there.
    pub fn stalled_upstreams(&self, now: Instant) -> Vec<InstanceId> {
        let is_stalled =
            |key: UpstreamKey, load| self.is_stalled(now, key) || self.has_stalled(now, load);
        let stalled = self.by_key.iter().filter(|(key, load)| is_stalled(**key, load));
        stalled.filter_map(|(key, _)| self.instances.get(key).cloned()).collect()
    }

    /// Instances to report to peers: those that are stalled here, and those that others have just
    /// reported, so that all nodes learn of them within a few intervals.
    pub fn stalls_to_report(&self, now: Instant) -> Vec<InstanceId> {
        let mut stalls = self.stalled_upstreams(now);
        if !self.are_refutations_recent() {
            return stalls;
        }
        let news = self.suspects.iter().filter(|(_, at)| now < **at + SUSPICION_NEWS_TIME);
        stalls.extend(news.map(|(id, _)| id.clone()));
        stalls
    }

    /// Marks instances as suspected, whether detected here or reported by a peer; one that is
    /// suspected already stays so for the rest of its time.
    pub fn record_suspects(
        &mut self,
        now: Instant,
        instances: impl IntoIterator<Item = InstanceId>,
    ) {
        self.suspects.retain(|_, at| now < *at + STALL_MEMORY);
        for id in instances {
            let load = self.by_key.get(&upstream_key(&id));
            let last_progress = load.and_then(UpstreamLoad::latest_progress);
            let suspected_at = self.suspects.entry(id).or_insert(now);
            if Some(*suspected_at) <= last_progress {
                *suspected_at = now;
            }
        }
    }

    /// Instances that are stalled here or were marked as suspected lately.
    pub fn suspects(&self, now: Instant) -> Vec<InstanceId> {
        let mut suspects = self.stalled_upstreams(now);
        let recent = self.suspects.iter().filter(|(_, at)| now < **at + SUSPICION_TIMEOUT);
        suspects.extend(recent.map(|(id, _)| id.clone()));
        suspects
    }
}
