//! Gossip between nodes: membership, revision of the configuration and upstream losses.

use {
    crate::{background::settings, logs, shared::Shared, wire},
    std::{sync::Arc, time::Instant},
    tokio::time::timeout,
    turmerictack_membership::table::{PROBE_INTERVAL, Probe},
    turmerictack_protocol::message::{Gossip, PeerRequest, PeerResponse},
};

/// Probes a few nodes each period, and at once when there are new updates to spread.
pub async fn run(shared: Arc<Shared>) {
    loop {
        round(&shared).await;
        let _ = timeout(PROBE_INTERVAL, shared.gossip_wakeup.notified()).await;
    }
}

async fn round(shared: &Arc<Shared>) {
    let job_shared = Arc::clone(shared);
    let next = shared.run_job(move || (job_shared.tick(), job_shared.gossip())).await;
    let Some((probes, gossip)) = next else { return };
    for probe in probes {
        tokio::spawn(probe_node(Arc::clone(shared), probe, gossip.clone()));
    }
}

/// Notifies every live node that this node leaves the cluster.
pub async fn announce_leave(shared: &Arc<Shared>) {
    let job_shared = Arc::clone(shared);
    let next = shared.run_job(move || {
        job_shared.tables.members.lock().leave();
        (job_shared.live_peers(), job_shared.gossip())
    });
    let Some((probes, gossip)) = next.await else {
        return;
    };
    let sends = probes.into_iter().map(|p| probe_node(Arc::clone(shared), p, gossip.clone()));
    rocket::futures::future::join_all(sends).await;
}

async fn probe_node(shared: Arc<Shared>, probe: Probe, gossip: Gossip) {
    let peers = &shared.proxy.interfaces.peers;
    match peers.send(&probe.address, &PeerRequest::Probe(gossip.clone())).await {
        Ok(PeerResponse::Ack(theirs)) => receive(&shared, theirs).await,
        Ok(_) => {}
        Err(e) => {
            logs::event("peer_probe_failed").with("node", &probe.node).with("cause", e).debug();
            probe_indirectly(&shared, probe, gossip).await;
        }
    }
}

async fn probe_indirectly(shared: &Arc<Shared>, target: Probe, gossip: Gossip) {
    let (job_shared, node) = (Arc::clone(shared), target.node.clone());
    let probers =
        shared.run_job(move || job_shared.tables.members.lock().indirect_probers(&node)).await;
    for prober in probers.unwrap_or_default() {
        let request = PeerRequest::IndirectProbe {
            gossip: gossip.clone(),
            node: target.node.clone(),
            address: target.address.clone(),
        };
        let response = shared.proxy.interfaces.peers.send(&prober.address, &request).await;
        if matches!(response, Ok(PeerResponse::ProbeResult(true))) {
            return;
        }
    }
    let job_shared = Arc::clone(shared);
    let record_failure = move || {
        let now = job_shared.clock().now();
        job_shared.tables.members.lock().record_probe_failure(now, &target.node);
    };
    shared.run_job(record_failure).await;
}

/// Records another node's gossip, and fetches its services configuration if that is newer.
pub async fn receive(shared: &Arc<Shared>, gossip: Gossip) {
    let (revision, address) = (gossip.revision, gossip.from.address.clone());
    let job_shared = Arc::clone(shared);
    let own_revision = shared.run_job(move || job_shared.record_gossip(gossip)).await;
    if own_revision.is_some_and(|own_revision| own_revision < revision) {
        settings::pull(shared, &address).await;
    }
}

impl Shared {
    fn tick(&self) -> Vec<Probe> {
        let has_losses = self.tables.quarantine.lock().has_updates();
        let mut members = self.tables.members.lock();
        if has_losses {
            members.raise_fanout();
        }
        members.tick(self.clock().now())
    }

    fn live_peers(&self) -> Vec<Probe> {
        let members = self.tables.members.lock();
        let live = members.live_nodes();
        live.into_iter()
            .filter_map(|node| {
                let address = members.address(&node)?.clone();
                Some(Probe { node, address })
            })
            .collect()
    }

    /// Builds the gossip message to send now.
    pub fn gossip(&self) -> Gossip {
        let revision = self.tables.settings.lock().revision;
        let (from, updates) = {
            let mut members = self.tables.members.lock();
            (members.local_node().clone(), members.next_updates())
        };
        let losses = self.tables.quarantine.lock().next_updates();
        Gossip {
            from: wire::info_to_wire(from),
            revision,
            updates: updates.into_iter().map(wire::info_to_wire).collect(),
            losses: losses.into_iter().map(wire::loss_to_wire).collect(),
        }
    }

    /// Records another node's gossip; returns the revision that this node has.
    fn record_gossip(&self, gossip: Gossip) -> u64 {
        let now: Instant = self.clock().now();
        let own_revision = {
            let mut active = self.tables.settings.lock();
            if gossip.revision == active.revision {
                active.confirmed_at = Some(now);
            }
            active.revision
        };
        let from = wire::info_from_wire(gossip.from);
        let updates = gossip.updates.into_iter().map(wire::info_from_wire).collect();
        self.tables.members.lock().record_contact(now, &from, updates);
        let mut quarantine = self.tables.quarantine.lock();
        for loss in gossip.losses {
            quarantine.record_loss(now, wire::loss_from_wire(loss));
        }
        own_revision
    }
}
