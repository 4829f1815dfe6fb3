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
const DEATHS: usize = 3;

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
        let config =
            FleetConfig { groups: 2, spares: DEATHS, log_level: "info", ..FleetConfig::default() };
        let mut fleet = Fleet::spawn(config).await?;
        fleet.await_open("assistant", 2, Duration::from_secs(30)).await;
        fleet.await_open("bookings", 2, Duration::from_secs(30)).await;
        keyed(&fleet).await?;
        for _ in 0..DEATHS {
            death(&mut fleet, outage).await?;
        }
    }
    Ok(())
}

async fn keyed(fleet: &Fleet) -> Result<(), StandinError> {
    let caller = Caller::new(&caller_key("crew"))?;
    let calls = |event: &str| {
        let effects = fleet.effects("platform");
        effects.iter().filter(|e| e.event == event && e.field("key").starts_with("calls/")).count()
    };
    let node = &fleet.node("n1")?.callers;
    let mut times = Vec::new();
    for n in 0..KEYED_CALLS {
        let asked = Instant::now();
        let told = caller.book(node, &format!("k{n}"), "crew").await;
        times.push(asked.elapsed());
        if !told.is_answered() {
            println!("not answered: {told:?}");
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

async fn death(
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
    let node = fleet.node("n1")?.callers.clone();
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
    let died_ms = unix_millis(SystemTime::now());
    let died = Instant::now();
    fleet.process_mut(&victim)?.signal(Signal::SIGKILL)?;
    while fleet.await_open("assistant", 2, Duration::ZERO).await {
        sleep(Duration::from_millis(20)).await;
    }
    let closed = died.elapsed();
    if let Some((from, until)) = outage {
        sleep(from.saturating_sub(died.elapsed())).await;
        fleet.set_relay_mode("platform", RelayMode::Cut).await?;
        sleep(until.saturating_sub(died.elapsed())).await;
        fleet.set_relay_mode("platform", RelayMode::Open).await?;
        println!("platform outage from {from:?} to {until:?} after the death:");
    }
    fleet.await_open("assistant", 2, Duration::from_secs(40)).await;
    let again = died.elapsed();
    let _ = load.await;
    let after = fleet.burn().await?.downtime.remove("assistant").unwrap_or_default();
    let runs = fleet.effects(&leader).into_iter();
    let last =
        runs.filter(|e| e.event == "run" && e.field("group") == group).map(|e| e.at_ms).max();
    println!(
        "{victim} of {group} died: last call of the group started {} ms later, group closed on all nodes after \
         {closed:?}, open again after {again:?}; groups missing {} ms, instances stranded {} ms",
        last.unwrap_or(0).saturating_sub(died_ms),
        after.missing_group_ms - before.missing_group_ms,
        after.stranded_instance_ms - before.stranded_instance_ms,
    );
    Ok(())
}
