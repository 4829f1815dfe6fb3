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
}

struct State {
    id: String,
    slots: usize,
    running: Mutex<usize>,
    released: Condvar,
    work: Duration,
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
        self.record.line(&format!("worker {}: {id} arrives", self.id));
        let arrival = Arrival { id: id.clone(), at: Instant::now() };
        self.arrivals.lock().expect("the arrivals").push(arrival);
        {
            // A request beyond the slots waits.
            let mut running = self.running.lock().expect("the slots");
            while *running >= self.slots {
                running = self.released.wait(running).expect("the slots");
            }
            *running += 1;
        }
        std::thread::sleep(self.work);
        *self.running.lock().expect("the slots") -= 1;
        self.released.notify_one();
        self.record.line(&format!("worker {}: has run {id}", self.id));
        let fields = format!("{echo}X-Response-Signature: 3e1b.{}.{id}\r\n", self.id);
        connection.respond("200 OK", &fields, b"booked").is_ok()
    }
}
