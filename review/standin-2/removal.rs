//! Workers leave without a notice, while the store cuts off watches that wait.

use {
    crate::{Scene, Verdict, client::ask, node::Limits, plain::PlainWorker},
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// `drainMs` of the settings.
const DRAIN: Duration = Duration::from_millis(2_000);

/// Time for which a watch may wait before the store cuts it off.
const WATCH: Duration = Duration::from_millis(500);

/// Workers, and how many of them are replaced one after the other; the sheet has a share of 0.45.
const WORKERS: usize = 12;
const REPLACED: usize = 5;

/// Times from the start of a new worker to the removal of the old one's entry; they differ, since when
/// the latest watch was cut off decides.
const OVERLAPS_MS: [u64; REPLACED] = [700, 800, 1_000, 1_300, 1_500];

/// Time after each replacement.
const GAP: Duration = Duration::from_millis(3_000);

const CLIENTS: usize = 40;
const DEADLINE: Duration = Duration::from_millis(1_000);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-book","hostname":"ficu95.example",
"pathPrefix":"/puxa403/","routeType":"unsafe","timeoutMs":1000,"latencyTargetMs":150,"priority":2,
"service":"reservas","maxAttempts":1,"public":false}],"services":[{"name":"reservas",
"healthPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
"idleTimeoutMs":15000},"tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"]}]}"#;

pub fn play(scene: &Scene) -> Verdict {
    let (record, ip) = (&scene.record, &scene.ips[1]);
    let open_worker = |i| {
        let id = format!("i-book{i}");
        let worker = PlainWorker::open(record, &scene.ips[0], &id, 6, Duration::from_millis(30));
        scene.store.put("servers", &id, worker.entry("reservas"));
        worker
    };
    let workers: Vec<PlainWorker> = (0..WORKERS).map(open_worker).collect();
    scene.store.put("config", "main", CONFIG.replace('\n', ""));
    let node = scene.spawn_node("edge-norte-a-1", ip, &Limits::default());
    if !node.wait_until_ready(Duration::from_secs(15)) {
        return Verdict::CouldNotRun("the node is not ready".to_owned());
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let (record, address, is_over) = (record.clone(), node.front.clone(), Arc::clone(&is_over));
        clients.push(thread::spawn(move || {
            let mut number = 0;
            while !is_over.load(Ordering::SeqCst) {
                let id = format!("b{client}-{number}");
                ask(&record, &address, "POST", "/puxa403/b", &id, DEADLINE, DEADLINE);
                number += 1;
                thread::sleep(Duration::from_millis(70));
            }
        }));
    }
    thread::sleep(Duration::from_secs(1));
    if scene.has_trouble {
        record.tell(&format!("the store cuts off watches that have waited for {WATCH:?}"));
        scene.store.cut_watches_after(Some(WATCH));
    }
    thread::sleep(Duration::from_secs(4));
    let mut removed_at = Vec::new();
    for (i, overlap_ms) in OVERLAPS_MS.into_iter().enumerate() {
        open_worker(WORKERS + i);
        thread::sleep(Duration::from_millis(overlap_ms));
        scene.store.remove("servers", &format!("i-book{i}"));
        removed_at.push(Instant::now());
        record.tell(&format!("the entry of i-book{i} is removed; it goes on serving"));
        thread::sleep(GAP);
    }
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let mut late = 0;
    for (i, (worker, removed_at)) in workers.iter().zip(removed_at).enumerate() {
        let arrivals = worker.arrivals();
        let after = arrivals.iter().filter(|a| a.at > removed_at);
        let last = after.map(|a| a.at.duration_since(removed_at)).max().unwrap_or_default();
        let count = arrivals.iter().filter(|a| a.at > removed_at + DRAIN).count();
        record.tell(&format!(
            "i-book{i}: the last request came {last:?} after its entry was removed; {count} came \
             later than {DRAIN:?} after it"
        ));
        late += count;
    }
    if late > 0 { Verdict::Broken } else { Verdict::Held }
}
