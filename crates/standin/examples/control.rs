//! Measures the control overhead of idle nodes: `--example control -- --nodes 3,9,27`.

use {
    gumdrop::Options,
    std::{
        process::ExitCode,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
    turmerictack_report::status::ControlStatus,
    turmerictack_standin::{
        error::StandinError,
        fleet::Fleet,
        fleet_config::{FleetConfig, services_json},
        process::{Usage, usage},
    },
};

/// Measures the control overhead of fleets of several sizes without calls.
#[derive(Debug, Options)]
struct Arguments {
    /// print this help
    help: bool,
    /// numbers of nodes, separated by commas
    #[options(default = "3,9,27")]
    nodes: String,
    /// replica groups of four instances
    #[options(default = "2")]
    groups: usize,
    /// duration of the measurement in s
    #[options(default = "20")]
    seconds: u64,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    println!("per node and second: bytes and requests between nodes, platform requests, CPU usage");
    for nodes in arguments.nodes.split(',').filter_map(|n| n.parse().ok()) {
        if let Err(e) = measure(nodes, &arguments).await {
            eprintln!("control: {e}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

async fn measure(nodes: usize, arguments: &Arguments) -> Result<(), StandinError> {
    let groups = arguments.groups;
    let config = FleetConfig {
        nodes,
        groups,
        booking_services: 1,
        log_level: "info",
        ..FleetConfig::default()
    };
    let mut fleet = Fleet::spawn(config.clone()).await?;
    fleet.await_open("assistant", groups, Duration::from_secs(60)).await;
    sleep(Duration::from_secs(10)).await;
    let names = fleet.running_nodes();
    let before = read_usage(&mut fleet, &names).await?;
    sleep(Duration::from_secs(arguments.seconds)).await;
    let after = read_usage(&mut fleet, &names).await?;
    let count = (names.len() as u64 * arguments.seconds) as f64;
    let total = |f: &dyn Fn(&(ControlStatus, Usage)) -> f64| {
        after.iter().map(f).sum::<f64>() - before.iter().map(f).sum::<f64>()
    };
    let resident = after.iter().map(|(_, u)| u.resident_bytes).max().unwrap_or(0);
    println!(
        "nodes {nodes} groups {groups}: sent {:.0} received {:.0} requests {:.1} probes {:.1}, \
         platform reads {:.2} writes {:.3} watches {:.2}, CPU {:.2}%, resident {:.1} MB",
        total(&|(c, _)| c.peer_bytes_sent as f64) / count,
        total(&|(c, _)| c.peer_bytes_received as f64) / count,
        total(&|(c, _)| c.peer_requests as f64) / count,
        total(&|(c, _)| c.upstream_probes as f64) / count,
        total(&|(c, _)| c.platform_reads as f64) / count,
        total(&|(c, _)| c.platform_writes as f64) / count,
        total(&|(c, _)| c.platform_watches as f64) / count,
        100.0 * total(&|(_, u)| u.cpu_time.as_secs_f64()) / count,
        resident as f64 / 1e6,
    );
    let mut slowest = Duration::ZERO;
    for base in 1..=5 {
        fleet.apply(&services_json(&config, 40 + base as u32), base).await?;
        let accepted = Instant::now();
        await_revision(&fleet, &names, base + 1).await?;
        slowest = slowest.max(accepted.elapsed());
    }
    println!(
        "nodes {nodes}: configuration applied on all nodes after at most {slowest:?} (5 samples)"
    );
    Ok(())
}

async fn await_revision(
    fleet: &Fleet,
    names: &[String],
    revision: u64,
) -> Result<(), StandinError> {
    for name in names {
        while fleet.status(name).await?.revision < revision {
            sleep(Duration::from_millis(10)).await;
        }
    }
    Ok(())
}

async fn read_usage(
    fleet: &mut Fleet,
    names: &[String],
) -> Result<Vec<(ControlStatus, Usage)>, StandinError> {
    let mut readings = Vec::new();
    for name in names {
        let control = fleet.status(name).await?.control;
        readings.push((control, usage(fleet.process_mut(name)?.id())));
    }
    Ok(readings)
}
