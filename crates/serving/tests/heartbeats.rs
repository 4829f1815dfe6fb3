//! Cost and coverage of the heartbeats that a node sends.

#![allow(clippy::unwrap_used, reason = "a poisoned lock fails the test")]

mod common;

use {
    async_trait::async_trait,
    bytes::Bytes,
    common::{FixedNodeList, addresses, tables},
    rstest::rstest,
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::time::sleep,
    turmerictack_model::{clock::SystemClock, ids::Address},
    turmerictack_protocol::heartbeat::HeartbeatLoad,
    turmerictack_serving::{
        directory::upstream_key,
        heartbeat::{HeartbeatExchange, NodeIdentity},
        interfaces::PeerTransport,
        load::LoadTracker,
        membership::{LeaderStatus, PeerTable},
    },
};

/// Heartbeats a second that nine nodes send each, to each other node every 50 ms.
const MAX_HEARTBEATS_PER_SECOND: usize = 160;

const OWN: &str = "10.0.0.0:1";

#[derive(Default)]
struct CountingTransport {
    sent: Mutex<BTreeMap<Address, usize>>,
}

#[async_trait]
impl PeerTransport for CountingTransport {
    async fn send(&self, to: &Address, _datagram: &[u8]) {
        *self.sent.lock().unwrap().entry(to.clone()).or_default() += 1;
    }

    async fn receive(&self) -> Bytes {
        std::future::pending().await
    }
}

#[rstest]
#[tokio::test]
async fn heartbeats_sent_by_a_node_do_not_grow_with_the_cluster(
    #[values(9, 85, 380)] nodes: usize,
) {
    let transport = Arc::new(CountingTransport::default());
    let identity = NodeIdentity {
        node: "node".to_owned(),
        address: OWN.to_owned(),
        incarnation: 1,
        data_centre: "dc-1".to_owned(),
        capacity: 250,
    };
    let started = Instant::now();
    HeartbeatExchange::spawn(
        tables(),
        transport.clone(),
        Arc::new(FixedNodeList(nodes)),
        Arc::new(SystemClock::default()),
        identity,
    );
    sleep(Duration::from_secs(1)).await;
    let elapsed = started.elapsed().as_secs_f64();
    let sent: usize = transport.sent.lock().unwrap().values().sum();
    // One interval more, since the first heartbeats are sent at once.
    let most = MAX_HEARTBEATS_PER_SECOND as f64 * (elapsed + 0.05);
    assert!(sent as f64 <= most, "{sent} heartbeats in {elapsed:.2} s");
}

#[rstest]
fn heartbeats_reach_all_peers_equally_often(#[values(1, 8, 9, 84, 379)] peers: usize) {
    let mut table = PeerTable::default();
    table.set_registered(Instant::now(), addresses(peers + 1));
    let mut sent: BTreeMap<Address, usize> = BTreeMap::new();
    let mut rounds = 0;
    loop {
        let batch = table.next_heartbeat_batch(&OWN.to_owned());
        rounds += usize::from(batch.starts_round);
        if rounds > 3 {
            break;
        }
        for address in batch.addresses {
            *sent.entry(address).or_default() += 1;
        }
    }
    assert_eq!(sent.len(), peers);
    assert!(sent.values().all(|count| *count == 3), "{sent:?}");
}

#[rstest]
fn node_that_sends_one_heartbeat_each_round_counts_as_alive(#[values(9, 85, 380)] nodes: usize) {
    let mut table = PeerTable::default();
    let mut now = Instant::now();
    table.set_registered(now, addresses(nodes));
    let round = Duration::from_millis(50) * nodes.div_ceil(8) as u32;
    let status = LeaderStatus { eligible: true, ..LeaderStatus::default() };
    for _ in 0..3 {
        table.record_heartbeat(now, &"peer".to_owned(), &"10.0.0.1:1".to_owned(), 1, status);
        now += round;
    }
    assert_eq!(table.live_count(now), 2);
}

#[rstest]
fn load_of_a_peer_counts_until_its_next_heartbeat(#[values(9, 85, 380)] nodes: usize) {
    let key = upstream_key("upstream");
    let load = HeartbeatLoad {
        upstream: key,
        prompt_tokens: 0,
        in_flight: 1,
        progressing: true,
        stalled: false,
    };
    let mut loads = LoadTracker::default();
    let mut now = Instant::now();
    let round = Duration::from_millis(50) * nodes.div_ceil(8) as u32;
    // Two rounds, in which the heartbeats of the peers arrive at equal intervals.
    for _ in 0..2 {
        for peer in 1..nodes {
            now += round / nodes as u32;
            loads.merge_peer_loads(now, &format!("n{peer}"), &[load]);
        }
    }
    assert_eq!(loads.in_flight(key) as usize, nodes - 1);
}

/// Time within which the death of the leader has to be noticed by those that may follow it.
const LEADER_DETECTION: Duration = Duration::from_millis(1_500);

/// In a large cluster, the nodes that may lead hear from each other often, and from the others
/// seldom.
#[rstest]
fn death_of_the_leader_of_a_large_cluster_is_noticed_in_time() {
    const NODES: usize = 195;
    const MAY_LEAD: usize = 10;
    let all = addresses(NODES);
    let start = Instant::now();
    let eligible =
        |at: usize| LeaderStatus { eligible: at < MAY_LEAD, is_leader: at == 0, defers: false };
    let mut tables: Vec<PeerTable> = (0..MAY_LEAD)
        .map(|_| {
            let mut table = PeerTable::default();
            table.set_registered(start, all.clone());
            for (at, address) in all.iter().enumerate() {
                table.record_heartbeat(start, &format!("n{at}"), address, 1, eligible(at));
            }
            table.set_eligible(start, true);
            table
        })
        .collect();
    let mut now = start;
    let died_at = start + Duration::from_secs(5);
    while now < died_at + LEADER_DETECTION {
        now += Duration::from_millis(50);
        for at in 0..MAY_LEAD {
            if at == 0 && now >= died_at {
                continue;
            }
            let mut to = tables[at].next_heartbeat_batch(&all[at]).addresses;
            to.extend(tables[at].next_leader_batch(now));
            for other in (0..MAY_LEAD).filter(|other| to.contains(&all[*other]) && *other != at) {
                tables[other].record_heartbeat(now, &format!("n{at}"), &all[at], 1, eligible(at));
            }
        }
        let own = LeaderStatus { eligible: true, ..LeaderStatus::default() };
        let successors = (1..MAY_LEAD).filter(|at| tables[*at].should_lead(now, &all[*at], own));
        if now < died_at {
            assert_eq!(successors.count(), 0, "after {:?}", now - start);
        }
    }
    let own = LeaderStatus { eligible: true, ..LeaderStatus::default() };
    let successors = (1..MAY_LEAD).filter(|at| tables[*at].should_lead(now, &all[*at], own));
    assert_eq!(successors.count(), 1);
}

/// Time after which a node no longer waits for others to be heard.
const LISTENING: Duration = Duration::from_secs(6);

#[rstest]
fn large_cluster_sends_half_of_the_heartbeats() {
    let sent = |nodes| {
        let (mut table, start) = (PeerTable::default(), Instant::now());
        table.set_registered(start, addresses(nodes));
        table.update_listening(start, &OWN.to_owned());
        table.update_listening(start + LISTENING, &OWN.to_owned());
        table.next_heartbeat_batch(&OWN.to_owned()).addresses.len()
    };
    assert_eq!((sent(9), sent(85), sent(195), sent(380)), (8, 8, 4, 4));
}
