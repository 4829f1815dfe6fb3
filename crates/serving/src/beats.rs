//! Exchange of beats between nodes.

use {
    crate::{
        borders::{NodeList, PeerChannel},
        membership::Standing,
        tables::Tables,
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
    turmerictack_model::{
        clock::Clock,
        ids::{Address, Incarnation, NodeId},
    },
    turmerictack_protocol::{
        codec::{decode, encode},
        heartbeat::{HEARTBEAT_VERSION, Heartbeat, HeartbeatUpstreamLoss},
    },
    turmerictack_routing::quarantine::Strike,
    turmerictack_telemetry::logs,
};

/// Time between two beats.
const BEAT_EVERY: Duration = Duration::from_millis(50);

/// Time between two looks at the platform's list of nodes.
const LIST_EVERY: Duration = Duration::from_secs(5);

/// Time between two looks while all nodes may have started at the same time.
const LIST_FIRST: Duration = Duration::from_millis(400);

/// Looks that follow each other quickly after the start.
const QUICK_LOOKS: u32 = 3;

/// Who this node is to the others.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name.
    pub node: NodeId,
    /// Where it takes datagrams.
    pub address: Address,
    /// Run of the process.
    pub incarnation: Incarnation,
}

/// Sends and takes beats.
pub struct Beats {
    tables: Arc<Tables>,
    channel: Arc<dyn PeerChannel>,
    nodes: Arc<dyn NodeList>,
    clock: Arc<dyn Clock>,
    identity: Identity,
}

impl Beats {
    /// Starts the exchange.
    pub fn spawn(
        tables: Arc<Tables>,
        channel: Arc<dyn PeerChannel>,
        nodes: Arc<dyn NodeList>,
        clock: Arc<dyn Clock>,
        identity: Identity,
    ) {
        let beats = Arc::new(Self { tables, channel, nodes, clock, identity });
        tokio::spawn(Arc::clone(&beats).send_all());
        tokio::spawn(Arc::clone(&beats).receive_all());
        tokio::spawn(beats.follow_list());
    }

    async fn send_all(self: Arc<Self>) {
        loop {
            let addresses = self.tables.members.lock().addresses(&self.identity.address);
            self.send(&addresses).await;
            self.tables.pump_all(self.clock.now());
            sleep(BEAT_EVERY).await;
        }
    }

    async fn send(&self, addresses: &[Address]) {
        match encode(&self.beat(self.clock.now())) {
            Ok(datagram) => {
                for address in addresses {
                    self.channel.send(address, &datagram).await;
                }
            }
            Err(error) => logs::event("beat_not_encoded").with("cause", error).error(),
        }
    }

    fn beat(&self, now: Instant) -> Heartbeat {
        let (loads, silent) = {
            let mut placing = self.tables.placing.lock();
            (placing.loads.tell(now), placing.loads.stalled(now))
        };
        let strikes = self.tables.quarantine.lock().news();
        let has_fresh_view = self.tables.has_fresh_view(now);
        let (leaving, in_charge) = {
            let lifecycle = self.tables.lifecycle.lock();
            (lifecycle.leaving, lifecycle.in_charge)
        };
        Heartbeat {
            version: HEARTBEAT_VERSION,
            node: self.identity.node.clone(),
            address: self.identity.address.clone(),
            incarnation: self.identity.incarnation,
            has_fresh_view,
            leaving,
            is_leader: in_charge,
            loads,
            unresponsive: silent,
            losses: strikes
                .into_iter()
                .map(|s| HeartbeatUpstreamLoss { digest: s.digest, upstream: s.upstream })
                .collect(),
        }
    }

    async fn receive_all(self: Arc<Self>) {
        loop {
            let datagram = self.channel.receive().await;
            match decode::<Heartbeat>(&datagram) {
                Ok(beat) if beat.version == HEARTBEAT_VERSION => self.take(beat),
                Ok(_) | Err(_) => logs::event("beat_dropped").with("bytes", datagram.len()).debug(),
            }
        }
    }

    fn take(&self, beat: Heartbeat) {
        if beat.node == self.identity.node {
            return;
        }
        let now = self.clock.now();
        let eligible = beat.has_fresh_view && !beat.leaving;
        let standing = Standing { eligible, in_charge: beat.is_leader };
        self.tables.members.lock().heard(
            now,
            &beat.node,
            &beat.address,
            beat.incarnation,
            standing,
        );
        {
            let mut placing = self.tables.placing.lock();
            placing.loads.heard(now, &beat.node, &beat.loads);
            placing.loads.heard_silent(now, beat.unresponsive);
        }
        let mut quarantine = self.tables.quarantine.lock();
        for strike in beat.losses {
            quarantine.strike(now, Strike { digest: strike.digest, upstream: strike.upstream });
        }
    }

    async fn follow_list(self: Arc<Self>) {
        let mut looks = 0;
        loop {
            if let Some(addresses) = self.nodes.peers().await {
                let now = self.clock.now();
                self.tables.members.lock().set_listed(now, addresses);
            }
            looks += 1;
            sleep(if looks <= QUICK_LOOKS { LIST_FIRST } else { LIST_EVERY }).await;
        }
    }
}
