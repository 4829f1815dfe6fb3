//! Who leads group control in clusters of different sizes, while nodes start, end and lose datagrams.

#![allow(clippy::unwrap_used, reason = "a poisoned lock fails the test")]

mod common;

use {
    common::{
        address, addresses,
        election_cluster::{ElectionCluster, SAMPLE_INTERVAL, Sample},
        tables,
    },
    rstest::rstest,
    std::time::{Duration, Instant},
    turmerictack_serving::{
        heartbeat::NodeIdentity,
        membership::LeaderStatus,
        relay::{FactKind, source::RelayCandidate},
    },
};

/// Time after the start of all nodes within which one of them leads.
const ELECTION_TIME: Duration = Duration::from_secs(5);

/// Time for which nothing happens.
const CALM: Duration = Duration::from_secs(8);

/// Guards against leaders that replace each other in calm, which kept groups from being formed.
#[rstest]
#[case::of_9(9, 1)]
#[case::of_71(71, 1)]
#[case::of_195(195, 1)]
#[case::of_195(195, 2)]
#[case::of_380(380, 3)]
#[case::of_380(380, 4)]
#[tokio::test(start_paused = true)]
async fn lead_stays_with_one_node_in_calm(#[case] size: usize, #[case] seed: u64) {
    let mut cluster = ElectionCluster::start(size, seed);
    cluster.run_for(ELECTION_TIME).await;
    let leader = cluster.leader();
    cluster.run_for(CALM).await;
    let disputed = leader.map(|leader| cluster.disputed(ELECTION_TIME, leader));
    assert_eq!(disputed, Some(Vec::new()), "{leader:?}");
}

/// Time within which another node leads after the leader has died.
const TAKEOVER_TIME: Duration = Duration::from_millis(1_500);

/// Guards against groups that nobody controls after a crash of the leader, although others could.
#[rstest]
#[case::of_9(9, 1)]
#[case::of_71(71, 1)]
#[case::of_195(195, 1)]
#[case::of_195(195, 4)]
#[case::of_380(380, 1)]
#[tokio::test(start_paused = true)]
async fn another_node_takes_over_from_a_leader_that_died(#[case] size: usize, #[case] seed: u64) {
    let mut cluster = ElectionCluster::start(size, seed);
    cluster.run_for(ELECTION_TIME + CALM).await;
    let first = cluster.leader().unwrap();
    cluster.kill(first);
    cluster.run_for(TAKEOVER_TIME).await;
    let second = cluster.leader();
    assert!(second.is_some_and(|second| second != first), "{:?}", cluster.samples.last());
    let since = cluster.samples.last().unwrap().at;
    cluster.restart(first);
    cluster.run_for(CALM).await;
    assert_eq!(cluster.disputed(since, second.unwrap()), Vec::<&Sample>::new());
}

/// Share of lost datagrams that changes nothing, in a hundred.
const LOSS_PERCENT: u32 = 10;

#[rstest]
#[tokio::test(start_paused = true)]
async fn lead_stays_with_one_node_while_datagrams_are_lost() {
    let mut cluster = ElectionCluster::start(195, 1);
    cluster.run_for(ELECTION_TIME).await;
    let leader = cluster.leader();
    *cluster.network.loss_percent.lock().unwrap() = LOSS_PERCENT;
    cluster.run_for(CALM).await;
    let disputed = leader.map(|leader| cluster.disputed(ELECTION_TIME, leader));
    assert_eq!(disputed, Some(Vec::new()), "{leader:?}");
}

/// Guards against leaders that replace each other once they have begun to, as nodes that don't hear
/// each other make them.
#[rstest]
#[case::of_9(9)]
#[case::of_195(195)]
#[tokio::test(start_paused = true)]
async fn one_leader_is_left_after_a_partition(#[case] size: usize) {
    let mut cluster = ElectionCluster::start(size, 1);
    cluster.run_for(ELECTION_TIME).await;
    *cluster.network.separated.lock().unwrap() = (0..size / 2).map(address).collect();
    cluster.run_for(CALM).await;
    let leaders = cluster.samples.last().map(|s| s.leaders.len());
    assert_eq!(leaders, Some(2), "both parts have a leader");
    cluster.network.separated.lock().unwrap().clear();
    cluster.run_for(ELECTION_TIME).await;
    let (since, leader) = (cluster.samples.last().unwrap().at, cluster.leader().unwrap());
    cluster.run_for(CALM).await;
    assert_eq!(cluster.disputed(since, leader), Vec::<&Sample>::new());
}

/// All relays and the leader restart in turn; each time another node has the lead, and keeps it.
#[rstest]
#[tokio::test(start_paused = true)]
async fn lead_is_never_vacant_for_long_while_nodes_restart_in_turn() {
    const STRONG: usize = 15;
    let mut cluster = ElectionCluster::start(195, 2);
    cluster.run_for(ELECTION_TIME).await;
    for at in 0..STRONG {
        cluster.kill(at);
        cluster.run_for(Duration::from_millis(500)).await;
        cluster.restart(at);
        cluster.run_for(Duration::from_millis(1_500)).await;
    }
    let late = cluster.samples.iter().filter(|s| s.at >= ELECTION_TIME);
    let longest = late.fold((0, 0), |(longest, run): (u32, u32), sample| {
        let run = if sample.leaders.len() == 1 { 0 } else { run + 1 };
        (longest.max(run), run)
    });
    let vacant = SAMPLE_INTERVAL * longest.0;
    assert!(vacant <= TAKEOVER_TIME, "{vacant:?} without one leader");
}

/// Guards against a change of the leader whenever a stronger node of its data centre starts.
#[rstest]
#[case::leader(true)]
#[case::follower(false)]
fn leader_goes_on_watching_the_store_when_it_is_no_relay(#[case] is_leader: bool) {
    let (tables, now) = (tables(), Instant::now());
    let identity = NodeIdentity {
        node: "n0".to_owned(),
        address: address(0),
        incarnation: 1,
        data_centre: "dc-1".to_owned(),
        capacity: 120,
    };
    {
        let mut peers = tables.peers.lock();
        peers.set_registered(now, addresses(20));
        for at in 1..20 {
            let (node, address) = (format!("n{at}"), address(at));
            peers.record_heartbeat(now, &node, &address, 1, LeaderStatus::default());
            let data_centre = "dc-1".to_owned();
            peers.record_candidate(&node, RelayCandidate { address, data_centre, capacity: 500 });
        }
        peers.update_listening(now, &identity.address);
        assert!(peers.update_listening(now + Duration::from_secs(1), &identity.address));
    }
    tables.lifecycle.lock().is_leader = is_leader;
    let roles = tables.assign_relay_roles(now, FactKind::Instances, &identity);
    assert_eq!((roles.is_relay, roles.serves_others), (is_leader, false));
    assert_eq!(tables.watches_store(), is_leader);
}
