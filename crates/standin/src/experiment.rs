//! Configurations, workloads and results of simulations.

use {crate::simulator::BATCH_LIMIT, std::collections::BTreeMap, turmerictack_model::rank::Rank};

/// Admission and routing policies of a simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policies {
    /// Policies of the nodes: ranks with floors, fair shares, concurrency limits, prefix affinity.
    Fair,
    /// As `Fair`, but without early rejection.
    FairLenient,
    /// First come, first served, round-robin routing, no concurrency limits.
    Baseline,
}

/// Calls of one kind with random arrivals (a Poisson process).
#[derive(Clone, Debug)]
pub struct ArrivalStream {
    /// Name of the caller.
    pub caller: String,
    /// Weight of the caller.
    pub weight: u32,
    /// Rank of the calls.
    pub rank: Rank,
    /// Mean rate in calls per second.
    pub rate: f64,
    /// Prompt tokens per call.
    pub prompt_tokens: u64,
    /// Generated tokens per call.
    pub response_tokens: u64,
    /// Start and end of the arrivals in s.
    pub active_seconds: (u64, u64),
}

/// Configuration of a simulation.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    /// Number of replica groups.
    pub groups: usize,
    /// Length of the period in which calls arrive, in s.
    pub seconds: u64,
    /// Arriving calls.
    pub streams: Vec<ArrivalStream>,
    /// Number of groups that fail, and when in s.
    pub group_loss: Option<(usize, u64)>,
    /// Index of a group that is four times slower than the others.
    pub straggler: Option<usize>,
    /// Floor of each rank in percent of the capacity.
    pub floors: BTreeMap<Rank, u32>,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// Counts of the calls of one rank or caller.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallCounts {
    /// Calls that arrived.
    pub offered: u64,
    /// Calls with a complete response.
    pub served: u64,
    /// Calls that met the targets for the first token and for the time between tokens.
    pub on_target: u64,
    /// Calls rejected on arrival or evicted from the queue.
    pub refused: u64,
    /// Calls that expired in the queue.
    pub expired: u64,
    /// Generated tokens of complete responses.
    pub tokens: u64,
    /// Starts on an engine that had the prefix of the call in its cache.
    pub cache_hits: u64,
}

impl CallCounts {
    /// Share of the offered calls that met both targets.
    pub fn on_target_share(&self) -> f64 {
        self.on_target as f64 / self.offered.max(1) as f64
    }
}

/// Result of a simulation.
#[derive(Clone, Debug, Default)]
pub struct SimulationResult {
    /// Counts by rank.
    pub ranks: BTreeMap<Rank, CallCounts>,
    /// Counts by caller.
    pub callers: BTreeMap<String, CallCounts>,
    /// Slot time in ms used by each rank while every rank had calls waiting.
    pub slot_ms: BTreeMap<Rank, u64>,
    /// Generated tokens of responses that were completed while calls were still arriving.
    pub tokens_in_time: u64,
    /// Number of preemptions.
    pub preempted: u64,
}

impl SimulationResult {
    /// Calls served for a caller, relative to the smaller of its fair share and its demand.
    pub fn share_received(&self, caller: &str) -> f64 {
        let served: u64 = self.callers.values().map(|t| t.served).sum();
        let fair = served as f64 / self.callers.len().max(1) as f64;
        let counts = self.callers.get(caller).copied().unwrap_or_default();
        counts.served as f64 / fair.min(counts.offered as f64).max(1.0)
    }

    /// Jain's fairness index of [`share_received`](Self::share_received), capped at 1 per caller; 1
    /// if all callers received the same.
    pub fn fairness(&self) -> f64 {
        let received: Vec<f64> =
            self.callers.keys().map(|c| self.share_received(c).min(1.0)).collect();
        let sum: f64 = received.iter().sum();
        let squares: f64 = received.iter().map(|g| g * g).sum();
        sum * sum / (received.len() as f64 * squares).max(f64::MIN_POSITIVE)
    }

    /// Fraction of the used slot time that a rank had while every rank had calls waiting.
    pub fn slot_share(&self, rank: Rank) -> f64 {
        let all: u64 = self.slot_ms.values().sum();
        self.slot_ms.get(&rank).copied().unwrap_or(0) as f64 / all.max(1) as f64
    }
}

/// Floors of the configurations in this module, in percent.
pub fn floors() -> BTreeMap<Rank, u32> {
    [(Rank::Urgent, 40), (Rank::Standard, 25), (Rank::Batch, 10)].into()
}

/// Rate in calls per second whose generated tokens are this share of the groups' throughput with
/// full batches, where a step takes 42 ms.
fn rate_for_capacity_share(response_tokens: u64, groups: usize, share: f64) -> f64 {
    let tokens_per_second = groups as f64 * BATCH_LIMIT as f64 / 0.042;
    tokens_per_second * share / response_tokens as f64
}

/// One stream for each rank with its typical response length, at these shares of the capacity.
pub fn mixed_streams(groups: usize, seconds: u64, shares: [f64; 3]) -> Vec<ArrivalStream> {
    let kinds = [(Rank::Urgent, 60), (Rank::Standard, 120), (Rank::Batch, 400)];
    kinds
        .into_iter()
        .zip(shares)
        .filter(|(_, share)| *share > 0.0)
        .map(|((rank, response_tokens), share)| ArrivalStream {
            caller: format!("{rank}-caller"),
            weight: 1,
            rank,
            rate: rate_for_capacity_share(response_tokens, groups, share),
            prompt_tokens: 200,
            response_tokens,
            active_seconds: (0, seconds),
        })
        .collect()
}

/// Share of the full-batch throughput that is a tenth of the usable capacity: prefill takes 8% of
/// the engines' time, and the slots reserved for urgent calls are 5%.
const CALLER_CAPACITY_SHARE: f64 = 0.092;

/// Demand of one large and nine small callers of the same weight, all of standard rank.
#[derive(Clone, Copy, Debug)]
pub struct LargeCaller {
    /// Demand of the large caller in fair shares.
    pub large_shares: f64,
    /// Demand of each small caller in fair shares.
    pub small_shares: f64,
    /// Start of the large caller's arrivals in s.
    pub start_second: u64,
}

/// Configuration with one large and nine small callers.
pub fn large_caller(params: LargeCaller, seed: u64) -> SimulationConfig {
    let base = mixed_load([0.0, 0.0, 0.0], seed);
    let rate =
        |shares: f64| rate_for_capacity_share(120, base.groups, shares * CALLER_CAPACITY_SHARE);
    let stream = |caller: String, shares: f64, start_second: u64| ArrivalStream {
        caller,
        weight: 1,
        rank: Rank::Standard,
        rate: rate(shares),
        prompt_tokens: 200,
        response_tokens: 120,
        active_seconds: (start_second, base.seconds),
    };
    let large = stream("large".to_owned(), params.large_shares, params.start_second);
    let small = (1..10).map(|n| stream(format!("small-{n}"), params.small_shares, 0));
    let streams = std::iter::once(large).chain(small).collect();
    SimulationConfig { streams, ..base }
}

/// Configuration with steady standard and batch load, to which an overload of urgent calls is added
/// after 20 s; `times` is its share of the capacity.
pub fn urgent_flood(times: f64, seed: u64) -> SimulationConfig {
    let mut config = mixed_load([times, 0.5, 0.5], seed);
    for stream in config.streams.iter_mut().filter(|s| s.rank == Rank::Urgent) {
        stream.active_seconds.0 = 20;
    }
    config
}

/// Configuration with eight groups, two minutes and one stream per rank, at these shares of the
/// capacity.
pub fn mixed_load(shares: [f64; 3], seed: u64) -> SimulationConfig {
    let (groups, seconds) = (8, 120);
    SimulationConfig {
        groups,
        seconds,
        streams: mixed_streams(groups, seconds, shares),
        group_loss: None,
        straggler: None,
        floors: floors(),
        seed,
    }
}
