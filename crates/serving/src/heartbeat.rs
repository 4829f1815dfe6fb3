//! Heartbeats between nodes: liveness, load, suspected instances and crashes.

use {
    crate::{
        interfaces::{NodeList, PeerTransport},
        membership::{HEARTBEAT_INTERVAL, LeaderStatus, PeerReach},
        relay::source::RelayCandidate,
        tables::Tables,
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
    turmerictack_model::{
        clock::Clock,
        ids::{Address, DataCentre, Incarnation, NodeId, PromptPartId},
    },
    turmerictack_protocol::{
        codec::{decode, encode},
        heartbeat::{HEARTBEAT_VERSION, Heartbeat, HeartbeatCrash},
    },
    turmerictack_routing::crash_quarantine::{CrashReport, CrashUpdates},
    turmerictack_telemetry::logs,
};

/// Interval between reads of the platform's list of nodes.
const NODE_LIST_INTERVAL: Duration = Duration::from_secs(5);

/// The same interval just after the start, when other nodes may be starting too.
const INITIAL_NODE_LIST_INTERVAL: Duration = Duration::from_millis(400);

/// Number of reads at the initial interval.
const INITIAL_POLLS: u32 = 3;

/// Identity of this node towards its peers.
#[derive(Clone, Debug)]
pub struct NodeIdentity {
    /// Node name.
    pub node: NodeId,
    /// Address at which it receives heartbeats.
    pub address: Address,
    /// Incarnation of the process; higher after a restart.
    pub incarnation: Incarnation,
    /// Data centre of the node.
    pub data_centre: DataCentre,
    /// Processor capacity, in thousandths of a core.
    pub capacity: u16,
}

impl NodeIdentity {
    /// This node as a candidate for watching the store for others.
    pub fn relay_candidate(&self) -> RelayCandidate {
        RelayCandidate {
            address: self.address.clone(),
            data_centre: self.data_centre.clone(),
            capacity: self.capacity,
        }
    }
}

/// Updates that are sent to each peer once, in the same round of heartbeats.
#[derive(Debug, Default)]
struct RoundUpdates {
    prompts: CrashUpdates,
    requests: CrashUpdates,
}

/// Sends heartbeats to peers and applies those received.
pub struct HeartbeatExchange {
    tables: Arc<Tables>,
    transport: Arc<dyn PeerTransport>,
    node_list: Arc<dyn NodeList>,
    clock: Arc<dyn Clock>,
    identity: NodeIdentity,
}

impl HeartbeatExchange {
    /// Starts the tasks that send, receive, and poll the list of nodes.
    pub fn spawn(
        tables: Arc<Tables>,
        transport: Arc<dyn PeerTransport>,
        node_list: Arc<dyn NodeList>,
        clock: Arc<dyn Clock>,
        identity: NodeIdentity,
    ) {
        {
            let allowances = &mut tables.balancer.lock().loads.allowances;
            allowances.set_own(identity.node.clone());
            allowances.set_own_address(identity.address.clone());
        }
        let exchange = Arc::new(Self { tables, transport, node_list, clock, identity });
        tokio::spawn(Arc::clone(&exchange).send_loop());
        tokio::spawn(Arc::clone(&exchange).receive_loop());
        tokio::spawn(exchange.poll_node_list());
    }

    async fn send_loop(self: Arc<Self>) {
        let mut updates = RoundUpdates::default();
        loop {
            let batch = self.tables.peers.lock().next_heartbeat_batch(&self.identity.address);
            if batch.starts_round {
                let now = self.clock.now();
                {
                    let mut balancer = self.tables.balancer.lock();
                    balancer.loads.mark_reported();
                    balancer.loads.allowances.mark_reported(now);
                }
                let mut crashes = self.tables.crashes.lock();
                updates = RoundUpdates {
                    prompts: crashes.prompts.next_updates(now),
                    requests: crashes.requests.next_updates(now),
                };
            }
            let mut addresses = batch.addresses;
            let leaders = self.tables.peers.lock().next_leader_batch(self.clock.now());
            addresses.extend(leaders.into_iter().filter(|a| *a != self.identity.address));
            self.broadcast(&addresses, &updates).await;
            let now = self.clock.now();
            self.tables.expire_reports(now);
            self.tables.dispatch_all_waiting(now);
            sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    async fn broadcast(&self, addresses: &[Address], updates: &RoundUpdates) {
        match encode(&self.build_heartbeat(self.clock.now(), updates)) {
            Ok(datagram) => {
                for address in addresses {
                    self.transport.send(address, &datagram).await;
                }
            }
            Err(error) => logs::event("heartbeat_encode_failed").with("cause", error).error(),
        }
    }

    fn build_heartbeat(&self, now: Instant, updates: &RoundUpdates) -> Heartbeat {
        let (loads, unresponsive, limits, paces) = {
            let loads = &self.tables.balancer.lock().loads;
            let limits = loads.allowances.to_report(now);
            let paces = loads.paces.to_report(now);
            (loads.local_loads(now), loads.stalls_to_report(now), limits, paces)
        };
        let has_fresh_view = self.tables.update_candidacy(now, &self.identity);
        let (leaving, is_leader) = {
            let lifecycle = self.tables.lifecycle.lock();
            (lifecycle.draining, lifecycle.is_leader)
        };
        let (lacks_paths, defers_leadership) = {
            let paths = self.tables.paths.lock();
            (paths.lacks_paths(now), paths.defers_leadership())
        };
        Heartbeat {
            version: HEARTBEAT_VERSION,
            node: self.identity.node.clone(),
            address: self.identity.address.clone(),
            incarnation: self.identity.incarnation,
            data_centre: self.identity.data_centre.clone(),
            capacity: self.identity.capacity,
            has_fresh_view,
            leaving,
            is_leader,
            loads,
            limits,
            unresponsive,
            prompt_crashes: updates.prompts.crashes.iter().map(encode_crash).collect(),
            cleared_parts: updates.prompts.cleared.clone(),
            request_crashes: updates.requests.crashes.iter().map(encode_crash).collect(),
            cleared_requests: updates.requests.cleared.clone(),
            paces,
            lacks_paths,
            defers_leadership,
        }
    }

    async fn receive_loop(self: Arc<Self>) {
        loop {
            let datagram = self.transport.receive().await;
            match decode::<Heartbeat>(&datagram) {
                Ok(heartbeat) if heartbeat.version == HEARTBEAT_VERSION => self.apply(heartbeat),
                Ok(_) | Err(_) => {
                    logs::event("heartbeat_dropped").with("bytes", datagram.len()).debug()
                }
            }
        }
    }

    fn apply(&self, heartbeat: Heartbeat) {
        if heartbeat.node == self.identity.node {
            return;
        }
        let now = self.clock.now();
        let eligible = heartbeat.has_fresh_view && !heartbeat.leaving;
        let status = LeaderStatus {
            eligible,
            is_leader: heartbeat.is_leader,
            defers: heartbeat.defers_leadership,
        };
        let reach = PeerReach { is_leaving: heartbeat.leaving, lacks_paths: heartbeat.lacks_paths };
        let candidate = RelayCandidate {
            address: heartbeat.address.clone(),
            data_centre: heartbeat.data_centre,
            capacity: heartbeat.capacity,
        };
        {
            let mut peers = self.tables.peers.lock();
            peers.record_heartbeat(
                now,
                &heartbeat.node,
                &heartbeat.address,
                heartbeat.incarnation,
                status,
            );
            peers.record_candidate(&heartbeat.node, candidate);
            peers.record_reach(&heartbeat.node, reach);
        }
        {
            let mut balancer = self.tables.balancer.lock();
            balancer.loads.merge_peer_loads(now, &heartbeat.node, &heartbeat.loads);
            balancer.loads.record_suspects(now, heartbeat.unresponsive);
            balancer.loads.merge_peer_paces(now, &heartbeat.node, &heartbeat.paces);
        }
        self.tables.apply_peer_limits(now, &heartbeat.node, &heartbeat.limits);
        let prompts = decode_updates(heartbeat.prompt_crashes, heartbeat.cleared_parts);
        let requests = decode_updates(heartbeat.request_crashes, heartbeat.cleared_requests);
        self.tables.update_crashes(|crashes| crashes.apply(now, prompts, requests));
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

fn encode_crash(report: &CrashReport) -> HeartbeatCrash {
    HeartbeatCrash {
        crash: report.crash,
        age_ms: u32::try_from(report.age.as_millis()).unwrap_or(u32::MAX),
        parts: report.parts.iter().copied().collect(),
    }
}

fn decode_updates(crashes: Vec<HeartbeatCrash>, cleared: Vec<PromptPartId>) -> CrashUpdates {
    CrashUpdates { crashes: crashes.into_iter().map(decode_crash).collect(), cleared }
}

fn decode_crash(crash: HeartbeatCrash) -> CrashReport {
    CrashReport {
        crash: crash.crash,
        age: Duration::from_millis(crash.age_ms.into()),
        parts: crash.parts.into_iter().collect(),
    }
}
