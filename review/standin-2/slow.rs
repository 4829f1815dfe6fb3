//! Clients that read large answers slowly.

use {
    crate::{
        Scene, Verdict,
        client::{ask, head},
        http::Connection,
        node::Limits,
        plain::PlainWorker,
    },
    std::{
        fs,
        io::Read as _,
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
        let worker = PlainWorker::open(record, &scene.ips[0], &id, 6, Duration::from_millis(30));
        scene.store.put("servers", &id, worker.entry("reservas"));
        worker
    };
    let workers: Vec<PlainWorker> = (0..3).map(open_worker).collect();
    scene.store.put("config", "main", CONFIG.replace('\n', ""));
    let limits = Limits { memory_mb: MEMORY_MB, ..Limits::default() };
    let mut node = scene.spawn_node("edge-norte-a-1", ip, &limits);
    if !node.wait_until_ready(Duration::from_secs(15)) {
        return Verdict::CouldNotRun("the node is not ready".to_owned());
    }
    if ask(record, &node.front, "GET", "/puxa403/a", "calm", DEADLINE, DEADLINE) != Some(200) {
        return Verdict::CouldNotRun("a request in calm is not served".to_owned());
    }
    for worker in &workers {
        worker.set_body(vec![b'x'; ANSWER_BYTES]);
    }
    record.tell(&format!("{CLIENTS} clients ask for {ANSWER_BYTES} bytes each"));
    let began = Instant::now();
    let is_slow = scene.has_trouble;
    for client in 0..CLIENTS {
        let (record, address) = (record.clone(), node.front.clone());
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(10) * client as u32);
            let id = format!("look-{client}");
            if !is_slow {
                ask(&record, &address, "GET", "/puxa403/a", &id, DEADLINE, DEADLINE);
                return;
            }
            let Ok(mut connection) = Connection::connect(&address, Duration::from_secs(1)) else {
                return;
            };
            let head = head("GET", "/puxa403/a", &id, 8_000);
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
        record.tell("the platform kills the process, with all that it serves");
        drop(node);
        return Verdict::Broken;
    }
    if !node.is_alive() { Verdict::Broken } else { Verdict::Held }
}
