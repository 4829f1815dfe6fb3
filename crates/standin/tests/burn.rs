//! The report of error-budget burn while nodes stop and restart.

use {
    nix::sys::signal::Signal,
    rstest::rstest,
    std::{fs, time::Duration},
    tokio::process::Command,
    turmerictack_model::rank::Rank,
    turmerictack_report::snapshot::Snapshot,
    turmerictack_standin::{
        client::Caller,
        fleet::{Fleet, OPERATOR_KEY},
        fleet_config::{FleetConfig, caller_key},
    },
};

/// Returns the report of `turmerictack burn` on the nodes with these operator addresses.
async fn report(fleet: &Fleet, addresses: &[String]) -> Snapshot {
    let key_file = fleet.scratch_file("operator.key");
    fs::write(&key_file, OPERATOR_KEY).expect("the directory is writable");
    let output = Command::new(fleet.program("turmerictack"))
        .args(["burn", "--json", "--nodes", &addresses.join(",")])
        .arg("--key-file")
        .arg(&key_file)
        .output()
        .await
        .expect("the tool runs");
    serde_json::from_slice(&output.stdout).expect("the tool prints a report")
}

/// Completes `count` urgent chat calls through a node.
async fn complete_chats(fleet: &Fleet, node: &str, count: usize) {
    let caller = Caller::new(&caller_key("member")).expect("the caller is created");
    let address = &fleet.node(node).expect("the node is known").caller_address;
    for n in 0..count {
        let prompt = format!("{node} {n}");
        let result = caller.chat(address, "assistant", &prompt, 3, Rank::Urgent).await;
        assert!(result.is_answered(), "{result:?}");
    }
}

/// Returns the number of calls that a report counts in the last hour.
fn calls_in_last_hour(report: &Snapshot) -> u64 {
    let windows = report.rows.iter().flat_map(|row| &row.windows);
    windows.filter(|w| w.seconds == 3600).map(|w| w.total).sum()
}

/// Each call is counted once. A node that does not respond is listed as missing, and counts from
/// zero after a restart.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn the_report_sums_responding_nodes_and_lists_missing_ones() {
    let config = FleetConfig { nodes: 3, groups: 1, booking_services: 1, ..FleetConfig::default() };
    let mut fleet = Fleet::spawn(config).await.unwrap();
    assert!(fleet.await_open("assistant", 1, Duration::from_secs(30)).await);
    let addresses: Vec<String> = fleet.nodes.values().map(|n| n.operator_address.clone()).collect();
    complete_chats(&fleet, "n1", 6).await;
    complete_chats(&fleet, "n2", 4).await;
    let complete = report(&fleet, &addresses).await;
    assert_eq!(
        (calls_in_last_hour(&complete), complete.nodes.len(), complete.missing.len()),
        (10, 3, 0)
    );
    assert!(complete.downtime.contains_key("assistant"));

    fleet.process_mut("n2").unwrap().signal(Signal::SIGKILL).unwrap();
    fleet.node_mut("n2").unwrap().process = None;
    complete_chats(&fleet, "n3", 2).await;
    let partial = report(&fleet, &addresses).await;
    assert_eq!(partial.missing, [addresses[1].clone()]);
    assert_eq!(calls_in_last_hour(&partial), 8);

    fleet.start_node("n2").unwrap();
    assert!(fleet.await_open("assistant", 1, Duration::from_secs(30)).await);
    complete_chats(&fleet, "n2", 3).await;
    let restored = report(&fleet, &addresses).await;
    assert_eq!((calls_in_last_hour(&restored), restored.missing.len()), (11, 0));
}
