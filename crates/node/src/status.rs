//! Status of a node, as reported to operators.

use {
    crate::{
        shared::Shared,
        tables::{Stage, Target},
    },
    std::{collections::BTreeMap, time::Instant},
    turmerictack_model::{ids::Epoch, rank::Rank},
    turmerictack_report::{
        snapshot::Snapshot,
        status::{ControlStatus, NodeStatus, PeerStatus, ServiceStatus, UpstreamStatus},
    },
    turmerictack_settings::{dependencies::down_dependency, services::Services},
};

fn age_ms(now: Instant, at: Instant) -> u64 {
    u64::try_from(now.saturating_duration_since(at).as_millis()).unwrap_or(u64::MAX)
}

impl Shared {
    /// Whether the node is ready for calls: it has a services configuration and no drain has begun.
    pub fn is_ready(&self) -> bool {
        self.tables.settings.lock().revision > 0
            && self.tables.lifecycle.lock().stage == Stage::Serving
    }

    /// Snapshot of the burn report's counters.
    pub fn burn(&self) -> Snapshot {
        let services = self.tables.services();
        let objective =
            |rank: Rank| services.as_ref().map_or(0.0, |s| s.rank_policy(rank).objective_percent);
        let now = self.clock().now();
        self.tables.burn.lock().snapshot(now, &self.settings.node, &objective)
    }

    /// Status of the node.
    pub fn status(&self) -> NodeStatus {
        let now = self.clock().now();
        let ready = self.is_ready();
        let (revision, confirmed) = {
            let active = self.tables.settings.lock();
            (active.revision, active.confirmed_at)
        };
        let (incarnation, alone, peers) = {
            let members = self.tables.members.lock();
            let peers = members.peers().map(|(info, last_contact)| PeerStatus {
                node: info.node.clone(),
                address: info.address.clone(),
                state: info.state.to_string(),
                heard_ms: last_contact.map(|at| age_ms(now, at)),
            });
            (members.incarnation(), members.is_alone(now), peers.collect())
        };
        let quarantine = {
            let quarantine = self.tables.quarantine.lock();
            quarantine.entries().map(|(digest, n)| (digest.clone(), n)).collect()
        };
        let services = self.tables.services();
        let calls = self.tables.open_calls() as u64;
        NodeStatus {
            node: self.settings.node.clone(),
            incarnation,
            ready,
            alone,
            revision,
            confirmed_ms: confirmed.map(|at| age_ms(now, at)),
            calls,
            peers,
            services: services.iter().flat_map(|s| self.service_statuses(s)).collect(),
            quarantine,
            control: self.control_status(),
        }
    }

    fn service_statuses(&self, services: &Services) -> Vec<(String, ServiceStatus)> {
        services
            .services
            .iter()
            .map(|s| (s.id.clone(), self.service_status(services, &s.id)))
            .collect()
    }

    fn service_status(&self, services: &Services, id: &str) -> ServiceStatus {
        let now = self.clock().now();
        let pool = services.service(id).map(|s| s.pool.clone());
        let mut status = ServiceStatus::default();
        let epochs: BTreeMap<String, Epoch> = {
            let groups = self.tables.groups.lock();
            let serving = groups.health.serving_groups(now);
            let is_serving = |id: &String| serving.iter().any(|c| c.members.contains(id));
            let stranded = groups.instances.values().filter(|i| i.fabric_domain.is_some());
            let stranded =
                stranded.filter(|i| Some(&i.pool) == pool.as_ref() && !is_serving(&i.id));
            status.stranded = stranded.map(|i| i.id.clone()).collect();
            let epoch = |t: &Target| t.group.as_ref().map(|(_, epoch)| *epoch);
            groups.targets.iter().filter_map(|(u, t)| Some((u.clone(), epoch(t)?))).collect()
        };
        let upstreams = self.tables.upstreams.lock();
        let is_up = |id: &str| upstreams.by_service.get(id).is_some_and(|u| u.is_up());
        status.degraded_by = down_dependency(services, id, &is_up).map(str::to_owned);
        if let Some(upstream_set) = upstreams.by_service.get(id) {
            status.up = upstream_set.is_up();
            status.capacity = upstream_set.capacity();
            let upstream_states = upstream_set.upstreams().iter().map(|upstream| UpstreamStatus {
                upstream: upstream.id.clone(),
                epoch: epochs.get(&upstream.id).copied(),
                in_flight: upstream.in_flight,
                limit: upstream.limit(),
                open: upstream.open,
                straggler: upstream.is_straggler(),
            });
            status.upstreams = upstream_states.collect();
        }
        drop(upstreams);
        let admission = self.tables.admission.lock();
        if let Some(queues) = admission.get(id) {
            status.waiting = Rank::ALL.into_iter().map(|r| (r, queues.waiting(r))).collect();
            status.in_flight = Rank::ALL.into_iter().map(|r| (r, queues.in_flight(r))).collect();
        }
        status
    }

    fn control_status(&self) -> ControlStatus {
        let (platform, probes) = {
            let lifecycle = self.tables.lifecycle.lock();
            (lifecycle.platform, lifecycle.probes)
        };
        let traffic = &self.proxy.interfaces.traffic;
        ControlStatus {
            peer_bytes_sent: traffic.bytes_sent(),
            peer_bytes_received: traffic.bytes_received(),
            peer_requests: traffic.requests(),
            upstream_probes: probes,
            platform_reads: platform.reads,
            platform_writes: platform.writes,
            platform_watches: platform.watches,
        }
    }
}
