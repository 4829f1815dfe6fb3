//! What a run of the policies is given, and what comes of it.

use {crate::simulator::BATCH_LIMIT, std::collections::BTreeMap, turmerictack_model::rank::Rank};

/// Policies of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policies {
    /// Ours: ranks with floors, fair shares, limits, prefix affinity.
    Fair,
    /// Ours without early refusal.
    FairLenient,
    /// First come, first served, each upstream in turn, no limits.
    Baseline,
}

/// Calls of one kind that arrive at random.
#[derive(Clone, Debug)]
pub struct ArrivalStream {
    /// Caller.
    pub caller: String,
    /// Weight.
    pub weight: u32,
    /// Rank.
    pub rank: Rank,
    /// Calls a second.
    pub rate: f64,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens of the answer.
    pub answer: u64,
    /// When it starts and ends, in s.
    pub active_seconds: (u64, u64),
}

/// A run.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    /// Groups.
    pub groups: usize,
    /// Time in s in which calls arrive.
    pub seconds: u64,
    /// What arrives.
    pub streams: Vec<ArrivalStream>,
    /// Groups that go at this time in s.
    pub group_loss: Option<(usize, u64)>,
    /// Group that is four times slower than the others.
    pub straggler: Option<usize>,
    /// Floors in percent.
    pub floors: BTreeMap<Rank, u32>,
    /// Seed.
    pub seed: u64,
}

/// What came of the calls of one rank or one caller.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallCounts {
    /// Calls that arrived.
    pub offered: u64,
    /// Calls with a whole answer.
    pub served: u64,
    /// Calls that met both targets.
    pub on_target: u64,
    /// Calls refused at once.
    pub refused: u64,
    /// Calls that waited in vain.
    pub expired: u64,
    /// Tokens of answers, whole ones only.
    pub tokens: u64,
    /// Calls whose prefix was in the engine's cache.
    pub cache_hits: u64,
}

impl CallCounts {
    /// Share of the offered calls that met both targets.
    pub fn on_target_share(&self) -> f64 {
        self.on_target as f64 / self.offered.max(1) as f64
    }
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct SimulationResult {
    /// By rank.
    pub ranks: BTreeMap<Rank, CallCounts>,
    /// By caller.
    pub callers: BTreeMap<String, CallCounts>,
    /// Place-milliseconds held by each rank while every rank had work waiting or running.
    pub slot_ms: BTreeMap<Rank, u64>,
    /// Tokens of whole answers that ended while calls still arrived.
    pub tokens_in_time: u64,
    /// Calls stopped to make room.
    pub preempted: u64,
}

impl SimulationResult {
    /// What a caller got of its share; no more than it asked for is its share.
    pub fn share_received(&self, caller: &str) -> f64 {
        let served: u64 = self.callers.values().map(|t| t.served).sum();
        let fair = served as f64 / self.callers.len().max(1) as f64;
        let counts = self.callers.get(caller).copied().unwrap_or_default();
        counts.served as f64 / fair.min(counts.offered as f64).max(1.0)
    }

    /// Jain's index of what callers got of their shares, none counted for more than its whole one;
    /// 1 when all got alike.
    pub fn fairness(&self) -> f64 {
        let received: Vec<f64> =
            self.callers.keys().map(|c| self.share_received(c).min(1.0)).collect();
        let sum: f64 = received.iter().sum();
        let squares: f64 = received.iter().map(|g| g * g).sum();
        sum * sum / (received.len() as f64 * squares).max(f64::MIN_POSITIVE)
    }

    /// Share of the places that a rank held while every rank had work waiting.
    pub fn slot_share(&self, rank: Rank) -> f64 {
        let all: u64 = self.slot_ms.values().sum();
        self.slot_ms.get(&rank).copied().unwrap_or(0) as f64 / all.max(1) as f64
    }
}

/// Floors that the plans here use.
pub fn floors() -> BTreeMap<Rank, u32> {
    [(Rank::Urgent, 40), (Rank::Standard, 25), (Rank::Batch, 10)].into()
}

/// Calls a second of one kind that take this share of what the groups generate with full batches.
fn rate_for_capacity_share(answer: u64, groups: usize, share: f64) -> f64 {
    let tokens_per_second = groups as f64 * BATCH_LIMIT as f64 / 0.042;
    tokens_per_second * share / answer as f64
}

/// Ordinary work of every rank, at these shares of the capacity.
pub fn mixed_streams(groups: usize, seconds: u64, shares: [f64; 3]) -> Vec<ArrivalStream> {
    let kinds = [(Rank::Urgent, 60), (Rank::Standard, 120), (Rank::Batch, 400)];
    kinds
        .into_iter()
        .zip(shares)
        .filter(|(_, share)| *share > 0.0)
        .map(|((rank, answer), share)| ArrivalStream {
            caller: format!("{rank}-caller"),
            weight: 1,
            rank,
            rate: rate_for_capacity_share(answer, groups, share),
            prompt: 200,
            answer,
            active_seconds: (0, seconds),
        })
        .collect()
}

/// Share of full batches that is a tenth of what the groups can take: prefill takes 8% of the
/// engines' time, and the places kept for urgent calls are 5%.
const CALLER_CAPACITY_SHARE: f64 = 0.092;

/// A large caller among nine small ones of its weight, all of standard rank.
#[derive(Clone, Copy, Debug)]
pub struct LargeCaller {
    /// Shares that the large caller asks for.
    pub large_shares: f64,
    /// Part of its share that each small caller asks for.
    pub small_shares: f64,
    /// When the large one begins, in s.
    pub start_second: u64,
}

/// The calls of a large caller among nine small ones.
pub fn large_caller(params: LargeCaller, seed: u64) -> SimulationConfig {
    let base = mixed_load([0.0, 0.0, 0.0], seed);
    let rate =
        |shares: f64| rate_for_capacity_share(120, base.groups, shares * CALLER_CAPACITY_SHARE);
    let stream = |caller: String, shares: f64, start_second: u64| ArrivalStream {
        caller,
        weight: 1,
        rank: Rank::Standard,
        rate: rate(shares),
        prompt: 200,
        answer: 120,
        active_seconds: (start_second, base.seconds),
    };
    let large = stream("large".to_owned(), params.large_shares, params.start_second);
    let small = (1..10).map(|n| stream(format!("small-{n}"), params.small_shares, 0));
    let streams = std::iter::once(large).chain(small).collect();
    SimulationConfig { streams, ..base }
}

/// Ordinary work of the lower ranks, into which urgent work floods after 20 s.
pub fn urgent_flood(times: f64, seed: u64) -> SimulationConfig {
    let mut config = mixed_load([times, 0.5, 0.5], seed);
    for stream in config.streams.iter_mut().filter(|s| s.rank == Rank::Urgent) {
        stream.active_seconds.0 = 20;
    }
    config
}

/// A plan with eight groups for two minutes.
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
