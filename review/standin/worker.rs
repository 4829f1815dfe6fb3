//! Stand-in of a worker: of a plain service, or a model worker that can join a group.

use crate::{
    http::{self, Request, listen, respond},
    json::Json,
    record::Record,
    store::Store,
};
use std::{
    io::{self, Write as _},
    net::{Shutdown, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Time that a join takes if the model was that of the worker's last group, and if it is staged.
const HOT_JOIN: Duration = Duration::from_millis(200);
const WARM_JOIN: Duration = Duration::from_millis(1_600);

/// Time from an accepted order to open until the head serves.
const OPEN_DELAY: Duration = Duration::from_millis(300);

/// Events of a stream.
const EVENTS: u32 = 10;

#[derive(Clone, Debug)]
pub struct Profile {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    /// Requests that may wait for a slot; further ones are shed.
    pub queue: u32,
    pub work: Duration,
    /// Model that is staged on the host; `None` for a worker of a plain service.
    pub model: Option<String>,
}

#[derive(Clone, Debug)]
struct Group {
    name: String,
    epoch: u64,
    rank: usize,
    state: &'static str,
    model: String,
}

#[derive(Default)]
struct State {
    running: u32,
    waiting: u32,
    group: Option<Group>,
    max_epoch: u64,
    last_model: Option<String>,
    sequence: u64,
}

struct Inner {
    profile: Profile,
    address: String,
    born: u128,
    state: Mutex<State>,
    freed: Condvar,
    store: Store,
    record: Record,
    /// Of a hundred answers, those that are lost after the request has run.
    lost_percent: AtomicU32,
    answers: AtomicU32,
}

#[derive(Clone)]
pub struct Worker(Arc<Inner>);

impl Worker {
    pub fn spawn(profile: Profile, store: &Store, record: &Record) -> Self {
        let (listener, address) = listen();
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let worker = Self(Arc::new(Inner {
            profile,
            address,
            born,
            state: Mutex::default(),
            freed: Condvar::new(),
            store: store.clone(),
            record: record.clone(),
            lost_percent: AtomicU32::new(0),
            answers: AtomicU32::new(0),
        }));
        worker.beat();
        let handler = worker.clone();
        http::serve(listener, move |request, stream| handler.handle(request, stream));
        worker
    }

    pub fn id(&self) -> &str {
        &self.0.profile.id
    }

    /// Sets how many of a hundred answers are lost: the connection closes instead.
    pub fn lose_answers(&self, percent: u32) {
        self.0.lost_percent.store(percent, Ordering::Relaxed);
    }

    /// Whether the next answer is lost; spreads the losses evenly.
    fn loses_answer(&self) -> bool {
        let count = self.0.answers.fetch_add(37, Ordering::Relaxed);
        count % 100 < self.0.lost_percent.load(Ordering::Relaxed)
    }

    /// Requests running and waiting now.
    pub fn load(&self) -> (u32, u32) {
        let state = self.0.state.lock().unwrap();
        (state.running, state.waiting)
    }

    /// Whether it heads an open group; always true for a plain worker.
    pub fn serves(&self) -> bool {
        let state = self.0.state.lock().unwrap();
        let is_head = |g: &Group| g.rank == 0 && g.state == "open";
        self.0.profile.model.is_none() || state.group.as_ref().is_some_and(is_head)
    }

    /// Writes the worker's entry into the store.
    fn beat(&self) {
        let inner = &self.0;
        let profile = &inner.profile;
        let state = inner.state.lock().unwrap();
        let mut entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"ready\",\"coldRemainingMs\":0,\"born\":{}",
            profile.service, inner.address, profile.zone, profile.slots, inner.born
        );
        entry.push_str(&format!(",\"sequence\":{}", state.sequence));
        if let Some(model) = &profile.model {
            entry.push_str(&format!(
                ",\"faultDomain\":\"f-1\",\"preloaded\":[\"{model}\"],\"phase\":\"combined\""
            ));
            match &state.group {
                Some(g) => entry.push_str(&format!(
                    ",\"models\":[{{\"name\":\"{}\",\"version\":1,\"adapters\":[]}}],\"group\":\
                     {{\"name\":\"{}\",\"epoch\":{},\"rank\":{},\"state\":\"{}\"}}",
                    g.model, g.name, g.epoch, g.rank, g.state
                )),
                None => entry.push_str(",\"models\":[]"),
            }
        }
        entry.push('}');
        inner.store.put("servers", &profile.id, &entry);
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        let profile = &self.0.profile;
        let expected = request.header("x-expected-instance");
        if !expected.is_empty() && expected != profile.id {
            return respond(stream, 421, &[("X-Instance-Id", &profile.id)], b"");
        }
        match request.path.as_str() {
            "/healthz" => respond(stream, 200, &[("X-Instance-Id", &profile.id)], b""),
            "/api/report" => respond(stream, 200, &[("Content-Type", "application/json")], b"{}"),
            "/api/order" => self.handle_order(request, stream),
            _ => self.handle_request(request, stream),
        }
    }

    fn handle_order(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        let order = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let status = self.apply_order(&order);
        self.0.record.line(&format!(
            "order worker={} status={status} {}",
            self.0.profile.id,
            order.write()
        ));
        if status == 202 {
            self.beat();
        }
        respond(stream, status, &[], b"")
    }

    fn apply_order(&self, order: &Json) -> u16 {
        let mut state = self.0.state.lock().unwrap();
        let (name, epoch) = (order.get("group").text(), order.get("epoch").number().unwrap_or(0));
        let fits = state.group.as_ref().is_some_and(|g| g.name == name && g.epoch == epoch);
        match order.get("operation").text() {
            "join" if epoch < state.max_epoch => return 412,
            "join" if fits => return 200,
            "join" => {
                let is_self = |m: &Json| m.text() == self.0.profile.id;
                let Some(rank) = order.get("members").list().iter().position(is_self) else {
                    return 409;
                };
                state.max_epoch = epoch;
                let model = order.get("modelId").text().to_owned();
                let is_hot = state.last_model.replace(model.clone()) == Some(model.clone());
                state.group =
                    Some(Group { name: name.into(), epoch, rank, state: "joining", model });
                let time = if is_hot { HOT_JOIN } else { WARM_JOIN };
                self.change_later(time, name, epoch, "joining", "ready");
            }
            "open" => match &state.group {
                Some(g) if fits && g.rank == 0 && g.state == "ready" => {
                    self.change_later(OPEN_DELAY, name, epoch, "ready", "open");
                }
                Some(g) if fits && g.state == "open" => return 200,
                _ => return 409,
            },
            "close" if fits => {
                let is_idle = state.running + state.waiting == 0;
                match &mut state.group {
                    Some(g) if g.state == "open" => {
                        g.state = if is_idle { "ready" } else { "closing" };
                    }
                    Some(g) if g.state == "closing" => return 200,
                    _ => return 409,
                }
            }
            "leave" if fits => state.group = None,
            "phase" => return 200,
            _ => return 409,
        }
        state.sequence += 1;
        202
    }

    fn change_later(
        &self,
        delay: Duration,
        name: &str,
        epoch: u64,
        from: &'static str,
        to: &'static str,
    ) {
        let (worker, name) = (self.clone(), name.to_owned());
        thread::spawn(move || {
            thread::sleep(delay);
            let mut state = worker.0.state.lock().unwrap();
            let group = state.group.as_mut().filter(|g| g.name == name && g.epoch == epoch);
            if let Some(group) = group.filter(|g| g.state == from) {
                group.state = to;
                worker.0.record.line(&format!("group worker={} {name} {to}", worker.0.profile.id));
                drop(state);
                worker.beat();
            }
        });
    }

    fn handle_request(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        let id = request.header("x-attempt-id").to_owned();
        if !self.serves() {
            return respond(stream, 421, &[("X-Attempt-Id", &id)], b"");
        }
        let deadline = request.header("x-deadline-ms").parse().unwrap_or(30_000);
        let deadline = Instant::now() + Duration::from_millis(deadline);
        if !self.take_slot(deadline) {
            let headers = [("X-Attempt-Id", id.as_str()), ("X-Not-Executed", "1")];
            return respond(stream, 503, &headers, b"");
        }
        self.0.record.line(&format!("run worker={} id={id}", self.0.profile.id));
        let done = if self.0.profile.model.is_some() {
            self.stream_events(&id, stream)
        } else {
            thread::sleep(self.0.profile.work);
            if self.loses_answer() {
                self.0.record.line(&format!("answer_lost worker={} id={id}", self.0.profile.id));
                let _ = stream.shutdown(Shutdown::Both);
                self.free_slot();
                return Ok(false);
            }
            let body = format!(
                "{{\"worker\":\"{}\",\"id\":\"{id}\"}}{}",
                self.0.profile.id,
                " ".repeat(760)
            );
            let headers = [
                ("X-Attempt-Id", id.as_str()),
                ("X-Response-Signature", "standin"),
                ("Keep-Alive", "timeout=10"),
            ];
            respond(stream, 200, &headers, body.as_bytes())
        };
        self.free_slot();
        done
    }

    fn free_slot(&self) {
        let mut state = self.0.state.lock().unwrap();
        state.running -= 1;
        self.0.freed.notify_one();
        let is_idle = state.running + state.waiting == 0;
        if let Some(group) = state.group.as_mut().filter(|g| is_idle && g.state == "closing") {
            group.state = "ready";
            drop(state);
            self.beat();
        }
    }

    /// Takes a slot, waiting for one if the queue has room; returns `false` if it is shed.
    fn take_slot(&self, deadline: Instant) -> bool {
        let mut state = self.0.state.lock().unwrap();
        if state.running >= self.0.profile.slots {
            if state.waiting >= self.0.profile.queue {
                return false;
            }
            state.waiting += 1;
            while state.running >= self.0.profile.slots {
                let left = deadline.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    state.waiting -= 1;
                    return false;
                }
                state = self.0.freed.wait_timeout(state, left).unwrap().0;
            }
            state.waiting -= 1;
        }
        state.running += 1;
        true
    }

    fn stream_events(&self, id: &str, stream: &mut TcpStream) -> io::Result<bool> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             X-Attempt-Id: {id}\r\nX-Response-Signature: standin\r\nX-Weight-Versions: 1\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for event in 1..=EVENTS {
            thread::sleep(self.0.profile.work / EVENTS);
            let still_here = self.0.state.lock().unwrap().group.is_some();
            if !still_here {
                return Ok(false);
            }
            let text = format!("id: {event}\ndata: {id}-{event}\n\n");
            stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }
}
