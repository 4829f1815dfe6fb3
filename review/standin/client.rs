//! Stand-ins of the clients and of the address that forwards their connections to ready nodes.

use crate::{
    http::{Connection, Response},
    node::Node,
    record::Record,
};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

/// Job records that users look at.
const RECORDS: usize = 2;

/// Time that a client allows for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    Booking,
    Lookup,
    Note,
}

impl Kind {
    pub fn name(self) -> &'static str {
        match self {
            Kind::Booking => "crew-booking",
            Kind::Lookup => "job-lookup",
            Kind::Note => "repair-note",
        }
    }

    fn is_safe(self) -> bool {
        self != Kind::Booking
    }

    fn deadline(self) -> Duration {
        Duration::from_millis(if self == Kind::Note { 8_000 } else { 1_000 })
    }
}

/// Forwards new connections to nodes that are ready: out after two misses, back after one 200.
pub struct Balancer {
    nodes: Vec<SocketAddr>,
    zones: Vec<String>,
    in_rotation: Vec<AtomicBool>,
}

impl Balancer {
    pub fn spawn(nodes: &[Node]) -> Arc<Self> {
        let readiness: Vec<SocketAddr> = nodes.iter().map(|n| n.readiness).collect();
        let balancer = Arc::new(Self {
            nodes: nodes.iter().map(|n| n.frontend).collect(),
            zones: nodes.iter().map(|n| n.zone.clone()).collect(),
            in_rotation: nodes.iter().map(|_| AtomicBool::new(true)).collect(),
        });
        for (index, address) in readiness.into_iter().enumerate() {
            let balancer = Arc::clone(&balancer);
            thread::spawn(move || {
                let mut misses = 0;
                loop {
                    let timeout = Duration::from_millis(900);
                    let answer = Connection::open(address, timeout).and_then(|mut c| {
                        c.call("GET", "/api/readyz", &[("Host", "node")], b"", timeout)
                    });
                    misses = if answer.is_ok_and(|r| r.status == 200) { 0 } else { misses + 1 };
                    balancer.in_rotation[index].store(misses < 2, Ordering::Relaxed);
                    thread::sleep(Duration::from_secs(1));
                }
            });
        }
        balancer
    }

    /// Node for a new connection, by a hash of the client: one of its zone that is in rotation, all
    /// of them if fewer than half are, or one of another zone if none is.
    fn pick(&self, zone: &str, hash: usize) -> usize {
        let is_in = |i: &usize| self.in_rotation[*i].load(Ordering::Relaxed);
        let all: Vec<usize> = (0..self.nodes.len()).collect();
        let local: Vec<usize> = all.iter().copied().filter(|i| self.zones[*i] == zone).collect();
        let ready: Vec<usize> = local.iter().copied().filter(is_in).collect();
        let elsewhere: Vec<usize> = all.iter().copied().filter(is_in).collect();
        let choice = match (ready.len(), elsewhere.len()) {
            (0, 0) => all,
            (0, _) => elsewhere,
            (count, _) if count * 2 < local.len() => local,
            _ => ready,
        };
        choice[hash % choice.len()]
    }
}

/// What became of one client attempt.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub sent_at: Instant,
    pub kind: Kind,
    /// Status, or 0 without a complete answer.
    pub status: u16,
}

#[derive(Default)]
pub struct Outcomes(Mutex<Vec<Outcome>>);

impl Outcomes {
    pub fn between(&self, from: Instant, to: Instant) -> Vec<Outcome> {
        let all = self.0.lock().unwrap();
        all.iter().filter(|o| o.sent_at >= from && o.sent_at < to).cloned().collect()
    }

    /// Attempts and served ones by kind.
    pub fn count(&self, from: Instant, to: Instant) -> BTreeMap<Kind, (usize, usize)> {
        let mut counts: BTreeMap<Kind, (usize, usize)> = BTreeMap::new();
        for outcome in self.between(from, to) {
            let (sent, served) = counts.entry(outcome.kind).or_default();
            *sent += 1;
            *served += usize::from(outcome.status == 200);
        }
        counts
    }
}

pub struct Clients {
    pub balancer: Arc<Balancer>,
    pub outcomes: Arc<Outcomes>,
    pub record: Record,
    next_id: AtomicU64,
    next_user: AtomicUsize,
}

/// Users that run until they are stopped.
pub struct Users {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Users {
    pub fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

impl Clients {
    pub fn new(balancer: Arc<Balancer>, record: &Record) -> Arc<Self> {
        Arc::new(Self {
            balancer,
            outcomes: Arc::default(),
            record: record.clone(),
            next_id: AtomicU64::new(1),
            next_user: AtomicUsize::new(0),
        })
    }

    /// Id of a new client attempt.
    pub fn next_id(&self) -> String {
        format!("{:016x}", self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Starts users that each send a request, wait for its answer, pause, and start again.
    pub fn users(
        self: &Arc<Self>,
        zone: &'static str,
        count: usize,
        kind: Kind,
        pause: Duration,
    ) -> Users {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..count)
            .map(|_| {
                let (clients, stop) = (Arc::clone(self), Arc::clone(&stop));
                let user = self.next_user.fetch_add(1, Ordering::Relaxed);
                thread::spawn(move || {
                    let mut link = None;
                    let mut connections = user;
                    while !stop.load(Ordering::Relaxed) {
                        clients.request(zone, kind, user, &mut link, &mut connections);
                        thread::sleep(pause);
                    }
                })
            })
            .collect();
        Users { stop, threads }
    }

    /// Sends one request, and once more where the protocol lets a client repeat it.
    fn request(
        &self,
        zone: &str,
        kind: Kind,
        user: usize,
        link: &mut Option<(usize, Connection)>,
        connections: &mut usize,
    ) {
        let until = Instant::now() + kind.deadline();
        for attempt in 0..2 {
            let left = until.saturating_duration_since(Instant::now());
            if left < Duration::from_millis(20) {
                return;
            }
            let result = self.attempt(zone, kind, user, left, link, connections);
            let retry_after = match &result {
                Ok(r) if r.status == 200 => return,
                Ok(r) if r.status == 503 || r.status == 429 => {
                    Some(r.header("retry-after").parse().unwrap_or(0.0))
                }
                _ if kind.is_safe() => Some(0.0),
                _ => return,
            };
            if attempt == 0
                && let Some(seconds) = retry_after
            {
                let left = until.saturating_duration_since(Instant::now());
                let wait = Duration::try_from_secs_f64(seconds).unwrap_or_default();
                thread::sleep(wait.min(left / 3));
                *link = None;
            }
        }
    }

    fn attempt(
        &self,
        zone: &str,
        kind: Kind,
        user: usize,
        left: Duration,
        link: &mut Option<(usize, Connection)>,
        connections: &mut usize,
    ) -> io::Result<Response> {
        let sent_at = Instant::now();
        if link.is_none() {
            let node = self.balancer.pick(zone, *connections);
            *connections = connections.wrapping_mul(31).wrapping_add(7);
            let address = self.balancer.nodes[node];
            match Connection::open(address, CONNECT_TIMEOUT.min(left)) {
                Ok(connection) => *link = Some((node, connection)),
                Err(error) => {
                    self.note(sent_at, kind, node, 0, true, "-", "connect");
                    return Err(error);
                }
            }
        }
        let Some((node, connection)) = link.as_mut() else {
            return Err(io::Error::other("no link"));
        };
        let node = *node;
        let id = self.next_id();
        // Each booking and note is another one; lookups are about few records.
        let (method, target, body) = match kind {
            Kind::Booking => ("POST", format!("/book/{user}/x"), format!("crew {id} for the ford")),
            Kind::Lookup => ("GET", format!("/look/{}/x", user % RECORDS), String::new()),
            Kind::Note => ("POST", format!("/notes/{user}/x"), format!("note {id}")),
        };
        let deadline = left.as_millis().to_string();
        let mut headers = vec![
            ("Host", "ford.example"),
            ("X-Attempt-Id", id.as_str()),
            ("X-Deadline-Ms", deadline.as_str()),
            ("X-Key", "key-1"),
        ];
        if kind == Kind::Note {
            headers.extend([("X-Model-Id", "m0"), ("X-Token-Usage", "100,50")]);
        }
        self.record.line(&format!("send id={id} kind={} node={node}", kind.name()));
        let result = connection.call(method, &target, &headers, body.as_bytes(), left);
        match &result {
            Ok(response) => {
                let text = String::from_utf8_lossy(&response.body);
                let is_own = response.status != 200
                    || (text.contains(&id) && !response.header("x-response-signature").is_empty());
                self.note(sent_at, kind, node, response.status, is_own, &id, "-");
                if response.header("connection").eq_ignore_ascii_case("close") {
                    *link = None;
                }
            }
            Err(error) => {
                self.note(sent_at, kind, node, 0, true, &id, &format!("{:?}", error.kind()));
                *link = None;
            }
        }
        result
    }

    #[allow(clippy::too_many_arguments)]
    fn note(
        &self,
        sent_at: Instant,
        kind: Kind,
        node: usize,
        status: u16,
        is_own_answer: bool,
        id: &str,
        error: &str,
    ) {
        let took = sent_at.elapsed();
        self.record.line(&format!(
            "answer id={id} kind={} node={node} status={status} own={is_own_answer} error={error} \
             took_ms={}",
            kind.name(),
            took.as_millis()
        ));
        let outcome = Outcome { sent_at, kind, status };
        self.outcomes.0.lock().unwrap().push(outcome);
    }
}
