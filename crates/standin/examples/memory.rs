//! Measures the memory of a node by the number of open streams and queued calls.

use {
    std::{process::ExitCode, time::Duration},
    tokio::{task::JoinHandle, time::sleep},
    turmerictack_model::rank::Rank,
    turmerictack_standin::{
        client::{CallResult, Caller},
        error::StandinError,
        fleet::Fleet,
        fleet_config::{FleetConfig, caller_key},
        process::usage,
    },
};

/// Streams opened between two measurements.
const STREAMS_PER_STEP: usize = 100;

/// Measurements after the first.
const STEPS: usize = 5;

/// Chunks per response, so many that no stream ends during the measurement.
const CHUNKS: u64 = 600;

#[tokio::main]
async fn main() -> ExitCode {
    match measure().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("memory: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn measure() -> Result<(), StandinError> {
    let config = FleetConfig {
        nodes: 1,
        groups: 2,
        booking_services: 1,
        between_tokens_ms: 100,
        in_flight: 4096,
        log_level: "error",
        ..FleetConfig::default()
    };
    let mut fleet = Fleet::spawn(config).await?;
    fleet.await_open("assistant", 2, Duration::from_secs(30)).await;
    // Concurrency limits start low and grow for 10 s.
    sleep(Duration::from_secs(11)).await;
    let node = fleet.node("n1")?.caller_address.clone();
    let mut streams: Vec<JoinHandle<CallResult>> = Vec::new();
    for step in 0..=STEPS {
        let status = fleet.status("n1").await?;
        let service = status.services.get("assistant");
        let running: usize = service.iter().flat_map(|s| s.in_flight.values()).sum();
        let waiting: usize = service.iter().flat_map(|s| s.waiting.values()).sum();
        let resident = usage(fleet.process_mut("n1")?.id()).resident_bytes;
        println!(
            "sent {:4} running {running:4} waiting {waiting:4} resident {:.1} MB",
            step * STREAMS_PER_STEP,
            resident as f64 / 1e6
        );
        for number in 0..STREAMS_PER_STEP {
            let (caller, node) = (Caller::new(&caller_key("member"))?, node.clone());
            let prompt = format!("stream {step} {number}");
            streams.push(tokio::spawn(async move {
                caller.chat(&node, "assistant", &prompt, CHUNKS, Rank::Standard).await
            }));
            sleep(Duration::from_millis(10)).await;
        }
        sleep(Duration::from_secs(3)).await;
    }
    streams.iter().for_each(JoinHandle::abort);
    Ok(())
}
