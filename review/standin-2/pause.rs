//! A worker that has asked for a pause loses its entry in the store for a while, and gets it back.

use {
    crate::{
        Scene, Verdict,
        client::ask,
        node::Limits,
        plain::{Arrival, PlainWorker},
    },
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Pause that the worker asks for.
const PAUSE: Duration = Duration::from_secs(20);

/// `heartbeatMs` x 3: the entry of a worker that can't reach the store is removed after that.
const SILENCE: Duration = Duration::from_millis(3_600);

/// Time for which the worker is partitioned from the store.
const CUT: Duration = Duration::from_secs(6);

/// Requests that the rule allows in the pause, and the time after its start from which they count.
const ALLOWED: usize = 2;
const GRACE: Duration = Duration::from_millis(500);

const DEADLINE: Duration = Duration::from_millis(1_000);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-look","hostname":"ficu95.example",
"pathPrefix":"/puxa403/","routeType":"safe","timeoutMs":1000,"latencyTargetMs":150,"priority":2,
"service":"reservas","maxAttempts":2,"public":false}],"services":[{"name":"reservas",
"healthPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
"idleTimeoutMs":15000},"tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"]}]}"#;

pub fn play(scene: &Scene) -> Verdict {
    let (record, ip) = (&scene.record, &scene.ips[1]);
    let work = Duration::from_millis(30);
    let workers: Vec<PlainWorker> = (0..5)
        .map(|i| PlainWorker::open(record, &scene.ips[0], &format!("i-look{i}"), 6, work))
        .collect();
    scene.store.put("config", "main", CONFIG.replace('\n', ""));
    for (i, worker) in workers.iter().enumerate() {
        scene.store.put("servers", &format!("i-look{i}"), worker.entry("reservas"));
    }
    let node = scene.spawn_node("edge-norte-a-1", ip, &Limits::default());
    if !node.wait_until_ready(Duration::from_secs(15)) {
        return Verdict::CouldNotRun("the node is not ready".to_owned());
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for client in 0..4 {
        let (record, address, is_over) = (record.clone(), node.front.clone(), Arc::clone(&is_over));
        clients.push(thread::spawn(move || {
            let mut number = 0;
            while !is_over.load(Ordering::SeqCst) {
                ask(
                    &record,
                    &address,
                    "GET",
                    "/puxa403/a",
                    &format!("l{client}-{number}"),
                    DEADLINE,
                    DEADLINE,
                );
                number += 1;
                thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    thread::sleep(Duration::from_secs(2));
    let worker = &workers[0];
    let served_before = worker.arrivals().len();
    record.tell(&format!("i-look0 has had {served_before} requests, and now asks for {PAUSE:?}"));
    worker.turn_away(Some(PAUSE));
    let asked_at = loop {
        let refused = worker.arrivals().into_iter().find(|arrival| !arrival.has_run);
        if let Some(Arrival { at, .. }) = refused {
            break at;
        }
        thread::sleep(Duration::from_millis(5));
    };
    // It has room again, but wants nothing from this machine before the pause is over.
    thread::sleep(Duration::from_millis(400));
    worker.turn_away(None);
    if scene.has_trouble {
        record.tell("i-look0 is partitioned from the store");
        thread::sleep(SILENCE);
        scene.store.remove("servers", "i-look0");
        record.tell("the entry of i-look0 has expired");
        thread::sleep(CUT - SILENCE);
        scene.store.put("servers", "i-look0", worker.entry("reservas"));
        record.tell("i-look0 reaches the store again, and its entry is back");
    }
    thread::sleep((asked_at + PAUSE).saturating_duration_since(Instant::now()));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    if served_before == 0 {
        return Verdict::CouldNotRun("the worker got no request before".to_owned());
    }
    let counted = asked_at + GRACE..asked_at + PAUSE;
    let early = worker.arrivals().iter().filter(|arrival| counted.contains(&arrival.at)).count();
    record.tell(&format!("{early} requests reached i-look0 in its pause, {ALLOWED} are allowed"));
    if early > ALLOWED { Verdict::Broken } else { Verdict::Held }
}
