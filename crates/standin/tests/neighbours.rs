//! What a silent instance costs the other groups of its domain.

use {
    nix::sys::signal::Signal,
    rstest::rstest,
    std::time::Duration,
    tokio::time::{Instant, sleep},
    turmerictack_standin::{fleet::Fleet, fleet_config::FleetConfig},
};

/// Time for which the neighbour is watched, and between looks.
const WATCH: Duration = Duration::from_secs(6);
const LOOK: Duration = Duration::from_millis(40);

/// Target: the default objective, 95 in 100.
const OBJECTIVE_PERCENT: usize = 95;

/// A member that says nothing holds up no evidence of others: their group stays open everywhere.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_member_closes_no_other_group() {
    let mut fleet = Fleet::spawn(FleetConfig::default()).await.unwrap();
    assert!(fleet.await_open("assistant", 2, Duration::from_secs(20)).await);
    let (leader, group, _) = fleet.first_group().await.unwrap();
    fleet.process_mut(&leader).unwrap().signal(Signal::SIGSTOP).unwrap();
    sleep(Duration::from_secs(2)).await;
    let (mut looks, mut closed) = (0, 0);
    let until = Instant::now() + WATCH;
    while Instant::now() < until {
        for name in fleet.running_nodes() {
            let status = fleet.status(&name).await.unwrap();
            let upstreams = status.services["assistant"].upstreams.iter();
            let others = upstreams.filter(|u| u.upstream != group && u.open).count();
            looks += 1;
            closed += usize::from(others == 0);
        }
        sleep(LOOK).await;
    }
    println!("{closed} of {looks} looks saw no other group open");
    assert!(closed * 100 <= looks * (100 - OBJECTIVE_PERCENT), "{closed} of {looks}");
}
