//! Retries while a third of the upstreams is unreachable.

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

/// Number of calls, and the time between their starts.
const CALLS: usize = 400;
const CALL_INTERVAL: Duration = Duration::from_millis(20);

/// Number of calls that start before the outage begins.
const CALLS_BEFORE_OUTAGE: usize = 100;

/// Target: retries are at most 10% of the calls, plus the initial balance of the retry budget.
const RETRY_PERCENT: usize = 10;

/// Retries that the budget allows before any call has added to it.
const INITIAL_BALANCE: usize = 10;

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn retries_stay_within_the_budget_when_a_third_of_the_upstreams_is_lost() {
    let config = FleetConfig {
        nodes: 1,
        groups: 3,
        domains: 3,
        booking_services: 1,
        ..FleetConfig::default()
    };
    let mut fleet = Fleet::spawn(config).await.unwrap();
    assert!(fleet.await_open("assistant", 3, Duration::from_secs(30)).await);
    let node = fleet.node("n1").unwrap().caller_address.clone();
    let caller = Caller::new(&caller_key("member")).unwrap();
    let mut calls = Vec::new();
    for number in 0..CALLS {
        if number == CALLS_BEFORE_OUTAGE {
            for engine in fleet.config.engines_in("fabric-1") {
                fleet.set_relay_mode(&engine, RelayMode::Cut).await.unwrap();
            }
        }
        let (caller, node) = (caller.clone(), node.clone());
        calls.push(tokio::spawn(async move {
            caller.chat(&node, "assistant", &format!("call {number}"), 20, Rank::Standard).await
        }));
        sleep(CALL_INTERVAL).await;
    }
    let mut results: Vec<CallResult> = Vec::new();
    for call in calls {
        results.push(call.await.unwrap());
    }
    let answered = results.iter().filter(|r| r.is_answered()).count();
    let effects = fleet.upstreams.keys().flat_map(|name| fleet.effects(name));
    let runs = effects.filter(|e| e.event == "run").count();
    for (number, result) in results.iter().enumerate().filter(|(_, r)| !r.is_answered()) {
        println!(
            "call {number}: {:?} {:?} after {} chunks",
            result.outcome, result.code, result.chunks
        );
    }
    println!("{CALLS} calls, {answered} answered, {runs} upstream executions");
    assert!(runs <= CALLS + CALLS * RETRY_PERCENT / 100 + INITIAL_BALANCE, "{runs} executions");
    assert!(answered * 100 >= CALLS * 95, "{answered} answered");
}
