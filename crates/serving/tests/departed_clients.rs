//! Requests whose clients leave: in the queue, between two sends, before and after the first event.

#![allow(clippy::unwrap_used, reason = "test helpers may panic")]

mod common;

use {
    common::{ScriptedAction, ScriptedUpstreams, StreamEnd, proxy, request, tables},
    rstest::rstest,
    std::{sync::Arc, time::Duration},
    tokio::{
        task::JoinHandle,
        time::{sleep, timeout},
    },
    turmerictack_serving::{
        interfaces::SendError,
        proxy::Proxy,
        request::{Reply, Request},
    },
};

/// Time in which a request that can be sent has been sent, and one that is cancelled has ended.
const SETTLING_TIME: Duration = Duration::from_millis(50);

/// Requests that the two upstreams of a service run at once: two slots and one excess request each.
const PLACES: usize = 6;

fn spawn_request(proxy: &Arc<Proxy>, route: &'static str) -> JoinHandle<Reply> {
    let proxy = Arc::clone(proxy);
    tokio::spawn(async move { proxy.serve(request(route)).await })
}

fn total_in_flight(proxy: &Proxy) -> u32 {
    let tables = &proxy.tables;
    let keys: Vec<_> = tables.directory.lock().pools().values().flatten().map(|u| u.key).collect();
    let balancer = tables.balancer.lock();
    keys.into_iter().map(|key| balancer.loads.in_flight(key)).sum()
}

/// Waits until a number of requests have been sent.
async fn wait_for_sends(upstreams: &ScriptedUpstreams, count: usize) {
    let sent = async {
        while upstreams.sends() < count {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(Duration::from_secs(2), sent).await.unwrap();
}

/// Guards against requests that wait in the queue and are sent once there is a place, although their
/// clients have left (GONE).
#[rstest]
#[tokio::test]
async fn request_in_the_queue_is_not_sent_after_its_client_has_left(
    #[values("notes", "raw", "look", "book")] route: &'static str,
) {
    let tables = tables();
    let (proxy, upstreams) = proxy(&tables);
    upstreams.set_default(ScriptedAction::Hang);
    // Requests that may be repeated, so that dropping them frees their places.
    let filler = if matches!(route, "notes" | "raw") { "notes" } else { "look" };
    let running: Vec<_> = (0..PLACES).map(|_| spawn_request(&proxy, filler)).collect();
    wait_for_sends(&upstreams, PLACES).await;
    let waiting = spawn_request(&proxy, route);
    sleep(SETTLING_TIME).await;
    assert_eq!(upstreams.sends(), PLACES, "it waits");
    waiting.abort();
    sleep(SETTLING_TIME).await;
    running.iter().for_each(JoinHandle::abort);
    sleep(SETTLING_TIME).await;
    assert_eq!(upstreams.sends(), PLACES);
    assert_eq!(total_in_flight(&proxy), 0);
    assert_eq!(tables.in_flight.lock().iter().count(), 0, "nothing is left of it");
}

/// Guards against upstreams that go on working on a stream that nobody waits for, until its first
/// event (GONE).
#[rstest]
#[case::before_the_head(ScriptedAction::Hang, None)]
#[case::before_the_first_event(ScriptedAction::Stream { last: 3, end: StreamEnd::Stalled }, Some(3))]
#[case::between_events(ScriptedAction::Stream { last: 3, end: StreamEnd::Stalled }, None)]
#[tokio::test]
async fn stream_is_cancelled_when_its_client_leaves(
    #[values("notes", "raw")] route: &'static str,
    #[case] action: ScriptedAction,
    #[case] resume_after: Option<u64>,
) {
    let tables = tables();
    let (proxy, upstreams) = proxy(&tables);
    upstreams.set_default(action);
    // A client that reads what there is of the response.
    let client = tokio::spawn({
        let proxy = Arc::clone(&proxy);
        async move {
            let request = Request { resume_after, ..request(route) };
            let Reply::Stream { mut events, .. } = proxy.serve(request).await else { return };
            while events.next().await.is_ok() {}
        }
    });
    wait_for_sends(&upstreams, 1).await;
    sleep(SETTLING_TIME).await;
    assert_eq!(total_in_flight(&proxy), 1);
    client.abort();
    sleep(SETTLING_TIME).await;
    assert_eq!(*upstreams.open_bodies.lock().unwrap(), 0);
    assert_eq!(total_in_flight(&proxy), 0);
    assert_eq!(upstreams.sends(), 1);
}

/// A request that may be executed once goes on at its upstream, but is not sent to another one after
/// its client has left (GONE).
#[rstest]
#[tokio::test]
async fn refused_request_is_not_sent_again_after_its_client_has_left() {
    let tables = tables();
    let (proxy, upstreams) = proxy(&tables);
    upstreams.set_default(ScriptedAction::Respond(200, "done"));
    let refusal = ScriptedAction::FailAfter(SETTLING_TIME * 2, SendError::Overloaded);
    for id in ["p0", "p1"] {
        upstreams.script(id, [refusal.clone()]);
    }
    let client = spawn_request(&proxy, "book");
    wait_for_sends(&upstreams, 1).await;
    client.abort();
    sleep(SETTLING_TIME * 4).await;
    assert_eq!(upstreams.sends(), 1);
    assert_eq!(total_in_flight(&proxy), 0);
}

/// The request itself goes on: its upstream may have begun to execute it.
#[rstest]
#[tokio::test]
async fn request_that_may_be_executed_once_goes_on_at_its_upstream() {
    let tables = tables();
    let (proxy, upstreams) = proxy(&tables);
    upstreams.set_default(ScriptedAction::Hang);
    let client = spawn_request(&proxy, "book");
    wait_for_sends(&upstreams, 1).await;
    client.abort();
    sleep(SETTLING_TIME).await;
    assert_eq!(total_in_flight(&proxy), 1);
    assert!(upstreams.sent.lock().unwrap()[0].1.client.has_left());
}
