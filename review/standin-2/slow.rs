//! Clients that read large answers slowly.

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

/// `memoryMb` of the node.
const MEMORY_MB: u64 = 260;

/// Size of an answer, and number of clients that read theirs slowly.
const ANSWER_BYTES: usize = 4 * 1024 * 1024;
const CLIENTS: usize = 80;

/// Bytes that a slow client reads at a time, and the pause between.
const PIECE_BYTES: usize = 4 * 1024;
const PAUSE: Duration = Duration::from_millis(100);

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
    let limits = Limits { memory_mb: MEMORY_MB, ..Limits::default() };
    let node = scene.spawn_node("edge-norte-a-1", ip, &limits);
    if !node.wait_until_ready(Duration::from_secs(15)) {
        return Verdict::CouldNotRun("the node is not ready".to_owned());
    }
    if ask(record, &node.front, "GET", "/puxa403/a", "calm", DEADLINE, DEADLINE) != Some(200) {
        return Verdict::CouldNotRun("a request in calm is not served".to_owned());
    }
    for worker in &workers {
        worker.set_body(vec![b'x'; ANSWER_BYTES]);
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
    record.tell(&format!("{CLIENTS} clients ask for {ANSWER_BYTES} bytes each"));
    let began = Instant::now();
    let is_slow = scene.has_trouble;
    for client in 0..CLIENTS {
        let (record, address) = (record.clone(), node.front.clone());
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(10) * client as u32);
            let id = format!("look-{client}");
            if !is_slow {
                ask(&record, &address, "GET", "/puxa403/big", &id, DEADLINE, DEADLINE);
                return;
            }
            let Ok(mut connection) = Connection::connect(&address, Duration::from_secs(1)) else {
                return;
            };
            let head = head("GET", "/puxa403/big", &id, 8_000);
            let _ = connection.write(format!("{head}\r\n").as_bytes());
            let mut buf = vec![0; PIECE_BYTES];
            let mut total = 0;
            while let Ok(read) = connection.stream.read(&mut buf) {
                if read == 0 {
                    break;
                }
                total += read;
                thread::sleep(PAUSE);
            }
            record.line(&format!("client: {id} is cut off after {total} bytes"));
        });
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
