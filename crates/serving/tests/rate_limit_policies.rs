//! Ways to divide the rate of an upstream among nodes, compared in virtual time.

#![allow(clippy::unwrap_used, reason = "names are numbers")]

use {
    rand::{RngExt as _, SeedableRng as _},
    rand_pcg::Pcg64Mcg,
    rstest::rstest,
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::Duration,
    },
    turmerictack_model::rate::RequestRate,
    turmerictack_serving::{
        allowance::{assign_senders, max_senders, weight_of_demand},
        membership::heartbeat_round,
    },
};

const RATE: f64 = 2.2;
/// Requests per second for each upstream, of which it takes less than half.
const DEMAND: f64 = 5.0;
const STEP_MS: u64 = 10;
const LENGTH_MS: u64 = 60_000;
/// Time without requests, after which they come twenty times as often for a second.
const PAUSE_MS: std::ops::Range<u64> = 30_000..40_000;
const BURST_MS: std::ops::Range<u64> = 40_000..41_000;
const MAX_WAIT_MS: u64 = 1_000;
const WINDOW_MS: u64 = 4_000;
/// Time constant of a node's demand.
const DEMAND_TIME_S: f64 = 2.0;
const LEASE_ROUND_TRIP_MS: u64 = 10;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    /// Every node has the same share.
    EvenShares,
    /// Few nodes have the same share.
    FewSenders,
    /// Few nodes have shares by their demand, as reported with heartbeats.
    FewSendersByDemand,
    /// One node hands out the tokens one by one; it fails once, and is replaced after three rounds
    /// of heartbeats.
    Leases,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    tokens: f64,
    per_second: f64,
    capacity: f64,
}

impl Bucket {
    fn take(&mut self) -> bool {
        let has_token = self.tokens >= 1.0;
        self.tokens -= if has_token { 1.0 } else { 0.0 };
        has_token
    }
}

struct Simulation {
    policy: Policy,
    nodes: usize,
    /// Buckets by upstream and node; only the first node's are used for leases.
    buckets: Vec<Vec<Bucket>>,
    demand: Vec<f64>,
    waiting: Vec<VecDeque<u64>>,
    sends: Vec<Vec<u64>>,
}

impl Simulation {
    fn new(policy: Policy, nodes: usize, upstreams: usize) -> Self {
        let mut simulation = Self {
            policy,
            nodes,
            buckets: vec![vec![Bucket::default(); nodes]; upstreams],
            demand: vec![0.0; nodes],
            waiting: vec![VecDeque::new(); nodes],
            sends: vec![Vec::new(); upstreams],
        };
        simulation.divide();
        for bucket in simulation.buckets.iter_mut().flatten() {
            bucket.tokens = bucket.capacity;
        }
        simulation
    }

    fn divide(&mut self) {
        let rate = RequestRate::from_per_second(RATE);
        let count = match self.policy {
            Policy::EvenShares => self.nodes,
            Policy::Leases => 1,
            Policy::FewSenders | Policy::FewSendersByDemand => max_senders(rate),
        };
        let runs: BTreeMap<_, _> =
            (0..self.buckets.len()).map(|u| ((u as u32, 1), count)).collect();
        let names: BTreeSet<String> = (0..self.nodes).map(|n| format!("{n}")).collect();
        let assigned = assign_senders(&runs, &names, &BTreeSet::new());
        for ((upstream, _), senders) in assigned {
            let by_demand = self.policy == Policy::FewSendersByDemand;
            let weight = |(node, upstreams): (&String, &usize)| {
                let demand = self.demand[node.parse::<usize>().unwrap()];
                if by_demand { weight_of_demand(demand, *upstreams) } else { 1.0 }
            };
            let total: f64 = senders.iter().map(weight).sum();
            for sender in &senders {
                let node = if self.policy == Policy::Leases { "0" } else { sender.0 };
                let bucket = &mut self.buckets[upstream as usize][node.parse::<usize>().unwrap()];
                bucket.per_second = RATE * weight(sender) / total;
                bucket.capacity = if self.policy == Policy::EvenShares { 1.0 } else { 1.5 };
            }
        }
    }

    fn run(&mut self, busy_nodes: usize, rng: &mut Pcg64Mcg) {
        let round = u64::try_from(heartbeat_round(self.nodes - 1).as_millis()).unwrap();
        let owner_fails = 20_000..20_000 + 3 * round.max(350);
        let step = Duration::from_millis(STEP_MS).as_secs_f64();
        let mut recent = vec![0.0; self.nodes];
        for now in (0..LENGTH_MS).step_by(STEP_MS as usize) {
            if now % round < STEP_MS {
                self.demand.clone_from(&recent);
                self.divide();
            }
            for bucket in self.buckets.iter_mut().flatten() {
                bucket.tokens = (bucket.tokens + bucket.per_second * step).min(bucket.capacity);
            }
            recent.iter_mut().for_each(|demand| *demand *= (-step / DEMAND_TIME_S).exp());
            let factor = if BURST_MS.contains(&now) { 20.0 } else { 1.0 };
            let chance = DEMAND * self.buckets.len() as f64 * step * factor;
            let arrivals = chance as usize + usize::from(rng.random::<f64>() < chance.fract());
            for _ in 0..if PAUSE_MS.contains(&now) { 0 } else { arrivals } {
                let node = rng.random_range(0..busy_nodes);
                recent[node] += 1.0 / DEMAND_TIME_S;
                self.waiting[node].push_back(now + MAX_WAIT_MS);
            }
            if self.policy != Policy::Leases || !owner_fails.contains(&now) {
                self.send(now);
            }
        }
    }

    fn send(&mut self, now: u64) {
        for node in 0..self.nodes {
            while self.waiting[node].front().is_some_and(|expires_at| *expires_at < now) {
                self.waiting[node].pop_front();
            }
            let holder = if self.policy == Policy::Leases { 0 } else { node };
            while !self.waiting[node].is_empty() {
                let mut buckets = self.buckets.iter_mut();
                let Some(upstream) = buckets.position(|b| b[holder].take()) else { break };
                self.waiting[node].pop_front();
                let delay = if self.policy == Policy::Leases { LEASE_ROUND_TRIP_MS } else { 0 };
                self.sends[upstream].push(now + delay);
            }
        }
    }

    fn most_in_window(&self) -> usize {
        let most = |times: &Vec<u64>| {
            let counts = times.iter().enumerate();
            counts.map(|(first, at)| times.partition_point(|t| *t < at + WINDOW_MS) - first).max()
        };
        self.sends.iter().filter_map(most).max().unwrap_or(0)
    }

    /// Share of the rates that is used before the pause.
    fn used_share(&self) -> f64 {
        let counted = 10_000..PAUSE_MS.start;
        let sends = self.sends.iter().flatten().filter(|at| counted.contains(*at)).count();
        let seconds = (counted.end - counted.start) as f64 / 1_000.0;
        sends as f64 / (RATE * self.buckets.len() as f64 * seconds)
    }
}

/// Mean share of the rates that is used, and the most requests in a window.
fn play(policy: Policy, nodes: usize, upstreams: usize, busy_nodes: usize) -> (f64, usize) {
    const SEEDS: u64 = 2;
    let (mut used, mut most) = (0.0, 0);
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(policy, nodes, upstreams);
        simulation.run(busy_nodes, &mut Pcg64Mcg::seed_from_u64(seed));
        used += simulation.used_share() / SEEDS as f64;
        most = most.max(simulation.most_in_window());
    }
    println!(
        "{nodes} nodes, {busy_nodes} with requests, {upstreams} upstreams, {policy:?}: {used:.2} \
         used, at most {most} in 4 s"
    );
    (used, most)
}

#[rstest]
#[case(9, 3)]
#[case(30, 3)]
#[case(30, 10)]
#[case(195, 3)]
#[case(195, 65)]
#[case(380, 127)]
fn few_senders_by_demand_keep_the_limit_and_use_most_of_it(
    #[case] nodes: usize,
    #[case] upstreams: usize,
) {
    let allowed = (1.5 * 4.0 * RATE + 5.0) as usize;
    for busy_nodes in [nodes, nodes / 3] {
        let (_, even) = play(Policy::EvenShares, nodes, upstreams, busy_nodes);
        let (few_used, few) = play(Policy::FewSenders, nodes, upstreams, busy_nodes);
        let (used, most) = play(Policy::FewSendersByDemand, nodes, upstreams, busy_nodes);
        play(Policy::Leases, nodes, upstreams, busy_nodes);
        assert!(most <= allowed && few <= allowed, "{most}, {few} of {allowed}");
        assert!(used >= few_used - 0.05);
        if nodes >= 30 && busy_nodes == nodes {
            assert!(even > allowed, "even shares among all nodes keep the limit");
        }
    }
}
