//! Rate limits that upstreams state, kept by all nodes of a cluster together, in virtual time.

mod common;

use {
    common::limited_cluster::{LimitedCluster, Scenario},
    rstest::rstest,
    std::time::Duration,
};

fn run(scenario: Scenario) -> LimitedCluster {
    let name = format!("{scenario:?}");
    let cluster = LimitedCluster::new(scenario).run();
    let end = cluster.elapsed().as_secs_f64();
    let mut waits = cluster.waits.clone();
    waits.sort_unstable();
    println!(
        "{name}\n  at most {} of {:.1} in 4 s, {:.0}% of the rates used; {} requests, {} refused, \
         {} timed out, median wait {:?}",
        cluster.most_in_window(0.0..end),
        cluster.allowed_in_window(),
        cluster.used_share(0.0..end) * 100.0,
        cluster.requests,
        cluster.refused,
        cluster.timed_out,
        waits.get(waits.len() / 2),
    );
    cluster
}

fn assert_limits_kept(cluster: &LimitedCluster) {
    let end = cluster.elapsed().as_secs_f64();
    let most = cluster.most_in_window(0.0..end) as f64;
    assert!(most <= cluster.allowed_in_window(), "{most} requests in 4 s");
}

/// Guards against an upstream that gets more requests than it stated from all nodes together.
#[rstest]
fn nodes_keep_a_stated_limit_together(
    #[values(9, 30, 195, 380)] nodes: usize,
    #[values(1.3, 4.9)] rate: f64,
) {
    let demand = (3.0 * rate * 2.5).max(nodes as f64 * 0.5);
    let length = Duration::from_secs(if nodes > 100 { 15 } else { 30 });
    assert_limits_kept(&run(Scenario { rate, demand, length, ..Scenario::new(nodes, 1) }));
}

/// Guards against idle nodes that all send at once after a pause.
#[rstest]
fn nodes_keep_a_stated_limit_when_a_burst_follows_a_pause(
    #[values(9, 30)] nodes: usize,
    #[values(0.25, 1.3, 4.9)] rate: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let demand = 40.0 + nodes as f64;
    let pause = 10.0..20.0;
    assert_limits_kept(&run(Scenario { rate, demand, pause, ..Scenario::new(nodes, seed) }));
}

/// Guards against shares of the rate that lie idle at nodes without requests.
#[rstest]
fn share_of_idle_nodes_is_used_by_the_others(#[values(1, 3, 9)] busy_nodes: usize) {
    let cluster = run(Scenario { busy_nodes, ..Scenario::new(9, 1) });
    assert_limits_kept(&cluster);
    assert!(cluster.used_share(10.0..30.0) >= 0.8);
}

#[rstest]
fn nodes_keep_a_stated_limit_while_they_are_cut_off_from_each_other(
    #[values(9, 30)] nodes: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let cut = (nodes / 2, 10.0..20.0);
    assert_limits_kept(&run(Scenario { cut, ..Scenario::new(nodes, seed) }));
}

#[rstest]
fn restarted_node_keeps_a_stated_limit_with_the_others(
    #[values(9, 30)] nodes: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let restart = Some(12.0);
    assert_limits_kept(&run(Scenario { restart, ..Scenario::new(nodes, seed) }));
}

/// Guards against requests that wait for a rate until their time is over, while later ones are sent.
#[rstest]
fn request_that_is_queued_for_a_rate_gets_its_turn(
    #[values(9, 30)] nodes: usize,
    #[values(1.3, 2.2, 4.9)] rate: f64,
) {
    let cluster = run(Scenario { rate, demand: 3.0 * rate * 2.3, ..Scenario::new(nodes, 1) });
    assert!(cluster.timed_out * 100 <= cluster.requests, "{} timed out", cluster.timed_out);
}

/// Guards against nodes that go on limiting an upstream that has lifted its limit.
#[rstest]
fn lifted_limit_binds_no_node_any_more(#[values(9, 30)] nodes: usize) {
    let cluster = run(Scenario { lifted: Some(15.0), ..Scenario::new(nodes, 1) });
    let late: Vec<_> = cluster.sends.iter().filter(|s| s.at > Duration::from_secs(20)).collect();
    assert!(late.len() as f64 >= 0.9 * 15.0 * 10.0, "{} requests", late.len());
}

#[rstest]
fn pool_with_unlimited_upstreams_serves_all_requests(#[values(9, 30)] nodes: usize) {
    let cluster = run(Scenario { unlimited: 1, ..Scenario::new(nodes, 1) });
    assert_limits_kept(&cluster);
    assert_eq!((cluster.refused, cluster.timed_out), (0, 0));
}
