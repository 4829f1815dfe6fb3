//! Requests at a node that shuts down, and when it may still send them to an upstream.

#![allow(clippy::unwrap_used, reason = "test helpers may panic")]

mod common;

use {
    common::{ScriptedAction, StreamEnd, proxy, request, tables},
    rstest::rstest,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::{sleep, timeout},
    turmerictack_serving::{
        interfaces::SendError,
        rejection::{ExecutionStatus, Reason, Rejection},
        request::Reply,
        response_time::ResponseDurations,
        shutdown::Shutdown,
    },
};

const MS: Duration = Duration::from_millis(1);

/// A shutdown that began at `start`: traffic ends after 2.8 s, connections after 7.6 s.
fn shutdown(start: Instant) -> Shutdown {
    Shutdown { traffic_ends_at: start + 2_800 * MS, connections_end_at: start + 7_600 * MS }
}

#[rstest]
#[case::whole_timeout_fits(1_000, 7_400, None, Some(7_400))]
#[case::whole_timeout_fits_late(5_000, 7_400, Some(9_000), Some(7_400))]
#[case::unknown_duration(0, 7_500, None, None)]
#[case::short_responses(1_000, 9_000, Some(500), Some(2_800))]
#[case::short_responses_late(2_900, 9_000, Some(500), None)]
#[case::long_responses(1_000, 9_000, Some(5_000), Some(2_400))]
#[case::long_responses_late(2_500, 9_000, Some(5_000), None)]
#[case::longer_than_the_shutdown(0, 9_000, Some(8_000), None)]
fn request_is_sent_only_if_its_response_fits_into_the_shutdown(
    #[case] now_ms: u32,
    #[case] deadline_ms: u32,
    #[case] expected_ms: Option<u32>,
    #[case] latest_ms: Option<u32>,
) {
    let start = Instant::now() + Duration::from_secs(60);
    let expected = expected_ms.map(|ms| ms * MS);
    let latest =
        shutdown(start).latest_send(start + now_ms * MS, start + deadline_ms * MS, expected);
    assert_eq!(latest, latest_ms.map(|ms| start + ms * MS));
}

#[rstest]
fn longest_of_the_recent_responses_is_expected() {
    let pool = ("models".to_owned(), Some("m".to_owned()));
    let mut durations = ResponseDurations::default();
    assert_eq!(durations.longest(&pool), None);
    for ms in [900, 4_000, 100, 100, 100, 100, 100] {
        durations.record(&pool, ms * MS);
        assert_eq!(durations.longest(&pool), None, "too few responses");
    }
    durations.record(&pool, 100 * MS);
    assert_eq!(durations.longest(&pool), Some(4_000 * MS));
    for _ in 0..64 {
        durations.record(&pool, 300 * MS);
    }
    assert_eq!(durations.longest(&pool), Some(300 * MS));
}

async fn reply_to_stopping(
    warm_up: bool,
    traffic_left_ms: u32,
    connections_left_ms: u32,
) -> (Option<Rejection>, usize) {
    let tables = tables();
    let (proxy, upstreams) = proxy(&tables);
    upstreams.set_default(ScriptedAction::Stream { last: 1, end: StreamEnd::Complete });
    if warm_up {
        for _ in 0..8 {
            let Reply::Stream { mut events, .. } = proxy.serve(request("notes")).await else {
                panic!("no stream")
            };
            while events.next().await.unwrap().is_some() {}
        }
    }
    let (now, before) = (Instant::now(), upstreams.sends());
    tables.begin_shutdown(Shutdown {
        traffic_ends_at: now + traffic_left_ms * MS,
        connections_end_at: now + connections_left_ms * MS,
    });
    let rejection = match proxy.serve(request("notes")).await {
        Reply::Rejected(rejection) => Some(rejection),
        _ => None,
    };
    (rejection, upstreams.sends() - before)
}

/// Guards against streams that begin late in a planned stop and are cut at its end.
#[rstest]
#[case::known_to_be_short(true, 2_000, 3_000, true)]
#[case::unknown(false, 2_000, 3_000, false)]
#[case::after_the_traffic(true, 0, 3_000, false)]
#[case::timeout_fits(false, 0, 5_000, true)]
#[tokio::test]
async fn stream_that_does_not_fit_into_a_planned_stop_is_rejected_and_not_sent(
    #[case] warm_up: bool,
    #[case] traffic_left_ms: u32,
    #[case] connections_left_ms: u32,
    #[case] is_sent: bool,
) {
    let (rejection, sends) = reply_to_stopping(warm_up, traffic_left_ms, connections_left_ms).await;
    assert_eq!(sends, usize::from(is_sent));
    assert_eq!(rejection.is_none(), is_sent);
    if let Some(rejection) = rejection {
        assert_eq!(
            (rejection.reason, rejection.execution),
            (Reason::Stopping, ExecutionStatus::NotExecuted)
        );
        assert!(rejection.retry_after.unwrap() <= 200 * MS);
    }
}

/// Guards against queued requests that a planned stop leaves waiting, and cuts after their send.
#[rstest]
#[tokio::test]
async fn queued_request_is_rejected_at_once_when_a_planned_stop_leaves_it_no_time() {
    let tables = tables();
    let (proxy, upstreams) = proxy(&tables);
    upstreams.set_default(ScriptedAction::Stream { last: 1, end: StreamEnd::Stalled });
    let mut streams = Vec::new();
    for _ in 0..6 {
        streams.push(proxy.serve(request("notes")).await);
    }
    let waiting = {
        let proxy = Arc::clone(&proxy);
        tokio::spawn(async move { proxy.serve(request("notes")).await })
    };
    sleep(50 * MS).await;
    assert!(!waiting.is_finished());
    tables.begin_shutdown(shutdown(Instant::now() - 4_500 * MS));
    let reply = timeout(100 * MS, waiting).await.expect("it waits on").unwrap();
    let Reply::Rejected(rejection) = reply else { panic!("not rejected") };
    assert_eq!(
        (rejection.reason, rejection.execution),
        (Reason::Stopping, ExecutionStatus::NotExecuted)
    );
    assert_eq!(upstreams.sends(), 6);
}

/// Guards against second sends whose responses no longer fit into a planned stop.
#[rstest]
#[tokio::test]
async fn request_is_not_sent_again_when_a_planned_stop_leaves_it_no_time() {
    let tables = tables();
    let (proxy, upstreams) = proxy(&tables);
    upstreams.set_default(ScriptedAction::Fail(SendError::Overloaded));
    let stopping = Arc::clone(&tables);
    *upstreams.before_response.lock().unwrap() = Some(Box::new(move || {
        stopping.begin_shutdown(shutdown(Instant::now() - 4_500 * MS));
    }));
    let Reply::Rejected(rejection) = proxy.serve(request("notes")).await else {
        panic!("not rejected")
    };
    assert_eq!(
        (rejection.reason, rejection.execution),
        (Reason::Stopping, ExecutionStatus::NotExecuted)
    );
    assert_eq!(upstreams.sends(), 1);
}
