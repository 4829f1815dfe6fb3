//! Measures calls with idempotency keys against a platform with limited write throughput.

use {
    gumdrop::Options,
    hdrhistogram::Histogram,
    std::{process::ExitCode, time::Duration},
    tokio::{
        sync::mpsc,
        time::{Instant, sleep_until},
    },
    turmerictack_standin::{
        client::{CallResult, Caller},
        error::StandinError,
        fleet::Fleet,
        fleet_config::{FleetConfig, caller_key},
    },
};

/// Sends bookings at several rates, each with its own idempotency key.
#[derive(Debug, Options)]
struct Arguments {
    /// print this help
    help: bool,
    /// calls per second, separated by commas
    #[options(default = "50,100,150,200")]
    rates: String,
    /// writes per second that the platform accepts
    #[options(default = "300")]
    writes: u32,
    /// duration of each rate in s
    #[options(default = "6")]
    seconds: u64,
}

#[tokio::main]
async fn main() -> ExitCode {
    match measure(&Arguments::parse_args_default_or_exit()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("keyed: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn measure(arguments: &Arguments) -> Result<(), StandinError> {
    let writes_per_second = Some(arguments.writes);
    let config = FleetConfig {
        groups: 0,
        booking_services: 3,
        in_flight: 512,
        writes_per_second,
        log_level: "error",
        ..FleetConfig::default()
    };
    let fleet = Fleet::spawn(config).await?;
    fleet.await_open("bookings", 3, Duration::from_secs(30)).await;
    // Concurrency limits start low and grow for 10 s.
    tokio::time::sleep(Duration::from_secs(11)).await;
    println!("offered/s  answered/s  not-run/s  other/s  ms p50  ms p99  writes/call");
    for rate in arguments.rates.split(',').filter_map(|r| r.parse::<u64>().ok()) {
        let before = writes(&fleet);
        let results = book(&fleet, rate, arguments.seconds).await?;
        let written = writes(&fleet) - before;
        print(rate, arguments.seconds, &results, written);
    }
    Ok(())
}

/// Sends bookings at a constant rate through the nodes in turn.
async fn book(
    fleet: &Fleet,
    rate: u64,
    seconds: u64,
) -> Result<Vec<(CallResult, Duration)>, StandinError> {
    let caller = Caller::new(&caller_key("crew"))?;
    let nodes: Vec<String> = fleet.nodes.values().map(|n| n.caller_address.clone()).collect();
    let (tx, mut rx) = mpsc::unbounded_channel();
    let started = Instant::now();
    for number in 0..rate * seconds {
        sleep_until(started + Duration::from_secs_f64(number as f64 / rate as f64)).await;
        let (caller, tx) = (caller.clone(), tx.clone());
        let node = nodes[number as usize % nodes.len()].clone();
        let key = format!("{rate}-{number}");
        tokio::spawn(async move {
            let sent_at = Instant::now();
            let result = caller.book(&node, &key, "crew").await;
            let _ = tx.send((result, sent_at.elapsed()));
        });
    }
    drop(tx);
    let mut samples = Vec::new();
    while let Some(sample) = rx.recv().await {
        samples.push(sample);
    }
    Ok(samples)
}

fn print(rate: u64, seconds: u64, results: &[(CallResult, Duration)], written: usize) {
    let answered: Vec<&(CallResult, Duration)> =
        results.iter().filter(|(t, _)| t.is_answered()).collect();
    let not_run = results.iter().filter(|(t, _)| t.is_not_run()).count();
    let mut times = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).ok();
    for (_, time) in &answered {
        if let Some(times) = &mut times {
            times.saturating_record(time.as_micros() as u64);
        }
    }
    let ms = |q| times.as_ref().map_or(0.0, |t| t.value_at_quantile(q) as f64 / 1000.0);
    let per_second = |count: usize| count as f64 / seconds as f64;
    println!(
        "{rate:9}  {:10.1}  {:9.1}  {:7.1}  {:6.1}  {:6.1}  {:.2}",
        per_second(answered.len()),
        per_second(not_run),
        per_second(results.len() - answered.len() - not_run),
        ms(0.5),
        ms(0.99),
        written as f64 / results.len() as f64
    );
}

/// Number of call record writes that the platform received.
fn writes(fleet: &Fleet) -> usize {
    let effects = fleet.effects("platform").into_iter();
    effects.filter(|e| e.event == "write" && e.field("key").starts_with("calls/")).count()
}
