//! The burn report when nodes go and come back.

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

/// The report that `turmerictack burn` gives of these operators' addresses.
async fn report(fleet: &Fleet, addresses: &[String]) -> Snapshot {
    let key_file = fleet.scratch_file("operator.key");
    fs::write(&key_file, OPERATOR_KEY).expect("the folder can be written");
    let output = Command::new(fleet.program("turmerictack"))
        .args(["burn", "--json", "--nodes", &addresses.join(",")])
        .arg("--key-file")
        .arg(&key_file)
        .output()
        .await
        .expect("the tool runs");
    serde_json::from_slice(&output.stdout).expect("the tool prints a report")
}

/// Serves so many urgent chats through a node.
async fn serve(fleet: &Fleet, node: &str, count: usize) {
    let caller = Caller::new(&caller_key("member")).expect("a caller opens");
    let address = &fleet.node(node).expect("the node is known").caller_address;
    for n in 0..count {
        let prompt = format!("{node} {n}");
        let told = caller.chat(address, "assistant", &prompt, 3, Rank::Urgent).await;
        assert!(told.is_answered(), "{told:?}");
    }
}

/// Calls of the last hour that a report counts.
fn calls(report: &Snapshot) -> u64 {
    let windows = report.rows.iter().flat_map(|row| &row.windows);
    windows.filter(|w| w.seconds == 3600).map(|w| w.total).sum()
}

/// Each call is counted once; a node that is away is named, and counts again from its start.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn the_report_adds_up_nodes_that_answer_and_names_those_that_do_not() {
    let plan = FleetConfig { nodes: 3, groups: 1, booking_services: 1, ..FleetConfig::default() };
    let mut fleet = Fleet::spawn(plan).await.unwrap();
    assert!(fleet.await_open("assistant", 1, Duration::from_secs(30)).await);
    let addresses: Vec<String> = fleet.nodes.values().map(|n| n.operator_address.clone()).collect();
    serve(&fleet, "n1", 6).await;
    serve(&fleet, "n2", 4).await;
    let whole = report(&fleet, &addresses).await;
    assert_eq!((calls(&whole), whole.nodes.len(), whole.missing.len()), (10, 3, 0));
    assert!(whole.downtime.contains_key("assistant"));

    fleet.process_mut("n2").unwrap().signal(Signal::SIGKILL).unwrap();
    fleet.node_mut("n2").unwrap().process = None;
    serve(&fleet, "n3", 2).await;
    let without = report(&fleet, &addresses).await;
    assert_eq!(without.missing, [addresses[1].clone()]);
    assert_eq!(calls(&without), 8);

    fleet.start_node("n2").unwrap();
    assert!(fleet.await_open("assistant", 1, Duration::from_secs(30)).await);
    serve(&fleet, "n2", 3).await;
    let back = report(&fleet, &addresses).await;
    assert_eq!((calls(&back), back.missing.len()), (11, 0));
}
