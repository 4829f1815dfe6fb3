//! Measures the latency that a node adds: the same load directly on an engine and through a node.

use {
    gumdrop::Options,
    std::{process::ExitCode, time::Duration},
    turmerictack_standin::{
        error::StandinError,
        fleet::Fleet,
        fleet_config::FleetConfig,
        load::{LoadConfig, Report, run},
        process::usage,
    },
};

/// Sends the same load directly to the first group and through a node.
#[derive(Debug, Options)]
struct Arguments {
    /// print this help
    help: bool,
    /// calls per second
    #[options(default = "25")]
    rate: f64,
    /// chunks per response
    #[options(default = "280")]
    chunks: u64,
    /// duration of each load in s
    #[options(default = "10")]
    seconds: u64,
    /// time between chunks of an engine in ms
    #[options(default = "10")]
    between_ms: u64,
    /// number of replica groups
    #[options(default = "2")]
    groups: usize,
    /// seed of the arrival times
    #[options(default = "1")]
    seed: u64,
    /// print the results as JSON
    json: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    match measure(&Arguments::parse_args_default_or_exit()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("load: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn measure(arguments: &Arguments) -> Result<(), StandinError> {
    let config = FleetConfig {
        nodes: 1,
        groups: arguments.groups,
        booking_services: 1,
        between_tokens_ms: arguments.between_ms,
        in_flight: 4096,
        log_level: "info",
        ..FleetConfig::default()
    };
    let mut fleet = Fleet::spawn(config).await?;
    if !fleet.await_open("assistant", arguments.groups, Duration::from_secs(30)).await {
        return Err(StandinError::NotStarted { name: "groups".to_owned() });
    }
    // Concurrency limits start low and grow for 10 s.
    tokio::time::sleep(Duration::from_secs(11)).await;
    let load = LoadConfig {
        targets: vec![fleet.node("n1")?.caller_address.clone()],
        direct_group: None,
        rate: arguments.rate,
        chunks: arguments.chunks,
        duration: Duration::from_secs(arguments.seconds),
        shares: [1.0, 1.0, 1.0],
        seed: arguments.seed,
    };
    let (leader, group, epoch) = fleet.first_group().await?;
    let direct = LoadConfig {
        targets: vec![fleet.process_mut(&leader)?.public_address.clone()],
        direct_group: Some((group, epoch)),
        ..load.clone()
    };
    let direct_report = run(&direct).await?;
    let id = fleet.process_mut("n1")?.id();
    let before = usage(id);
    let node_report = run(&load).await?;
    let after = usage(id);
    if arguments.json {
        let lines = [serde_json::to_string(&direct_report), serde_json::to_string(&node_report)];
        lines.into_iter().flatten().for_each(|line| println!("{line}"));
        return Ok(());
    }
    print("straight", &direct_report);
    print("through", &node_report);
    let added = |a: u64, b: u64| (b as f64 - a as f64) / 1000.0;
    println!(
        "added latency in ms: first p50 {:.2} p99 {:.2}, between p50 {:.2} p99 {:.2}",
        added(direct_report.first_chunk.p50, node_report.first_chunk.p50),
        added(direct_report.first_chunk.p99, node_report.first_chunk.p99),
        added(direct_report.chunk_gap.p50, node_report.chunk_gap.p50),
        added(direct_report.chunk_gap.p99, node_report.chunk_gap.p99),
    );
    let cpu_seconds = (after.cpu_time - before.cpu_time).as_secs_f64();
    println!(
        "node: {cpu_seconds:.2} s of CPU time, {:.0} chunks and {:.1} calls per CPU second, \
         {:.1} MB resident",
        node_report.chunks as f64 / cpu_seconds,
        node_report.calls as f64 / cpu_seconds,
        after.resident_bytes as f64 / 1e6,
    );
    Ok(())
}

fn print(name: &str, report: &Report) {
    println!(
        "{name:<9} calls {} answered {} failed {} chunks/s {:.0} first ms p50 {:.2} p95 {:.2} \
         p99 {:.2} between ms p50 {:.2} p95 {:.2} p99 {:.2}",
        report.calls,
        report.answered,
        report.failed,
        report.chunks_per_second,
        report.first_chunk.p50 as f64 / 1000.0,
        report.first_chunk.p95 as f64 / 1000.0,
        report.first_chunk.p99 as f64 / 1000.0,
        report.chunk_gap.p50 as f64 / 1000.0,
        report.chunk_gap.p95 as f64 / 1000.0,
        report.chunk_gap.p99 as f64 / 1000.0,
    );
}
