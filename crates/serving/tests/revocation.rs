//! Revoked API keys stop working in time, also at nodes that are out of touch with the store.

#![allow(clippy::unwrap_used, reason = "test helpers may panic")]

mod common;

use {
    common::{ScriptedAction, StreamEnd, proxy_with_clock, request},
    rand::{RngExt as _, SeedableRng as _},
    rand_pcg::Pcg64Mcg,
    rstest::rstest,
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::{sleep, timeout},
    turmerictack_model::clock::{Clock as _, ManualClock},
    turmerictack_serving::{
        config::{Account, Config, RetryPolicy},
        config_state::{ConfigState, KeyFreshness},
        proxy::Proxy,
        rejection::{ExecutionStatus, Reason, Rejection},
        request::Reply,
        stream::StreamError,
        tables::Tables,
    },
};

const BOUND: Duration = Duration::from_secs(5);

/// A configuration that knows these keys, all of one account.
fn config_with_keys(revision: u64, keys: &[&str]) -> Config {
    let account = Account { id: "guild".to_owned(), priority: None };
    let accounts = keys.iter().map(|key| ((*key).to_owned(), account.clone())).collect();
    let base = common::config(revision);
    let mut routes: Vec<_> =
        [("notes", RetryPolicy::Resumable, true), ("raw", RetryPolicy::Never, true)]
            .map(|(id, policy, streaming)| common::route(id, policy, streaming, "models"))
            .into();
    routes.push(common::route("look", RetryPolicy::Idempotent, false, "bookings"));
    let mut open = common::route("open", RetryPolicy::Idempotent, false, "bookings");
    open.public = true;
    routes.push(open);
    for route in &mut routes {
        route.timeout = Duration::from_secs(60);
    }
    let services = base.services.values().cloned().collect();
    Config::new(revision, routes, services, Some(accounts), base.limits)
}

#[rstest]
#[case::just_confirmed(Some(0), true)]
#[case::within_the_bound(Some(4_900), true)]
#[case::beyond_the_margin(Some(4_901), false)]
#[case::at_the_bound(Some(5_000), false)]
#[case::long_ago(Some(3_600_000), false)]
#[case::never(None, false)]
fn keys_are_fresh_until_the_bound(#[case] age_ms: Option<u64>, #[case] is_fresh: bool) {
    let start = Instant::now();
    let mut state = ConfigState::new(Some(BOUND));
    state.accept(config_with_keys(3, &["key-1"]));
    let mut now = start;
    if let Some(age_ms) = age_ms {
        state.confirm(3, start);
        now += Duration::from_millis(age_ms);
    }
    assert_eq!(state.key_freshness(now) == KeyFreshness::Fresh, is_fresh);
    let mut lenient = ConfigState::new(None);
    lenient.accept(config_with_keys(3, &["key-1"]));
    assert_eq!(lenient.key_freshness(now), KeyFreshness::Fresh);
}

#[rstest]
#[case::older_revision(2)]
#[case::newer_revision_that_was_not_accepted(4)]
fn read_of_another_revision_confirms_nothing(#[case] shown: u64) {
    let start = Instant::now();
    let mut state = ConfigState::new(Some(BOUND));
    state.accept(config_with_keys(3, &["key-1"]));
    state.confirm(shown, start);
    assert_eq!(state.key_freshness(start), KeyFreshness::Outdated { age: None });
    assert!(!state.accept(config_with_keys(2, &["key-0"])));
    assert_eq!(state.revision(), 3);
}

#[rstest]
fn read_that_is_answered_late_confirms_its_start_only() {
    let start = Instant::now();
    let mut state = ConfigState::new(Some(BOUND));
    state.accept(config_with_keys(3, &["key-1"]));
    state.confirm(3, start + Duration::from_secs(2));
    // This read began earlier and was answered after the other one.
    state.confirm(3, start);
    let now = start + Duration::from_secs(6);
    assert_eq!(state.key_freshness(now), KeyFreshness::Fresh);
    let now = start + Duration::from_secs(7);
    let age = Some(Duration::from_secs(5));
    assert_eq!(state.key_freshness(now), KeyFreshness::Outdated { age });
}

/// Time from the start of a test until the keys are outdated; short, so that no request is late and
/// no upstream counts as stalled.
const TIME_TO_BOUND: Duration = Duration::from_millis(150);

/// Tables whose keys will be outdated after [`TIME_TO_BOUND`].
fn strict_tables(clock: &ManualClock) -> Arc<Tables> {
    let plain = common::tables();
    let retry_budget = turmerictack_serving::retry_budget::RetryBudgetConfig {
        ratio: 0.2,
        window: Duration::from_secs(10),
        burst: 100.0,
    };
    let tables = Arc::new(Tables::new(1, retry_budget).with_revocation_bound(Some(BOUND)));
    assert!(tables.update_config(config_with_keys(3, &["key-1"])));
    tables.config.lock().confirm(3, clock.now());
    let instances = plain.directory.lock().instances().clone();
    for (id, instance) in instances {
        tables.directory.lock().insert(id, instance);
    }
    clock.advance(BOUND - TIME_TO_BOUND);
    tables.rebuild_upstreams(clock.now());
    tables
}

async fn expect_rejection(proxy: &Arc<Proxy>, route: &str, clock: &ManualClock) -> Rejection {
    let mut request = request(route);
    request.received_at = clock.now();
    match proxy.serve(request).await {
        Reply::Rejected(rejection) => rejection,
        Reply::Complete { .. } | Reply::Stream { .. } => panic!("served"),
    }
}

#[rstest]
#[tokio::test]
async fn node_out_of_touch_refuses_keys_but_serves_public_routes() {
    let clock = Arc::new(ManualClock::default());
    let tables = strict_tables(&clock);
    let (proxy, upstreams) = proxy_with_clock(&tables, clock.clone());
    upstreams.set_default(ScriptedAction::Respond(200, "done"));
    clock.advance(TIME_TO_BOUND);
    let rejection = expect_rejection(&proxy, "look", &clock).await;
    assert_eq!(rejection.reason, Reason::KeysOutdated);
    assert_eq!(rejection.execution, ExecutionStatus::NotExecuted);
    assert!(rejection.retry_after.is_some());
    assert_eq!(upstreams.sends(), 0);
    let mut public = request("open");
    public.received_at = clock.now();
    public.api_key = None;
    assert!(matches!(proxy.serve(public).await, Reply::Complete { .. }));
    tables.config.lock().confirm(3, clock.now());
    let mut again = request("look");
    again.received_at = clock.now();
    assert!(matches!(proxy.serve(again).await, Reply::Complete { .. }));
}

/// What happens to the key of a request that has already been admitted.
#[derive(Clone, Copy, Debug)]
enum KeyEvent {
    Revoked,
    Outdated,
}

impl KeyEvent {
    fn apply(self, tables: &Tables, clock: &ManualClock) {
        match self {
            Self::Revoked => {
                assert!(tables.update_config(config_with_keys(4, &["key-2"])));
                tables.config.lock().confirm(4, clock.now());
            }
            Self::Outdated => clock.advance(TIME_TO_BOUND),
        }
    }

    fn reason(self) -> Reason {
        match self {
            Self::Revoked => Reason::UnknownKey,
            Self::Outdated => Reason::KeysOutdated,
        }
    }
}

#[rstest]
#[tokio::test]
async fn key_is_checked_again_when_a_queued_request_is_sent(
    #[values(KeyEvent::Revoked, KeyEvent::Outdated)] event: KeyEvent,
) {
    let clock = Arc::new(ManualClock::default());
    let tables = strict_tables(&clock);
    let (proxy, upstreams) = proxy_with_clock(&tables, clock.clone());
    upstreams.set_default(ScriptedAction::Hang);
    let serve = || {
        let mut request = request("notes");
        request.received_at = clock.now();
        request.client_timeout = Some(Duration::from_secs(60));
        let proxy = Arc::clone(&proxy);
        tokio::spawn(async move { proxy.serve(request).await })
    };
    // Two slots and one excess request at each of two upstreams.
    let running: Vec<_> = (0..6).map(|_| serve()).collect();
    sleep(Duration::from_millis(50)).await;
    let waiting = serve();
    sleep(Duration::from_millis(50)).await;
    assert_eq!(upstreams.sends(), 6);
    event.apply(&tables, &clock);
    running[0].abort();
    let reply = timeout(Duration::from_secs(2), waiting).await;
    let Ok(Ok(Reply::Rejected(rejection))) = reply else { panic!("not rejected") };
    assert_eq!(rejection.reason, event.reason());
    assert_eq!(upstreams.sends(), 6);
}

#[rstest]
#[tokio::test]
async fn key_is_checked_again_when_a_stream_is_resumed(
    #[values(KeyEvent::Revoked, KeyEvent::Outdated)] event: KeyEvent,
) {
    let clock = Arc::new(ManualClock::default());
    let tables = strict_tables(&clock);
    let (proxy, upstreams) = proxy_with_clock(&tables, clock.clone());
    upstreams.set_default(ScriptedAction::Stream { last: 2, end: StreamEnd::ConnectionLost });
    let mut first = request("notes");
    first.received_at = clock.now();
    first.client_timeout = Some(Duration::from_secs(60));
    let Reply::Stream { mut events, .. } = proxy.serve(first).await else { panic!("no stream") };
    event.apply(&tables, &clock);
    let end = loop {
        match events.next().await {
            Ok(Some(_)) => {}
            Ok(None) => panic!("looked complete"),
            Err(error) => break error,
        }
    };
    assert!(matches!(end, StreamError::UpstreamLost | StreamError::DeadlineExceeded));
    assert_eq!(upstreams.sends(), 1);
}

#[rstest]
#[tokio::test]
async fn key_is_checked_again_when_a_request_is_repeated(
    #[values(KeyEvent::Revoked, KeyEvent::Outdated)] event: KeyEvent,
) {
    let clock = Arc::new(ManualClock::default());
    let tables = strict_tables(&clock);
    let (proxy, upstreams) = proxy_with_clock(&tables, clock.clone());
    upstreams.set_default(ScriptedAction::Hang);
    let mut lookup = request("look");
    lookup.received_at = clock.now();
    lookup.client_timeout = Some(Duration::from_secs(60));
    let serving = tokio::spawn({
        let proxy = Arc::clone(&proxy);
        async move { proxy.serve(lookup).await }
    });
    sleep(Duration::from_millis(20)).await;
    serving.abort();
    // The first send fails after the key was revoked.
    let mut lookup = request("look");
    lookup.received_at = clock.now();
    for id in ["p0", "p1"] {
        upstreams.script(id, [ScriptedAction::Respond(500, "no")]);
    }
    upstreams.set_default(ScriptedAction::Respond(200, "yes"));
    *upstreams.before_response.lock().unwrap() = Some(Box::new({
        let (tables, clock) = (Arc::clone(&tables), Arc::clone(&clock));
        move || event.apply(&tables, &clock)
    }));
    let before = upstreams.sends();
    let reply = proxy.serve(lookup).await;
    assert!(!matches!(&reply, Reply::Complete { head, .. } if head.status.is_success()));
    assert_eq!(upstreams.sends(), before + 1);
}

/// A client's request with a key, and when its key was revoked.
struct History {
    seed: u64,
    bound: Option<Duration>,
}

const NODES: usize = 4;
const LENGTH_MS: u64 = 60_000;
/// Longest delay of an answer of the store, of which a few are much slower than others.
const SLOW_ANSWER_MS: u64 = 4_000;

/// A read of the configuration that is under way.
struct Read {
    started_ms: u64,
    answered_ms: u64,
    revision: u64,
}

struct SimulatedNode {
    state: ConfigState,
    reads: Vec<Read>,
    next_read_ms: u64,
    cut_until_ms: u64,
    frozen_until_ms: u64,
    /// Requests that wait for a slot: time of sending by the client, key, and time of the slot.
    queued: Vec<(u64, String, u64)>,
}

impl History {
    /// Requests that ran though their key had been revoked for longer than the bound when their
    /// client sent them, and requests that ran.
    fn play(&self) -> (usize, usize) {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed);
        let origin = Instant::now();
        let at = |ms: u64| origin + Duration::from_millis(ms);
        let mut keys: Vec<String> = (0..6).map(|k| format!("key-{k}")).collect();
        let mut revoked_ms: BTreeMap<String, u64> = BTreeMap::new();
        let mut revision = 1;
        let mut versions = vec![(1, keys.clone())];
        let new_node = || SimulatedNode {
            state: ConfigState::new(self.bound),
            reads: Vec::new(),
            next_read_ms: 0,
            cut_until_ms: 0,
            frozen_until_ms: 0,
            queued: Vec::new(),
        };
        let mut nodes: Vec<SimulatedNode> = (0..NODES).map(|_| new_node()).collect();
        let (mut late, mut ran) = (0, 0);
        for now_ms in (0..LENGTH_MS).step_by(10) {
            if rng.random_range(0..400) == 0 && keys.len() > 1 {
                let key = keys.remove(rng.random_range(0..keys.len()));
                revision += 1;
                revoked_ms.insert(key, now_ms);
                keys.push(format!("key-{}", revision + 10));
                versions.push((revision, keys.clone()));
            }
            for node in &mut nodes {
                match rng.random_range(0..3_000) {
                    0..3 => node.cut_until_ms = now_ms + rng.random_range(100..12_000),
                    3..5 => node.frozen_until_ms = now_ms + rng.random_range(100..8_000),
                    5 => *node = new_node(),
                    _ => {}
                }
                if now_ms < node.frozen_until_ms {
                    continue;
                }
                if now_ms >= node.next_read_ms {
                    let slow = rng.random_range(0..20) == 0;
                    let latency = rng.random_range(4..if slow { SLOW_ANSWER_MS } else { 1_300 });
                    if now_ms >= node.cut_until_ms {
                        // The store looks at its newest version somewhere between start and answer.
                        node.reads.push(Read {
                            started_ms: now_ms,
                            answered_ms: now_ms + latency,
                            revision,
                        });
                    }
                    node.next_read_ms = now_ms + 1_250;
                }
                let answered: Vec<Read>;
                (answered, node.reads) = std::mem::take(&mut node.reads)
                    .into_iter()
                    .partition(|r| now_ms >= r.answered_ms && now_ms >= node.cut_until_ms);
                for read in answered {
                    let (_, keys) = &versions[read.revision as usize - 1];
                    let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
                    node.state.accept(config_with_keys(read.revision, &keys));
                    node.state.confirm(read.revision, at(read.started_ms));
                }
                let (due, queued) = std::mem::take(&mut node.queued)
                    .into_iter()
                    .partition(|(_, _, slot_ms)| now_ms >= *slot_ms);
                node.queued = queued;
                for (sent_ms, key, _) in due {
                    if runs(&node.state, at(now_ms), &key) {
                        ran += 1;
                        let revoked = revoked_ms.get(&key).map(|ms| ms + BOUND.as_millis() as u64);
                        late += usize::from(revoked.is_some_and(|ms| sent_ms > ms));
                    }
                }
                if rng.random_range(0..4) == 0 {
                    let known: Vec<&String> = revoked_ms.keys().chain(&keys).collect();
                    let key = known[rng.random_range(0..known.len())].clone();
                    let slot_ms = now_ms + rng.random_range(0..2_000);
                    if runs(&node.state, at(now_ms), &key) {
                        node.queued.push((now_ms, key, slot_ms));
                    }
                }
            }
        }
        (late, ran)
    }
}

/// Whether a node sends a request with this key now.
fn runs(state: &ConfigState, now: Instant, key: &str) -> bool {
    let Some(config) = state.current() else { return false };
    let Some(route) = config.find_route(common::HOST, "/look/x") else { return false };
    let granted = config.authorize(route, Some(key));
    state.key_freshness(now) == KeyFreshness::Fresh
        && granted != turmerictack_serving::config::Access::Denied
}

/// With cuts from the store, freezes, restarts and answers that arrive late, no request runs whose
/// key was revoked too long ago. Without the check of the age, the same histories have such
/// requests, so they would show a fault of the check.
#[rstest]
fn revoked_keys_stop_working_in_all_histories() {
    let mut late_without_check = 0;
    for seed in 0..60 {
        let (late, ran) = History { seed, bound: Some(BOUND) }.play();
        assert_eq!(late, 0, "seed {seed}");
        assert!(ran > 500, "seed {seed}: only {ran} requests ran");
        late_without_check += History { seed, bound: None }.play().0;
    }
    assert!(late_without_check > 100, "{late_without_check}");
}
