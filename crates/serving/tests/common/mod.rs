//! A proxy with scripted upstreams.

#![allow(dead_code, reason = "each test file uses some of the helpers")]
#![allow(clippy::unwrap_used, reason = "a poisoned lock fails the test")]

use {
    async_trait::async_trait,
    bytes::Bytes,
    http::{HeaderMap, Method, StatusCode},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    turmerictack_groups::formation::{Membership, ModelProfile, Phase},
    turmerictack_model::{
        clock::{Clock, SystemClock},
        ids::{Address, InstanceId},
    },
    turmerictack_serving::{
        config::{Account, Config, EngineProfile, Limits, RetryPolicy, Route, Service},
        directory::{EngineState, Instance},
        interfaces::{
            Dialer, EventChunk, NodeList, ResponseBody, SendError, SendReport, UpstreamClient,
            UpstreamNotice, UpstreamResponse,
        },
        proxy::Proxy,
        request::{RawRequest, Request, ResponseHead, UpstreamRequest},
        retry_budget::RetryBudgetConfig,
        stream::{EventStream, StreamError},
        tables::Tables,
    },
    turmerictack_telemetry::registry::Registry,
};

pub mod cold_cluster;
pub mod election_cluster;
pub mod limited_cluster;
pub mod path_network;
pub mod returning_cluster;

pub const HOST: &str = "api.example";
pub const DATA_CENTRE: &str = "dc-1";

/// What an upstream does with the next request.
#[derive(Clone, Debug)]
pub enum ScriptedAction {
    /// Fails the send.
    Fail(SendError),
    /// Fails the send after a delay.
    FailAfter(Duration, SendError),
    /// Responds with a status and a complete body.
    Respond(u16, &'static str),
    /// Streams events, starting after the requested position, up to `last`, and ends as given.
    Stream { last: u64, end: StreamEnd },
    /// Streams events like `Stream`, and pauses once after an event.
    PausedStream { last: u64, pause_after: u64, pause: Duration },
    /// Streams events like `Stream`, and pauses after each of them.
    HaltingStream { last: u64, pause: Duration },
    /// Streams events like `Stream`, pauses after the last one, and loses the connection.
    BreakingStream { last: u64, pause: Duration },
    /// Streams events like `Stream`, but responds only after a delay.
    SlowStream { last: u64, delay: Duration },
    /// Streams events from `first`, whatever was requested, `per_chunk` at a time.
    StreamFrom { first: u64, last: u64, per_chunk: u64 },
    /// Never responds.
    Hang,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    Complete,
    ConnectionLost,
    Stalled,
}

/// Upstreams that follow scripts and record the requests sent to them.
#[derive(Default)]
pub struct ScriptedUpstreams {
    pub scripts: Mutex<BTreeMap<InstanceId, VecDeque<ScriptedAction>>>,
    pub default: Mutex<Option<ScriptedAction>>,
    pub sent: Mutex<Vec<(InstanceId, UpstreamRequest)>>,
    pub open_bodies: Arc<Mutex<i64>>,
    /// What upstreams state about themselves in all responses.
    pub notice: Mutex<Option<UpstreamNotice>>,
    /// Called once, before the next response.
    pub before_response: Mutex<Option<Box<dyn FnOnce() + Send>>>,
    /// Text in a request body that crashes an upstream.
    pub crashing_text: Mutex<Option<&'static str>>,
    /// Addresses of upstreams that have crashed, and so refuse connections.
    pub crashed: Mutex<BTreeSet<Address>>,
    /// Dials to see whether an upstream refuses connections, instead of `crashed`.
    pub dialer: Mutex<Option<Arc<dyn Dialer>>>,
}

impl ScriptedUpstreams {
    pub fn script(&self, id: &str, actions: impl IntoIterator<Item = ScriptedAction>) {
        self.scripts.lock().unwrap().insert(id.to_owned(), actions.into_iter().collect());
    }

    pub fn set_default(&self, action: ScriptedAction) {
        *self.default.lock().unwrap() = Some(action);
    }

    pub fn sends(&self) -> usize {
        self.sent.lock().unwrap().len()
    }
}

pub struct ScriptedBody {
    next: u64,
    last: u64,
    per_chunk: u64,
    end: StreamEnd,
    /// Event after which the stream pauses, and for how long.
    pause: Option<(u64, Duration)>,
    resumes_at: Option<Instant>,
    /// Whether it pauses after each further event too.
    is_halting: bool,
    text: Option<&'static str>,
    open_bodies: Arc<Mutex<i64>>,
}

impl Drop for ScriptedBody {
    fn drop(&mut self) {
        *self.open_bodies.lock().unwrap() -= 1;
    }
}

#[async_trait]
impl ResponseBody for ScriptedBody {
    async fn next_events(&mut self) -> Result<Option<EventChunk>, SendError> {
        if let Some((after, pause)) = self.pause
            && self.next > after
        {
            let resumes_at = *self.resumes_at.get_or_insert_with(|| Instant::now() + pause);
            tokio::time::sleep_until(resumes_at.into()).await;
            self.resumes_at = None;
            self.pause = self.pause.filter(|_| self.is_halting).map(|(_, p)| (self.next, p));
        }
        if self.next > self.last {
            return match self.end {
                StreamEnd::Complete => Ok(None),
                StreamEnd::ConnectionLost => Err(SendError::ConnectionLost),
                StreamEnd::Stalled => std::future::pending().await,
            };
        }
        let first = self.next;
        self.next = (first + self.per_chunk).min(self.last + 1);
        let event = |at| format!("id: {at}\ndata: piece-{at}\n\n");
        let bytes = Bytes::from((first..self.next).map(event).collect::<String>());
        let (first_event, last_event) = (Some(first), Some(self.next - 1));
        Ok(Some(EventChunk { bytes, first_event, last_event }))
    }

    async fn read_to_end(&mut self) -> Result<Bytes, SendError> {
        match self.text {
            Some(text) => Ok(Bytes::from_static(text.as_bytes())),
            None => Err(SendError::ConnectionLost),
        }
    }
}

#[async_trait]
impl UpstreamClient for ScriptedUpstreams {
    async fn send(
        &self,
        instance: &InstanceId,
        address: &Address,
        request: UpstreamRequest,
    ) -> SendReport {
        let notice = self.notice.lock().unwrap().unwrap_or_default();
        let resume_after = request.resume_after;
        let crashing_text = *self.crashing_text.lock().unwrap();
        let body = String::from_utf8_lossy(&request.raw.body).into_owned();
        if crashing_text.is_some_and(|text| body.contains(text)) {
            self.sent.lock().unwrap().push((instance.clone(), request));
            self.crashed.lock().unwrap().insert(address.clone());
            return SendError::ConnectionLost.into();
        }
        self.sent.lock().unwrap().push((instance.clone(), request));
        if let Some(event) = self.before_response.lock().unwrap().take() {
            event();
        }
        let scripted = {
            let mut scripts = self.scripts.lock().unwrap();
            scripts.get_mut(instance).and_then(VecDeque::pop_front)
        };
        let action = scripted.or(self.default.lock().unwrap().clone());
        let (mut per_chunk, mut paused, mut is_halting) = (1, None, false);
        let (status, body) = match action {
            Some(ScriptedAction::Fail(error)) => return SendReport { result: Err(error), notice },
            Some(ScriptedAction::FailAfter(delay, error)) => {
                tokio::time::sleep(delay).await;
                return SendReport { result: Err(error), notice };
            }
            Some(ScriptedAction::Hang) | None => return std::future::pending().await,
            Some(ScriptedAction::Respond(status, text)) => {
                (status, (0, 0, StreamEnd::ConnectionLost, Some(text)))
            }
            Some(ScriptedAction::StreamFrom { first, last, per_chunk: events }) => {
                per_chunk = events;
                (200, (first, last, StreamEnd::Complete, None))
            }
            Some(ScriptedAction::PausedStream { last, pause_after, pause }) => {
                paused = Some((pause_after, pause));
                let first = resume_after.map_or(0, |after| after + 1);
                (200, (first, last, StreamEnd::Complete, None))
            }
            Some(ScriptedAction::HaltingStream { last, pause }) => {
                (paused, is_halting) = (Some((0, pause)), true);
                let first = resume_after.map_or(0, |after| after + 1);
                (200, (first, last, StreamEnd::Complete, None))
            }
            Some(ScriptedAction::BreakingStream { last, pause }) => {
                paused = Some((last, pause));
                let first = resume_after.map_or(0, |after| after + 1);
                (200, (first, last, StreamEnd::ConnectionLost, None))
            }
            Some(ScriptedAction::SlowStream { last, delay }) => {
                tokio::time::sleep(delay).await;
                let first = resume_after.map_or(0, |after| after + 1);
                (200, (first, last, StreamEnd::Complete, None))
            }
            Some(ScriptedAction::Stream { last, end }) => {
                (200, (resume_after.map_or(0, |after| after + 1), last, end, None))
            }
        };
        *self.open_bodies.lock().unwrap() += 1;
        let (next, last, end, text) = body;
        let open_bodies = Arc::clone(&self.open_bodies);
        let body = ScriptedBody {
            next,
            last,
            per_chunk,
            end,
            pause: paused,
            resumes_at: None,
            is_halting,
            text,
            open_bodies,
        };
        let response = UpstreamResponse {
            head: ResponseHead {
                status: StatusCode::from_u16(status).unwrap(),
                headers: HeaderMap::new(),
            },
            is_success: (200..300).contains(&status),
            may_be_events: text.is_none(),
            body: Box::new(body),
        };
        SendReport { result: Ok(response), notice }
    }

    async fn refuses_connections(&self, instance: &InstanceId, address: &Address) -> bool {
        let dialer = self.dialer.lock().unwrap().clone();
        if let Some(dialer) = dialer {
            return dialer.refuses_connections(instance, address).await;
        }
        self.crashed.lock().unwrap().remove(address)
    }

    fn close_idle_connections(&self, _instance: &InstanceId) {}
}

pub fn route(id: &str, retry_policy: RetryPolicy, is_streaming: bool, service: &str) -> Route {
    Route {
        id: id.to_owned(),
        host: HOST.to_owned(),
        prefix: format!("/{id}/"),
        retry_policy,
        is_streaming,
        timeout: Duration::from_secs(4),
        latency_target: Duration::from_millis(250),
        priority: 0,
        services: vec![(service.to_owned(), 1)],
        max_attempts: if retry_policy == RetryPolicy::Never { 1 } else { 2 },
        public: false,
    }
}

pub fn config(revision: u64) -> Config {
    let profile =
        ModelProfile { group_size: 1, work_share: 1.0, load_time: Duration::from_secs(12) };
    let engine = EngineProfile {
        models: BTreeMap::from([("m".to_owned(), profile)]),
        loads_per_second: 5.0,
        concurrent_loads: 7,
    };
    let services = vec![
        Service {
            id: "models".to_owned(),
            engine: Some(engine),
            cold_start: None,
            paces_returns: false,
        },
        Service { id: "bookings".to_owned(), engine: None, cold_start: None, paces_returns: false },
    ];
    let account = Account { id: "guild".to_owned(), priority: None };
    let limits = Limits {
        max_header_bytes: 16_384,
        max_body_bytes: 1_000_000,
        idle_timeout: Duration::from_secs(15),
    };
    Config::new(
        revision,
        vec![
            route("notes", RetryPolicy::Resumable, true, "models"),
            route("raw", RetryPolicy::Never, true, "models"),
            route("look", RetryPolicy::Idempotent, false, "bookings"),
            route("book", RetryPolicy::Never, false, "bookings"),
        ],
        services,
        Some(BTreeMap::from([("key-1".to_owned(), account)])),
        limits,
    )
}

pub fn plain_instance(at: usize) -> Instance {
    Instance {
        address: format!("127.0.0.1:{}", 9_000 + at),
        service: "bookings".to_owned(),
        data_centre: DATA_CENTRE.to_owned(),
        slots: 2,
        draining: false,
        started_ms: 1,
        cold_remaining: Duration::ZERO,
        engine: None,
    }
}

pub fn group_head(at: usize) -> Instance {
    let membership =
        Membership { group: format!("group-{at}"), epoch: 1, rank: 0, phase: Phase::Open };
    let engine = EngineState {
        fabric_domain: "fabric".to_owned(),
        loaded_models: ["m".to_owned()].into(),
        staged_models: ["m".to_owned()].into(),
        membership: Some(membership),
    };
    Instance { service: "models".to_owned(), engine: Some(engine), ..plain_instance(at) }
}

/// Tables with two group heads and two instances of a service without models.
pub fn tables() -> Arc<Tables> {
    let retry_budget =
        RetryBudgetConfig { ratio: 0.2, window: Duration::from_secs(10), burst: 100.0 };
    let tables = Arc::new(Tables::new(1, retry_budget));
    assert!(tables.update_config(config(1)));
    {
        let mut directory = tables.directory.lock();
        for at in 0..2 {
            directory.insert(format!("e{at}"), group_head(at));
            directory.insert(format!("p{at}"), plain_instance(at + 10));
        }
    }
    tables.rebuild_upstreams(Instant::now());
    tables
}

/// Starts all group heads again.
pub fn restart_heads(tables: &Tables, started_ms: u64) {
    for at in 0..2 {
        let head = Instance { started_ms, ..group_head(at) };
        tables.directory.lock().insert(format!("e{at}"), head);
    }
    tables.rebuild_upstreams(Instant::now());
}

pub fn proxy(tables: &Arc<Tables>) -> (Arc<Proxy>, Arc<ScriptedUpstreams>) {
    proxy_with_clock(tables, Arc::new(SystemClock::default()))
}

pub fn proxy_with_clock(
    tables: &Arc<Tables>,
    clock: Arc<dyn Clock>,
) -> (Arc<Proxy>, Arc<ScriptedUpstreams>) {
    let upstreams = Arc::new(ScriptedUpstreams::default());
    let proxy = Arc::new(Proxy {
        tables: Arc::clone(tables),
        upstream_client: upstreams.clone(),
        clock,
        metrics: Arc::new(Registry::default().client()),
        data_centre: DATA_CENTRE.to_owned(),
    });
    (proxy, upstreams)
}

pub fn request(route: &str) -> Request {
    Request {
        id: "r-1".to_owned(),
        host: HOST.to_owned(),
        path: format!("/{route}/x"),
        api_key: Some("key-1".to_owned()),
        client_timeout: Some(Duration::from_secs(4)),
        model: Some("m".to_owned()),
        prompt_tokens: 0,
        prompt_parts: BTreeSet::new(),
        resume_after: None,
        received_at: Instant::now(),
        raw: Arc::new(RawRequest {
            method: Method::POST,
            path_and_query: format!("/{route}/x"),
            headers: HeaderMap::new(),
            body: Bytes::from_static(b"body"),
        }),
    }
}

/// The platform's list of nodes, with this many of them.
pub struct FixedNodeList(pub usize);

#[async_trait]
impl NodeList for FixedNodeList {
    async fn addresses(&self) -> Option<Vec<Address>> {
        Some(addresses(self.0))
    }
}

/// Addresses of nodes.
pub fn addresses(nodes: usize) -> Vec<Address> {
    (0..nodes).map(address).collect()
}

/// Address of one node.
pub fn address(at: usize) -> Address {
    format!("10.0.{}.{}:1", at / 250, at % 250)
}

/// Text of a stream as received by the client, and how the stream ended.
pub async fn read_events(events: &mut EventStream) -> (String, Result<(), StreamError>) {
    let mut text = String::new();
    loop {
        match events.next().await {
            Ok(Some(bytes)) => text.push_str(std::str::from_utf8(&bytes).unwrap()),
            Ok(None) => return (text, Ok(())),
            Err(error) => return (text, Err(error)),
        }
    }
}
