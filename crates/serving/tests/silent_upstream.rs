//! Streams whose upstream is silent for a while, when no other upstream takes them at once.

#![allow(clippy::unwrap_used, reason = "test helpers may panic")]

mod common;

use {
    common::{ScriptedAction, ScriptedUpstreams, StreamEnd, proxy, read_events, request, tables},
    rstest::rstest,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
    turmerictack_model::ids::InstanceId,
    turmerictack_serving::{
        directory::Upstream, interfaces::SendError, load::UpstreamOutcome, proxy::Proxy,
        request::Reply, stream::EventStream, tables::Tables,
    },
};

/// Silence after which the upstream goes on; longer than the stall timeouts.
const PAUSE: Duration = Duration::from_millis(2_400);

fn whole_stream(last: u64) -> String {
    (0..=last).map(|at| format!("id: {at}\ndata: piece-{at}\n\n")).collect()
}

fn upstream(tables: &Tables, id: &str) -> Arc<Upstream> {
    let pools = Arc::clone(tables.directory.lock().pools());
    pools.values().flatten().find(|u| u.instance == id).map(Arc::clone).unwrap()
}

/// Takes `count` slots at an upstream, as requests of other clients do whose streams go on.
fn occupy(tables: &Arc<Tables>, upstream: &Arc<Upstream>, count: usize) {
    for _ in 0..count {
        tables.balancer.lock().loads.acquire(Instant::now(), upstream, 0);
    }
    let (tables, key) = (Arc::clone(tables), upstream.key);
    tokio::spawn(async move {
        loop {
            tables.balancer.lock().loads.record_progress(Instant::now(), key, None);
            sleep(Duration::from_millis(50)).await;
        }
    });
}

/// A stream whose first upstream does as given; returns the other upstream too.
async fn start_stream(
    proxy: &Arc<Proxy>,
    upstreams: &ScriptedUpstreams,
    action: ScriptedAction,
) -> (Box<EventStream>, Arc<Upstream>) {
    upstreams.set_default(action);
    let Reply::Stream { events, .. } = proxy.serve(request("notes")).await else {
        panic!("no stream")
    };
    let first: InstanceId = upstreams.sent.lock().unwrap()[0].0.clone();
    let other = if first == "e0" { "e1" } else { "e0" };
    (events, upstream(&proxy.tables, other))
}

fn paused() -> ScriptedAction {
    ScriptedAction::PausedStream { last: 5, pause_after: 2, pause: PAUSE }
}

/// Guards against streams that end because their upstream is silent and no other has a place.
#[rstest]
#[case::reserved_slot_left(2)]
#[case::full(3)]
#[tokio::test]
async fn paused_stream_goes_on_when_the_other_upstream_is_occupied(#[case] occupied: usize) {
    let tables = tables();
    let (proxy, upstreams) = proxy(&tables);
    let (mut events, other) = start_stream(&proxy, &upstreams, paused()).await;
    occupy(&tables, &other, occupied);
    upstreams.set_default(ScriptedAction::Hang);
    assert_eq!(read_events(&mut events).await, (whole_stream(5), Ok(())));
}

/// Guards against streams that end because the upstream that should take them over does not.
#[rstest]
#[case::overloaded(ScriptedAction::Fail(SendError::Overloaded))]
#[case::not_sent(ScriptedAction::Fail(SendError::NotSent))]
#[case::lost(ScriptedAction::Fail(SendError::ConnectionLost))]
#[case::error(ScriptedAction::Respond(500, "error"))]
#[case::silent_too(ScriptedAction::Hang)]
#[tokio::test]
async fn paused_stream_goes_on_when_no_other_upstream_takes_it(#[case] action: ScriptedAction) {
    let tables = tables();
    let (proxy, upstreams) = proxy(&tables);
    let (mut events, _) = start_stream(&proxy, &upstreams, paused()).await;
    upstreams.set_default(action);
    assert_eq!(read_events(&mut events).await, (whole_stream(5), Ok(())));
    assert!(upstreams.sends() <= 2, "{} sends", upstreams.sends());
    drop(events);
    assert_eq!(*upstreams.open_bodies.lock().unwrap(), 0);
    for id in ["e0", "e1"] {
        let key = upstream(&tables, id).key;
        assert_eq!(tables.balancer.lock().loads.in_flight(key), 0, "{id}");
    }
}

/// Guards against broken streams that end although a place becomes free before their deadline.
#[rstest]
#[tokio::test]
async fn broken_stream_waits_for_a_place_until_its_deadline() {
    let tables = tables();
    let (proxy, upstreams) = proxy(&tables);
    let breaks = ScriptedAction::Stream { last: 2, end: StreamEnd::ConnectionLost };
    let (mut events, other) = start_stream(&proxy, &upstreams, breaks).await;
    occupy(&tables, &other, 3);
    upstreams.set_default(ScriptedAction::Stream { last: 5, end: StreamEnd::Complete });
    let releasing = Arc::clone(&tables);
    tokio::spawn(async move {
        sleep(Duration::from_millis(1_500)).await;
        for _ in 0..3 {
            let now = Instant::now();
            releasing.balancer.lock().loads.release(now, other.key, UpstreamOutcome::Success);
        }
        releasing.dispatch_all_waiting(Instant::now());
    });
    assert_eq!(read_events(&mut events).await, (whole_stream(5), Ok(())));
}
