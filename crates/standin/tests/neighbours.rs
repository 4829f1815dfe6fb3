//! Effect of an unresponsive instance on the other groups of its domain.

use {
    nix::sys::signal::Signal,
    rstest::rstest,
    std::time::Duration,
    tokio::time::{Instant, sleep},
    turmerictack_standin::{fleet::Fleet, fleet_config::FleetConfig},
};

/// Time for which the other group is observed, and the interval between observations.
const OBSERVATION_TIME: Duration = Duration::from_secs(6);
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(40);

/// Target: the default objective of 95%.
const OBJECTIVE_PERCENT: usize = 95;

/// An unresponsive member must not delay the health reports of other members: their group stays
/// open on every node.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn an_unresponsive_member_closes_no_other_group() {
    let mut fleet = Fleet::spawn(FleetConfig::default()).await.unwrap();
    assert!(fleet.await_open("assistant", 2, Duration::from_secs(20)).await);
    let (first_member, group, _) = fleet.first_group().await.unwrap();
    fleet.process_mut(&first_member).unwrap().signal(Signal::SIGSTOP).unwrap();
    sleep(Duration::from_secs(2)).await;
    let (mut observations, mut closed) = (0, 0);
    let deadline = Instant::now() + OBSERVATION_TIME;
    while Instant::now() < deadline {
        for name in fleet.running_nodes() {
            let status = fleet.status(&name).await.unwrap();
            let upstreams = status.services["assistant"].upstreams.iter();
            let others = upstreams.filter(|u| u.upstream != group && u.open).count();
            observations += 1;
            closed += usize::from(others == 0);
        }
        sleep(OBSERVATION_INTERVAL).await;
    }
    println!("{closed} of {observations} observations saw no other group open");
    assert!(closed * 100 <= observations * (100 - OBJECTIVE_PERCENT), "{closed} of {observations}");
}
