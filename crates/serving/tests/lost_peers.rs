//! What a node knows from peers that are lost, and its own state while it is alone.

#![allow(clippy::unwrap_used, reason = "a poisoned lock fails the test")]

mod common;

use {
    async_trait::async_trait,
    bytes::Bytes,
    common::{FixedNodeList, address, tables},
    rstest::rstest,
    std::{
        collections::VecDeque,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::sleep,
    turmerictack_model::{
        clock::{Clock as _, ManualClock},
        ids::{Address, NodeId},
    },
    turmerictack_protocol::{
        codec::encode,
        heartbeat::{HEARTBEAT_VERSION, Heartbeat, HeartbeatLoad},
    },
    turmerictack_serving::{
        directory::upstream_key,
        heartbeat::{HeartbeatExchange, NodeIdentity},
        interfaces::PeerTransport,
        tables::Tables,
    },
};

/// Step of the simulated time; several intervals of heartbeats.
const STEP: Duration = Duration::from_millis(200);

/// Time after its loss for which the load of a node may count, in clusters of up to 9 nodes.
const MAX_LOAD_AGE: Duration = Duration::from_millis(2_000);

/// Time after which a crash no longer counts.
const PROMPT_RETENTION: Duration = Duration::from_secs(600);

/// Heartbeats that a test delivers.
#[derive(Default)]
struct Inbox {
    datagrams: Mutex<VecDeque<Bytes>>,
}

#[async_trait]
impl PeerTransport for Inbox {
    async fn send(&self, _to: &Address, _datagram: &[u8]) {}

    async fn receive(&self) -> Bytes {
        loop {
            let next = self.datagrams.lock().unwrap().pop_front();
            match next {
                Some(datagram) => return datagram,
                None => sleep(Duration::from_millis(1)).await,
            }
        }
    }
}

fn heartbeat(at: usize, incarnation: u64, in_flight: u16) -> Heartbeat {
    let load = |upstream: &str| HeartbeatLoad {
        upstream: upstream_key(upstream),
        in_flight,
        prompt_tokens: 0,
        progressing: false,
        stalled: false,
    };
    Heartbeat {
        version: HEARTBEAT_VERSION,
        node: format!("n{at}"),
        address: address(at),
        incarnation,
        data_centre: common::DATA_CENTRE.to_owned(),
        capacity: 250,
        has_fresh_view: true,
        leaving: false,
        is_leader: false,
        loads: ["e0", "e1"].map(load).into(),
        limits: Vec::new(),
        unresponsive: Vec::new(),
        prompt_crashes: Vec::new(),
        cleared_parts: Vec::new(),
        request_crashes: Vec::new(),
        cleared_requests: Vec::new(),
        paces: Vec::new(),
        lacks_paths: false,
        defers_leadership: false,
    }
}

/// Node 0 of a cluster, which receives the heartbeats of the others from the test.
struct Node {
    tables: Arc<Tables>,
    clock: Arc<ManualClock>,
    inbox: Arc<Inbox>,
}

impl Node {
    fn spawn(nodes: usize) -> Self {
        let (tables, clock) = (tables(), Arc::new(ManualClock::default()));
        let inbox = Arc::new(Inbox::default());
        let identity = NodeIdentity {
            node: NodeId::from("n0"),
            address: address(0),
            incarnation: 1,
            data_centre: common::DATA_CENTRE.to_owned(),
            capacity: 250,
        };
        HeartbeatExchange::spawn(
            Arc::clone(&tables),
            inbox.clone(),
            Arc::new(FixedNodeList(nodes)),
            clock.clone(),
            identity,
        );
        Self { tables, clock, inbox }
    }

    async fn receive(&self, heartbeat: &Heartbeat) {
        self.inbox.datagrams.lock().unwrap().push_back(encode(heartbeat).unwrap());
        sleep(Duration::from_millis(5)).await;
    }

    /// Lets time pass, in steps after which the node has had time to act.
    async fn advance(&self, by: Duration) {
        let until = self.clock.elapsed() + by;
        while self.clock.elapsed() < until {
            self.clock.advance(STEP.min(until - self.clock.elapsed()));
            sleep(STEP).await;
        }
    }

    fn in_flight(&self) -> u32 {
        self.tables.balancer.lock().loads.in_flight(upstream_key("e0"))
    }
}

/// Guards against a node that is left alone and keeps the load of lost nodes, so that it takes idle
/// upstreams for full and rejects all requests (review/1).
#[rstest]
#[case::all_at_once(9, vec![(1..9).collect()])]
#[case::one_after_the_other(4, vec![vec![1], vec![2], vec![3]])]
#[case::only_peer(2, vec![vec![1]])]
#[tokio::test(start_paused = true)]
async fn load_of_lost_nodes_is_dropped_although_no_heartbeat_arrives(
    #[case] nodes: usize,
    #[case] losses: Vec<Vec<usize>>,
) {
    let node = Node::spawn(nodes);
    let mut live: Vec<usize> = (1..nodes).collect();
    for lost in losses {
        for at in &live {
            node.receive(&heartbeat(*at, 1, 3)).await;
        }
        assert!(node.in_flight() as usize >= 3 * live.len());
        live.retain(|at| !lost.contains(at));
        let lost_at = node.clock.elapsed();
        while node.clock.elapsed() < lost_at + MAX_LOAD_AGE {
            node.advance(STEP).await;
            for at in &live {
                node.receive(&heartbeat(*at, 1, 3)).await;
            }
        }
        assert_eq!(node.in_flight() as usize, 3 * live.len());
    }
    assert_eq!(node.in_flight(), 0);
}

/// Guards against crowded groups: a node that has just started knows few of its peers, and their
/// heartbeats arrive no more often for that.
#[rstest]
#[case::of_61(61, 400)]
#[case::of_195(195, 2_450)]
#[tokio::test(start_paused = true)]
async fn load_of_a_live_peer_counts_until_its_next_heartbeat_in_a_large_cluster(
    #[case] nodes: usize,
    #[case] round_ms: u64,
) {
    let node = Node::spawn(nodes);
    node.advance(STEP).await;
    for _ in 0..3 {
        node.receive(&heartbeat(1, 1, 3)).await;
        // One heartbeat of two is lost on the way.
        node.advance(2 * Duration::from_millis(round_ms)).await;
        assert_eq!(node.in_flight(), 3, "after {:?}", node.clock.elapsed());
    }
    node.advance(2 * Duration::from_millis(round_ms) + MAX_LOAD_AGE).await;
    assert_eq!(node.in_flight(), 0);
}

/// A node restarted at once reports what it has in flight now; what its last run had is gone.
#[rstest]
#[tokio::test(start_paused = true)]
async fn load_of_a_restarted_node_replaces_that_of_its_last_run() {
    let node = Node::spawn(3);
    node.receive(&heartbeat(1, 1, 3)).await;
    node.receive(&heartbeat(1, 2, 1)).await;
    assert_eq!(node.in_flight(), 1);
    assert_eq!(node.tables.peers.lock().live_count(node.clock.now()), 2);
}

/// Guards against a quarantine without an end at a node without peers.
#[rstest]
#[tokio::test(start_paused = true)]
async fn quarantine_of_a_prompt_ends_although_no_heartbeat_arrives() {
    let node = Node::spawn(1);
    let parts = [7].into();
    for crash in 0..3 {
        node.tables.crashes.lock().prompts.record_crash(node.clock.now(), crash, &parts);
        node.clock.advance(STEP);
    }
    let is_quarantined = || node.tables.crashes.lock().prompts.is_quarantined(&parts);
    node.advance(STEP).await;
    assert!(is_quarantined());
    node.clock.advance(PROMPT_RETENTION);
    node.advance(STEP).await;
    assert!(!is_quarantined());
}
