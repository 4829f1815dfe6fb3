//! Exchange of beats between nodes.

use {
    crate::{
        interfaces::{NodeList, PeerTransport},
        membership::LeaderStatus,
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
        beat::{BEAT_VERSION, Beat, BeatStrike},
        codec::{decode, encode},
    },
    turmerictack_routing::quarantine::Strike,
    turmerictack_telemetry::logs,
};

/// Time between two beats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two looks at the platform's list of nodes.
const NODE_LIST_INTERVAL: Duration = Duration::from_secs(5);

/// Time between two looks while all nodes may have started at the same time.
const INITIAL_NODE_LIST_INTERVAL: Duration = Duration::from_millis(400);

/// Looks that follow each other quickly after the start.
const INITIAL_POLLS: u32 = 3;

/// Who this node is to the others.
#[derive(Clone, Debug)]
pub struct NodeIdentity {
    /// Name.
    pub node: NodeId,
    /// Where it takes datagrams.
    pub address: Address,
    /// Run of the process.
    pub incarnation: Incarnation,
}

/// Sends and takes beats.
pub struct HeartbeatExchange {
    tables: Arc<Tables>,
    transport: Arc<dyn PeerTransport>,
    node_list: Arc<dyn NodeList>,
    clock: Arc<dyn Clock>,
    identity: NodeIdentity,
}

impl HeartbeatExchange {
    /// Starts the exchange.
    pub fn spawn(
        tables: Arc<Tables>,
        transport: Arc<dyn PeerTransport>,
        node_list: Arc<dyn NodeList>,
        clock: Arc<dyn Clock>,
        identity: NodeIdentity,
    ) {
        let exchange = Arc::new(Self { tables, transport, node_list, clock, identity });
        tokio::spawn(Arc::clone(&exchange).send_loop());
        tokio::spawn(Arc::clone(&exchange).receive_loop());
        tokio::spawn(exchange.poll_node_list());
    }

    async fn send_loop(self: Arc<Self>) {
        loop {
            let addresses = self.tables.peers.lock().heartbeat_addresses(&self.identity.address);
            self.broadcast(&addresses).await;
            self.tables.dispatch_all_waiting(self.clock.now());
            sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    async fn broadcast(&self, addresses: &[Address]) {
        match encode(&self.build_heartbeat(self.clock.now())) {
            Ok(datagram) => {
                for address in addresses {
                    self.transport.send(address, &datagram).await;
                }
            }
            Err(error) => logs::event("beat_not_encoded").with("cause", error).error(),
        }
    }

    fn build_heartbeat(&self, now: Instant) -> Beat {
        let (loads, silent) = {
            let mut balancer = self.tables.balancer.lock();
            (balancer.loads.report_loads(now), balancer.loads.stalled_upstreams(now))
        };
        let strikes = self.tables.quarantine.lock().news();
        let has_fresh_view = self.tables.has_fresh_view(now);
        let (leaving, in_charge) = {
            let lifecycle = self.tables.lifecycle.lock();
            (lifecycle.draining, lifecycle.is_leader)
        };
        Beat {
            version: BEAT_VERSION,
            node: self.identity.node.clone(),
            address: self.identity.address.clone(),
            incarnation: self.identity.incarnation,
            has_fresh_view,
            leaving,
            in_charge,
            loads,
            silent,
            strikes: strikes
                .into_iter()
                .map(|s| BeatStrike { digest: s.digest, upstream: s.upstream })
                .collect(),
        }
    }

    async fn receive_loop(self: Arc<Self>) {
        loop {
            let datagram = self.transport.receive().await;
            match decode::<Beat>(&datagram) {
                Ok(heartbeat) if heartbeat.version == BEAT_VERSION => self.apply(heartbeat),
                Ok(_) | Err(_) => logs::event("beat_dropped").with("bytes", datagram.len()).debug(),
            }
        }
    }

    fn apply(&self, heartbeat: Beat) {
        if heartbeat.node == self.identity.node {
            return;
        }
        let now = self.clock.now();
        let eligible = heartbeat.has_fresh_view && !heartbeat.leaving;
        let status = LeaderStatus { eligible, is_leader: heartbeat.in_charge };
        self.tables.peers.lock().record_heartbeat(
            now,
            &heartbeat.node,
            &heartbeat.address,
            heartbeat.incarnation,
            status,
        );
        {
            let mut balancer = self.tables.balancer.lock();
            balancer.loads.merge_peer_loads(now, &heartbeat.node, &heartbeat.loads);
            balancer.loads.record_suspects(now, heartbeat.silent);
        }
        let mut quarantine = self.tables.quarantine.lock();
        for strike in heartbeat.strikes {
            quarantine.strike(now, Strike { digest: strike.digest, upstream: strike.upstream });
        }
    }

    async fn poll_node_list(self: Arc<Self>) {
        let mut polls = 0;
        loop {
            if let Some(addresses) = self.node_list.addresses().await {
                let now = self.clock.now();
                self.tables.peers.lock().set_registered(now, addresses);
            }
            polls += 1;
            sleep(if polls <= INITIAL_POLLS {
                INITIAL_NODE_LIST_INTERVAL
            } else {
                NODE_LIST_INTERVAL
            })
            .await;
        }
    }
}
