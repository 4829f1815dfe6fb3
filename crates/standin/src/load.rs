//! Open-loop load generator: calls arrive at random times whether or not earlier calls have ended.

use {
    crate::{
        client::{CallResult, Caller},
        error::StandinError,
        fleet_config::caller_key,
    },
    hdrhistogram::Histogram,
    rand::{RngExt as _, SeedableRng as _},
    rand_pcg::Pcg64Mcg,
    serde::Serialize,
    std::time::Duration,
    tokio::{sync::mpsc, time::Instant},
    turmerictack_model::{ids::Address, rank::Rank},
};

/// Largest latency that the histograms resolve, in µs.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Configuration of a load.
#[derive(Clone, Debug)]
pub struct LoadConfig {
    /// Addresses that receive the calls in turn: nodes, or the first engine of a group.
    pub targets: Vec<Address>,
    /// Group and epoch of the engine, if calls go directly to one.
    pub direct_group: Option<(String, u64)>,
    /// Mean rate in calls per second.
    pub rate: f64,
    /// Chunks per response.
    pub chunks: u64,
    /// Time during which calls arrive.
    pub duration: Duration,
    /// Relative shares of urgent, standard and batch calls.
    pub shares: [f64; 3],
    /// Seed of the arrival times and ranks.
    pub seed: u64,
}

/// Percentiles in µs.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50: u64,
    /// 95th percentile.
    pub p95: u64,
    /// 99th percentile.
    pub p99: u64,
}

impl Percentiles {
    fn of(histogram: &Histogram<u64>) -> Self {
        let at = |q| histogram.value_at_quantile(q);
        Self { p50: at(0.5), p95: at(0.95), p99: at(0.99) }
    }
}

/// Result of a load.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Calls sent.
    pub calls: u64,
    /// Calls with a complete response.
    pub answered: u64,
    /// Calls that were rejected or not completed.
    pub failed: u64,
    /// Chunks received.
    pub chunks: u64,
    /// Chunks per second until the last call ended.
    pub chunks_per_second: f64,
    /// Time to the first chunk of answered calls.
    #[serde(rename = "first")]
    pub first_chunk: Percentiles,
    /// Time between consecutive chunks of answered calls.
    #[serde(rename = "between")]
    pub chunk_gap: Percentiles,
}

/// Sends all calls of a load and waits until they have ended.
///
/// # Errors
/// [`StandinError::Http`] if the client cannot be created.
pub async fn run(config: &LoadConfig) -> Result<Report, StandinError> {
    let mut rng = Pcg64Mcg::seed_from_u64(config.seed);
    let caller = Caller::new(&caller_key("member"))?;
    let (tx, mut rx) = mpsc::unbounded_channel();
    let started = Instant::now();
    let mut due = Duration::ZERO;
    let mut sent = 0_usize;
    while due < config.duration {
        tokio::time::sleep_until(started + due).await;
        let target = config.targets[sent % config.targets.len()].clone();
        let (caller, direct_group, chunks) =
            (caller.clone(), config.direct_group.clone(), config.chunks);
        let rank = pick_rank(&mut rng, config.shares);
        let (tx, prompt) = (tx.clone(), format!("load {sent}"));
        tokio::spawn(async move {
            let result = match direct_group {
                Some((group, epoch)) => {
                    caller.chat_direct(&target, &group, epoch, &prompt, chunks).await
                }
                None => caller.chat(&target, "assistant", &prompt, chunks, rank).await,
            };
            let _ = tx.send(result);
        });
        sent += 1;
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        due += Duration::from_secs_f64(-uniform.ln() / config.rate);
    }
    drop(tx);
    let mut results = Vec::with_capacity(sent);
    while let Some(result) = rx.recv().await {
        results.push(result);
    }
    Ok(report(&results, started.elapsed()))
}

fn pick_rank(rng: &mut Pcg64Mcg, shares: [f64; 3]) -> Rank {
    let mut position = rng.random_range(0.0..shares.iter().sum::<f64>());
    for (rank, share) in Rank::ALL.into_iter().zip(shares) {
        if position < share {
            return rank;
        }
        position -= share;
    }
    Rank::Batch
}

fn report(results: &[CallResult], time: Duration) -> Report {
    let empty = || Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3).ok();
    let (Some(mut first_chunk), Some(mut chunk_gap)) = (empty(), empty()) else {
        return Report::default();
    };
    let micros = |d: Duration| u64::try_from(d.as_micros()).unwrap_or(u64::MAX);
    for result in results.iter().filter(|t| t.is_answered()) {
        first_chunk.saturating_record(micros(result.time_to_first_chunk.unwrap_or_default()));
        result.chunk_gaps.iter().for_each(|gap| chunk_gap.saturating_record(micros(*gap)));
    }
    let chunks: u64 = results.iter().map(|t| t.chunks).sum();
    let answered = results.iter().filter(|t| t.is_answered()).count() as u64;
    Report {
        calls: results.len() as u64,
        answered,
        failed: results.len() as u64 - answered,
        chunks,
        chunks_per_second: chunks as f64 / time.as_secs_f64(),
        first_chunk: Percentiles::of(&first_chunk),
        chunk_gap: Percentiles::of(&chunk_gap),
    }
}
