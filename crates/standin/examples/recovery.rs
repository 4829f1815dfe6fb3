//! Measures platform accesses of calls with idempotency keys, and recovery times after a group
//! member dies, with and without a platform outage.

use {
    nix::sys::signal::Signal,
    std::{
        process::ExitCode,
        time::{Duration, Instant, SystemTime},
    },
    tokio::time::sleep,
    turmerictack_model::{clock::unix_millis, rank::Rank},
    turmerictack_standin::{
        client::Caller,
        error::StandinError,
        fleet::Fleet,
        fleet_config::{FleetConfig, caller_key},
        relay::RelayMode,
    },
};

const KEYED_CALLS: usize = 100;
const MEMBER_FAILURES: usize = 3;

/// Start and end of the platform outage, from the death of the member.
const OUTAGE: (Duration, Duration) = (Duration::from_millis(1200), Duration::from_millis(2700));

#[tokio::main]
async fn main() -> ExitCode {
    match measure().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("recovery: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn measure() -> Result<(), StandinError> {
    for outage in [None, Some(OUTAGE)] {
        let config = FleetConfig {
            groups: 2,
            spares: MEMBER_FAILURES,
            log_level: "info",
            ..FleetConfig::default()
        };
        let mut fleet = Fleet::spawn(config).await?;
        fleet.await_open("assistant", 2, Duration::from_secs(30)).await;
        fleet.await_open("bookings", 2, Duration::from_secs(30)).await;
        measure_keyed_calls(&fleet).await?;
        for _ in 0..MEMBER_FAILURES {
            measure_member_failure(&mut fleet, outage).await?;
        }
    }
    Ok(())
}

async fn measure_keyed_calls(fleet: &Fleet) -> Result<(), StandinError> {
    let caller = Caller::new(&caller_key("crew"))?;
    let calls = |event: &str| {
        let effects = fleet.effects("platform");
        effects.iter().filter(|e| e.event == event && e.field("key").starts_with("calls/")).count()
    };
    let node = &fleet.node("n1")?.caller_address;
    let mut times = Vec::new();
    for n in 0..KEYED_CALLS {
        let sent_at = Instant::now();
        let result = caller.book(node, &format!("k{n}"), "crew").await;
        times.push(sent_at.elapsed());
        if !result.is_answered() {
            println!("not answered: {result:?}");
        }
    }
    times.sort_unstable();
    println!(
        "{KEYED_CALLS} keyed calls: {} record writes, {} record reads; median {:?}",
        calls("write"),
        calls("read"),
        times[times.len() / 2],
    );
    Ok(())
}

async fn measure_member_failure(
    fleet: &mut Fleet,
    outage: Option<(Duration, Duration)>,
) -> Result<(), StandinError> {
    let (leader, group, _) = fleet.first_group().await?;
    let members = fleet
        .effects(&leader)
        .into_iter()
        .rfind(|e| e.event == "joined" && e.field("group") == group);
    let members = members.map(|e| e.field("members").to_owned()).unwrap_or_default();
    let victim = members.split(',').next_back().unwrap_or_default().to_owned();
    let caller = Caller::new(&caller_key("member"))?;
    let node = fleet.node("n1")?.caller_address.clone();
    let load = tokio::spawn(async move {
        for n in 0..800 {
            let (caller, node) = (caller.clone(), node.clone());
            tokio::spawn(async move {
                caller.chat(&node, "assistant", &format!("d{n}"), 3, Rank::Urgent).await
            });
            sleep(Duration::from_millis(10)).await;
        }
    });
    sleep(Duration::from_millis(500)).await;
    let before = fleet.burn().await?.downtime.remove("assistant").unwrap_or_default();
    let killed_at_ms = unix_millis(SystemTime::now());
    let killed_at = Instant::now();
    fleet.process_mut(&victim)?.signal(Signal::SIGKILL)?;
    while fleet.await_open("assistant", 2, Duration::ZERO).await {
        sleep(Duration::from_millis(20)).await;
    }
    let closed_after = killed_at.elapsed();
    if let Some((from, until)) = outage {
        sleep(from.saturating_sub(killed_at.elapsed())).await;
        fleet.set_relay_mode("platform", RelayMode::Cut).await?;
        sleep(until.saturating_sub(killed_at.elapsed())).await;
        fleet.set_relay_mode("platform", RelayMode::Open).await?;
        println!("platform outage from {from:?} to {until:?} after the death:");
    }
    fleet.await_open("assistant", 2, Duration::from_secs(40)).await;
    let reopened_after = killed_at.elapsed();
    let _ = load.await;
    let after = fleet.burn().await?.downtime.remove("assistant").unwrap_or_default();
    let runs = fleet.effects(&leader).into_iter();
    let last_run_ms =
        runs.filter(|e| e.event == "run" && e.field("group") == group).map(|e| e.at_ms).max();
    println!(
        "{victim} of {group} died: last call of the group started {} ms later, closed on all nodes \
         after {closed_after:?}, open again after {reopened_after:?}; groups missing {} ms, \
         instances stranded {} ms",
        last_run_ms.unwrap_or(0).saturating_sub(killed_at_ms),
        after.missing_group_ms - before.missing_group_ms,
        after.stranded_instance_ms - before.stranded_instance_ms,
    );
    Ok(())
}
