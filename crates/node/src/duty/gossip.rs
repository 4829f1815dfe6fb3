//! Heartbeats between nodes.

use {
    crate::{duty::settings, logs, shared::Shared, wire},
    std::{sync::Arc, time::Instant},
    tokio::time::timeout,
    turmerictack_membership::table::{PROBE_INTERVAL, Probe},
    turmerictack_protocol::message::{Gossip, PeerRequest, PeerResponse},
};

/// Probes a few nodes each period, and at once when there is something to tell.
pub async fn run(shared: Arc<Shared>) {
    loop {
        round(&shared).await;
        let _ = timeout(PROBE_INTERVAL, shared.gossip_now.notified()).await;
    }
}

async fn round(shared: &Arc<Shared>) {
    let taken = Arc::clone(shared);
    let due = shared.work(move || (taken.tick(), taken.gossip())).await;
    let Some((probes, gossip)) = due else { return };
    for probe in probes {
        tokio::spawn(ask(Arc::clone(shared), probe, gossip.clone()));
    }
}

/// Tells every live node that this one leaves.
pub async fn farewell(shared: &Arc<Shared>) {
    let taken = Arc::clone(shared);
    let due = shared.work(move || {
        taken.tables.members.lock().leave();
        (taken.live_peers(), taken.gossip())
    });
    let Some((probes, gossip)) = due.await else {
        return;
    };
    let asks = probes.into_iter().map(|p| ask(Arc::clone(shared), p, gossip.clone()));
    rocket::futures::future::join_all(asks).await;
}

async fn ask(shared: Arc<Shared>, probe: Probe, gossip: Gossip) {
    let peers = &shared.desk.borders.peers;
    match peers.send(&probe.address, &PeerRequest::Probe(gossip.clone())).await {
        Ok(PeerResponse::Ack(theirs)) => heard(&shared, theirs).await,
        Ok(_) => {}
        Err(e) => {
            logs::event("peer_silent").with("node", &probe.node).with("cause", e).debug();
            ask_helpers(&shared, probe, gossip).await;
        }
    }
}

async fn ask_helpers(shared: &Arc<Shared>, silent: Probe, gossip: Gossip) {
    let (taken, node) = (Arc::clone(shared), silent.node.clone());
    let helpers = shared.work(move || taken.tables.members.lock().indirect_probers(&node)).await;
    for helper in helpers.unwrap_or_default() {
        let question = PeerRequest::IndirectProbe {
            gossip: gossip.clone(),
            node: silent.node.clone(),
            address: silent.address.clone(),
        };
        let answer = shared.desk.borders.peers.send(&helper.address, &question).await;
        if matches!(answer, Ok(PeerResponse::ProbeResult(true))) {
            return;
        }
    }
    let taken = Arc::clone(shared);
    let missed = move || {
        let now = taken.clock().now();
        taken.tables.members.lock().record_probe_failure(now, &silent.node);
    };
    shared.work(missed).await;
}

/// Takes what another node tells, and asks for its services text if that is newer.
pub async fn heard(shared: &Arc<Shared>, gossip: Gossip) {
    let (revision, address) = (gossip.revision, gossip.from.address.clone());
    let taken = Arc::clone(shared);
    let have = shared.work(move || taken.take_gossip(gossip)).await;
    if have.is_some_and(|have| have < revision) {
        settings::pull(shared, &address).await;
    }
}

impl Shared {
    fn tick(&self) -> Vec<Probe> {
        let has_strikes = self.tables.quarantine.lock().has_updates();
        let mut members = self.tables.members.lock();
        if has_strikes {
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

    /// What this node has to tell now.
    pub fn gossip(&self) -> Gossip {
        let revision = self.tables.settings.lock().revision;
        let (from, news) = {
            let mut members = self.tables.members.lock();
            (members.local_node().clone(), members.next_updates())
        };
        let strikes = self.tables.quarantine.lock().next_updates();
        Gossip {
            from: wire::news_out(from),
            revision,
            updates: news.into_iter().map(wire::news_out).collect(),
            losses: strikes.into_iter().map(wire::strike_out).collect(),
        }
    }

    /// Takes what another node tells; gives the revision that this node has.
    fn take_gossip(&self, gossip: Gossip) -> u64 {
        let now: Instant = self.clock().now();
        let have = {
            let mut accepted = self.tables.settings.lock();
            if gossip.revision == accepted.revision {
                accepted.confirmed = Some(now);
            }
            accepted.revision
        };
        let from = wire::news_in(gossip.from);
        let news = gossip.updates.into_iter().map(wire::news_in).collect();
        self.tables.members.lock().record_contact(now, &from, news);
        let mut quarantine = self.tables.quarantine.lock();
        for strike in gossip.losses {
            quarantine.record_loss(now, wire::strike_in(strike));
        }
        have
    }
}
