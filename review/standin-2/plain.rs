//! Worker of a service without models.

use {
    crate::{http, json::quote, record::Record},
    std::{
        net::TcpListener,
        sync::{Arc, Condvar, Mutex},
        time::{Duration, Instant},
    },
};

/// A request as it reached the worker.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub at: Instant,
    pub has_run: bool,
}

struct State {
    id: String,
    slots: usize,
    running: Mutex<usize>,
    released: Condvar,
    work: Duration,
    body: Mutex<Vec<u8>>,
    /// Requests are turned away while this is set, with this time in `Retry-After`.
    turns_away: Mutex<Option<Duration>>,
    arrivals: Mutex<Vec<Arrival>>,
    record: Record,
}

/// A worker that runs each request for a while, up to `slots` at once.
#[derive(Clone)]
pub struct PlainWorker {
    pub address: String,
    state: Arc<State>,
}

impl PlainWorker {
    pub fn open(record: &Record, ip: &str, id: &str, slots: usize, work: Duration) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a port for a worker");
        let address = listener.local_addr().expect("an address").to_string();
        let state = Arc::new(State {
            id: id.to_owned(),
            slots,
            running: Mutex::new(0),
            released: Condvar::new(),
            work,
            body: Mutex::new(b"booked".to_vec()),
            turns_away: Mutex::new(None),
            arrivals: Mutex::new(Vec::new()),
            record: record.clone(),
        });
        let served = Arc::clone(&state);
        http::serve(listener, move |request, connection| served.handle(&request, connection));
        Self { address, state }
    }

    /// Entry of the worker in the store.
    pub fn entry(&self, service: &str) -> String {
        format!(
            "{{\"service\":{},\"address\":{},\"zone\":\"norte-a\",\"version\":1,\"slots\":{},\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":0,\"born\":1760000000000}}",
            quote(service),
            quote(&self.address),
            self.state.slots
        )
    }

    pub fn set_body(&self, body: Vec<u8>) {
        *self.state.body.lock().expect("the body") = body;
    }

    pub fn turn_away(&self, pause: Option<Duration>) {
        *self.state.turns_away.lock().expect("the pause") = pause;
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state.arrivals.lock().expect("the arrivals").clone()
    }
}

impl State {
    fn handle(&self, request: &http::Message, connection: &mut http::Connection) -> bool {
        let id = request.field("x-attempt-id").unwrap_or_default().to_owned();
        if request.field("x-expected-instance").is_some_and(|expected| expected != self.id) {
            return connection.respond("421 Misdirected Request", "", b"").is_ok();
        }
        if request.word(1) == "/healthz" {
            let fields = format!("X-Instance-Id: {}\r\n", self.id);
            return connection.respond("200 OK", &fields, b"").is_ok();
        }
        let echo = format!("X-Attempt-Id: {id}\r\n");
        if let Some(pause) = *self.turns_away.lock().expect("the pause") {
            self.note(&id, false);
            let fields = format!("{echo}X-Not-Executed: 1\r\nRetry-After: {}\r\n", pause.as_secs());
            return connection.respond("503 Service Unavailable", &fields, b"").is_ok();
        }
        let arrived_at = self.record.now();
        {
            // A request beyond the slots waits.
            let mut running = self.running.lock().expect("the slots");
            while *running >= self.slots {
                running = self.released.wait(running).expect("the slots");
            }
            *running += 1;
        }
        self.note(&id, true);
        std::thread::sleep(self.work);
        *self.running.lock().expect("the slots") -= 1;
        self.released.notify_one();
        let took = self.record.now() - arrived_at;
        self.record.line(&format!("worker {}: has run {id}, {took:?} after it came", self.id));
        let fields = format!("{echo}X-Response-Signature: 3e1b.{}.{id}\r\n", self.id);
        let body = self.body.lock().expect("the body").clone();
        connection.respond("200 OK", &fields, &body).is_ok()
    }

    fn note(&self, id: &str, has_run: bool) {
        let what = if has_run { "runs" } else { "turns away" };
        self.record.line(&format!("worker {}: {what} {id}", self.id));
        let arrival = Arrival { id: id.to_owned(), at: Instant::now(), has_run };
        self.arrivals.lock().expect("the arrivals").push(arrival);
    }
}
