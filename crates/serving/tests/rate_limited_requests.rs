//! Requests to upstreams that state rate limits, from the client's request to its response.

#![allow(clippy::unwrap_used, reason = "a poisoned lock fails the test")]

mod common;

use {
    common::{
        ScriptedAction, ScriptedUpstreams, StreamEnd, proxy_with_clock, request, restart_heads,
        tables,
    },
    rstest::rstest,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    turmerictack_model::{
        clock::{Clock as _, ManualClock},
        rate::RequestRate,
    },
    turmerictack_serving::{
        interfaces::{SendError, StatedLimit, UpstreamNotice},
        proxy::Proxy,
        rejection::{ExecutionStatus, Reason, Rejection},
        request::Reply,
    },
};

const MAX_WAIT: Duration = Duration::from_secs(1);

fn notice(stated: StatedLimit) -> Option<UpstreamNotice> {
    Some(UpstreamNotice { rate_limit: stated, ..UpstreamNotice::default() })
}

fn limited_proxy(action: ScriptedAction) -> (Arc<Proxy>, Arc<ScriptedUpstreams>, Arc<ManualClock>) {
    let clock = Arc::new(ManualClock::default());
    let (proxy, upstreams) = proxy_with_clock(&tables(), clock.clone());
    upstreams.set_default(action);
    *upstreams.notice.lock().unwrap() = notice(StatedLimit::Limited(RequestRate::MIN));
    (proxy, upstreams, clock)
}

async fn serve(proxy: &Arc<Proxy>, clock: &ManualClock, route: &str) -> Result<(), Rejection> {
    let mut request = request(route);
    request.received_at = clock.now();
    match proxy.serve(request).await {
        Reply::Rejected(rejection) => Err(rejection),
        Reply::Complete { .. } => Ok(()),
        Reply::Stream { mut events, .. } => {
            while let Ok(Some(_)) = events.next().await {}
            Ok(())
        }
    }
}

#[rstest]
#[tokio::test]
async fn request_beyond_all_limits_is_rejected_at_once_whether_safe_or_not(
    #[values("look", "book")] route: &str,
) {
    let (proxy, upstreams, clock) = limited_proxy(ScriptedAction::Respond(200, "yes"));
    for _ in 0..2 {
        serve(&proxy, &clock, route).await.unwrap();
    }
    let started = Instant::now();
    let rejection = serve(&proxy, &clock, route).await.unwrap_err();
    assert!(started.elapsed() < MAX_WAIT);
    assert_eq!(rejection.reason, Reason::RateLimited);
    assert_eq!(rejection.execution, ExecutionStatus::NotExecuted);
    // Clients honour a delay of up to a third of the time that they have left.
    assert_eq!(rejection.retry_after, Some(Duration::from_secs(4) / 3));
    assert_eq!(upstreams.sends(), 2);
    clock.advance(Duration::from_secs(4));
    serve(&proxy, &clock, route).await.unwrap();
}

/// Guards against retries that are sent beyond a limit, and against telling the client that a request
/// that was sent has not run.
#[rstest]
#[tokio::test]
async fn retry_counts_towards_the_limit() {
    let (proxy, upstreams, clock) = limited_proxy(ScriptedAction::Respond(200, "yes"));
    for _ in 0..2 {
        serve(&proxy, &clock, "look").await.unwrap();
    }
    upstreams.set_default(ScriptedAction::Fail(SendError::ConnectionLost));
    clock.advance(Duration::from_secs(4));
    let rejection = serve(&proxy, &clock, "look").await.unwrap_err();
    assert_eq!(rejection.execution, ExecutionStatus::Unknown);
    assert_eq!(upstreams.sends(), 4, "both upstreams have got their request");
    let rejection = serve(&proxy, &clock, "look").await.unwrap_err();
    assert_eq!(rejection.reason, Reason::RateLimited);
    assert_eq!(upstreams.sends(), 4);
}

#[rstest]
#[tokio::test]
async fn resumed_stream_counts_towards_the_limit() {
    let breaking = ScriptedAction::Stream { last: 3, end: StreamEnd::ConnectionLost };
    let (proxy, upstreams, clock) = limited_proxy(breaking);
    serve(&proxy, &clock, "notes").await.unwrap();
    let sends = upstreams.sends();
    assert_eq!(sends, 2, "the stream was resumed at the other upstream");
    let rejection = serve(&proxy, &clock, "notes").await.unwrap_err();
    assert_eq!(rejection.reason, Reason::RateLimited);
    assert_eq!(upstreams.sends(), sends);
    restart_heads(&proxy.tables, 2);
    serve(&proxy, &clock, "notes").await.unwrap();
    assert!(upstreams.sends() > sends);
}
