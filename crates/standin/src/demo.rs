//! Demonstration: a small fleet serves calls, loses a group member and recovers.

use {
    crate::{
        client::{CallResult, Caller},
        error::StandinError,
        fleet::Fleet,
        fleet_config::{FleetConfig, caller_key},
        model_output,
    },
    nix::sys::signal::Signal,
    std::time::Duration,
    tokio::time::sleep,
    turmerictack_model::rank::Rank,
};

/// Longest time for groups to form and upstreams to open.
const FORMATION_TIMEOUT: Duration = Duration::from_secs(20);

/// Prints the result of each check and counts the failures.
#[derive(Debug, Default)]
struct Checklist {
    failed: usize,
}

impl Checklist {
    fn check(&mut self, what: &str, passed: bool) {
        println!("  {} {what}", if passed { "ok    " } else { "FAILED" });
        self.failed += usize::from(!passed);
    }
}

/// Complete response that a caller must receive for a prompt.
fn expected(prompt: &str, chunks: u64) -> String {
    model_output::full_text(&Caller::messages(prompt).to_string(), chunks)
}

/// Runs the demonstration; returns whether all checks passed.
///
/// # Errors
/// If a process cannot be started or reached.
pub async fn run() -> Result<bool, StandinError> {
    let mut checklist = Checklist::default();
    println!(
        "starting the platform, 3 nodes, 2 groups of 4 engines, a spare engine, 2 booking services"
    );
    let config = FleetConfig { spares: 1, ..FleetConfig::default() };
    let mut fleet = Fleet::spawn(config).await?;
    checklist.check(
        "both groups are open on every node",
        fleet.await_open("assistant", 2, FORMATION_TIMEOUT).await,
    );
    checklist.check(
        "both booking services are open on every node",
        fleet.await_open("bookings", 2, FORMATION_TIMEOUT).await,
    );
    check_ranks(&fleet, &mut checklist).await?;
    check_booking(&fleet, &mut checklist).await?;
    check_member_loss(&mut fleet, &mut checklist).await?;
    println!("{}", if checklist.failed == 0 { "all checks passed" } else { "some checks FAILED" });
    Ok(checklist.failed == 0)
}

async fn check_ranks(fleet: &Fleet, checklist: &mut Checklist) -> Result<(), StandinError> {
    println!("one streaming chat call per rank, each through a different node");
    for (rank, node) in Rank::ALL.into_iter().zip(["n1", "n2", "n3"]) {
        let caller = Caller::new(&caller_key("member"))?;
        let prompt = format!("how deep to set a stone, {rank}");
        let address = &fleet.node(node)?.caller_address;
        let result = caller.chat(address, "assistant", &prompt, 24, rank).await;
        let is_complete = result.is_answered() && result.text == expected(&prompt, 24);
        let first = result.time_to_first_chunk.unwrap_or_default().as_millis();
        checklist.check(
            &format!("{rank} through {node}: complete response, first chunk after {first} ms"),
            is_complete,
        );
    }
    Ok(())
}

async fn check_booking(fleet: &Fleet, checklist: &mut Checklist) -> Result<(), StandinError> {
    println!("one booking, sent through two nodes with the same idempotency key");
    let caller = Caller::new(&caller_key("crew"))?;
    let first = caller.book(&fleet.node("n1")?.caller_address, "ford-7", "crew 4 to ford 7").await;
    let repeated =
        caller.book(&fleet.node("n2")?.caller_address, "ford-7", "crew 4 to ford 7").await;
    checklist
        .check("both responses are the same", first.is_answered() && first.text == repeated.text);
    let mut executed = 0;
    for name in ["booking-1", "booking-2"] {
        let effects = fleet.effects(name);
        executed += effects.iter().filter(|e| e.event == "executed").count();
    }
    checklist.check(&format!("the booking services executed it {executed} times"), executed == 1);
    Ok(())
}

async fn check_member_loss(
    fleet: &mut Fleet,
    checklist: &mut Checklist,
) -> Result<(), StandinError> {
    println!("killing a group member while both groups send responses");
    let caller = Caller::new(&caller_key("crew"))?;
    let mut streams = Vec::new();
    for n in 0..8 {
        let (caller, address) = (caller.clone(), fleet.node("n1")?.caller_address.clone());
        streams.push(tokio::spawn(async move {
            let prompt = format!("summary {n}");
            let result = caller.chat(&address, "assistant", &prompt, 150, Rank::Urgent).await;
            (prompt, result)
        }));
    }
    sleep(Duration::from_millis(500)).await;
    fleet.process_mut("eng-2")?.signal(Signal::SIGKILL)?;
    let mut results: Vec<(String, CallResult)> = Vec::new();
    for stream in streams {
        results.extend(stream.await.ok());
    }
    for (prompt, result) in results.iter().filter(|(_, t)| !t.is_answered()) {
        println!("    {prompt}: {:?} after {} chunks", result.code, result.chunks);
    }
    let complete =
        results.iter().filter(|(p, t)| t.is_answered() && t.text == expected(p, 150)).count();
    checklist.check(
        &format!("{complete} of 8 responses are complete, without gaps or repeats"),
        complete == 8,
    );
    checklist.check(
        "the group is open again with the spare engine",
        fleet.await_open("assistant", 2, FORMATION_TIMEOUT).await,
    );
    Ok(())
}
