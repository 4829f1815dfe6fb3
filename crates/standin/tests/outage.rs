//! What an outage of a third of the upstreams costs the rest.

use {
    rstest::rstest,
    std::time::Duration,
    tokio::time::sleep,
    turmerictack_model::rank::Rank,
    turmerictack_standin::{
        client::{CallResult, Caller},
        fleet::Fleet,
        fleet_config::{FleetConfig, caller_key},
        relay::RelayMode,
    },
};

/// Calls, and the time between them.
const CALLS: usize = 400;
const BETWEEN: Duration = Duration::from_millis(20);

/// Calls before the outage begins.
const BEFORE: usize = 100;

/// Target: retries are at most a tenth of fresh work, beside the few that a node has saved.
const RETRY_PERCENT: usize = 10;

/// Retries that a budget holds before any call has earned one.
const BURST: usize = 10;

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn retries_in_an_outage_of_a_third_stay_within_the_budget() {
    let plan = FleetConfig {
        nodes: 1,
        groups: 3,
        domains: 3,
        booking_services: 1,
        ..FleetConfig::default()
    };
    let mut fleet = Fleet::spawn(plan).await.unwrap();
    assert!(fleet.await_open("assistant", 3, Duration::from_secs(30)).await);
    let node = fleet.node("n1").unwrap().caller_address.clone();
    let caller = Caller::new(&caller_key("member")).unwrap();
    let mut calls = Vec::new();
    for number in 0..CALLS {
        if number == BEFORE {
            for engine in fleet.config.engines_in("fabric-1") {
                fleet.set_relay_mode(&engine, RelayMode::Cut).await.unwrap();
            }
        }
        let (caller, node) = (caller.clone(), node.clone());
        calls.push(tokio::spawn(async move {
            caller.chat(&node, "assistant", &format!("call {number}"), 20, Rank::Standard).await
        }));
        sleep(BETWEEN).await;
    }
    let mut told: Vec<CallResult> = Vec::new();
    for call in calls {
        told.push(call.await.unwrap());
    }
    let answered = told.iter().filter(|t| t.is_answered()).count();
    let effects = fleet.upstreams.keys().flat_map(|name| fleet.effects(name));
    let runs = effects.filter(|e| e.event == "run").count();
    for (number, told) in told.iter().enumerate().filter(|(_, t)| !t.is_answered()) {
        println!("call {number}: {:?} {:?} after {} chunks", told.outcome, told.code, told.chunks);
    }
    println!("{CALLS} calls, {answered} answered, {runs} runs upstream");
    assert!(runs <= CALLS + CALLS * RETRY_PERCENT / 100 + BURST, "{runs} runs");
    assert!(answered * 100 >= CALLS * 95, "{answered} answered");
}
