//! Rate limits that upstreams state, and what this node may send under them.
//!
//! An upstream states what it takes from all nodes together. Each node derives by itself, from the
//! live nodes and what they report in heartbeats, whether it is one of the senders to the upstream
//! and what its share of the rate is, and spends the share through a token bucket.

mod apply;
mod bucket;
mod limit;
mod reports;
mod senders;

pub use self::senders::{Senders, UpstreamRun, assign_senders, max_senders, weight_of_demand};

use {
    self::{
        limit::{Limit, Statement},
        reports::PeerReport,
    },
    crate::{
        directory::{PoolKey, Upstream, UpstreamPools},
        interfaces::StatedLimit,
        membership::heartbeat_round,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
    turmerictack_model::{ids::NodeId, rate::RequestRate},
    turmerictack_protocol::heartbeat::UpstreamKey,
};

/// Time for which the limit of a run that isn't listed is kept.
const UNLISTED_RETENTION: Duration = Duration::from_secs(10);

/// Time of a round of heartbeats up to which nodes with requests are preferred as senders.
const RECENT_ROUND: Duration = Duration::from_millis(100);

/// Demand below which a node counts as one without requests, in requests per second; reached some
/// seconds after the last one.
const ACTIVE_DEMAND: f64 = 0.02;

/// Change of the limit that binds this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitChange {
    /// Upstream.
    pub upstream: UpstreamKey,
    /// New rate; `None` if the limit was lifted.
    pub rate: Option<RequestRate>,
}

/// Nodes among which rates are divided.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Cluster {
    /// Live nodes besides this one.
    pub peers: BTreeSet<NodeId>,
    /// Number of registered nodes, which may be out of touch with this one.
    pub registered: usize,
}

impl Cluster {
    /// Share of the registered nodes that are live; nodes that lost touch with the others use the
    /// rest.
    fn live_share(&self) -> f64 {
        let live = self.peers.len() + 1;
        live as f64 / self.registered.max(live) as f64
    }
}

/// Rate limits of all upstreams.
#[derive(Debug, Default)]
pub struct SendAllowances {
    own: NodeId,
    cluster: Cluster,
    limits: BTreeMap<UpstreamRun, Limit>,
    peer_reports: BTreeMap<NodeId, PeerReport>,
    /// Listed runs, each with a pool that it belongs to.
    listed: BTreeMap<UpstreamRun, PoolKey>,
    /// Numbers of senders and active nodes for which the senders were last assigned.
    assigned: (BTreeMap<UpstreamRun, usize>, BTreeSet<NodeId>),
}

impl SendAllowances {
    /// Sets the name of this node.
    pub fn set_own(&mut self, node: NodeId) {
        self.own = node;
    }

    /// Records what an upstream stated to this node; returns a change of the limit, if any.
    pub fn record(
        &mut self,
        now: Instant,
        upstream: &Upstream,
        stated: StatedLimit,
    ) -> Option<LimitChange> {
        let run = run_of(upstream);
        let rate = match stated {
            StatedLimit::Unknown => return None,
            StatedLimit::Unlimited if !self.limits.contains_key(&run) => return None,
            StatedLimit::Unlimited => None,
            StatedLimit::Limited(rate) => Some(rate),
        };
        let statement = Statement { rate, stated_at: now };
        let change = self.apply(now, run, statement);
        if let Some(limit) = self.limits.get_mut(&run) {
            limit.own = Some(statement);
        }
        if change.is_some() {
            self.update(now);
        }
        change
    }

    /// Applies a statement unless a later one is known.
    fn apply(
        &mut self,
        now: Instant,
        run: UpstreamRun,
        statement: Statement,
    ) -> Option<LimitChange> {
        let change = LimitChange { upstream: run.0, rate: statement.rate };
        let Some(limit) = self.limits.get_mut(&run) else {
            self.limits.insert(run, Limit::new(now, statement));
            return statement.rate.map(|_| change);
        };
        if statement.stated_at < limit.latest.stated_at {
            return None;
        }
        let previous = std::mem::replace(&mut limit.latest, statement);
        if previous.rate.is_none() {
            limit.bucket.drain(now);
        }
        (previous.rate != statement.rate).then_some(change)
    }

    /// Remembers the demand as reported to all peers in the round of heartbeats that begins.
    pub fn mark_reported(&mut self, now: Instant) {
        for limit in self.limits.values_mut() {
            limit.reported_demand = [limit.reported_demand[1], limit.demand.per_second(now)];
        }
    }

    /// Applies the listed upstreams.
    pub fn set_listed(&mut self, now: Instant, pools: &UpstreamPools) {
        let runs = pools.iter().flat_map(|(pool, upstreams)| {
            upstreams.iter().map(|upstream| (run_of(upstream), pool.clone()))
        });
        self.listed = runs.collect();
        self.drop_unlisted(now);
    }

    fn drop_unlisted(&mut self, now: Instant) {
        for (run, limit) in &mut self.limits {
            if self.listed.contains_key(run) {
                limit.listed_at = now;
            }
        }
        let known = self.limits.len();
        self.limits.retain(|_, limit| now < limit.listed_at + UNLISTED_RETENTION);
        if self.limits.len() < known {
            self.assigned.0.clear();
        }
    }

    /// Applies the nodes that are live, and drops what peers reported longer than `timeout` ago.
    pub fn update_cluster(&mut self, now: Instant, cluster: Cluster, timeout: Duration) {
        if self.limits.is_empty() {
            self.cluster = cluster;
            return;
        }
        self.peer_reports.retain(|_, report| now < report.received_at + timeout);
        self.drop_unlisted(now);
        if self.cluster.peers != cluster.peers {
            self.assigned.0.clear();
        }
        self.cluster = cluster;
        self.update(now);
    }

    /// Assigns the senders and sets this node's shares.
    fn update(&mut self, now: Instant) {
        let live_share = self.cluster.live_share();
        let senders = |rate| ((max_senders(rate) as f64 * live_share) as usize).max(1);
        let limited = self.limits.iter().filter_map(|(run, l)| Some((*run, l.latest.rate?)));
        let counts: BTreeMap<UpstreamRun, usize> =
            limited.map(|(run, rate)| (run, senders(rate))).collect();
        let active = self.active_nodes();
        if (&counts, &active) != (&self.assigned.0, &self.assigned.1) {
            self.reassign(now, &counts, &active);
            self.assigned = (counts, active);
        }
        let own = &self.own;
        for (run, limit) in &mut self.limits {
            let peers = self.peer_reports.values().filter_map(|r| r.by_run.get(run));
            limit.peer_count = peers.map(|u| u.sends).sum();
            let Some(rate) = limit.latest.rate else { continue };
            let demand_of = |node: &NodeId| match self.peer_reports.get(node) {
                _ if node == own => limit.known_demand(),
                Some(report) => report.by_run.get(run).map_or(0.0, |u| u.demand),
                None => 0.0,
            };
            let weight =
                |(node, count): (&NodeId, &usize)| weight_of_demand(demand_of(node), *count);
            let total: f64 = limit.senders.iter().map(weight).sum();
            let share = limit.senders.get_key_value(own).map_or(0.0, weight) / total;
            limit.bucket.set_rate(now, rate.per_second() * live_share * share);
        }
    }

    /// Whether the demand of each node becomes known to the others within a few intervals.
    fn is_demand_recent(&self) -> bool {
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
                limit.bucket = bucket::TokenBucket::new(now, rank as f64 / senders.len() as f64);
            }
            limit.is_filled = true;
            limit.senders = senders;
        }
    }

    /// Whether a limit binds this node when it sends to an upstream.
    pub fn is_limited(&self, upstream: &Upstream) -> bool {
        self.limits.get(&run_of(upstream)).is_some_and(|l| l.latest.rate.is_some())
    }

    /// Whether a request may be sent to an upstream now.
    pub fn may_send(&self, now: Instant, upstream: &Upstream) -> bool {
        self.limits.get(&run_of(upstream)).is_none_or(|limit| limit.may_send(now))
    }

    /// Counts a request sent to an upstream.
    pub fn record_send(&mut self, now: Instant, upstream: &Upstream) {
        if let Some(limit) = self.limits.get_mut(&run_of(upstream)) {
            limit.record_send(now);
        }
    }

    /// Takes back the count of a request that wasn't sent after all.
    pub fn cancel_send(&mut self, now: Instant, upstream: &Upstream) {
        if let Some(limit) = self.limits.get_mut(&run_of(upstream)) {
            limit.cancel_send(now);
        }
    }

    /// Counts a request of a client that these upstreams could take.
    pub fn record_demand(&mut self, now: Instant, upstreams: &[Arc<Upstream>]) {
        if self.limits.is_empty() {
            return;
        }
        for upstream in upstreams {
            if let Some(limit) = self.limits.get_mut(&run_of(upstream)) {
                limit.demand.record_send(now);
            }
        }
    }

    /// Time until this node may send a request after `ahead` others, if limits bind it at all these
    /// upstreams; `None` if one has no limit.
    pub fn expected_wait<'a>(
        &self,
        now: Instant,
        upstreams: impl IntoIterator<Item = &'a Upstream>,
        ahead: usize,
    ) -> Option<Duration> {
        let limits: Option<Vec<&Limit>> = upstreams
            .into_iter()
            .map(|u| self.limits.get(&run_of(u)).filter(|l| l.latest.rate.is_some()))
            .collect();
        let limits = limits.filter(|limits| !limits.is_empty())?;
        let mut next: Vec<(usize, &Limit)> = limits.iter().map(|l| (1, *l)).collect();
        let mut wait = None;
        for _ in 0..=ahead {
            let times = next.iter_mut().filter_map(|n| Some((n.1.bucket.time_to(now, n.0)?, n)));
            let Some((time, earliest)) = times.min_by_key(|(time, _)| *time) else { break };
            earliest.0 += 1;
            wait = Some(time);
        }
        Some(wait.unwrap_or_else(|| self.wait_of_others(&limits)))
    }

    /// Time in which each node gets a request through, for a node that isn't a sender itself.
    fn wait_of_others(&self, limits: &[&Limit]) -> Duration {
        let rates = limits.iter().filter_map(|l| l.latest.rate).map(RequestRate::per_second);
        let nodes = self.cluster.registered.max(self.cluster.peers.len() + 1);
        Duration::from_secs_f64(nodes as f64 / rates.sum::<f64>())
    }
}

fn run_of(upstream: &Upstream) -> UpstreamRun {
    (upstream.key, upstream.started_ms)
}
