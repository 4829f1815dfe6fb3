//! A crowd of clients whose bodies stop just short of their end, beside ordinary clients.

use {
    crate::{
        Scene, Verdict,
        client::{ask, head},
        http::Connection,
        node::{Limits, Node},
        plain::{Arrival, PlainWorker},
        record::Record,
    },
    std::{
        collections::BTreeSet,
        io::Read as _,
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// Descriptors of the node. It keeps three quarters of what 200 files leave for client connections.
const MAX_FDS: u64 = 700;

/// Clients of the crowd, each with one connection and one small body.
const CROWD: usize = 400;

/// Bytes of a body that are sent before it stops.
const BODY_BYTES: usize = 4 * 1024;

/// Ordinary clients.
const CLIENTS: usize = 10;

/// `timeoutMs` of the route, and what the clients state in `X-Deadline-Ms`.
const TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time at which a request that was unanswered at the timeout has to have an answer. The clients stay a
/// little longer.
const BOUND: Duration = Duration::from_millis(1_500);
const STAY: Duration = Duration::from_millis(1_600);

/// Number of unanswered requests from which on the share counts.
const MIN_UNANSWERED: usize = 8;

/// `stableWindowMs` of the settings.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);

/// Number of clients that the rule names.
const MIN_CLIENTS: usize = 7;

const TRYING_TIME: Duration = Duration::from_secs(9);

/// Time after a client has closed its connection from which on its request counts for GONE.
const GONE: Duration = Duration::from_millis(500);

/// Time after the tries in which the node may still take up what it has not read.
const REST: Duration = Duration::from_secs(5);

/// An ordinary request on a new connection.
struct Try {
    id: String,
    client: usize,
    at: Instant,
    status: Option<u16>,
    /// Time from the begin of the connection to the answer, or to the end of the wait for it.
    took: Duration,
}

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-book","hostname":"ficu95.example",
"pathPrefix":"/puxa403/","routeType":"unsafe","timeoutMs":1000,"latencyTargetMs":150,"priority":2,
"service":"reservas","maxAttempts":1,"public":false}],"services":[{"name":"reservas",
"healthPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
"idleTimeoutMs":15000},"tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"]}]}"#;

/// Sends a body in one chunk without the end mark, and keeps the connection open until the node ends it.
fn hold_unfinished_body(record: &Record, address: &str, at: usize) {
    let Ok(mut connection) = Connection::connect(address, Duration::from_secs(20)) else { return };
    let head = head("POST", "/puxa403/crowd", &format!("crowd-{at}"), 8_000);
    let chunk = "x".repeat(BODY_BYTES);
    let request = format!("{head}Transfer-Encoding: chunked\r\n\r\n{BODY_BYTES:x}\r\n{chunk}\r\n");
    if connection.write(request.as_bytes()).is_err() {
        return;
    }
    let _ = connection.stream.set_read_timeout(Some(Duration::from_secs(60)));
    let mut answer = [0; 64];
    let read = connection.stream.read(&mut answer).unwrap_or(0);
    let answer = String::from_utf8_lossy(&answer[..read]).into_owned();
    let first_line = answer.lines().next().unwrap_or("closed").to_owned();
    record.line(&format!("crowd: {at} gets {first_line}"));
}

pub fn play(scene: &Scene) -> Verdict {
    let (record, ip) = (&scene.record, &scene.ips[1]);
    let worker_ip = &scene.ips[0];
    let work = Duration::from_millis(30);
    let workers: Vec<PlainWorker> = (0..2)
        .map(|i| PlainWorker::open(record, worker_ip, &format!("i-book{i}"), 6, work))
        .collect();
    scene.store.put("config", "main", CONFIG.replace('\n', ""));
    for (i, worker) in workers.iter().enumerate() {
        scene.store.put("servers", &format!("i-book{i}"), worker.entry("reservas"));
    }
    let limits = Limits { max_fds: MAX_FDS, ..Limits::default() };
    let node = scene.spawn_node("edge-norte-a-1", ip, &limits);
    if !node.wait_until_ready(Duration::from_secs(15)) {
        return Verdict::CouldNotRun("the node is not ready".to_owned());
    }
    for at in 0..20 {
        let id = format!("calm-{at}");
        let status = ask(record, &node.front, "POST", "/puxa403/a", &id, TIMEOUT, STAY);
        if status != Some(200) {
            return Verdict::CouldNotRun(format!("an ordinary request in calm gets {status:?}"));
        }
    }
    let record_of_crowd = record.clone();
    if scene.has_trouble {
        record.tell(&format!("{CROWD} clients send bodies that stop short of their end"));
        for at in 0..CROWD {
            let (address, record) = (node.front.clone(), record_of_crowd.clone());
            thread::spawn(move || hold_unfinished_body(&record, &address, at));
        }
        thread::sleep(Duration::from_millis(700));
    }
    let began = Instant::now();
    let tries: Arc<Mutex<Vec<Try>>> = Arc::default();
    let readiness: Arc<Mutex<Vec<(Instant, u16)>>> = Arc::default();
    let mut threads = Vec::new();
    for client in 0..CLIENTS {
        let (address, tries, record) = (node.front.clone(), Arc::clone(&tries), record.clone());
        threads.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(40) * client as u32);
            let mut number = 0;
            while began.elapsed() < TRYING_TIME {
                let at = Instant::now();
                let id = format!("order-{client}-{number}");
                number += 1;
                let status = ask(&record, &address, "POST", "/puxa403/b", &id, TIMEOUT, STAY);
                let took = at.elapsed();
                tries.lock().expect("the tries").push(Try { id, client, at, status, took });
                thread::sleep(Duration::from_millis(400).saturating_sub(at.elapsed()));
            }
        }));
    }
    let (polled, record_of_polls, polled_ip) = (Arc::clone(&readiness), record.clone(), ip.clone());
    threads.push(thread::spawn(move || {
        while began.elapsed() < TRYING_TIME {
            let at = Instant::now();
            let status = Node::readiness(&polled_ip);
            record_of_polls.line(&format!("platform: readiness {status}"));
            polled.lock().expect("the polls").push((at, status));
            thread::sleep(Duration::from_millis(1_000).saturating_sub(at.elapsed()));
        }
    }));
    for thread in threads {
        let _ = thread.join();
    }
    thread::sleep(REST);
    if !node.is_alive() {
        record.tell("the node's process has ended");
        return Verdict::Broken;
    }
    let tries = tries.lock().expect("the tries");
    let arrivals: Vec<Arrival> = workers.iter().flat_map(PlainWorker::arrivals).collect();
    let is_late = |arrival: &&Arrival| {
        tries.iter().any(|t| t.id == arrival.id && arrival.at > t.at + t.took + GONE)
    };
    let late = arrivals.iter().filter(is_late).count();
    record.tell(&format!(
        "GONE: {late} bookings reached a worker, which ran them, more than {GONE:?} after their client \
         had given up and closed its connection"
    ));
    judge(scene, &tries, &readiness.lock().expect("the polls"))
}

fn judge(scene: &Scene, tries: &[Try], readiness: &[(Instant, u16)]) -> Verdict {
    let answered = tries.iter().filter(|t| t.status.is_some()).count();
    let polls: Vec<u16> = readiness.iter().map(|(_, status)| *status).collect();
    scene.record.tell(&format!(
        "{} ordinary requests on new connections, {answered} answered; readiness {polls:?}",
        tries.len()
    ));
    if let Some((from, clients)) = idle_window(tries, readiness) {
        scene.record.tell(&format!(
            "RECOVER: for {STABLE_WINDOW:?} from {from:?} on, {clients} clients tried new connections \
             at the ready node, and none was answered within {STAY:?}"
        ));
    }
    let late: Vec<&Try> = tries.iter().filter(|t| t.status.is_none() || t.took > TIMEOUT).collect();
    let without = late.iter().filter(|t| t.status.is_none() || t.took > BOUND).count();
    scene.record.tell(&format!(
        "CONFIG: {} requests were unanswered at their route's timeout of {TIMEOUT:?}, and {without} \
         of them had no answer half a second later",
        late.len()
    ));
    let is_broken = late.len() >= MIN_UNANSWERED && without * 2 > late.len();
    if is_broken { Verdict::Broken } else { Verdict::Held }
}

/// First window of `stableWindowMs` in which the node said that it was ready, enough clients tried and
/// none was answered: its begin, and the number of clients.
fn idle_window(tries: &[Try], readiness: &[(Instant, u16)]) -> Option<(Duration, usize)> {
    tries.iter().find_map(|first| {
        let window = first.at..first.at + STABLE_WINDOW;
        let inside: Vec<&Try> = tries.iter().filter(|t| window.contains(&t.at)).collect();
        let clients: BTreeSet<usize> = inside.iter().map(|t| t.client).collect();
        let polls: Vec<u16> =
            readiness.iter().filter(|(at, _)| window.contains(at)).map(|(_, s)| *s).collect();
        let is_ready = polls.len() >= 2 && polls.iter().all(|status| *status == 200);
        let is_idle = inside.iter().all(|t| t.status.is_none());
        let counts = is_ready && is_idle && clients.len() >= MIN_CLIENTS;
        counts.then(|| (first.at.duration_since(tries[0].at), clients.len()))
    })
}
