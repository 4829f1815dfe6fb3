//! Compares the policies under the same simulated loads: `--example policy`.

use {
    turmerictack_model::rank::Rank,
    turmerictack_standin::{
        experiment::{
            LargeCaller, Policies, SimulationConfig, SimulationResult, large_caller, mixed_load,
        },
        simulator::run,
    },
};

fn print(name: &str, policies: Policies, outcome: &SimulationResult) {
    for rank in Rank::ALL {
        let t = outcome.ranks.get(&rank).copied().unwrap_or_default();
        println!(
            "{name:<16}{:<12}{:<10}{:>8}{:>8}{:>8}{:>8}{:>8.1}%{:>10}{:>7.1}%",
            format!("{policies:?}"),
            rank.to_string(),
            t.offered,
            t.served,
            t.refused,
            t.expired,
            100.0 * t.on_target_share(),
            t.tokens,
            100.0 * t.cache_hits as f64 / t.served.max(1) as f64,
        );
    }
}

fn main() {
    println!(
        "{:<16}{:<12}{:<10}{:>8}{:>8}{:>8}{:>8}{:>9}{:>10}{:>8}",
        "load",
        "policies",
        "rank",
        "offered",
        "served",
        "refused",
        "expired",
        "good",
        "tokens",
        "hits"
    );
    let with_loss =
        SimulationConfig { group_loss: Some((2, 40)), ..mixed_load([0.2, 0.3, 0.2], 1) };
    let with_straggler = SimulationConfig { straggler: Some(3), ..mixed_load([0.2, 0.3, 0.2], 1) };
    let configs = [
        ("ordinary", mixed_load([0.2, 0.3, 0.2], 1)),
        ("batch x10", mixed_load([0.2, 0.3, 10.0], 1)),
        ("urgent x10", mixed_load([10.0, 0.3, 0.5], 1)),
        ("all x10", mixed_load([3.0, 4.0, 3.0], 1)),
        ("2 of 8 lost", with_loss),
        ("straggler", with_straggler),
    ];
    for (name, config) in &configs {
        for policies in [Policies::Baseline, Policies::Fair] {
            print(name, policies, &run(config, policies));
        }
    }
    let greed = LargeCaller { large_shares: 50.0, small_shares: 0.97, start_second: 0 };
    for policies in [Policies::Baseline, Policies::Fair] {
        let outcome = run(&large_caller(greed, 1), policies);
        let small = outcome.callers.keys().filter(|c| *c != "large");
        let least = small.map(|c| outcome.share_received(c)).fold(f64::INFINITY, f64::min);
        println!(
            "one caller at 50 shares, nine at 0.97: {policies:?}: Jain's index {:.4}, least share \
             received {least:.3}",
            outcome.fairness()
        );
    }
}
