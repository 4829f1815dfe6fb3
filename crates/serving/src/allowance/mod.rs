//! Upstreams that take only so many requests a second, and what this node may send to them.
//!
//! An upstream may state a rate that it takes from all nodes together, and takes a rate that the
//! configuration gives while it is cold. The lowest rate binds. Each node derives by itself whether it
//! is one of the senders to the upstream and what its share of the rate is, and spends the share
//! through a token bucket.

mod apply;
mod bound;
mod bucket;
mod cold;
mod division;
mod limit;
mod reports;
mod senders;

pub use self::{
    bound::ColdBound,
    cold::ColdChange,
    senders::{Senders, assign_senders, max_senders, weight_of_demand},
};

use {
    self::{
        cold::RegisteredSenders,
        limit::{Limit, Statement},
        reports::PeerReport,
    },
    crate::{
        directory::{PoolKey, Upstream, UpstreamPools, UpstreamRun},
        interfaces::StatedLimit,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
    turmerictack_model::{
        ids::{Address, NodeId},
        rate::RequestRate,
    },
    turmerictack_protocol::heartbeat::UpstreamKey,
};

/// Time for which the limit of a run that isn't listed is kept.
const UNLISTED_RETENTION: Duration = Duration::from_secs(10);

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
    /// Addresses of the registered nodes; filled in while an upstream is cold.
    pub registered_addresses: BTreeSet<Address>,
}

/// What this node may send to upstreams that take only so many requests.
#[derive(Debug, Default)]
pub struct SendAllowances {
    own: NodeId,
    own_address: Address,
    cold_bound: ColdBound,
    cluster: Cluster,
    limits: BTreeMap<UpstreamRun, Limit>,
    peer_reports: BTreeMap<NodeId, PeerReport>,
    /// Listed runs, each with a pool that it belongs to.
    listed: BTreeMap<UpstreamRun, PoolKey>,
    /// Numbers of senders and active nodes for which the senders were last assigned.
    assigned: (BTreeMap<UpstreamRun, usize>, BTreeSet<NodeId>),
    /// Senders to cold upstreams.
    registered_senders: RegisteredSenders,
}

impl SendAllowances {
    /// Sets the name of this node.
    pub fn set_own(&mut self, node: NodeId) {
        self.own = node;
    }

    /// Sets the address under which this node is registered.
    pub fn set_own_address(&mut self, address: Address) {
        self.own_address = address;
    }

    /// Records what an upstream stated to this node; returns a change of the limit, if any.
    pub fn record(
        &mut self,
        now: Instant,
        upstream: &Upstream,
        stated: StatedLimit,
    ) -> Option<LimitChange> {
        let run = upstream.run();
        let rate = match stated {
            StatedLimit::Unknown => return None,
            StatedLimit::Unlimited if !self.has_statement(&run) => return None,
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
        let limit = self.limits.entry(run).or_insert_with(|| Limit::new(now));
        if limit.latest.is_some_and(|latest| statement.stated_at < latest.stated_at) {
            return None;
        }
        let previous = limit.latest.replace(statement);
        if previous.is_some_and(|previous| previous.rate.is_none()) {
            limit.bucket.drain(now);
        }
        (previous.and_then(|previous| previous.rate) != statement.rate).then_some(change)
    }

    /// Whether any node is known to have got a statement of a run.
    fn has_statement(&self, run: &UpstreamRun) -> bool {
        self.limits.get(run).is_some_and(|limit| limit.latest.is_some())
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
            upstreams.iter().map(|upstream| (upstream.run(), pool.clone()))
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

    /// Whether a limit that the upstream stated binds this node when it sends to it.
    pub fn is_limited(&self, upstream: &Upstream) -> bool {
        self.limits.get(&upstream.run()).is_some_and(|l| l.stated_rate().is_some())
    }

    /// Whether a request may be sent to an upstream now.
    pub fn may_send(&self, now: Instant, upstream: &Upstream) -> bool {
        self.limits.get(&upstream.run()).is_none_or(|limit| limit.may_send(now))
    }

    /// Counts a request sent to an upstream.
    pub fn record_send(&mut self, now: Instant, upstream: &Upstream) {
        if let Some(limit) = self.limits.get_mut(&upstream.run()) {
            limit.record_send(now);
        }
    }

    /// Takes back the count of a request that wasn't sent after all.
    pub fn cancel_send(&mut self, now: Instant, upstream: &Upstream) {
        if let Some(limit) = self.limits.get_mut(&upstream.run()) {
            limit.cancel_send(now);
        }
    }

    /// Counts a request of a client that these upstreams could take.
    pub fn record_demand(&mut self, now: Instant, upstreams: &[Arc<Upstream>]) {
        if self.limits.is_empty() {
            return;
        }
        for upstream in upstreams {
            if let Some(limit) = self.limits.get_mut(&upstream.run()) {
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
            .map(|u| self.limits.get(&u.run()).filter(|l| l.bound(now).is_some()))
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
        Some(wait.unwrap_or_else(|| self.wait_of_others(now, &limits)))
    }

    /// Time in which each node gets a request through, for a node that isn't a sender itself.
    fn wait_of_others(&self, now: Instant, limits: &[&Limit]) -> Duration {
        let rates = limits.iter().filter_map(|l| l.bound(now)).map(|bound| bound.rate.per_second());
        let nodes = self.cluster.registered.max(self.cluster.peers.len() + 1);
        Duration::from_secs_f64(nodes as f64 / rates.sum::<f64>())
    }
}
