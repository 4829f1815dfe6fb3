//! Upstreams that take few requests while they are cold.

#![allow(clippy::unwrap_used, reason = "a poisoned lock fails the test")]

mod common;

use {
    common::{
        DATA_CENTRE, address, addresses,
        cold_cluster::ColdReturn,
        limited_cluster::{LimitedCluster, Scenario},
        plain_instance, tables,
    },
    rstest::rstest,
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
    turmerictack_model::rate::RequestRate,
    turmerictack_serving::{
        config::ColdStart,
        directory::{Instance, Upstream},
        interfaces::StatedLimit,
        queue::SchedulingParams,
        tables::{Placement, Tables},
    },
};

const COLD_TIME: Duration = Duration::from_secs(3);
const RATE: f64 = 26.0;

/// A lone node and the instances `p0` and `p1`.
fn cold_tables(now: Instant) -> Arc<Tables> {
    let tables = tables();
    let mut config = common::config(2);
    let rate = RequestRate::from_per_second(RATE);
    config.services.get_mut("bookings").unwrap().cold_start =
        Some(ColdStart { duration: COLD_TIME, rate });
    assert!(tables.update_config(config));
    tables.peers.lock().set_registered(now, addresses(1));
    tables.balancer.lock().loads.allowances.set_own_address(address(0));
    for at in 0..2 {
        write_entry(&tables, now, at, Duration::ZERO);
    }
    tables
}

fn write_entry(tables: &Tables, now: Instant, at: usize, cold_remaining: Duration) {
    let instance = Instance { slots: 1_000, cold_remaining, ..plain_instance(at + 10) };
    tables.directory.lock().insert(format!("p{at}"), instance);
    tables.rebuild_upstreams(now);
}

/// Requests that are sent in a second, by instance, if there are plenty of them.
fn sends_in_second(tables: &Tables, from: Instant) -> BTreeMap<String, usize> {
    let mut sends = BTreeMap::new();
    for step in 0..50 {
        let now = from + Duration::from_millis(step * 20);
        tables.expire_reports(now);
        for _ in 0..10 {
            let params = SchedulingParams {
                priority: 0,
                is_client_retry: false,
                is_resumption: false,
                dispatch_by: now,
                expires_at: now,
                prompt_tokens: 0,
            };
            let pool = ("bookings".to_owned(), None);
            let placement = tables.place(now, &pool, params, &[], &DATA_CENTRE.to_owned());
            if let Placement::Assigned(upstream) = placement {
                *sends.entry(upstream.instance.clone()).or_default() += 1;
            }
        }
    }
    sends
}

fn upstream(tables: &Tables, id: &str) -> Arc<Upstream> {
    let pools = Arc::clone(tables.directory.lock().pools());
    pools.values().flatten().find(|u| u.instance == id).unwrap().clone()
}

fn is_cold(tables: &Tables, now: Instant, id: &str) -> bool {
    let run = upstream(tables, id).run();
    tables.balancer.lock().loads.allowances.is_cold(now, &run)
}

/// Guards against an instance that is flooded just after its start.
#[rstest]
fn cold_instance_gets_its_rate_and_the_others_the_rest() {
    let now = Instant::now();
    let tables = cold_tables(now);
    write_entry(&tables, now, 0, COLD_TIME);
    let sends = sends_in_second(&tables, now);
    assert!((20..=44).contains(&sends["p0"]), "{sends:?}");
    assert_eq!(sends.values().sum::<usize>(), 500);
}

#[rstest]
fn cold_start_ends_at_its_time_although_its_entry_is_read_again() {
    let now = Instant::now();
    let tables = cold_tables(now);
    write_entry(&tables, now, 0, COLD_TIME);
    write_entry(&tables, now + COLD_TIME / 2, 0, COLD_TIME);
    assert!(is_cold(&tables, now + COLD_TIME - Duration::from_millis(1), "p0"));
    assert!(!is_cold(&tables, now + COLD_TIME, "p0"));
    write_entry(&tables, now + COLD_TIME, 0, COLD_TIME / 2);
    assert!(is_cold(&tables, now + COLD_TIME, "p0") && !is_cold(&tables, now, "p1"));
}

/// Guards against instances that became cold unnoticed during an evacuation.
#[rstest]
fn instances_are_cold_after_an_evacuation_unless_their_entry_says_otherwise() {
    let now = Instant::now();
    let tables = cold_tables(now);
    tables.directory.lock().evacuations_mut().begin(now, DATA_CENTRE);
    tables.rebuild_upstreams(now);
    tables.directory.lock().evacuations_mut().end(now, DATA_CENTRE);
    tables.rebuild_upstreams(now);
    assert!(is_cold(&tables, now, "p0") && is_cold(&tables, now, "p1"));
    let later = now + Duration::from_millis(100);
    write_entry(&tables, later, 0, Duration::from_millis(50));
    write_entry(&tables, later, 0, Duration::ZERO);
    assert!(!is_cold(&tables, later, "p0") && is_cold(&tables, later, "p1"));
    assert!(!is_cold(&tables, now + COLD_TIME, "p1"));
}

#[rstest]
fn lower_rate_binds_an_upstream_that_is_cold_and_limited() {
    let now = Instant::now();
    let tables = cold_tables(now);
    write_entry(&tables, now, 0, COLD_TIME);
    let stated = StatedLimit::Limited(RequestRate::from_per_second(2.0));
    tables.apply_stated_limit(now, &upstream(&tables, "p0"), stated);
    let sends = sends_in_second(&tables, now);
    assert!(sends["p0"] <= 4, "{sends:?}");
}

#[rstest]
fn service_without_cold_starts_is_served_as_before() {
    let now = Instant::now();
    let tables = tables();
    write_entry(&tables, now, 0, COLD_TIME);
    write_entry(&tables, now, 1, COLD_TIME);
    assert!(!is_cold(&tables, now, "p0"));
    assert_eq!(sends_in_second(&tables, now).values().sum::<usize>(), 500);
}

/// A data centre that comes back at 2 s and is cold for 5 s, a third of all upstreams.
fn cold_return(nodes: usize) -> (Scenario, ColdReturn) {
    let upstreams = (nodes / 12).clamp(2, 12);
    let scenario = Scenario {
        upstreams: 3 * upstreams,
        unlimited: 3 * upstreams,
        demand: 3.0 * upstreams as f64 * 42.0,
        length: Duration::from_secs(8),
        ..Scenario::new(nodes, 1)
    };
    let cold = ColdReturn {
        upstreams,
        rate: RATE,
        during: 2.0..7.0,
        herd: (0, 0.0),
        heartbeat_delay: Duration::ZERO,
        is_known: true,
    };
    (scenario, cold)
}

fn run(name: &str, scenario: Scenario, cold: ColdReturn) -> LimitedCluster {
    let (nodes, allowed) = (scenario.nodes, cold.allowed_in_second());
    let cluster = LimitedCluster::new(Scenario { cold: Some(cold), ..scenario }).run();
    println!(
        "| {nodes} | {name} | {} of {allowed} | {:.2} | {} of {} |",
        cluster.most_in_second(),
        cluster.cold_share(),
        cluster.refused + cluster.timed_out,
        cluster.requests,
    );
    cluster
}

fn assert_bound_kept(name: &str, scenario: Scenario, cold: ColdReturn) {
    let allowed = cold.allowed_in_second();
    let cluster = run(name, scenario, cold);
    assert!(cluster.most_in_second() as f64 <= allowed, "{}", cluster.most_in_second());
}

/// Load: more requests than the third of the upstreams takes that comes back cold; the others have
/// room for the rest.
#[rstest]
fn returning_data_centre_gets_its_rate_from_all_nodes(#[values(9, 71, 195, 380)] nodes: usize) {
    let (scenario, cold) = cold_return(nodes);
    assert_bound_kept("return", scenario, cold);
}

/// Load: twice the rate of the upstreams, all of which are cold, after a pause.
#[rstest]
fn burst_after_a_pause_keeps_the_bound_of_cold_upstreams(#[values(9, 71, 195, 380)] nodes: usize) {
    let (scenario, cold) = cold_return(nodes);
    let upstreams = cold.upstreams;
    let demand = upstreams as f64 * RATE * 2.0;
    let (pause, unlimited) = (3.0..4.5, upstreams);
    let scenario = Scenario { upstreams, unlimited, demand, pause, ..scenario };
    assert_bound_kept("all cold, burst", scenario, cold);
}

/// Guards against nodes that take the whole rate because they don't know the others yet.
#[rstest]
fn restarted_nodes_keep_the_bound_of_cold_upstreams(
    #[values(9, 71, 195, 380)] nodes: usize,
    #[values(1, 3)] part: usize,
) {
    let (scenario, cold) = cold_return(nodes);
    let name = if part == 1 { "all nodes start again" } else { "a third starts again" };
    assert_bound_kept(name, scenario, ColdReturn { herd: (nodes / part, 4.0), ..cold });
}

#[rstest]
fn nodes_that_are_cut_off_keep_the_bound_of_cold_upstreams(
    #[values(9, 71, 195, 380)] nodes: usize,
) {
    let (scenario, cold) = cold_return(nodes);
    let cut = (nodes / 3, 3.0..5.5);
    assert_bound_kept("a third is cut off", Scenario { cut, ..scenario }, cold);
}

#[rstest]
fn late_heartbeats_keep_the_bound_of_cold_upstreams(#[values(9, 71, 195, 380)] nodes: usize) {
    let (scenario, cold) = cold_return(nodes);
    let heartbeat_delay = Duration::from_millis(1_500);
    assert_bound_kept("late heartbeats", scenario, ColdReturn { heartbeat_delay, ..cold });
}

/// Shows that the load of the other tests breaks the bound where nothing divides the rate.
#[rstest]
fn nodes_that_know_of_no_cold_start_break_the_bound(#[values(9, 71)] nodes: usize) {
    let (scenario, cold) = cold_return(nodes);
    let allowed = cold.allowed_in_second();
    let cluster = run("not known", scenario, ColdReturn { is_known: false, ..cold });
    assert!(cluster.most_in_second() as f64 > allowed);
}
