//! What callers get when upstreams fail, and what upstreams see.

#![allow(clippy::unwrap_used, reason = "helpers of tests fail like tests")]

mod common;

use {
    common::{Act, StreamEnd, desk, request, tables},
    rstest::rstest,
    std::{sync::Arc, time::Duration},
    tokio::time::{sleep, timeout},
    turmerictack_serving::{
        borders::SendError,
        desk::Desk,
        refusal::{Promise, Reason, Refusal},
        request::Reply,
        stream::StreamCut,
    },
};

async fn refusal(desk: &Arc<Desk>, route: &str) -> Refusal {
    match desk.serve(request(route)).await {
        Reply::Refused(refusal) => refusal,
        Reply::Whole { head, .. } => panic!("answered with {}", head.status),
        Reply::Stream { .. } => panic!("streamed"),
    }
}

/// Everything of a stream that reaches the caller, and how it ended.
async fn read(desk: &Arc<Desk>, route: &str) -> (String, Result<(), StreamCut>) {
    let Reply::Stream { mut events, .. } = desk.serve(request(route)).await else {
        panic!("no stream")
    };
    let mut text = String::new();
    loop {
        match events.next().await {
            Ok(Some(bytes)) => text.push_str(std::str::from_utf8(&bytes).unwrap()),
            Ok(None) => return (text, Ok(())),
            Err(cut) => return (text, Err(cut)),
        }
    }
}

fn whole_stream(last: u64) -> String {
    (0..=last).map(|at| format!("id: {at}\ndata: piece-{at}\n\n")).collect()
}

#[rstest]
#[tokio::test]
async fn a_stream_that_breaks_goes_on_after_its_last_event() {
    let tables = tables();
    let (desk, upstreams) = desk(&tables);
    let breaks = Act::Stream { last: 3, end: StreamEnd::Broken };
    let goes_on = Act::Stream { last: 9, end: StreamEnd::Proper };
    for id in ["e0", "e1"] {
        upstreams.script(id, [breaks.clone()]);
    }
    upstreams.otherwise(goes_on.clone());
    // The first upstream breaks off; the second one is asked to go on, and has a new script.
    let first = desk.serve(request("notes"));
    let Reply::Stream { mut events, .. } = first.await else { panic!("no stream") };
    for id in ["e0", "e1"] {
        upstreams.script(id, [goes_on.clone()]);
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
async fn a_silent_stream_goes_on_at_another_upstream() {
    let tables = tables();
    let (desk, upstreams) = desk(&tables);
    upstreams.otherwise(Act::Stream { last: 2, end: StreamEnd::Silent });
    let Reply::Stream { mut events, .. } = desk.serve(request("notes")).await else {
        panic!("no stream")
    };
    upstreams.otherwise(Act::Stream { last: 5, end: StreamEnd::Proper });
    let mut text = String::new();
    while let Some(bytes) = timeout(Duration::from_secs(2), events.next()).await.unwrap().unwrap() {
        text.push_str(std::str::from_utf8(&bytes).unwrap());
    }
    assert_eq!(text, whole_stream(5));
}

#[rstest]
#[tokio::test]
async fn a_stream_that_may_not_resume_ends_cut_and_not_complete() {
    let tables = tables();
    let (desk, upstreams) = desk(&tables);
    upstreams.otherwise(Act::Stream { last: 3, end: StreamEnd::Broken });
    let (text, end) = read(&desk, "raw").await;
    assert_eq!(text, whole_stream(3));
    assert_eq!(end, Err(StreamCut::UpstreamLost));
    assert_eq!(upstreams.sends(), 1);
}

#[rstest]
#[case::broken(SendError::Broken, Promise::Unknown, 1)]
#[case::garbled(SendError::Garbled, Promise::Unknown, 1)]
#[case::full(SendError::Full, Promise::NotRun, 2)]
#[case::wrong_instance(SendError::WrongInstance, Promise::NotRun, 2)]
#[case::not_sent(SendError::NotSent, Promise::NotRun, 2)]
#[tokio::test]
async fn a_booking_is_said_not_to_have_run_only_when_that_is_certain(
    #[case] error: SendError,
    #[case] promise: Promise,
    #[case] sends: usize,
) {
    let tables = tables();
    let (desk, upstreams) = desk(&tables);
    upstreams.otherwise(Act::Fail(error));
    let refusal = refusal(&desk, "book").await;
    assert_eq!(refusal.promise, promise);
    assert_eq!(upstreams.sends(), sends);
}

#[rstest]
#[tokio::test]
async fn a_booking_goes_over_a_connection_that_nobody_used_before() {
    let tables = tables();
    let (desk, upstreams) = desk(&tables);
    upstreams.otherwise(Act::Whole(200, "done"));
    let Reply::Whole { head, body } = desk.serve(request("book")).await else { panic!() };
    assert_eq!((head.status.as_u16(), &body[..]), (200, &b"done"[..]));
    assert!(!upstreams.sent.lock().unwrap()[0].1.reuse_connection);
}

#[rstest]
#[tokio::test]
async fn a_booking_runs_to_its_end_when_its_caller_leaves() {
    let tables = tables();
    let (desk, upstreams) = desk(&tables);
    upstreams.otherwise(Act::Hang);
    let serving = tokio::spawn({
        let desk = Arc::clone(&desk);
        async move { desk.serve(request("book")).await }
    });
    sleep(Duration::from_millis(50)).await;
    serving.abort();
    sleep(Duration::from_millis(50)).await;
    assert_eq!(in_flight(&desk), 1);
}

#[rstest]
#[tokio::test]
async fn a_lookup_is_repeated_after_a_failure_of_the_upstream() {
    let tables = tables();
    let (desk, upstreams) = desk(&tables);
    upstreams.script("p0", [Act::Whole(500, "no")]);
    upstreams.otherwise(Act::Whole(200, "yes"));
    // Whichever upstream comes first, a success is found within two sends.
    let mut lookups = 0;
    while upstreams.scripts.lock().unwrap()["p0"].len() == 1 {
        let Reply::Whole { body, .. } = desk.serve(request("look")).await else { panic!() };
        assert_eq!(&body[..], b"yes");
        lookups += 1;
    }
    assert_eq!(upstreams.sends(), lookups + 1);
}

#[rstest]
#[tokio::test]
async fn the_failure_of_an_upstream_is_passed_on_when_no_other_does_better() {
    let tables = tables();
    let (desk, upstreams) = desk(&tables);
    upstreams.otherwise(Act::Whole(500, "no"));
    let Reply::Whole { head, body } = desk.serve(request("look")).await else { panic!() };
    assert_eq!((head.status.as_u16(), &body[..]), (500, &b"no"[..]));
    assert_eq!(upstreams.sends(), 2);
}

#[rstest]
#[tokio::test]
async fn a_caller_that_leaves_cancels_its_stream_and_frees_the_place() {
    let tables = tables();
    let (desk, upstreams) = desk(&tables);
    upstreams.otherwise(Act::Stream { last: 1, end: StreamEnd::Silent });
    let Reply::Stream { events, .. } = desk.serve(request("notes")).await else { panic!() };
    assert_eq!((in_flight(&desk), *upstreams.open.lock().unwrap()), (1, 1));
    drop(events);
    assert_eq!((in_flight(&desk), *upstreams.open.lock().unwrap()), (0, 0));
}

#[rstest]
#[case::unknown_key(|r: &mut turmerictack_serving::request::Request| r.key = None, Reason::UnknownKey)]
#[case::no_route(|r: &mut turmerictack_serving::request::Request| r.path = "/none/".to_owned(), Reason::NoRoute)]
#[tokio::test]
async fn what_no_configuration_allows_is_refused_as_invalid(
    #[case] spoil: fn(&mut turmerictack_serving::request::Request),
    #[case] reason: Reason,
) {
    let tables = tables();
    let (desk, upstreams) = desk(&tables);
    let mut request = request("look");
    spoil(&mut request);
    let Reply::Refused(refusal) = desk.serve(request).await else { panic!() };
    assert_eq!((refusal.reason, refusal.promise), (reason, Promise::Invalid));
    assert_eq!(upstreams.sends(), 0);
}

#[rstest]
#[tokio::test]
async fn a_request_that_ends_upstreams_is_refused_after_the_third() {
    let tables = tables();
    let (desk, upstreams) = desk(&tables);
    upstreams.otherwise(Act::Fail(SendError::Broken));
    for at in 0..4 {
        let mut directory = tables.directory.lock();
        directory.insert(format!("p{}", at + 2), common::plain(at + 20));
        drop(directory);
        tables.rebuild(std::time::Instant::now());
        desk.serve(request("look")).await;
    }
    let before = upstreams.sends();
    assert!(before >= 3);
    assert_eq!(refusal(&desk, "look").await.reason, Reason::Quarantined);
    assert_eq!(upstreams.sends(), before);
}

#[rstest]
#[tokio::test]
async fn a_flood_is_refused_in_time_and_never_sent_beyond_the_places() {
    let tables = tables();
    let (desk, upstreams) = desk(&tables);
    upstreams.otherwise(Act::Hang);
    let mut serving = Vec::new();
    for _ in 0..40 {
        let desk = Arc::clone(&desk);
        serving.push(tokio::spawn(async move { desk.serve(request("notes")).await }));
    }
    sleep(Duration::from_millis(1_300)).await;
    // Two slots and one more at each of two upstreams.
    let places = 6;
    assert!(upstreams.sends() <= places, "{} sends", upstreams.sends());
    let ended = serving.iter().filter(|s| s.is_finished()).count();
    assert_eq!(ended, 40 - places, "those without a place are told within a quarter of their time");
}

#[rstest]
#[tokio::test]
async fn a_caller_with_less_patience_is_not_taken_for_one_that_comes_back() {
    let tables = tables();
    let (desk, upstreams) = desk(&tables);
    upstreams.otherwise(Act::Hang);
    let spawn = |id: &str, patience_ms: u64| {
        let mut request = request("notes");
        request.id = id.to_owned();
        request.patience = Some(Duration::from_millis(patience_ms));
        let desk = Arc::clone(&desk);
        tokio::spawn(async move { desk.serve(request).await })
    };
    let running: Vec<_> = (0..6).map(|at| spawn(&format!("running {at}"), 4_000)).collect();
    sleep(Duration::from_millis(20)).await;
    assert_eq!(upstreams.sends(), 6);
    let _first = spawn("came first, a little impatient", 3_300);
    sleep(Duration::from_millis(20)).await;
    let _second = spawn("came second", 4_000);
    sleep(Duration::from_millis(20)).await;
    running[0].abort();
    sleep(Duration::from_millis(20)).await;
    let sent = upstreams.sent.lock().unwrap();
    assert_eq!(sent.last().unwrap().1.request, "came first, a little impatient");
}

fn in_flight(desk: &Desk) -> u32 {
    let placing = desk.tables.placing.lock();
    let now = std::time::Instant::now();
    placing.loads.own(now).iter().map(|l| u32::from(l.in_flight)).sum()
}
