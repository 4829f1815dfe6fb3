//! Dials directly and through peers, while paths or instances fail.

#![allow(clippy::unwrap_used, reason = "a poisoned lock fails the test")]

mod common;

use {
    common::path_network::{Fault, Network, PathNode},
    rstest::rstest,
    std::{io, sync::Arc, time::Duration},
    tokio::time::{Instant, sleep},
    turmerictack_serving::{
        interfaces::StreamPath,
        membership::PeerReach,
        paths::{DirectPath, PathLoss},
    },
};

/// Instances that the tables of each node list.
const INSTANCES: [&str; 4] = ["e0", "e1", "p0", "p1"];

/// Nodes of a small cluster, which hear of each other.
const NODES: usize = 9;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn open() -> (Arc<Network>, PathNode) {
    let network = Arc::new(Network::default());
    let node = PathNode::new(&network, 0);
    node.hear_sound(NODES);
    (network, node)
}

/// Path by which a connection opens, and the time that it takes.
async fn timed_dial(node: &PathNode, instance: &str) -> (io::Result<StreamPath>, Duration) {
    let start = Instant::now();
    let result = node.dial(instance).await;
    (result, start.elapsed())
}

async fn assert_dial(node: &PathNode, instance: &str, path: StreamPath, within: u64) {
    let (result, elapsed) = timed_dial(node, instance).await;
    assert_eq!(result.unwrap(), path, "{instance}");
    assert!(elapsed <= ms(within), "{instance} took {elapsed:?}");
}

fn state(node: &PathNode, instance: &str) -> DirectPath {
    node.tables.paths.lock().state(&instance.to_owned())
}

/// Lets time pass, during which peers go on sending heartbeats.
async fn pass(node: &PathNode, time: Duration) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        sleep(ms(50)).await;
        node.hear_sound(NODES);
    }
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn sound_paths_need_no_peer() {
    let (network, node) = open();
    for instance in INSTANCES {
        assert_dial(&node, instance, StreamPath::Direct, 1).await;
    }
    assert_eq!(network.asked_total(), 0);
}

#[rstest]
#[case::refused(Fault::Refuse, PathLoss::Refused, 5)]
#[case::reset(Fault::Reset, PathLoss::Refused, 5)]
#[case::hung(Fault::Hang, PathLoss::TimedOut, 105)]
#[tokio::test(start_paused = true)]
async fn cut_node_reaches_instances_through_peers_and_returns(
    #[case] fault: Fault,
    #[case] how: PathLoss,
    #[case] first_ms: u64,
) {
    let (network, node) = open();
    network.cut(0, &INSTANCES, fault);
    for _ in 0..2 {
        for instance in INSTANCES {
            assert_dial(&node, instance, StreamPath::Tunnel, first_ms).await;
        }
        pass(&node, ms(500)).await;
    }
    assert!(node.is_isolated());
    assert!(node.observer.lost.lock().unwrap().iter().all(|(_, h)| *h == how));
    assert_eq!(node.observer.lost.lock().unwrap().len(), INSTANCES.len());
    for instance in INSTANCES {
        assert_dial(&node, instance, StreamPath::Tunnel, 5).await;
    }
    network.mend(0);
    pass(&node, ms(500)).await;
    for instance in INSTANCES {
        node.dial(instance).await.unwrap();
        pass(&node, ms(50)).await;
        assert_dial(&node, instance, StreamPath::Direct, 1).await;
    }
    assert_eq!(node.observer.restored.lock().unwrap().len(), INSTANCES.len());
    assert!(!node.is_isolated());
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn isolation_ends_without_requests() {
    let (network, node) = open();
    network.cut(0, &INSTANCES, Fault::Refuse);
    for instance in INSTANCES {
        node.dial(instance).await.unwrap();
    }
    assert!(node.is_isolated());
    pass(&node, ms(3_100)).await;
    assert!(!node.is_isolated());
    pass(&node, ms(30_000)).await;
    assert!(node.tables.paths.lock().is_empty());
}

/// The node has lost one service of two; the other one is dialled directly all along.
#[rstest]
#[tokio::test(start_paused = true)]
async fn node_that_lost_one_service_uses_peers_for_that_one_only() {
    let (network, node) = open();
    network.cut(0, &["p0", "p1"], Fault::Refuse);
    for _ in 0..10 {
        for instance in ["p0", "p1"] {
            assert_dial(&node, instance, StreamPath::Tunnel, 5).await;
        }
        for instance in ["e0", "e1"] {
            assert_dial(&node, instance, StreamPath::Direct, 1).await;
        }
        pass(&node, ms(50)).await;
    }
    assert_eq!(network.asked_total(), 20);
}

/// Whether it is the node or the instances that are gone.
#[rstest]
#[case::one_service(&["p0", "p1"])]
#[case::most(&["e0", "p0", "p1"])]
#[case::all(&INSTANCES)]
#[tokio::test(start_paused = true)]
async fn instances_that_are_gone_say_nothing_about_the_node(
    #[case] gone: &[&str],
    #[values(Fault::Refuse, Fault::Reset, Fault::Hang)] fault: Fault,
) {
    let (network, node) = open();
    for instance in gone {
        network.fail_instance(instance, fault);
    }
    for _ in 0..5 {
        for instance in INSTANCES {
            assert_eq!(node.dial(instance).await.is_err(), gone.contains(&instance));
            node.hear_sound(NODES);
        }
    }
    assert!(!node.is_isolated());
    assert_eq!(node.tables.paths.lock().down_count(), 0);
    assert!(node.observer.lost.lock().unwrap().is_empty());
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn crashed_instance_costs_peers_little() {
    let (network, node) = open();
    network.fail_instance("p0", Fault::Refuse);
    let start = Instant::now();
    while start.elapsed() < ms(1_000) {
        let (result, elapsed) = timed_dial(&node, "p0").await;
        assert_eq!(result.unwrap_err().kind(), io::ErrorKind::ConnectionRefused);
        assert!(elapsed <= ms(5));
        pass(&node, ms(10)).await;
    }
    assert!(network.asked_total() <= 2 * 5, "{} tunnels", network.asked_total());
    assert!(node.refuses_connections("p0").await);
}

/// An instance that is silent for a second and goes on changes nothing.
#[rstest]
#[tokio::test(start_paused = true)]
async fn silent_instance_changes_nothing(#[values(0, 100, 150, 250, 400, 850, 950)] at: u64) {
    let (network, node) = open();
    let node = Arc::new(node);
    network.fail_instance("p0", Fault::Hang);
    let mut dials = Vec::new();
    for started in [0, at, at + 20] {
        let node = Arc::clone(&node);
        dials.push(tokio::spawn(async move {
            sleep(ms(started)).await;
            node.dial("p0").await
        }));
    }
    pass(&node, ms(950)).await;
    sleep(ms(49)).await;
    network.restore_instance("p0");
    node.hear_sound(NODES);
    for dial in dials {
        // The pool may have given up before.
        let _ = dial.await.unwrap();
    }
    node.hear_sound(NODES);
    assert_dial(&node, "p0", StreamPath::Direct, 1).await;
    sleep(ms(500)).await;
    assert_eq!(state(&node, "p0"), DirectPath::Open);
    assert!(node.observer.lost.lock().unwrap().is_empty());
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn lost_packet_changes_nothing() {
    let (network, node) = open();
    network.cut(0, &["p0"], Fault::LoseOne);
    assert_dial(&node, "p0", StreamPath::Tunnel, 105).await;
    pass(&node, ms(500)).await;
    assert_eq!(state(&node, "p0"), DirectPath::Unknown);
    assert_dial(&node, "p0", StreamPath::Direct, 1).await;
    assert!(node.observer.lost.lock().unwrap().is_empty());
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn slow_path_counts_as_open() {
    let (network, node) = open();
    network.delay(0, "p0", ms(300));
    assert_dial(&node, "p0", StreamPath::Tunnel, 105).await;
    pass(&node, ms(300)).await;
    assert_eq!(state(&node, "p0"), DirectPath::Open);
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn node_without_suitable_peers_dials_directly_only(
    #[values(Fault::Refuse, Fault::Reset)] fault: Fault,
) {
    let (network, node) = open();
    let lacking = PeerReach { is_leaving: false, lacks_paths: true };
    let leaving = PeerReach { is_leaving: true, lacks_paths: false };
    let peers: Vec<_> =
        (1..NODES).map(|at| (at, if at % 2 == 0 { lacking } else { leaving })).collect();
    node.hear(&peers);
    network.cut(0, &INSTANCES, fault);
    for instance in INSTANCES {
        let (result, elapsed) = timed_dial(&node, instance).await;
        assert!(result.is_err());
        assert!(elapsed <= ms(1));
    }
    assert_eq!(network.asked_total(), 0);
    assert!(!node.is_isolated());
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn lost_peer_is_replaced_by_another_one() {
    let (network, node) = open();
    network.cut(0, &INSTANCES, Fault::Refuse);
    node.dial("p0").await.unwrap();
    let first = *network.asked.lock().unwrap().keys().next().unwrap();
    network.lose_node(first);
    assert_dial(&node, "p0", StreamPath::Tunnel, 310).await;
    assert_dial(&node, "p0", StreamPath::Tunnel, 5).await;
}

/// A refusal that a peer contradicts is a lost path and no crash.
#[rstest]
#[case::cut_node(true)]
#[case::crash(false)]
#[tokio::test(start_paused = true)]
async fn refusal_counts_as_a_crash_only_if_peers_are_refused_too(#[case] is_cut: bool) {
    let (network, node) = open();
    if is_cut {
        network.cut(0, &INSTANCES, Fault::Refuse);
    } else {
        network.fail_instance("p0", Fault::Refuse);
    }
    assert_eq!(node.refuses_connections("p0").await, !is_cut);
    assert_eq!(matches!(state(&node, "p0"), DirectPath::Down { .. }), is_cut);
}

/// A peer that is cut off too, and doesn't know it yet, is no witness if another one gets through.
#[rstest]
#[tokio::test(start_paused = true)]
async fn peers_that_are_cut_too_confirm_no_crash() {
    let (network, node) = open();
    network.cut(0, &INSTANCES, Fault::Refuse);
    node.dial("p0").await.unwrap();
    let first = *network.asked.lock().unwrap().keys().next().unwrap();
    network.cut(first, &INSTANCES, Fault::Refuse);
    assert!(!node.refuses_connections("p0").await);
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn node_without_peers_takes_a_refusal_for_a_crash() {
    let network = Arc::new(Network::default());
    let node = PathNode::new(&network, 0);
    network.fail_instance("p0", Fault::Refuse);
    assert!(node.refuses_connections("p0").await);
    assert!(!node.refuses_connections("p1").await);
}

/// Guards against a peer that accepts and is silent, and so hides each crash for as long as it is asked
/// first.
#[rstest]
#[tokio::test(start_paused = true)]
async fn silent_witness_is_replaced_by_another_one() {
    let (network, node) = open();
    network.cut(0, &INSTANCES, Fault::Refuse);
    node.dial("p0").await.unwrap();
    let first = *network.asked.lock().unwrap().keys().next().unwrap();
    let (network, node) = open();
    network.lose_node(first);
    network.fail_instance("p0", Fault::Refuse);
    assert!(!node.refuses_connections("p0").await, "nothing is known yet");
    assert!(node.refuses_connections("p0").await);
}

/// Dropping a dial at any time leaves nothing behind.
#[rstest]
#[tokio::test(start_paused = true)]
async fn dropped_dials_leave_nothing_behind(#[values(0, 50, 101, 300)] after: u64) {
    let (network, node) = open();
    network.fail_instance("p0", Fault::Hang);
    let dial = tokio::time::timeout(ms(after), node.dial("p0")).await;
    assert!(dial.is_err());
    let dials: usize = network.direct_dials.lock().unwrap().values().sum();
    pass(&node, ms(5_000)).await;
    assert_eq!(network.direct_dials.lock().unwrap().values().sum::<usize>(), dials);
    assert_eq!(state(&node, "p0"), DirectPath::Unknown);
}
