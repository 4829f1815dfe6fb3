//! Rate limits that upstreams state, and what this node may send under them.
//!
//! An upstream states what it takes from all nodes together. Each node derives by itself, from the
//! live nodes and what they report in heartbeats, whether it is one of the senders to the upstream
//! and what its share of the rate is, and spends the share through a token bucket.

mod apply;
mod bucket;
mod limit;
mod senders;

pub use self::senders::{UpstreamRun, assign_senders, max_senders, share_of_demand};

use {
    self::limit::{Limit, Statement},
    crate::{directory::Upstream, interfaces::StatedLimit, membership::heartbeat_round},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
    turmerictack_model::{ids::NodeId, rate::RequestRate},
    turmerictack_protocol::heartbeat::{HeartbeatLimit, HeartbeatStatement, UpstreamKey},
};

/// Time for which the limit of a run that isn't listed is kept.
const UNLISTED_RETENTION: Duration = Duration::from_secs(10);

/// Time for which it is reported that a limit was lifted.
const LIFT_REPORT_TIME: Duration = Duration::from_secs(10);

/// Time of a round of heartbeats up to which the requests that peers report count as recent.
const RECENT_ROUND: Duration = Duration::from_millis(250);

/// Tokens that a node saves where the requests of all nodes are counted; more than one, so that the
/// time until the next request isn't lost.
const COUNTED_CAPACITY: f64 = 1.5;

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

/// Sends and demand under a limit, as a peer last reported them.
#[derive(Clone, Copy, Debug)]
struct PeerUse {
    sends: usize,
    demand: f64,
}

#[derive(Debug)]
struct PeerReport {
    received_at: Instant,
    by_run: BTreeMap<UpstreamRun, PeerUse>,
}

/// Rate limits of all upstreams.
#[derive(Debug, Default)]
pub struct RateLimits {
    own: NodeId,
    cluster: Cluster,
    limits: BTreeMap<UpstreamRun, Limit>,
    peer_reports: BTreeMap<NodeId, PeerReport>,
    listed: BTreeSet<UpstreamRun>,
    /// Numbers of senders for which the senders were last assigned.
    assigned: BTreeMap<UpstreamRun, usize>,
}

impl RateLimits {
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

    /// Applies what a peer reports; returns the changes of limits.
    pub fn merge_peer(
        &mut self,
        now: Instant,
        node: &NodeId,
        reports: &[HeartbeatLimit],
    ) -> Vec<LimitChange> {
        let mut changes = Vec::new();
        for report in reports {
            let run = (report.upstream, report.started_ms);
            let Some(statement) = decode_statement(now, report.statement) else { continue };
            if statement.rate.is_some() || self.limits.contains_key(&run) {
                changes.extend(self.apply(now, run, statement));
            }
        }
        let by_run = reports.iter().map(|r| {
            let demand = f64::from(r.demand_thousandths) / 1_000.0;
            ((r.upstream, r.started_ms), PeerUse { sends: r.recent_sends.into(), demand })
        });
        let report = PeerReport { received_at: now, by_run: by_run.collect() };
        if report.by_run.is_empty() {
            self.peer_reports.remove(node);
        } else {
            self.peer_reports.insert(node.clone(), report);
        }
        if !changes.is_empty() {
            self.update(now);
        }
        changes
    }

    /// What to report to peers.
    pub fn to_report(&self, now: Instant) -> Vec<HeartbeatLimit> {
        let report = |(run, limit): (&UpstreamRun, &Limit)| {
            let statement = limit.own.filter(|own| is_reported(now, own, &limit.latest));
            let is_sender = limit.latest.rate.is_some() && limit.senders.contains(&self.own);
            let demand = if is_sender { limit.demand.per_second(now) } else { 0.0 };
            let report = HeartbeatLimit {
                upstream: run.0,
                started_ms: run.1,
                statement: statement.map(|s| encode_statement(now, s)),
                recent_sends: u16::try_from(limit.count(now)).unwrap_or(u16::MAX),
                demand_thousandths: (demand * 1_000.0) as u32,
            };
            let is_empty = report.statement.is_none()
                && report.recent_sends == 0
                && report.demand_thousandths == 0;
            (!is_empty).then_some(report)
        };
        self.limits.iter().filter_map(report).collect()
    }

    /// Remembers the demand as reported to all peers in the round of heartbeats that begins.
    pub fn mark_reported(&mut self, now: Instant) {
        for limit in self.limits.values_mut() {
            limit.reported_demand = [limit.reported_demand[1], limit.demand.per_second(now)];
        }
    }

    /// Replaces the listed runs of upstreams.
    pub fn set_listed(&mut self, now: Instant, listed: BTreeSet<UpstreamRun>) {
        self.listed = listed;
        self.drop_unlisted(now);
    }

    fn drop_unlisted(&mut self, now: Instant) {
        for (run, limit) in &mut self.limits {
            if self.listed.contains(run) {
                limit.listed_at = now;
            }
        }
        let known = self.limits.len();
        self.limits.retain(|_, limit| now < limit.listed_at + UNLISTED_RETENTION);
        if self.limits.len() < known {
            self.assigned.clear();
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
            self.assigned.clear();
        }
        self.cluster = cluster;
        self.update(now);
    }

    /// Assigns the senders and sets this node's shares.
    fn update(&mut self, now: Instant) {
        let live_share = self.cluster.live_share();
        let are_counts_recent = heartbeat_round(self.cluster.registered) <= RECENT_ROUND;
        let senders =
            |rate| ((max_senders(rate, are_counts_recent) as f64 * live_share) as usize).max(1);
        let limited = self.limits.iter().filter_map(|(run, l)| Some((*run, l.latest.rate?)));
        let counts: BTreeMap<UpstreamRun, usize> =
            limited.map(|(run, rate)| (run, senders(rate))).collect();
        if counts != self.assigned {
            self.reassign(now, &counts);
            self.assigned = counts;
        }
        let capacity = if are_counts_recent { COUNTED_CAPACITY } else { 1.0 };
        let own = &self.own;
        for (run, limit) in &mut self.limits {
            let uses = |node: &NodeId| self.peer_reports.get(node)?.by_run.get(run).copied();
            let peers = self.peer_reports.values().filter_map(|r| r.by_run.get(run));
            limit.peer_count = peers.map(|u| u.sends).sum();
            let Some(rate) = limit.latest.rate else { continue };
            let others = limit.senders.iter().filter(|n| *n != own);
            let demands = others.map(|node| uses(node).map_or(0.0, |u| u.demand));
            let share = if limit.senders.contains(own) {
                share_of_demand(limit.known_demand(), demands)
            } else {
                0.0
            };
            limit.bucket.set_rate(now, rate.per_second() * live_share * share, capacity);
        }
    }

    fn reassign(&mut self, now: Instant, counts: &BTreeMap<UpstreamRun, usize>) {
        let mut nodes = self.cluster.peers.clone();
        nodes.insert(self.own.clone());
        for (run, senders) in assign_senders(counts, &nodes) {
            let Some(limit) = self.limits.get_mut(&run) else { continue };
            let own = &self.own;
            let is_new = !limit.senders.contains(own) && senders.contains(own);
            if is_new && limit.is_filled {
                limit.bucket.drain(now);
            } else if is_new {
                // The senders start at different levels, so that they don't send all at once.
                let rank = senders.iter().position(|n| n == own).unwrap_or(0);
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

/// Whether a node reports what an upstream stated to it: peers need no statement that was followed
/// by a different one.
fn is_reported(now: Instant, own: &Statement, latest: &Statement) -> bool {
    own.rate == latest.rate && (own.rate.is_some() || now < own.stated_at + LIFT_REPORT_TIME)
}

fn encode_statement(now: Instant, statement: Statement) -> HeartbeatStatement {
    let age = now.saturating_duration_since(statement.stated_at);
    HeartbeatStatement {
        rate_thousandths: statement.rate.map(RequestRate::thousandths),
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
    }
}

fn decode_statement(now: Instant, statement: Option<HeartbeatStatement>) -> Option<Statement> {
    let statement = statement?;
    let stated_at = now.checked_sub(Duration::from_millis(statement.age_ms.into()))?;
    Some(Statement {
        rate: statement.rate_thousandths.map(RequestRate::from_thousandths),
        stated_at,
    })
}
