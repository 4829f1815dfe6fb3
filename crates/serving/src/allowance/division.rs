//! Division of the rates among the nodes.

use {
    super::{
        Cluster, SendAllowances,
        bucket::TokenBucket,
        reports::PeerReport,
        senders::{assign_senders, weight_of_demand},
    },
    crate::{
        directory::{PoolKey, UpstreamRun},
        membership::heartbeat_round,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    turmerictack_model::ids::NodeId,
};

/// Time of a round of heartbeats up to which nodes with requests are preferred as senders.
const RECENT_ROUND: Duration = Duration::from_millis(100);

/// Demand below which a node counts as one without requests, in requests per second; reached some
/// seconds after the last one.
const ACTIVE_DEMAND: f64 = 0.02;

impl Cluster {
    /// Share of the registered nodes that are live; nodes that lost touch with the others use the
    /// rest.
    fn live_share(&self) -> f64 {
        let live = self.peers.len() + 1;
        live as f64 / self.registered.max(live) as f64
    }
}

impl SendAllowances {
    /// Assigns the senders and sets this node's shares.
    pub(super) fn update(&mut self, now: Instant) {
        let live_share = self.cluster.live_share();
        let counts: BTreeMap<UpstreamRun, usize> = self
            .limits
            .iter()
            .filter(|(_, limit)| limit.cold(now).is_none())
            .filter_map(|(run, limit)| Some((*run, limit.bound(now)?.max_senders)))
            .map(|(run, max)| (run, ((max as f64 * live_share) as usize).max(1)))
            .collect();
        let active = self.active_nodes();
        if (&counts, &active) != (&self.assigned.0, &self.assigned.1) {
            self.reassign(now, &counts, &active);
            self.assigned = (counts, active);
        }
        self.assign_registered(now);
        self.set_shares(now, live_share);
    }

    fn set_shares(&mut self, now: Instant, live_share: f64) {
        let own = &self.own;
        for (run, limit) in &mut self.limits {
            let peers = self.peer_reports.values().filter_map(|r| r.by_run.get(run));
            limit.peer_count = peers.map(|u| u.sends).sum();
            let Some(bound) = limit.bound(now) else { continue };
            if limit.cold(now).is_some() {
                limit.bucket.set_rate(now, bound.rate.per_second() * limit.cold_share());
                continue;
            }
            let demand_of = |node: &NodeId| match self.peer_reports.get(node) {
                _ if node == own => limit.known_demand(),
                Some(report) => report.by_run.get(run).map_or(0.0, |u| u.demand),
                None => 0.0,
            };
            let weight =
                |(node, count): (&NodeId, &usize)| weight_of_demand(demand_of(node), *count);
            let total: f64 = limit.senders.iter().map(weight).sum();
            let share = limit.senders.get_key_value(own).map_or(0.0, weight) / total;
            limit.bucket.set_rate(now, bound.rate.per_second() * live_share * share);
        }
    }

    /// Whether the demand of each node becomes known to the others within a few intervals.
    pub(super) fn is_demand_recent(&self) -> bool {
        heartbeat_round(self.cluster.registered) <= RECENT_ROUND
    }

    /// Nodes that are known to have requests for limited upstreams; none in a large cluster.
    fn active_nodes(&self) -> BTreeSet<NodeId> {
        if !self.is_demand_recent() {
            return BTreeSet::new();
        }
        let is_active =
            |report: &PeerReport| report.by_run.values().any(|used| used.demand >= ACTIVE_DEMAND);
        let peers = self.peer_reports.iter().filter(|(_, report)| is_active(report));
        let mut active: BTreeSet<NodeId> = peers.map(|(node, _)| node.clone()).collect();
        if self.limits.values().any(|limit| limit.known_demand() >= ACTIVE_DEMAND) {
            active.insert(self.own.clone());
        }
        active
    }

    /// Assigns the live nodes to the upstreams that state a limit.
    fn reassign(
        &mut self,
        now: Instant,
        counts: &BTreeMap<UpstreamRun, usize>,
        active: &BTreeSet<NodeId>,
    ) {
        let mut nodes = self.cluster.peers.clone();
        nodes.insert(self.own.clone());
        let mut by_pool: BTreeMap<Option<&PoolKey>, BTreeMap<UpstreamRun, usize>> = BTreeMap::new();
        for (run, count) in counts {
            by_pool.entry(self.listed.get(run)).or_default().insert(*run, *count);
        }
        for (run, senders) in by_pool.values().flat_map(|runs| assign_senders(runs, &nodes, active))
        {
            let Some(limit) = self.limits.get_mut(&run) else { continue };
            let own = &self.own;
            let is_new = !limit.senders.contains_key(own) && senders.contains_key(own);
            if is_new && limit.is_filled {
                limit.bucket.drain(now);
            } else if is_new {
                // The senders start at different levels, so that they don't send all at once.
                let rank = senders.keys().position(|n| n == own).unwrap_or(0);
                limit.bucket = TokenBucket::new(now, rank as f64 / senders.len() as f64);
            }
            limit.is_filled = true;
            limit.senders = senders;
        }
    }
}
