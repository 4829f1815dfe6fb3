//! Allowances in the tables of a node.

use {
    super::{Cluster, ColdChange, LimitChange},
    crate::{
        directory::{PoolKey, Upstream},
        interfaces::StatedLimit,
        tables::Tables,
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    turmerictack_model::ids::{InstanceId, NodeId},
    turmerictack_protocol::heartbeat::HeartbeatLimit,
    turmerictack_telemetry::logs,
};

impl Tables {
    /// Applies the rate limit that an upstream stated to this node.
    pub fn apply_stated_limit(&self, now: Instant, upstream: &Upstream, stated: StatedLimit) {
        let change = self.balancer.lock().loads.allowances.record(now, upstream, stated);
        if let Some(change) = change {
            log_change(&upstream.instance, change);
        }
    }

    /// Applies the rate limits that a peer reports.
    pub fn apply_peer_limits(&self, now: Instant, node: &NodeId, reports: &[HeartbeatLimit]) {
        let changes = self.balancer.lock().loads.allowances.merge_peer(now, node, reports);
        if changes.is_empty() {
            return;
        }
        let pools = Arc::clone(self.directory.lock().pools());
        for change in changes {
            let upstream = pools.values().flatten().find(|u| u.key == change.upstream);
            if let Some(upstream) = upstream {
                log_change(&upstream.instance, change);
            }
        }
    }

    /// Divides the rates of upstreams among the nodes that are live now.
    pub(crate) fn update_rate_shares(&self, now: Instant, peer_timeout: Duration) {
        let (changes, has_cold) = {
            let allowances = &mut self.balancer.lock().loads.allowances;
            (allowances.expire_cold(now), allowances.has_cold())
        };
        self.log_cold_changes(&changes);
        let cluster = {
            let peers = self.peers.lock();
            let mut cluster = Cluster {
                peers: peers.live_peers(now),
                registered: peers.registered_count(),
                ..Cluster::default()
            };
            if has_cold {
                cluster.registered_addresses = peers.registered_addresses();
            }
            cluster
        };
        self.balancer.lock().loads.allowances.update_cluster(now, cluster, peer_timeout);
    }

    /// Divides the rates anew after changes of the upstreams that are cold.
    pub(crate) fn apply_cold_changes(&self, now: Instant, changes: &[ColdChange]) {
        if changes.is_empty() {
            return;
        }
        self.log_cold_changes(changes);
        let heartbeat_timeout = self.peers.lock().heartbeat_timeout();
        self.update_rate_shares(now, heartbeat_timeout);
    }

    fn log_cold_changes(&self, changes: &[ColdChange]) {
        if changes.is_empty() {
            return;
        }
        let pools = Arc::clone(self.directory.lock().pools());
        for change in changes {
            let upstream = pools.values().flatten().find(|u| u.key == change.upstream);
            let Some(upstream) = upstream else { continue };
            match change.cold {
                Some((remaining, rate)) => logs::event("upstream_cold")
                    .with("upstream", &upstream.instance)
                    .with("remaining_ms", remaining.as_millis())
                    .with("requests_per_s", rate)
                    .info(),
                None => logs::event("upstream_warm").with("upstream", &upstream.instance).info(),
            }
        }
    }

    /// Whether allowances bind this node at all upstreams of a pool that are not excluded.
    pub(crate) fn is_rate_limited(
        &self,
        now: Instant,
        pool: &PoolKey,
        excluded: &[InstanceId],
    ) -> bool {
        let pools = Arc::clone(self.directory.lock().pools());
        let upstreams = pools.get(pool).map_or(&[][..], |u| u.as_slice());
        let candidates = upstreams.iter().filter(|u| !excluded.contains(&u.instance));
        let balancer = self.balancer.lock();
        balancer.loads.allowances.expected_wait(now, candidates.map(Arc::as_ref), 0).is_some()
    }
}

fn log_change(instance: &InstanceId, change: LimitChange) {
    match change.rate {
        Some(rate) => logs::event("upstream_rate_limited")
            .with("upstream", instance)
            .with("requests_per_s", rate)
            .info(),
        None => logs::event("upstream_rate_limit_lifted").with("upstream", instance).info(),
    }
}
