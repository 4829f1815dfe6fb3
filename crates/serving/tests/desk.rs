//! Replies to clients and requests to upstreams when upstreams fail.

#![allow(clippy::unwrap_used, reason = "test helpers may panic")]

mod common;

use {
    common::{
        ScriptedAction, ScriptedUpstreams, StreamEnd, proxy, proxy_with_clock, read_events,
        request, restart_heads, tables,
    },
    rstest::rstest,
    std::{
        collections::BTreeSet,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::{sleep, timeout},
    turmerictack_model::{
        clock::{Clock as _, ManualClock},
        digest::hash64,
    },
    turmerictack_serving::{
        directory::Instance,
        in_flight::Stage,
        interfaces::{SendError, StatedLoad, UpstreamNotice},
        proxy::Proxy,
        rejection::{ExecutionStatus, Reason, Rejection},
        request::Reply,
        shutdown::Shutdown,
        stream::StreamError,
        tables::Tables,
    },
};

async fn expect_rejection(proxy: &Arc<Proxy>, route: &str) -> Rejection {
    match proxy.serve(request(route)).await {
        Reply::Rejected(rejection) => rejection,
        Reply::Complete { head, .. } => panic!("upstream response with status {}", head.status),
        Reply::Stream { .. } => panic!("stream"),
    }
}

/// Text of a stream as received by the client, and how the stream ended.
async fn read_stream(proxy: &Arc<Proxy>, route: &str) -> (String, Result<(), StreamError>) {
    let Reply::Stream { mut events, .. } = proxy.serve(request(route)).await else {
        panic!("no stream")
    };
    read_events(&mut events).await
}

fn whole_stream(last: u64) -> String {
    (0..=last).map(|at| format!("id: {at}\ndata: piece-{at}\n\n")).collect()
}

#[rstest]
#[tokio::test]
async fn interrupted_stream_resumes_after_its_last_event() {
    let tables = tables();
    let (proxy, upstreams) = proxy(&tables);
    let breaking = ScriptedAction::Stream { last: 3, end: StreamEnd::ConnectionLost };
    let completing = ScriptedAction::Stream { last: 9, end: StreamEnd::Complete };
    for id in ["e0", "e1"] {
        upstreams.script(id, [breaking.clone()]);
    }
    upstreams.set_default(completing.clone());
    // The first upstream is lost; the second is asked to resume, and follows a new script.
    let first = proxy.serve(request("notes"));
    let Reply::Stream { mut events, .. } = first.await else { panic!("no stream") };
    for id in ["e0", "e1"] {
        upstreams.script(id, [completing.clone()]);
    }
    let mut text = String::new();
    while let Some(bytes) = events.next().await.unwrap() {
        text.push_str(std::str::from_utf8(&bytes).unwrap());
    }
    assert_eq!(text, whole_stream(9));
    let sent = upstreams.sent.lock().unwrap();
    assert_eq!(sent.len(), 2);
    assert_ne!(sent[0].0, sent[1].0);
    assert_eq!(sent[1].1.resume_after, Some(3));
}

#[rstest]
#[tokio::test]
async fn stalled_stream_fails_over_to_another_upstream() {
    let tables = tables();
    let (proxy, upstreams) = proxy(&tables);
    upstreams.set_default(ScriptedAction::Stream { last: 2, end: StreamEnd::Stalled });
    let Reply::Stream { mut events, .. } = proxy.serve(request("notes")).await else {
        panic!("no stream")
    };
    upstreams.set_default(ScriptedAction::Stream { last: 5, end: StreamEnd::Complete });
    let mut text = String::new();
    while let Some(bytes) = timeout(Duration::from_secs(2), events.next()).await.unwrap().unwrap() {
        text.push_str(std::str::from_utf8(&bytes).unwrap());
    }
    assert_eq!(text, whole_stream(5));
}

#[rstest]
#[tokio::test]
async fn interrupted_stream_that_cannot_resume_ends_with_an_error() {
    let tables = tables();
    let (proxy, upstreams) = proxy(&tables);
    upstreams.set_default(ScriptedAction::Stream { last: 3, end: StreamEnd::ConnectionLost });
    let (text, end) = read_stream(&proxy, "raw").await;
    assert_eq!(text, whole_stream(3));
    assert_eq!(end, Err(StreamError::UpstreamLost));
    assert_eq!(upstreams.sends(), 1);
}

#[rstest]
#[case::connection_lost(SendError::ConnectionLost, ExecutionStatus::Unknown, 1)]
#[case::invalid_response(SendError::InvalidResponse, ExecutionStatus::Unknown, 1)]
#[case::overloaded(SendError::Overloaded, ExecutionStatus::NotExecuted, 2)]
#[case::wrong_instance(SendError::WrongInstance, ExecutionStatus::NotExecuted, 2)]
#[case::not_sent(SendError::NotSent, ExecutionStatus::NotExecuted, 2)]
#[tokio::test]
async fn booking_is_reported_as_not_executed_only_when_certain(
    #[case] error: SendError,
    #[case] execution: ExecutionStatus,
    #[case] sends: usize,
) {
    let tables = tables();
    let (proxy, upstreams) = proxy(&tables);
    upstreams.set_default(ScriptedAction::Fail(error));
    let rejection = expect_rejection(&proxy, "book").await;
    assert_eq!(rejection.execution, execution);
    assert_eq!(upstreams.sends(), sends);
}

#[rstest]
#[tokio::test]
async fn booking_is_sent_over_a_new_connection() {
    let tables = tables();
    let (proxy, upstreams) = proxy(&tables);
    upstreams.set_default(ScriptedAction::Respond(200, "done"));
    let Reply::Complete { head, body } = proxy.serve(request("book")).await else { panic!() };
    assert_eq!((head.status.as_u16(), &body[..]), (200, &b"done"[..]));
    assert!(!upstreams.sent.lock().unwrap()[0].1.reuse_connection);
}

#[rstest]
#[tokio::test]
async fn booking_continues_after_client_disconnect() {
    let tables = tables();
    let (proxy, upstreams) = proxy(&tables);
    upstreams.set_default(ScriptedAction::Hang);
    let serving = tokio::spawn({
        let proxy = Arc::clone(&proxy);
        async move { proxy.serve(request("book")).await }
    });
    sleep(Duration::from_millis(50)).await;
    serving.abort();
    sleep(Duration::from_millis(50)).await;
    assert_eq!(total_in_flight(&proxy), 1);
}

#[rstest]
#[tokio::test]
async fn lookup_is_retried_after_an_upstream_error() {
    let tables = tables();
    let (proxy, upstreams) = proxy(&tables);
    upstreams.script("p0", [ScriptedAction::Respond(500, "no")]);
    upstreams.set_default(ScriptedAction::Respond(200, "yes"));
    // Whichever upstream is tried first, two sends are enough for a success.
    let mut lookups = 0;
    while upstreams.scripts.lock().unwrap()["p0"].len() == 1 {
        let Reply::Complete { body, .. } = proxy.serve(request("look")).await else { panic!() };
        assert_eq!(&body[..], b"yes");
        lookups += 1;
    }
    assert_eq!(upstreams.sends(), lookups + 1);
}

#[rstest]
#[tokio::test]
async fn upstream_error_is_passed_on_when_all_retries_fail() {
    let tables = tables();
    let (proxy, upstreams) = proxy(&tables);
    upstreams.set_default(ScriptedAction::Respond(500, "no"));
    let Reply::Complete { head, body } = proxy.serve(request("look")).await else { panic!() };
    assert_eq!((head.status.as_u16(), &body[..]), (500, &b"no"[..]));
    assert_eq!(upstreams.sends(), 2);
}

#[rstest]
#[tokio::test]
async fn client_disconnect_cancels_stream_and_releases_slot() {
    let tables = tables();
    let (proxy, upstreams) = proxy(&tables);
    upstreams.set_default(ScriptedAction::Stream { last: 1, end: StreamEnd::Stalled });
    let Reply::Stream { events, .. } = proxy.serve(request("notes")).await else { panic!() };
    assert_eq!((total_in_flight(&proxy), *upstreams.open_bodies.lock().unwrap()), (1, 1));
    drop(events);
    assert_eq!((total_in_flight(&proxy), *upstreams.open_bodies.lock().unwrap()), (0, 0));
}

#[rstest]
#[case::unknown_key(|r: &mut turmerictack_serving::request::Request| r.api_key = None, Reason::UnknownKey)]
#[case::no_route(|r: &mut turmerictack_serving::request::Request| r.path = "/none/".to_owned(), Reason::NoRoute)]
#[tokio::test]
async fn request_not_allowed_by_the_configuration_is_invalid(
    #[case] alter: fn(&mut turmerictack_serving::request::Request),
    #[case] reason: Reason,
) {
    let tables = tables();
    let (proxy, upstreams) = proxy(&tables);
    let mut request = request("look");
    alter(&mut request);
    let Reply::Rejected(rejection) = proxy.serve(request).await else { panic!() };
    assert_eq!((rejection.reason, rejection.execution), (reason, ExecutionStatus::Invalid));
    assert_eq!(upstreams.sends(), 0);
}

/// Lists another instance of the service without models.
fn add_lookup_upstream(tables: &Tables, at: usize) {
    tables.directory.lock().insert(format!("p{at}"), common::plain_instance(at + 10));
    tables.rebuild_upstreams(Instant::now());
}

#[rstest]
#[tokio::test]
async fn request_that_crashes_its_upstreams_is_quarantined_after_three_of_them() {
    let tables = tables();
    let (proxy, upstreams) = proxy(&tables);
    *upstreams.crashing_text.lock().unwrap() = Some("body");
    for at in 0..4 {
        add_lookup_upstream(&tables, at + 2);
        proxy.serve(request("look")).await;
        sleep(Duration::from_millis(20)).await;
    }
    let before = upstreams.sends();
    assert!((3..=4).contains(&before), "{before} sends");
    assert_eq!(expect_rejection(&proxy, "look").await.reason, Reason::Quarantined);
    assert_eq!(upstreams.sends(), before);
}

/// Guards against sound requests that are refused for ten minutes, because upstreams that go on
/// running lost the answers to them (review/3).
#[rstest]
#[case::lost_before_the_head(ScriptedAction::Fail(SendError::ConnectionLost))]
#[case::lost_in_the_body(ScriptedAction::Stream { last: 0, end: StreamEnd::ConnectionLost })]
#[tokio::test]
async fn answers_lost_by_upstreams_that_go_on_running_quarantine_no_request(
    #[case] action: ScriptedAction,
) {
    let tables = tables();
    let (proxy, upstreams) = proxy(&tables);
    upstreams.set_default(action);
    for at in 0..8 {
        add_lookup_upstream(&tables, at + 2);
        proxy.serve(request("look")).await;
    }
    assert!(upstreams.sends() >= 8);
    sleep(Duration::from_millis(1_200)).await;
    upstreams.set_default(ScriptedAction::Respond(200, "found"));
    assert!(matches!(proxy.serve(request("look")).await, Reply::Complete { .. }));
}

/// Guards against a request that goes on crashing upstreams, because they lose its connection some
/// time before they crash.
#[rstest]
#[case::refuses_connections(false)]
#[case::is_back_already(true)]
#[tokio::test]
async fn upstream_that_crashes_after_its_answer_was_cut_counts_as_crashed(#[case] is_back: bool) {
    let tables = tables();
    let (proxy, upstreams) = proxy(&tables);
    upstreams.set_default(ScriptedAction::Fail(SendError::ConnectionLost));
    for at in 0..3 {
        add_lookup_upstream(&tables, at + 2);
    }
    for _ in 0..2 {
        proxy.serve(request("look")).await;
        sleep(Duration::from_millis(20)).await;
        for (id, _) in upstreams.sent.lock().unwrap().iter() {
            let instance = tables.directory.lock().get(id).unwrap().clone();
            if is_back {
                let restarted = Instance { started_ms: 2, ..instance };
                tables.directory.lock().insert(id.clone(), restarted);
            } else {
                upstreams.crashed.lock().unwrap().insert(instance.address);
            }
        }
        tables.rebuild_upstreams(Instant::now());
        sleep(Duration::from_millis(400)).await;
    }
    upstreams.set_default(ScriptedAction::Respond(200, "found"));
    let (before, rejection) = (upstreams.sends(), expect_rejection(&proxy, "look").await);
    assert_eq!((rejection.reason, upstreams.sends()), (Reason::Quarantined, before));
}

/// A request that was running while upstreams crashed for another reason is answered in between.
#[rstest]
#[tokio::test]
async fn request_that_is_answered_between_crashes_is_not_quarantined() {
    let tables = tables();
    let (proxy, upstreams) = proxy(&tables);
    for at in 0..6 {
        add_lookup_upstream(&tables, at + 2);
        *upstreams.crashing_text.lock().unwrap() = Some("body");
        upstreams.set_default(ScriptedAction::Respond(200, "found"));
        proxy.serve(request("look")).await;
        *upstreams.crashing_text.lock().unwrap() = None;
        add_lookup_upstream(&tables, at + 12);
        assert!(matches!(proxy.serve(request("look")).await, Reply::Complete { .. }), "{at}");
    }
}

#[rstest]
#[tokio::test]
async fn overload_is_rejected_in_time_and_never_sent_beyond_capacity() {
    let tables = tables();
    let (proxy, upstreams) = proxy(&tables);
    upstreams.set_default(ScriptedAction::Hang);
    let mut serving = Vec::new();
    for _ in 0..40 {
        let proxy = Arc::clone(&proxy);
        serving.push(tokio::spawn(async move { proxy.serve(request("notes")).await }));
    }
    sleep(Duration::from_millis(1_300)).await;
    // Two slots and one excess request at each of two upstreams.
    let capacity = 6;
    assert!(upstreams.sends() <= capacity, "{} sends", upstreams.sends());
    let ended = serving.iter().filter(|s| s.is_finished()).count();
    assert_eq!(
        ended,
        40 - capacity,
        "excess requests are rejected within a quarter of their timeout"
    );
}

#[rstest]
#[tokio::test]
async fn slightly_shorter_client_timeout_is_not_taken_for_a_retry() {
    let tables = tables();
    let (proxy, upstreams) = proxy(&tables);
    upstreams.set_default(ScriptedAction::Hang);
    let spawn = |id: &str, timeout_ms: u64| {
        let mut request = request("notes");
        request.id = id.to_owned();
        request.client_timeout = Some(Duration::from_millis(timeout_ms));
        let proxy = Arc::clone(&proxy);
        tokio::spawn(async move { proxy.serve(request).await })
    };
    let running: Vec<_> = (0..6).map(|at| spawn(&format!("running {at}"), 4_000)).collect();
    sleep(Duration::from_millis(20)).await;
    assert_eq!(upstreams.sends(), 6);
    let _first = spawn("first, slightly shorter timeout", 3_300);
    sleep(Duration::from_millis(20)).await;
    let _second = spawn("second", 4_000);
    sleep(Duration::from_millis(20)).await;
    running[0].abort();
    sleep(Duration::from_millis(20)).await;
    let sent = upstreams.sent.lock().unwrap();
    assert_eq!(sent.last().unwrap().1.request, "first, slightly shorter timeout");
}

fn total_in_flight(proxy: &Proxy) -> u32 {
    let balancer = proxy.tables.balancer.lock();
    let now = std::time::Instant::now();
    balancer.loads.local_loads(now).iter().map(|l| u32::from(l.in_flight)).sum()
}

/// A request whose prompt has these shared parts; no two are alike.
fn prompt(clock: &ManualClock, id: usize, parts: &[u64]) -> turmerictack_serving::request::Request {
    let mut request = request("notes");
    request.id = format!("r-{id}");
    request.received_at = clock.now();
    request.prompt_parts = parts.iter().copied().collect();
    let raw = Arc::make_mut(&mut request.raw);
    raw.body = format!("{id} {parts:?}").into();
    request
}

#[rstest]
#[tokio::test]
async fn prompts_with_a_part_that_crashes_engines_stop_reaching_them() {
    const DEADLY: u64 = 999_999;
    let tables = tables();
    let clock = Arc::new(ManualClock::default());
    let (proxy, upstreams) = proxy_with_clock(&tables, clock.clone());
    *upstreams.crashing_text.lock().unwrap() = Some("999999");
    upstreams.set_default(ScriptedAction::Stream { last: 3, end: StreamEnd::Complete });
    let mut deadly_sends = Vec::new();
    for at in 0..20 {
        let before = upstreams.sends();
        proxy.serve(prompt(&clock, 2 * at, &[at as u64, DEADLY])).await;
        deadly_sends.push(upstreams.sends() - before);
        restart_heads(&tables, at as u64 + 2);
        clock.advance(Duration::from_secs(2));
        let Reply::Stream { mut events, .. } =
            proxy.serve(prompt(&clock, 2 * at + 1, &[at as u64])).await
        else {
            panic!("a prompt without the crashing part was not served")
        };
        while events.next().await.unwrap().is_some() {}
        clock.advance(Duration::from_secs(2));
    }
    assert!(deadly_sends[0] > 0);
    assert_eq!(deadly_sends[5..].iter().sum::<usize>(), 0, "sends: {deadly_sends:?}");
}

#[rstest]
#[tokio::test]
async fn connections_that_live_upstreams_reset_condemn_no_prompt() {
    let tables = tables();
    let clock = Arc::new(ManualClock::default());
    let (proxy, upstreams) = proxy_with_clock(&tables, clock.clone());
    upstreams.set_default(ScriptedAction::Fail(SendError::ConnectionLost));
    for at in 0..6 {
        proxy.serve(prompt(&clock, at, &[1])).await;
        restart_heads(&tables, at as u64 + 2);
        clock.advance(Duration::from_secs(2));
    }
    upstreams.set_default(ScriptedAction::Stream { last: 3, end: StreamEnd::Complete });
    let reply = proxy.serve(prompt(&clock, 7, &[1])).await;
    assert!(matches!(reply, Reply::Stream { .. }));
}

/// Instances to which `count` lookups are sent.
async fn lookup_upstreams(
    proxy: &Arc<Proxy>,
    upstreams: &common::ScriptedUpstreams,
    clock: &ManualClock,
    count: usize,
) -> BTreeSet<String> {
    upstreams.sent.lock().unwrap().clear();
    for _ in 0..count {
        let mut request = request("look");
        request.received_at = clock.now();
        proxy.serve(request).await;
    }
    upstreams.sent.lock().unwrap().iter().map(|(instance, _)| instance.clone()).collect()
}

#[rstest]
#[tokio::test]
async fn upstream_that_states_it_is_leaving_gets_no_more_requests() {
    let tables = tables();
    let clock = Arc::new(ManualClock::default());
    let (proxy, upstreams) = proxy_with_clock(&tables, clock.clone());
    upstreams.set_default(ScriptedAction::Respond(200, "yes"));
    *upstreams.notice.lock().unwrap() =
        Some(UpstreamNotice { is_leaving: true, ..UpstreamNotice::default() });
    let leaving = lookup_upstreams(&proxy, &upstreams, &clock, 1).await;
    *upstreams.notice.lock().unwrap() = None;
    let others = lookup_upstreams(&proxy, &upstreams, &clock, 20).await;
    assert!(others.is_disjoint(&leaving), "{others:?}");
    // The listing does not show it yet; only a new run of the instance takes requests again.
    for id in &leaving {
        let again = common::plain_instance(10);
        tables.directory.lock().insert(id.clone(), again);
    }
    tables.rebuild_upstreams(clock.now());
    let others = lookup_upstreams(&proxy, &upstreams, &clock, 20).await;
    assert!(others.is_disjoint(&leaving), "{others:?}");
    for id in &leaving {
        let restarted = Instance { started_ms: 2, ..common::plain_instance(10) };
        tables.directory.lock().insert(id.clone(), restarted);
    }
    tables.rebuild_upstreams(clock.now());
    let all = lookup_upstreams(&proxy, &upstreams, &clock, 40).await;
    assert!(all.is_superset(&leaving), "{all:?}");
}

#[rstest]
#[tokio::test]
async fn upstream_that_asks_for_a_pause_gets_no_requests_until_its_end() {
    const PAUSE: Duration = Duration::from_secs(2);
    let tables = tables();
    let clock = Arc::new(ManualClock::default());
    let (proxy, upstreams) = proxy_with_clock(&tables, clock.clone());
    upstreams.set_default(ScriptedAction::Respond(200, "yes"));
    upstreams.script("p0", [ScriptedAction::Fail(SendError::Overloaded)]);
    *upstreams.notice.lock().unwrap() =
        Some(UpstreamNotice { pause: Some(PAUSE), ..UpstreamNotice::default() });
    while !lookup_upstreams(&proxy, &upstreams, &clock, 1).await.contains("p0") {}
    *upstreams.notice.lock().unwrap() = None;
    // Both instances have asked for the pause, since the request was sent to the other one next.
    let rejection = expect_rejection_at(&proxy, &clock, "look").await;
    assert_eq!(rejection.reason, Reason::PredictedWait);
    assert!(rejection.retry_after.is_some());
    assert!(lookup_upstreams(&proxy, &upstreams, &clock, 5).await.is_empty());
    clock.advance(PAUSE - Duration::from_millis(1));
    assert!(lookup_upstreams(&proxy, &upstreams, &clock, 5).await.is_empty());
    clock.advance(Duration::from_millis(1));
    assert_eq!(lookup_upstreams(&proxy, &upstreams, &clock, 40).await.len(), 2);
}

async fn expect_rejection_at(proxy: &Arc<Proxy>, clock: &ManualClock, route: &str) -> Rejection {
    let mut request = request(route);
    request.received_at = clock.now();
    match proxy.serve(request).await {
        Reply::Rejected(rejection) => rejection,
        Reply::Complete { .. } | Reply::Stream { .. } => panic!("not rejected"),
    }
}

#[rstest]
#[tokio::test]
async fn request_that_is_quarantined_while_it_waits_is_not_sent() {
    let tables = tables();
    let (proxy, upstreams) = proxy(&tables);
    upstreams.set_default(ScriptedAction::Hang);
    let serve = |id: usize| {
        let mut request = prompt(&ManualClock::default(), id, &[]);
        request.received_at = Instant::now();
        let digest =
            hash64(&[b"notes", b"guild", request.raw.path_and_query.as_bytes(), &request.raw.body]);
        let proxy = Arc::clone(&proxy);
        (digest, tokio::spawn(async move { proxy.serve(request).await }))
    };
    // Two slots and one excess request at each of two upstreams.
    let running: Vec<_> = (0..6).map(serve).collect();
    sleep(Duration::from_millis(50)).await;
    let (digest, waiting) = serve(6);
    sleep(Duration::from_millis(50)).await;
    assert_eq!(upstreams.sends(), 6);
    for crash in 0..3 {
        let at = Instant::now() + Duration::from_millis(20 * crash);
        tables.crashes.lock().requests.record_crash(at, crash, &[digest].into());
    }
    running[0].1.abort();
    let Ok(Reply::Rejected(rejection)) = waiting.await else { panic!("not rejected") };
    assert_eq!(rejection.reason, Reason::Quarantined);
    assert_eq!(upstreams.sends(), 6);
}

/// Serves a stream whose upstream is lost after three events, and resumes it at upstreams that act
/// as given.
async fn resume_at(action: ScriptedAction) -> (String, Result<(), StreamError>) {
    let tables = tables();
    let (proxy, upstreams) = proxy(&tables);
    upstreams.set_default(ScriptedAction::Stream { last: 2, end: StreamEnd::ConnectionLost });
    let Reply::Stream { mut events, .. } = proxy.serve(request("notes")).await else {
        panic!("no stream")
    };
    upstreams.set_default(action);
    let mut text = String::new();
    loop {
        match timeout(Duration::from_secs(3), events.next()).await.unwrap() {
            Ok(Some(bytes)) => text.push_str(std::str::from_utf8(&bytes).unwrap()),
            Ok(None) => return (text, Ok(())),
            Err(error) => return (text, Err(error)),
        }
    }
}

#[rstest]
#[case::error(ScriptedAction::Respond(500, "internal error\n\n"))]
#[case::refusal(ScriptedAction::Fail(SendError::Overloaded))]
#[case::success_that_is_no_stream(ScriptedAction::Respond(200, "{\"error\": \"no\"}\n\n"))]
#[case::no_events(ScriptedAction::Stream { last: 2, end: StreamEnd::Complete })]
#[tokio::test]
async fn stream_that_is_answered_with_an_error_when_resumed_ends_incomplete(
    #[case] action: ScriptedAction,
) {
    let (text, end) = resume_at(action).await;
    assert_eq!(text, whole_stream(2));
    assert_eq!(end, Err(StreamError::UpstreamLost));
}

#[rstest]
#[case::again_from_the_start(ScriptedAction::StreamFrom { first: 0, last: 5, per_chunk: 1 }, Ok(()))]
#[case::chunk_with_known_and_new_events(
    ScriptedAction::StreamFrom { first: 1, last: 5, per_chunk: 3 },
    Err(StreamError::UpstreamLost)
)]
#[tokio::test]
async fn events_that_come_again_when_a_stream_is_resumed_are_not_repeated(
    #[case] action: ScriptedAction,
    #[case] expected: Result<(), StreamError>,
) {
    let (text, end) = resume_at(action).await;
    assert_eq!(end, expected);
    let last = if end.is_ok() { 5 } else { 2 };
    assert_eq!(text, whole_stream(last));
}

#[rstest]
#[tokio::test]
async fn stream_without_any_event_is_no_complete_response() {
    let tables = tables();
    let (proxy, upstreams) = proxy(&tables);
    upstreams.set_default(ScriptedAction::StreamFrom { first: 1, last: 0, per_chunk: 1 });
    let rejection = expect_rejection(&proxy, "raw").await;
    assert_eq!(rejection.execution, ExecutionStatus::Unknown);
    assert_eq!(upstreams.sends(), 1);
    upstreams.script("e0", [ScriptedAction::StreamFrom { first: 1, last: 0, per_chunk: 1 }]);
    upstreams.script("e1", [ScriptedAction::StreamFrom { first: 1, last: 0, per_chunk: 1 }]);
    let rejection = expect_rejection(&proxy, "notes").await;
    assert_eq!(rejection.execution, ExecutionStatus::Unknown);
}

#[rstest]
#[tokio::test]
async fn response_that_is_no_stream_is_passed_on_whole() {
    let tables = tables();
    let (proxy, upstreams) = proxy(&tables);
    upstreams.set_default(ScriptedAction::Respond(200, "{\"note\": 1}"));
    let Reply::Complete { body, .. } = proxy.serve(request("notes")).await else { panic!() };
    assert_eq!(&body[..], b"{\"note\": 1}");
}

/// Time that a test waits for the checks of a stream, which are made by the clock of the runtime.
const CHECK_TIME: Duration = Duration::from_millis(400);

/// Serves a stream that stalls after three events while other streams of its upstream go on; the
/// clock then shows `gap`. Returns the number of upstreams that the request was sent to.
async fn sends_after_a_gap(gap: Duration) -> usize {
    let tables = tables();
    let clock = Arc::new(ManualClock::default());
    let (proxy, upstreams) = proxy_with_clock(&tables, clock.clone());
    upstreams.set_default(ScriptedAction::Stream { last: 2, end: StreamEnd::Stalled });
    let mut stalling = request("notes");
    stalling.received_at = clock.now();
    let Reply::Stream { mut events, .. } = proxy.serve(stalling).await else { panic!() };
    for _ in 0..3 {
        assert!(events.next().await.unwrap().is_some());
    }
    clock.advance(gap);
    let instance = upstreams.sent.lock().unwrap()[0].0.clone();
    let key = turmerictack_serving::directory::upstream_key(&instance);
    tables.balancer.lock().loads.record_progress(clock.now(), key, None);
    let _ = timeout(CHECK_TIME, events.next()).await;
    upstreams.sends()
}

#[rstest]
#[case::slow(900, 1)]
#[case::stalled(1_000, 2)]
#[tokio::test]
async fn stalled_stream_is_moved_while_others_of_its_upstream_go_on(
    #[case] gap_ms: u64,
    #[case] sends: usize,
) {
    assert_eq!(sends_after_a_gap(Duration::from_millis(gap_ms)).await, sends);
}

/// An upstream that states a high load gets requests again once the statement is outdated.
#[rstest]
#[tokio::test]
async fn stated_load_is_used_until_it_is_outdated() {
    const STATED_FOR: Duration = Duration::from_millis(50);
    let tables = tables();
    let clock = Arc::new(ManualClock::default());
    let (proxy, upstreams) = proxy_with_clock(&tables, clock.clone());
    upstreams.set_default(ScriptedAction::Respond(200, "yes"));
    let load = Some(StatedLoad { running: 2, waiting: 2, slots: 2 });
    *upstreams.notice.lock().unwrap() = Some(UpstreamNotice { load, ..UpstreamNotice::default() });
    let busy = lookup_upstreams(&proxy, &upstreams, &clock, 1).await;
    *upstreams.notice.lock().unwrap() = None;
    let others = lookup_upstreams(&proxy, &upstreams, &clock, 20).await;
    assert!(others.is_disjoint(&busy), "{others:?}");
    clock.advance(STATED_FOR);
    let all = lookup_upstreams(&proxy, &upstreams, &clock, 40).await;
    assert!(all.is_superset(&busy), "{all:?}");
}

/// Guards against a slot that is lost for good when a request ends at the moment at which it gets
/// one.
#[rstest]
#[tokio::test]
async fn slot_assigned_to_a_request_that_has_ended_is_free_again() {
    let tables = tables();
    let (proxy, upstreams) = proxy(&tables);
    upstreams.set_default(ScriptedAction::Hang);
    // Two slots and one excess request at each of two upstreams.
    let running: Vec<_> = (0..6)
        .map(|_| {
            let proxy = Arc::clone(&proxy);
            tokio::spawn(async move { proxy.serve(request("notes")).await })
        })
        .collect();
    sleep(Duration::from_millis(50)).await;
    let mut waiting = Box::pin(proxy.serve(request("notes")));
    assert!(timeout(Duration::from_millis(50), &mut waiting).await.is_err());
    for request in running {
        request.abort();
    }
    sleep(Duration::from_millis(50)).await;
    assert_eq!(upstreams.sends(), 6, "the slot is assigned and not taken yet");
    assert_eq!(total_in_flight(&proxy), 1);
    drop(waiting);
    assert_eq!(total_in_flight(&proxy), 0);
}

/// Guards against requests that are passed on late in a planned stop, and cut off without an answer
/// at its end.
#[rstest]
#[case::early(5_000, 0, None)]
#[case::in_time(2_500, 100, None)]
#[case::after_the_traffic(2_500, 0, Some(Reason::Stopping))]
#[case::late(1_000, 0, Some(Reason::Stopping))]
#[case::last_moment(100, 0, Some(Reason::Stopping))]
#[tokio::test]
async fn request_late_in_a_planned_stop_is_rejected_and_not_sent(
    #[case] left_ms: u64,
    #[case] traffic_left_ms: u64,
    #[case] reason: Option<Reason>,
    #[values("book", "look")] route: &str,
) {
    let tables = tables();
    let (proxy, upstreams) = proxy(&tables);
    warm_up(&proxy, &upstreams, route).await;
    let sent_before = upstreams.sends();
    let now = Instant::now();
    tables.begin_shutdown(Shutdown {
        traffic_ends_at: now + Duration::from_millis(traffic_left_ms),
        connections_end_at: now + Duration::from_millis(left_ms),
    });
    let rejection = match proxy.serve(request(route)).await {
        Reply::Rejected(rejection) => Some(rejection),
        _ => None,
    };
    assert_eq!(rejection.map(|r| r.reason), reason);
    assert!(rejection.is_none_or(|r| r.execution == ExecutionStatus::NotExecuted));
    assert_eq!(upstreams.sends() - sent_before, usize::from(reason.is_none()));
}

/// A booking that hangs at its upstream gets an answer before the node ends its connection.
#[rstest]
#[tokio::test]
async fn request_that_is_running_at_the_end_of_a_planned_stop_gets_a_response() {
    let tables = tables();
    let (proxy, upstreams) = proxy(&tables);
    warm_up(&proxy, &upstreams, "book").await;
    upstreams.set_default(ScriptedAction::Hang);
    let stops_at = begin_shutdown(&tables, 2_500);
    let rejection = expect_rejection(&proxy, "book").await;
    assert_eq!(
        (rejection.reason, rejection.execution),
        (Reason::Deadline, ExecutionStatus::Unknown)
    );
    assert!(Instant::now() < stops_at);
}

/// Guards against requests that wait in a queue, or have been sent, and are cut without a name in
/// the log.
#[rstest]
#[tokio::test]
async fn requests_in_flight_are_listed_with_their_stage() {
    let tables = tables();
    let (proxy, upstreams) = proxy(&tables);
    upstreams.set_default(ScriptedAction::Hang);
    let running: Vec<_> = (0..7)
        .map(|_| {
            let proxy = Arc::clone(&proxy);
            tokio::spawn(async move { proxy.serve(request("notes")).await })
        })
        .collect();
    sleep(Duration::from_millis(50)).await;
    let stages: Vec<Stage> = tables.in_flight.lock().iter().map(|r| r.stage).collect();
    assert_eq!(stages.iter().filter(|s| **s == Stage::Sent).count(), 6);
    assert_eq!(stages.iter().filter(|s| **s == Stage::Queued).count(), 1);
    assert_eq!(proxy.record_cut_requests(), 7);
    for request in running {
        request.abort();
    }
    sleep(Duration::from_millis(50)).await;
    assert_eq!(proxy.record_cut_requests(), 0);
}

/// Begins a shutdown whose connections end after `left_ms`, with traffic until then.
fn begin_shutdown(tables: &Tables, left_ms: u64) -> Instant {
    let connections_end_at = Instant::now() + Duration::from_millis(left_ms);
    let traffic_ends_at = connections_end_at;
    tables.begin_shutdown(Shutdown { traffic_ends_at, connections_end_at });
    connections_end_at
}

/// Serves requests, so that the node knows how long responses of the route take.
async fn warm_up(proxy: &Arc<Proxy>, upstreams: &ScriptedUpstreams, route: &str) {
    let is_stream = route == "notes";
    upstreams.set_default(if is_stream {
        ScriptedAction::Stream { last: 1, end: StreamEnd::Complete }
    } else {
        ScriptedAction::Respond(200, "done")
    });
    for _ in 0..10 {
        if is_stream {
            assert_eq!(read_stream(proxy, route).await.1, Ok(()));
        } else {
            assert!(matches!(proxy.serve(request(route)).await, Reply::Complete { .. }));
        }
    }
}

/// Guards against requests that were sent before a planned stop, hang, and are cut off at its end.
#[rstest]
#[tokio::test]
async fn request_sent_before_a_planned_stop_gets_a_response_before_its_end(
    #[values("book", "look", "notes")] route: &str,
) {
    let tables = tables();
    let (proxy, upstreams) = proxy(&tables);
    upstreams.set_default(ScriptedAction::Hang);
    let serving = {
        let (proxy, request) = (Arc::clone(&proxy), request(route));
        tokio::spawn(async move { proxy.serve(request).await })
    };
    sleep(Duration::from_millis(50)).await;
    begin_shutdown(&tables, 700);
    let reply = timeout(Duration::from_millis(700), serving).await;
    let Ok(Ok(Reply::Rejected(rejection))) = reply else { panic!("no response in time") };
    assert_eq!(rejection.execution, ExecutionStatus::Unknown);
    assert!(rejection.is_timeout());
}

/// Guards against streams that end before the node does, although their deadline is later.
#[rstest]
#[tokio::test]
async fn stream_that_has_begun_keeps_its_deadline_in_a_planned_stop() {
    let tables = tables();
    let (proxy, upstreams) = proxy(&tables);
    warm_up(&proxy, &upstreams, "notes").await;
    upstreams.set_default(ScriptedAction::Stream { last: 2, end: StreamEnd::Stalled });
    let stops_at = begin_shutdown(&tables, 2_500);
    let request = request("notes");
    let deadline = request.received_at + Duration::from_secs(4);
    let Reply::Stream { mut events, .. } = proxy.serve(request).await else { panic!("no stream") };
    assert_eq!(upstreams.sent.lock().unwrap().last().unwrap().1.deadline, deadline);
    let ended = loop {
        let left = stops_at.saturating_duration_since(Instant::now());
        match timeout(left, events.next()).await {
            Ok(Ok(Some(_))) => {}
            Ok(end) => break Some(end),
            Err(_) => break None,
        }
    };
    assert_eq!(ended, None, "the stream ended before the node");
}
