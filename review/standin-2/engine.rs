//! Model worker: orders, groups and streams of events.

use {
    crate::{
        http::{self, Connection, Message},
        json::{Json, quote},
        record::Record,
        store::Store,
    },
    std::{
        collections::BTreeMap,
        net::TcpListener,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

pub const MODEL: &str = "daka510000";

/// Time of a join of the model that the worker served last, and `openDelayMs`.
const HOT_JOIN: Duration = Duration::from_millis(200);
/// `stallMs`.
const STALL: Duration = Duration::from_millis(4_000);
const OPEN_DELAY: Duration = Duration::from_millis(300);

/// A request for a stream, as the worker saw it.
#[derive(Clone, Debug)]
pub struct Work {
    pub id: String,
    pub arrived_at: Instant,
    /// End of the work at it, because it was done or its connection was closed.
    pub ended_at: Option<Instant>,
}

#[derive(Clone, Default, PartialEq)]
struct Group {
    name: String,
    epoch: u64,
    state: String,
    members: Vec<String>,
}

impl Group {
    fn is(&self, other: &Self) -> bool {
        (&self.name, self.epoch) == (&other.name, other.epoch)
    }
}

/// All model workers of a deployment, as the platform sees them.
#[derive(Clone, Default)]
pub struct Fabric {
    workers: Arc<Mutex<BTreeMap<String, Arc<State>>>>,
    /// Joins of another group while the head of the old one was not done with it.
    early_joins: Arc<Mutex<Vec<String>>>,
}

impl Fabric {
    pub fn early_joins(&self) -> Vec<String> {
        self.early_joins.lock().expect("the joins").clone()
    }

    fn worker(&self, id: &str) -> Option<Arc<State>> {
        self.workers.lock().expect("the workers").get(id).cloned()
    }

    /// Whether all members of a group are there and in it.
    fn is_whole(&self, group: &Group) -> bool {
        let is_in = |id: &String| {
            self.worker(id).is_some_and(|worker| {
                let joined = worker.group.lock().expect("the group").clone();
                joined.is_some_and(|g| g.is(group)) && !worker.has_exited.load(Ordering::SeqCst)
            })
        };
        group.members.iter().all(is_in)
    }
}

/// What the configuration says of the model.
#[derive(Clone, Copy)]
pub struct Profile {
    pub slots: usize,
    pub load: Duration,
    pub warmup: Duration,
}

struct State {
    id: String,
    address: String,
    service: String,
    profile: Profile,
    fabric: Fabric,
    group: Mutex<Option<Group>>,
    /// Group that it was in last.
    last_group: Mutex<Option<Group>>,
    is_draining: AtomicBool,
    has_exited: AtomicBool,
    is_staged: Mutex<bool>,
    /// Whether the model was that of its last group.
    is_hot: AtomicBool,
    sequence: AtomicUsize,
    running: AtomicUsize,
    /// Time to the first event, time between events, and number of events of the next requests.
    pace: Mutex<(Duration, Duration, usize)>,
    works: Mutex<Vec<Work>>,
    store: Store,
    record: Record,
}

#[derive(Clone)]
pub struct EngineWorker {
    state: Arc<State>,
    listening: http::Listening,
}

impl EngineWorker {
    pub fn open(
        record: &Record,
        store: &Store,
        fabric: &Fabric,
        ip: &str,
        id: &str,
        profile: Profile,
    ) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a port for a worker");
        let address = listener.local_addr().expect("an address").to_string();
        let state = Arc::new(State {
            id: id.to_owned(),
            address,
            service: "asistente".to_owned(),
            profile,
            fabric: fabric.clone(),
            group: Mutex::default(),
            last_group: Mutex::default(),
            is_draining: AtomicBool::new(false),
            has_exited: AtomicBool::new(false),
            is_staged: Mutex::new(false),
            is_hot: AtomicBool::new(false),
            sequence: AtomicUsize::new(0),
            running: AtomicUsize::new(0),
            pace: Mutex::new((Duration::from_millis(150), Duration::from_millis(50), 5)),
            works: Mutex::default(),
            store: store.clone(),
            record: record.clone(),
        });
        let served = Arc::clone(&state);
        let listening = http::serve(listener, move |request, connection| {
            Arc::clone(&served).handle(&request, connection)
        });
        fabric.workers.lock().expect("the workers").insert(id.to_owned(), Arc::clone(&state));
        state.report();
        Self { state, listening }
    }

    pub fn set_pace(&self, first: Duration, between: Duration, events: usize) {
        *self.state.pace.lock().expect("the pace") = (first, between, events);
    }

    pub fn id(&self) -> &str {
        &self.state.id
    }

    /// Members of the group that the worker is in; empty if it is in none.
    pub fn members(&self) -> Vec<String> {
        let group = self.state.group.lock().expect("the group");
        group.as_ref().map(|group| group.members.clone()).unwrap_or_default()
    }

    pub fn is_staged(&self) -> bool {
        *self.state.is_staged.lock().expect("the weights")
    }

    pub fn has_exited(&self) -> bool {
        self.state.has_exited.load(Ordering::SeqCst)
    }

    /// Drains the worker: it reports that, goes on for `served`, stops listening, and exits when it has
    /// no more work, `kept` later at the latest.
    pub fn drain(&self, served: Duration, kept: Duration) {
        let (state, listening) = (Arc::clone(&self.state), self.listening.clone());
        state.is_draining.store(true, Ordering::SeqCst);
        state.report();
        thread::spawn(move || {
            thread::sleep(served);
            listening.stop();
            state.record.line(&format!("worker {}: has stopped listening", state.id));
            let end = Instant::now() + kept;
            while state.running.load(Ordering::SeqCst) > 0 && Instant::now() < end {
                thread::sleep(Duration::from_millis(5));
            }
            state.has_exited.store(true, Ordering::SeqCst);
            state.record.line(&format!("worker {}: exits", state.id));
            state.store.remove("servers", &state.id);
        });
    }

    pub fn works(&self) -> Vec<Work> {
        self.state.works.lock().expect("the works").clone()
    }

    pub fn is_open(&self) -> bool {
        let group = self.state.group.lock().expect("the group");
        group.as_ref().is_some_and(|group| group.state == "open")
    }
}

impl State {
    /// Models, staged models and group, as the worker reports them.
    fn facts(&self) -> String {
        let group = self.group.lock().expect("the group").clone();
        let model = format!("{{\"name\":{},\"version\":1,\"adapters\":[]}}", quote(MODEL));
        let models = if group.is_some() { model } else { String::new() };
        let staged =
            if *self.is_staged.lock().expect("the weights") { quote(MODEL) } else { String::new() };
        let group = group.map_or(String::new(), |group| {
            let Group { name, epoch, state, members } = group;
            let rank = members.iter().position(|id| *id == self.id).unwrap_or(0);
            format!(
                ",\"group\":{{\"name\":{},\"epoch\":{epoch},\"rank\":{rank},\
                 \"state\":\"{state}\"}}",
                quote(&name)
            )
        });
        format!(
            "\"phase\":\"combined\",\"models\":[{models}],\"preloaded\":[{staged}],\
             \"faultDomain\":\"d-1\",\"born\":1760000000000{group}"
        )
    }

    /// Writes the entry of the worker into the store.
    fn report(&self) {
        if self.has_exited.load(Ordering::SeqCst) {
            return;
        }
        let is_draining = self.is_draining.load(Ordering::SeqCst);
        let state = if is_draining { "draining" } else { "ready" };
        let entry = format!(
            "{{\"service\":{},\"address\":{},\"zone\":\"norte-a\",\"version\":1,\"slots\":{},\
             \"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":{},{}}}",
            quote(&self.service),
            quote(&self.address),
            self.profile.slots,
            self.sequence.load(Ordering::SeqCst),
            self.facts()
        );
        self.store.put("servers", &self.id, entry);
    }

    fn handle(self: Arc<Self>, request: &Message, connection: &mut Connection) -> bool {
        if request.field("x-expected-instance").is_some_and(|expected| expected != self.id) {
            return connection.respond("421 Misdirected Request", "", b"").is_ok();
        }
        match request.word(1) {
            "/api/report" => {
                let running = self.running.load(Ordering::SeqCst);
                let body = format!(
                    "{{{},\"busy\":false,\"sequence\":{},\"queueDepth\":0,\"running\":{running},\
                     \"kvInUse\":0,\"kvCapacity\":1860000,\"kvHandles\":0,\"pace\":1.0}}",
                    self.facts(),
                    self.sequence.load(Ordering::SeqCst)
                );
                let fields = "Content-Type: application/json\r\n";
                connection.respond("200 OK", fields, body.as_bytes()).is_ok()
            }
            "/api/order" => {
                let order = Json::parse(&String::from_utf8_lossy(&request.body));
                let status = self.carry_out(&order.unwrap_or(Json::Null));
                connection.respond(&format!("{status} Done"), "", b"").is_ok()
            }
            "/healthz" => {
                let fields = format!("X-Instance-Id: {}\r\n", self.id);
                connection.respond("200 OK", &fields, b"").is_ok()
            }
            _ => self.stream(request, connection),
        }
    }

    fn carry_out(self: &Arc<Self>, order: &Json) -> u16 {
        let operation = order.get("operation").text().unwrap_or_default().to_owned();
        let name = order.get("group").text().unwrap_or_default().to_owned();
        let epoch = order.get("epoch").number().unwrap_or(0);
        self.record.line(&format!("worker {}: order {operation} {name} {epoch}", self.id));
        let status = match operation.as_str() {
            "phase" => {
                // Before the first request, loads take one tenth of the time.
                self.later(self.profile.load / 10, |state| {
                    *state.is_staged.lock().expect("the weights") = true;
                });
                202
            }
            "join" => {
                let members = order.get("members").list().iter();
                let members = members.filter_map(|m| m.text().map(str::to_owned)).collect();
                let mut group = self.group.lock().expect("the group");
                if group.as_ref().is_some_and(|g| g.name == name && g.epoch == epoch) {
                    return 200;
                }
                let joined = Group { name, epoch, state: "joining".to_owned(), members };
                *group = Some(joined.clone());
                drop(group);
                self.check_old_group(&joined);
                let is_hot = self.is_hot.swap(true, Ordering::SeqCst);
                let time = if is_hot { HOT_JOIN } else { self.profile.warmup };
                self.later(time, move |state| state.set_phase(&joined, "joining", "ready"));
                202
            }
            "open" => {
                let group = self.group.lock().expect("the group").clone();
                let is_meant = |g: &Group| g.name == name && g.epoch == epoch;
                let Some(group) = group.filter(|g| is_meant(g) && g.state == "ready") else {
                    return 409;
                };
                if group.members.first() != Some(&self.id) {
                    return 409;
                }
                self.later(OPEN_DELAY, move |state| state.set_phase(&group, "ready", "open"));
                202
            }
            "close" => {
                let group = self.group.lock().expect("the group").clone();
                let is_meant = |g: &Group| g.name == name && g.epoch == epoch;
                let Some(group) = group.filter(|g| is_meant(g) && g.state == "open") else {
                    return 409;
                };
                self.set_phase(&group, "open", "closing");
                let state = Arc::clone(self);
                thread::spawn(move || {
                    while state.running.load(Ordering::SeqCst) > 0 {
                        thread::sleep(Duration::from_millis(10));
                    }
                    state.set_phase(&group, "closing", "ready");
                    state.report();
                });
                202
            }
            "leave" => {
                let mut group = self.group.lock().expect("the group");
                group.take_if(|g| g.name == name && g.epoch == epoch);
                200
            }
            _ => 400,
        };
        self.sequence.fetch_add(usize::from(status < 300), Ordering::SeqCst);
        self.report();
        status
    }

    /// Notes a join of another group while the head of the last one is open or closing, or stands still
    /// and is not yet broken.
    fn check_old_group(&self, joined: &Group) {
        let old = self.last_group.lock().expect("the group").replace(joined.clone());
        let Some(old) = old.filter(|old| !old.is(joined)) else { return };
        let Some(head) = old.members.first().filter(|head| **head != self.id) else { return };
        let Some(head) = self.fabric.worker(head) else { return };
        let state = head.group.lock().expect("the group").clone();
        let Some(state) = state.filter(|g| g.is(&old)).map(|g| g.state) else { return };
        let is_busy = matches!(&state[..], "open" | "closing");
        if is_busy && !head.has_exited.load(Ordering::SeqCst) {
            let running = head.running.load(Ordering::SeqCst);
            let text = format!(
                "{} joins {} while {}, the head of its group {}, is {state} with {running} requests",
                self.id, joined.name, head.id, old.name
            );
            self.record.line(&format!("platform: {text}"));
            self.fabric.early_joins.lock().expect("the joins").push(text);
        }
    }

    fn set_phase(&self, meant: &Group, from: &str, to: &str) {
        let mut group = self.group.lock().expect("the group");
        let is_meant =
            |g: &&mut Group| (&g.name, g.epoch, &*g.state) == (&meant.name, meant.epoch, from);
        let Some(group) = group.as_mut().filter(is_meant) else { return };
        group.state = to.to_owned();
        self.record.line(&format!("worker {}: {to} in {}", self.id, group.name));
    }

    fn later(self: &Arc<Self>, time: Duration, change: impl FnOnce(&Self) + Send + 'static) {
        let state = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(time);
            change(&state);
            state.report();
        });
    }

    /// Runs a request for a stream; the work ends when its connection is closed.
    fn stream(&self, request: &Message, connection: &mut Connection) -> bool {
        let id = request.field("x-attempt-id").unwrap_or_default().to_owned();
        let group = self.group.lock().expect("the group").clone();
        let Some(group) = group.filter(|g| g.members.first() == Some(&self.id)) else {
            return connection.respond("421 Misdirected Request", "", b"").is_ok();
        };
        if group.state != "open" {
            let fields = format!("X-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\n");
            return connection.respond("503 Service Unavailable", &fields, b"").is_ok();
        }
        let pace = *self.pace.lock().expect("the pace");
        let after = request.field("last-event-id").and_then(|v| v.parse().ok()).unwrap_or(0);
        self.record.line(&format!("worker {}: {id} arrives, after event {after}", self.id));
        let index = {
            let mut works = self.works.lock().expect("the works");
            works.push(Work { id: id.clone(), arrived_at: Instant::now(), ended_at: None });
            works.len() - 1
        };
        let is_done = self.run(connection, &id, &group, pace, after);
        let how = if is_done { "done" } else { "its connection was closed" };
        self.record.line(&format!("worker {}: work at {id} ends, {how}", self.id));
        self.works.lock().expect("the works")[index].ended_at = Some(Instant::now());
        is_done
    }

    fn run(
        &self,
        connection: &mut Connection,
        id: &str,
        group: &Group,
        pace: (Duration, Duration, usize),
        after: usize,
    ) -> bool {
        while self.running.load(Ordering::SeqCst) >= self.profile.slots {
            if !connection.wait(Duration::from_millis(10)) {
                return false;
            }
        }
        self.running.fetch_add(1, Ordering::SeqCst);
        let is_done = self.write_events(connection, id, group, pace, after);
        self.running.fetch_sub(1, Ordering::SeqCst);
        is_done
    }

    fn write_events(
        &self,
        connection: &mut Connection,
        id: &str,
        group: &Group,
        (first, between, events): (Duration, Duration, usize),
        after: usize,
    ) -> bool {
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: 3e1b.{}.{id}\r\n\
             X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        for event in after + 1..=events {
            let is_first = event == after + 1;
            if !connection.wait(if is_first { first } else { between }) {
                return false;
            }
            // Without a member, nothing moves, and the group is broken after a while.
            let stalled_at = Instant::now();
            while !self.fabric.is_whole(group) {
                if stalled_at.elapsed() >= STALL {
                    self.set_phase(group, "open", "broken");
                    self.set_phase(group, "closing", "broken");
                    self.report();
                    return false;
                }
                if !connection.wait(Duration::from_millis(10)) {
                    return false;
                }
            }
            // An order to leave takes effect at once.
            let current = self.group.lock().expect("the group").clone();
            if current.is_none_or(|g| (g.name, g.epoch) != (group.name.clone(), group.epoch)) {
                return false;
            }
            let event_text = format!("id: {event}\ndata: a stone in the ford\n\n");
            let chunk = format!("{:x}\r\n{event_text}\r\n", event_text.len());
            let head = if is_first { &head[..] } else { "" };
            if connection.write(format!("{head}{chunk}").as_bytes()).is_err() {
                return false;
            }
        }
        let head = if after >= events { &head[..] } else { "" };
        connection.write(format!("{head}0\r\n\r\n").as_bytes()).is_ok()
    }
}
