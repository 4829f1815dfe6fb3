//! A desk over scripted upstreams.

#![allow(dead_code, reason = "each test file uses its own part")]
#![allow(clippy::unwrap_used, reason = "a poisoned lock fails the test")]

use {
    async_trait::async_trait,
    bytes::Bytes,
    http::{HeaderMap, Method, StatusCode},
    std::{
        collections::{BTreeMap, VecDeque},
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    turmerictack_groups::formation::{Membership, ModelProfile, Phase},
    turmerictack_model::{
        clock::SystemClock,
        ids::{Address, InstanceId},
    },
    turmerictack_serving::{
        borders::{Answer, Body, Events, SendError, Upstreams},
        catalog::{Account, Catalog, EngineProfile, Limits, Repeat, Route, Service},
        desk::Desk,
        directory::{EngineState, Instance},
        repeats::RepeatLimits,
        request::{Dispatch, Head, Parcel, Request},
        tables::Tables,
    },
    turmerictack_telemetry::registry::Registry,
};

pub const HOST: &str = "api.example";
pub const DATA_CENTRE: &str = "dc-1";

/// What an upstream does with the next request.
#[derive(Clone, Debug)]
pub enum Act {
    /// Fails the send.
    Fail(SendError),
    /// Answers with a status and a whole body.
    Whole(u16, &'static str),
    /// Streams events, from the one after the asked one up to `last`, then ends as told.
    Stream { last: u64, end: StreamEnd },
    /// Never answers.
    Hang,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    Proper,
    Broken,
    Silent,
}

/// Upstreams that do what their scripts say, and remember what they were sent.
#[derive(Default)]
pub struct Scripted {
    pub scripts: Mutex<BTreeMap<InstanceId, VecDeque<Act>>>,
    pub default: Mutex<Option<Act>>,
    pub sent: Mutex<Vec<(InstanceId, Dispatch)>>,
    pub open: Arc<Mutex<i64>>,
}

impl Scripted {
    pub fn script(&self, id: &str, acts: impl IntoIterator<Item = Act>) {
        self.scripts.lock().unwrap().insert(id.to_owned(), acts.into_iter().collect());
    }

    pub fn otherwise(&self, act: Act) {
        *self.default.lock().unwrap() = Some(act);
    }

    pub fn sends(&self) -> usize {
        self.sent.lock().unwrap().len()
    }
}

pub struct ScriptedBody {
    next: u64,
    last: u64,
    end: StreamEnd,
    whole: Option<&'static str>,
    open: Arc<Mutex<i64>>,
}

impl Drop for ScriptedBody {
    fn drop(&mut self) {
        *self.open.lock().unwrap() -= 1;
    }
}

#[async_trait]
impl Body for ScriptedBody {
    async fn events(&mut self) -> Result<Option<Events>, SendError> {
        if self.next > self.last {
            return match self.end {
                StreamEnd::Proper => Ok(None),
                StreamEnd::Broken => Err(SendError::Broken),
                StreamEnd::Silent => std::future::pending().await,
            };
        }
        let at = self.next;
        self.next += 1;
        let bytes = Bytes::from(format!("id: {at}\ndata: piece-{at}\n\n"));
        Ok(Some(Events { bytes, first: Some(at), last: Some(at) }))
    }

    async fn rest(&mut self) -> Result<Bytes, SendError> {
        match self.whole {
            Some(text) => Ok(Bytes::from_static(text.as_bytes())),
            None => Err(SendError::Broken),
        }
    }
}

#[async_trait]
impl Upstreams for Scripted {
    async fn send(
        &self,
        instance: &InstanceId,
        _address: &Address,
        dispatch: Dispatch,
    ) -> Result<Answer, SendError> {
        let resume_after = dispatch.resume_after;
        self.sent.lock().unwrap().push((instance.clone(), dispatch));
        let scripted = {
            let mut scripts = self.scripts.lock().unwrap();
            scripts.get_mut(instance).and_then(VecDeque::pop_front)
        };
        let act = scripted.or(self.default.lock().unwrap().clone());
        let (status, body) = match act {
            Some(Act::Fail(error)) => return Err(error),
            Some(Act::Hang) | None => return std::future::pending().await,
            Some(Act::Whole(status, text)) => (status, (0, 0, StreamEnd::Broken, Some(text))),
            Some(Act::Stream { last, end }) => {
                (200, (resume_after.map_or(0, |after| after + 1), last, end, None))
            }
        };
        *self.open.lock().unwrap() += 1;
        let (next, last, end, whole) = body;
        let body = ScriptedBody { next, last, end, whole, open: Arc::clone(&self.open) };
        Ok(Answer {
            head: Head { status: StatusCode::from_u16(status).unwrap(), fields: HeaderMap::new() },
            success: (200..300).contains(&status),
            body: Box::new(body),
        })
    }

    fn forget(&self, _instance: &InstanceId) {}
}

pub fn route(id: &str, repeat: Repeat, streams: bool, service: &str) -> Route {
    Route {
        id: id.to_owned(),
        host: HOST.to_owned(),
        prefix: format!("/{id}/"),
        repeat,
        streams,
        timeout: Duration::from_secs(4),
        objective: Duration::from_millis(250),
        urgency: 0,
        services: vec![(service.to_owned(), 1)],
        max_attempts: if repeat == Repeat::Forbidden { 1 } else { 2 },
        public: false,
    }
}

pub fn catalog(revision: u64) -> Catalog {
    let profile =
        ModelProfile { group_size: 1, work_share: 1.0, load_time: Duration::from_secs(12) };
    let engine = EngineProfile {
        models: BTreeMap::from([("m".to_owned(), profile)]),
        loads_per_second: 5.0,
        loads_at_once: 7,
    };
    let services = vec![
        Service { id: "models".to_owned(), engine: Some(engine) },
        Service { id: "bookings".to_owned(), engine: None },
    ];
    let account = Account { id: "guild".to_owned(), urgency: None };
    let limits =
        Limits { max_head: 16_384, max_body: 1_000_000, idle_timeout: Duration::from_secs(15) };
    Catalog::new(
        revision,
        vec![
            route("notes", Repeat::Resumes, true, "models"),
            route("raw", Repeat::Forbidden, true, "models"),
            route("look", Repeat::Harmless, false, "bookings"),
            route("book", Repeat::Forbidden, false, "bookings"),
        ],
        services,
        Some(BTreeMap::from([("key-1".to_owned(), account)])),
        limits,
    )
}

pub fn plain(at: usize) -> Instance {
    Instance {
        address: format!("127.0.0.1:{}", 9_000 + at),
        service: "bookings".to_owned(),
        data_centre: DATA_CENTRE.to_owned(),
        slots: 2,
        leaving: false,
        started: 1,
        engine: None,
    }
}

pub fn head(at: usize) -> Instance {
    let membership =
        Membership { group: format!("group-{at}"), epoch: 1, rank: 0, phase: Phase::Open };
    let engine = EngineState {
        domain: "fabric".to_owned(),
        loaded: ["m".to_owned()].into(),
        staged: ["m".to_owned()].into(),
        membership: Some(membership),
    };
    Instance { service: "models".to_owned(), engine: Some(engine), ..plain(at) }
}

/// Tables with two heads of groups and two plain instances.
pub fn tables() -> Arc<Tables> {
    let repeats = RepeatLimits { ratio: 0.2, window: Duration::from_secs(10), burst: 100.0 };
    let tables = Arc::new(Tables::new(1, repeats));
    assert!(tables.accept(catalog(1)));
    {
        let mut directory = tables.directory.lock();
        for at in 0..2 {
            directory.insert(format!("e{at}"), head(at));
            directory.insert(format!("p{at}"), plain(at + 10));
        }
    }
    tables.rebuild(Instant::now());
    tables
}

pub fn desk(tables: &Arc<Tables>) -> (Arc<Desk>, Arc<Scripted>) {
    let upstreams = Arc::new(Scripted::default());
    let desk = Arc::new(Desk {
        tables: Arc::clone(tables),
        upstreams: upstreams.clone(),
        clock: Arc::new(SystemClock::default()),
        metrics: Arc::new(Registry::default().client()),
        data_centre: DATA_CENTRE.to_owned(),
    });
    (desk, upstreams)
}

pub fn request(route: &str) -> Request {
    Request {
        id: "r-1".to_owned(),
        host: HOST.to_owned(),
        path: format!("/{route}/x"),
        key: Some("key-1".to_owned()),
        patience: Some(Duration::from_secs(4)),
        model: Some("m".to_owned()),
        resume_after: None,
        arrived: Instant::now(),
        parcel: Arc::new(Parcel {
            method: Method::POST,
            target: format!("/{route}/x"),
            fields: HeaderMap::new(),
            body: Bytes::from_static(b"body"),
        }),
    }
}
