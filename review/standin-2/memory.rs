//! A crowd of clients with long heads and bodies that stop short of their end, beside ordinary clients on
//! kept connections.

use {
    crate::{
        Scene, Verdict,
        client::{ask, head},
        http::Connection,
        node::Limits,
        plain::PlainWorker,
        record::Record,
    },
    std::{
        fs,
        io::Read as _,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// `memoryMb` and `maxFds` of the node.
const MEMORY_MB: u64 = 48;
const MAX_FDS: u64 = 1_400;

/// Clients of the crowd, each with one connection.
const CROWD: usize = 820;

/// Header fields of each of them, and the size of a value; the head stays under `maxHeaderBytes`, 16,384.
const FIELDS: usize = 80;
const VALUE_BYTES: usize = 150;

/// Bytes of a body that are sent before it stops.
const BODY_BYTES: usize = 15_000;

/// Time for which a worker runs a request.
const WORK: Duration = Duration::from_millis(300);

/// Ordinary clients, each with one connection that it keeps, and the number of requests without an
/// answer that the rule allows.
const ORDINARY: usize = 8;
const ALLOWED: usize = 3;

const TIME: Duration = Duration::from_secs(8);
const DEADLINE: Duration = Duration::from_secs(8);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-look","hostname":"ficu95.example",
"pathPrefix":"/puxa403/","routeType":"safe","timeoutMs":8000,"latencyTargetMs":1000,"priority":2,
"service":"reservas","maxAttempts":2,"public":false}],"services":[{"name":"reservas",
"healthPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
"idleTimeoutMs":15000},"tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"]}]}"#;

/// Anonymous memory of a process, in MB.
fn memory_mb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("RssAnon:")).unwrap_or("0 kB");
    line.trim().trim_end_matches(" kB").parse::<u64>().unwrap_or(0) / 1024
}

pub fn play(scene: &Scene) -> Verdict {
    let (record, ip) = (&scene.record, &scene.ips[1]);
    let open_worker = |i| {
        let id = format!("i-look{i}");
        let worker = PlainWorker::open(record, &scene.ips[0], &id, 6, WORK);
        scene.store.put("servers", &id, worker.entry("reservas"));
        worker
    };
    let workers: Vec<PlainWorker> = (0..3).map(open_worker).collect();
    scene.store.put("config", "main", CONFIG.replace('\n', ""));
    let limits = Limits { memory_mb: MEMORY_MB, max_fds: MAX_FDS };
    let node = scene.spawn_node("edge-norte-a-1", ip, &limits);
    if !node.wait_until_ready(Duration::from_secs(15)) {
        return Verdict::CouldNotRun("the node is not ready".to_owned());
    }
    if ask(record, &node.front, "GET", "/puxa403/a", "calm", DEADLINE, DEADLINE) != Some(200) {
        return Verdict::CouldNotRun("a request in calm is not served".to_owned());
    }
    let (unanswered, is_over) =
        (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicBool::new(false)));
    let mut ordinary = Vec::new();
    for client in 0..ORDINARY {
        let (record, address) = (record.clone(), node.front.clone());
        let (unanswered, is_over) = (Arc::clone(&unanswered), Arc::clone(&is_over));
        ordinary.push(thread::spawn(move || {
            if let Some(id) = ask_on_kept_connection(&record, &address, client, &is_over) {
                unanswered.lock().expect("the requests").push(id);
            }
        }));
    }
    thread::sleep(Duration::from_secs(1));
    let began = Instant::now();
    if scene.has_trouble {
        record.tell(&format!("{CROWD} clients send heads and bodies that stop short of their end"));
        for at in 0..CROWD {
            let (record, address) = (record.clone(), node.front.clone());
            thread::spawn(move || hold_unfinished_body(&record, &address, at));
        }
    }
    let mut peak = 0;
    while began.elapsed() < TIME && peak <= MEMORY_MB && node.is_alive() {
        peak = peak.max(memory_mb(node.pid()));
        thread::sleep(Duration::from_millis(50));
    }
    record.tell(&format!("the node held {peak} MB at most; its machine has {MEMORY_MB} MB"));
    if peak > MEMORY_MB {
        record.tell("the platform kills the process");
        drop(node);
    }
    is_over.store(true, Ordering::SeqCst);
    for client in ordinary {
        let _ = client.join();
    }
    let unanswered = unanswered.lock().expect("the requests");
    let runs: Vec<String> =
        workers.iter().flat_map(PlainWorker::arrivals).map(|arrival| arrival.id).collect();
    let lost = unanswered.iter().filter(|id| runs.contains(id)).count();
    record.tell(&format!(
        "{lost} requests of ordinary clients on kept connections were passed on to sound workers and \
         got no answer; {ALLOWED} are allowed"
    ));
    if lost > ALLOWED { Verdict::Broken } else { Verdict::Held }
}

/// Sends a head and a chunk of a body without the end mark, and keeps the connection open until the node
/// ends it.
fn hold_unfinished_body(record: &Record, address: &str, at: usize) {
    let Ok(mut connection) = Connection::connect(address, Duration::from_secs(20)) else { return };
    let head = head("POST", "/puxa403/crowd", &format!("crowd-{at}"), 8_000);
    let value = "v".repeat(VALUE_BYTES);
    let fields: String = (0..FIELDS).map(|i| format!("X-Field-{i}: {value}\r\n")).collect();
    let chunk = "x".repeat(BODY_BYTES);
    let body = format!("Transfer-Encoding: chunked\r\n\r\n{BODY_BYTES:x}\r\n{chunk}\r\n");
    if connection.write(format!("{head}{fields}{body}").as_bytes()).is_err() {
        return;
    }
    let _ = connection.stream.set_read_timeout(Some(Duration::from_secs(60)));
    let mut answer = [0; 64];
    let read = connection.stream.read(&mut answer).unwrap_or(0);
    let answer = String::from_utf8_lossy(&answer[..read]).into_owned();
    let first_line = answer.lines().next().unwrap_or("closed").to_owned();
    record.line(&format!("crowd: {at} gets {first_line}"));
}

/// Asks again and again on one connection; returns the id of a request after the first that got no
/// answer.
fn ask_on_kept_connection(
    record: &Record,
    address: &str,
    client: usize,
    is_over: &AtomicBool,
) -> Option<String> {
    let mut connection = Connection::connect(address, Duration::from_secs(1)).ok()?;
    let _ = connection.stream.set_read_timeout(Some(DEADLINE));
    let mut number = 0;
    while !is_over.load(Ordering::SeqCst) {
        let id = format!("order-{client}-{number}");
        let head = head("GET", "/puxa403/a", &id, 8_000);
        let sent = connection.write(format!("{head}\r\n").as_bytes());
        let status = sent.and_then(|()| connection.read_message()).map(|answer| answer.status());
        record.line(&format!("client: {id}: {status:?}"));
        if status.is_err() {
            return (number > 0).then_some(id);
        }
        number += 1;
    }
    None
}
