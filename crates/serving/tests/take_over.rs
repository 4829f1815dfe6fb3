//! Streams that another upstream takes over from a silent one.

#![allow(clippy::unwrap_used, reason = "test helpers may panic")]

mod common;

use {
    common::{
        ScriptedAction, ScriptedUpstreams, StreamEnd, config, group_head, proxy, read_events,
        request, route, tables,
    },
    rstest::rstest,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
    turmerictack_model::ids::InstanceId,
    turmerictack_serving::{
        config::{Config, RetryPolicy},
        load::UpstreamOutcome,
        proxy::Proxy,
        request::Reply,
        stream::EventStream,
        tables::Tables,
    },
};

/// Executions that the route allows.
const MAX_ATTEMPTS: usize = 2;

fn whole_stream(last: u64) -> String {
    (0..=last).map(|at| format!("id: {at}\ndata: piece-{at}\n\n")).collect()
}

/// Adds group heads, so that there are `count`.
fn add_heads(tables: &Tables, count: usize) {
    for at in 2..count {
        tables.directory.lock().insert(format!("e{at}"), group_head(at));
    }
    tables.rebuild_upstreams(Instant::now());
}

async fn start_stream(
    proxy: &Arc<Proxy>,
    upstreams: &ScriptedUpstreams,
    action: ScriptedAction,
) -> Box<EventStream> {
    upstreams.set_default(action);
    let Reply::Stream { events, .. } = proxy.serve(request("notes")).await else {
        panic!("no stream")
    };
    events
}

/// Guards against take-overs that are given up although the route allows no further execution.
#[rstest]
#[case::two_upstreams(2)]
#[case::three_upstreams(3)]
#[tokio::test]
async fn last_permitted_upstream_is_not_left_while_it_takes_a_stream_over(#[case] heads: usize) {
    let tables = tables();
    add_heads(&tables, heads);
    let (proxy, upstreams) = proxy(&tables);
    let stalls = ScriptedAction::Stream { last: 2, end: StreamEnd::Stalled };
    let mut events = start_stream(&proxy, &upstreams, stalls).await;
    let delay = Duration::from_millis(1_200);
    upstreams.set_default(ScriptedAction::SlowStream { last: 5, delay });
    assert_eq!(read_events(&mut events).await, (whole_stream(5), Ok(())));
    assert_eq!(upstreams.sends(), MAX_ATTEMPTS);
}

/// Guards against streams that are executed by more upstreams than their route allows, because a
/// send that was given up does not count.
#[rstest]
#[tokio::test]
async fn stream_that_pauses_often_is_executed_by_no_more_upstreams_than_allowed() {
    let tables = tables();
    add_heads(&tables, 6);
    let (proxy, upstreams) = proxy(&tables);
    let halting = ScriptedAction::HaltingStream { last: 3, pause: Duration::from_millis(800) };
    let mut events = start_stream(&proxy, &upstreams, halting).await;
    upstreams.set_default(ScriptedAction::Hang);
    assert_eq!(read_events(&mut events).await, (whole_stream(3), Ok(())));
    let executed_by: BTreeSet<InstanceId> =
        upstreams.sent.lock().unwrap().iter().map(|(instance, _)| instance.clone()).collect();
    assert!(executed_by.len() <= MAX_ATTEMPTS, "executed by {executed_by:?}");
}

/// Guards against streams that leave an upstream that goes on for one that has sent nothing but a
/// response head.
#[rstest]
#[tokio::test]
async fn paused_stream_goes_on_when_the_other_upstream_responds_without_events() {
    let tables = tables();
    let (proxy, upstreams) = proxy(&tables);
    let pause = Duration::from_millis(2_400);
    let paused = ScriptedAction::PausedStream { last: 5, pause_after: 2, pause };
    let mut events = start_stream(&proxy, &upstreams, paused).await;
    upstreams.set_default(ScriptedAction::Stream { last: 2, end: StreamEnd::Stalled });
    assert_eq!(read_events(&mut events).await, (whole_stream(5), Ok(())));
}

/// Guards against slow clients that make their upstream look stalled.
#[rstest]
#[tokio::test]
async fn upstream_is_not_stalled_because_a_client_reads_nothing() {
    let tables = tables();
    let (proxy, upstreams) = proxy(&tables);
    let complete = ScriptedAction::Stream { last: 5, end: StreamEnd::Complete };
    let events = start_stream(&proxy, &upstreams, complete).await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let stalled = tables.balancer.lock().loads.stalled_upstreams(Instant::now());
    assert_eq!(stalled, Vec::<InstanceId>::new());
    drop(events);
}

/// Guards against requests that leave a silent upstream although their key may not be sent again.
#[rstest]
#[tokio::test]
async fn request_stays_at_a_silent_upstream_when_its_key_was_revoked() {
    let tables = tables();
    let (proxy, upstreams) = proxy(&tables);
    let delay = Duration::from_millis(1_500);
    upstreams.set_default(ScriptedAction::SlowStream { last: 2, delay });
    let serving = {
        let proxy = Arc::clone(&proxy);
        tokio::spawn(async move { proxy.serve(request("notes")).await })
    };
    tokio::time::sleep(Duration::from_millis(100)).await;
    let current = config(1);
    let revoked = Config::new(
        2,
        vec![route("notes", RetryPolicy::Resumable, true, "models")],
        current.services.into_values().collect(),
        Some(BTreeMap::new()),
        current.limits,
    );
    assert!(tables.update_config(revoked));
    assert!(matches!(serving.await.unwrap(), Reply::Stream { .. }));
}

/// Guards against broken streams that wait behind every request that arrives later.
#[rstest]
#[tokio::test]
async fn broken_stream_is_placed_before_requests_that_arrive_later() {
    let tables = tables();
    let (proxy, upstreams) = proxy(&tables);
    let breaks = ScriptedAction::Stream { last: 2, end: StreamEnd::ConnectionLost };
    let mut events = start_stream(&proxy, &upstreams, breaks).await;
    let first = upstreams.sent.lock().unwrap()[0].0.clone();
    let pools = Arc::clone(tables.directory.lock().pools());
    let heads: Vec<_> = pools.values().flatten().filter(|u| u.instance.starts_with('e')).collect();
    for head in &heads {
        for _ in 0..3 {
            tables.balancer.lock().loads.acquire(Instant::now(), head, 0);
        }
    }
    let other = heads.iter().find(|u| u.instance != first).unwrap().key;
    upstreams.set_default(ScriptedAction::Stream { last: 5, end: StreamEnd::Complete });
    let reading = tokio::spawn(async move { read_events(&mut events).await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    let later = Arc::clone(&proxy);
    tokio::spawn(async move { later.serve(request("notes")).await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    tables.balancer.lock().loads.release(Instant::now(), other, UpstreamOutcome::Success);
    tables.dispatch_all_waiting(Instant::now());
    tokio::time::sleep(Duration::from_millis(100)).await;
    let resumed_after = upstreams.sent.lock().unwrap()[1].1.resume_after;
    assert_eq!(resumed_after, Some(2), "the later request was placed first");
    assert_eq!(reading.await.unwrap(), (whole_stream(5), Ok(())));
}

/// Guards against take-overs that start again, elsewhere, when the silent upstream breaks meanwhile.
#[rstest]
#[tokio::test]
async fn take_over_goes_on_when_the_silent_upstream_breaks() {
    let tables = tables();
    add_heads(&tables, 3);
    let (proxy, upstreams) = proxy(&tables);
    let breaks = ScriptedAction::BreakingStream { last: 2, pause: Duration::from_millis(800) };
    let mut events = start_stream(&proxy, &upstreams, breaks).await;
    let delay = Duration::from_millis(400);
    upstreams.set_default(ScriptedAction::SlowStream { last: 5, delay });
    assert_eq!(read_events(&mut events).await, (whole_stream(5), Ok(())));
    assert_eq!(upstreams.sends(), MAX_ATTEMPTS);
}
