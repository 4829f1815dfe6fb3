//! Clusters in which many nodes lose their paths at once, and leaders that are cut off.

#![allow(clippy::unwrap_used, reason = "a poisoned lock fails the test")]

mod common;

use {
    common::path_network::{Fault, Network, PathNode, data_centre},
    rstest::rstest,
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    tokio::time::{Instant, sleep},
    turmerictack_model::ids::InstanceId,
    turmerictack_serving::{
        interfaces::StreamPath,
        membership::{LeaderStatus, PeerReach, PeerTable, heartbeat_round},
    },
};

/// Instances in a cluster.
const INSTANCES: usize = 60;

/// Interval between the dials of a node.
const DIAL_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which nodes dial.
const PLAY: Duration = Duration::from_secs(6);

struct Cluster {
    network: Arc<Network>,
    nodes: Vec<Arc<PathNode>>,
    /// What nodes announced in the last round of heartbeats.
    announced: Vec<(usize, PeerReach)>,
}

#[derive(Debug, Default)]
struct Tally {
    direct: usize,
    tunnelled: usize,
    failed: usize,
}

impl Cluster {
    fn open(size: usize) -> Self {
        let network = Arc::new(Network::default());
        let nodes: Vec<_> = (0..size).map(|at| Arc::new(PathNode::new(&network, at))).collect();
        for node in &nodes {
            for at in 0..INSTANCES {
                let instance = common::plain_instance(at);
                node.tables.directory.lock().insert(instance_id(at), instance);
            }
        }
        Self { network, nodes, announced: (0..size).map(|at| (at, PeerReach::default())).collect() }
    }

    fn cut(&self, is_cut: impl Fn(usize) -> bool, fault: Fault) {
        let ids: Vec<InstanceId> = (0..INSTANCES).map(instance_id).collect();
        let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
        for node in self.nodes.iter().filter(|n| is_cut(n.at)) {
            self.network.cut(node.at, &ids, fault);
        }
    }

    /// All nodes dial in turn for a while, and hear of each other once in a round of heartbeats.
    async fn play(&mut self, seconds: Duration) -> Tally {
        let round = heartbeat_round(self.nodes.len());
        let (start, mut heard_at) = (Instant::now(), Instant::now() - round);
        let (mut tally, mut turn) = (Tally::default(), 0);
        while start.elapsed() < seconds {
            if heard_at.elapsed() >= round {
                heard_at = Instant::now();
                self.nodes.iter().for_each(|n| n.hear(&self.announced));
                self.announced = self.nodes.iter().map(|n| (n.at, n.reach())).collect();
            }
            turn += 1;
            let dials: Vec<_> = self
                .nodes
                .iter()
                .map(|node| {
                    let (node, instance) =
                        (Arc::clone(node), instance_id((turn * 7 + node.at) % INSTANCES));
                    tokio::spawn(async move { node.dial(&instance).await })
                })
                .collect();
            sleep(DIAL_INTERVAL).await;
            for dial in dials {
                match dial.await.unwrap() {
                    Ok(StreamPath::Direct) => tally.direct += 1,
                    Ok(StreamPath::Tunnel) => tally.tunnelled += 1,
                    Err(_) => tally.failed += 1,
                }
            }
        }
        tally
    }
}

fn instance_id(at: usize) -> InstanceId {
    format!("w{at}")
}

/// All nodes but one lose their paths; once they have heard so of each other, each dial is served
/// by the one that is left.
#[rstest]
#[case::of_9(9)]
#[case::of_71(71)]
#[case::of_195(195)]
#[tokio::test(start_paused = true)]
async fn node_that_is_left_carries_the_tunnels_of_all_others(#[case] size: usize) {
    let mut cluster = Cluster::open(size);
    cluster.cut(|at| at != 0, Fault::Refuse);
    let settling = cluster.play(2 * heartbeat_round(size) + Duration::from_secs(1)).await;
    cluster.network.asked.lock().unwrap().clear();
    let tally = cluster.play(PLAY).await;
    eprintln!("{size} nodes: while they learn {settling:?}, then {tally:?}");
    assert_eq!(tally.failed, 0, "{tally:?}");
    assert_eq!(cluster.network.asked.lock().unwrap().keys().copied().collect::<Vec<_>>(), [0]);
    assert!(cluster.nodes.iter().all(|n| n.is_isolated() == (n.at != 0)));
}

/// One of three data centres is cut off: its tunnels spread over the nodes of the other two, from the
/// first dial on.
#[rstest]
#[case::of_9(9)]
#[case::of_71(71)]
#[case::of_195(195)]
#[tokio::test(start_paused = true)]
async fn tunnels_of_a_data_centre_spread_over_the_others(#[case] size: usize) {
    let mut cluster = Cluster::open(size);
    cluster.cut(|at| data_centre(at) == "dc-1", Fault::Refuse);
    let settling = cluster.play(2 * heartbeat_round(size) + Duration::from_secs(1)).await;
    cluster.network.asked.lock().unwrap().clear();
    let tally = cluster.play(PLAY).await;
    eprintln!("{size} nodes: while they learn {settling:?}, then {tally:?}");
    assert_eq!(settling.failed, 0, "{settling:?}");
    assert_eq!(tally.failed, 0, "{tally:?}");
    let asked: BTreeMap<usize, usize> = cluster.network.asked.lock().unwrap().clone();
    assert!(asked.keys().all(|at| data_centre(*at) != "dc-1"), "{asked:?}");
    let sound = size - size.div_ceil(3);
    let mean = tally.tunnelled / sound;
    assert!(asked.len() >= sound.min(INSTANCES) / 2, "{} of {sound} peers", asked.len());
    eprintln!("{size} nodes: most {:?}, mean {mean}", asked.values().max());
}

/// Peer table of node 0, given the status of the others.
fn peer_table(now: std::time::Instant, others: &[LeaderStatus]) -> PeerTable {
    let mut peers = PeerTable::default();
    peers.set_registered(now, common::addresses(others.len() + 1));
    for (at, status) in others.iter().enumerate() {
        let address = common::address(at + 1);
        peers.record_heartbeat(now, &format!("n{}", at + 1), &address, 1, *status);
    }
    peers
}

#[rstest]
fn isolated_leader_steps_down_if_another_node_can_lead() {
    let now = std::time::Instant::now() + Duration::from_secs(10);
    let follower = LeaderStatus { eligible: true, ..LeaderStatus::default() };
    let cut_follower = LeaderStatus { defers: true, ..follower };
    let ineligible = LeaderStatus { eligible: false, ..follower };
    let leader = LeaderStatus { is_leader: true, ..follower };
    let cut_leader = LeaderStatus { defers: true, ..leader };
    let should_lead = |own, others: &[LeaderStatus]| {
        peer_table(now, others).should_lead(now, &common::address(0), own)
    };
    assert!(should_lead(leader, &[follower, cut_follower]));
    assert!(!should_lead(cut_leader, &[follower, cut_follower]));
    assert!(should_lead(follower, &[cut_leader, cut_follower]));
    assert!(!should_lead(cut_follower, &[follower, follower]));
    // Where all are cut off, the leader stays, and so it does if nobody else may lead.
    assert!(should_lead(cut_leader, &[cut_follower, cut_follower]));
    assert!(!should_lead(cut_follower, &[cut_leader, cut_follower]));
    assert!(should_lead(cut_leader, &[ineligible]));
}
