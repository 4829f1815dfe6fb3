//! The head of a group drains, and finishes long streams after it has stopped listening.

use {
    crate::{
        Scene, Verdict,
        client::head,
        engine::{EngineWorker, Fabric, MODEL, Profile},
        http::Connection,
        node::Limits,
    },
    std::{
        io, thread,
        time::{Duration, Instant},
    },
};

/// Model `m0` of the sheet: 4 workers, loaded in 16 s, from the host in 1.6 s.
const PROFILE: Profile =
    Profile { slots: 17, load: Duration::from_secs(16), warmup: Duration::from_millis(1_600) };

/// `drainMs`, and the "little longer" that a worker serves.
const SERVED: Duration = Duration::from_millis(2_000 + 1_500);

/// Time for which a draining member remains while the head has work.
const KEPT: Duration = Duration::from_secs(10);

const CLIENTS: usize = 6;
const DEADLINE_MS: u64 = 8_000;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-note","hostname":"ficu95.example",
"pathPrefix":"/lohu930/","routeType":"streaming","timeoutMs":8000,"latencyTargetMs":400,
"priority":1,"service":"asistente","maxAttempts":2,"public":false,"sessionAffinity":true,
"resumable":true,"itlTargetMs":300}],"services":[{"name":"asistente","healthPath":"/healthz",
"maxConnections":378,"protocol":"h1","tls":false,"engineProfile":{"slots":17,
"kvCapacityTokens":1860000,"models":[{"name":"daka510000","size":4,"workShare":1.0,"pace":1.0,
"loadS":16.0,"warmupS":1.6}],"step_ms":7.8,"loadsPerS":5.0,"loads_at_once":7,"retainCount":1,
"openDelayMs":300.0}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"]}]}"#;

fn ask_for_stream(address: &str, id: &str) -> io::Result<(u16, usize)> {
    let mut connection = Connection::connect(address, Duration::from_secs(1))?;
    let head = head("POST", "/lohu930/2f", id, DEADLINE_MS);
    let body = "draft a repair note";
    let fields = format!("X-Model-Id: {MODEL}\r\nX-Token-Usage: 1460,400\r\n");
    let length = body.len();
    connection.write(format!("{head}{fields}Content-Length: {length}\r\n\r\n{body}").as_bytes())?;
    connection.stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))?;
    let answer = connection.read_head()?;
    let mut events = 0;
    while answer.status() == 200 && !connection.read_chunk()?.is_empty() {
        events += 1;
    }
    Ok((answer.status(), events))
}

/// Waits until a condition holds.
fn wait_for(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let end = Instant::now() + limit;
    while !condition() {
        if Instant::now() > end {
            return false;
        }
        thread::sleep(Duration::from_millis(10));
    }
    true
}

pub fn play(scene: &Scene) -> Verdict {
    let record = &scene.record;
    scene.store.put("config", "main", CONFIG.replace('\n', ""));
    let fabric = Fabric::default();
    let open_engine = |i| {
        let id = format!("i-model{i}");
        EngineWorker::open(record, &scene.store, &fabric, &scene.ips[0], &id, PROFILE)
    };
    let engines: Vec<EngineWorker> = (0..5).map(open_engine).collect();
    for engine in &engines {
        engine.set_pace(Duration::from_millis(200), Duration::from_millis(100), 68);
    }
    let node = scene.spawn_node("edge-norte-a-1", &scene.ips[1], &Limits::default());
    let has_group = || engines.iter().any(EngineWorker::is_open);
    let is_warm = || engines.iter().all(EngineWorker::is_staged);
    if !wait_for(Duration::from_secs(40), || has_group() && is_warm()) {
        return Verdict::CouldNotRun("no group opens".to_owned());
    }
    thread::sleep(Duration::from_millis(800));
    let Some(head) = engines.iter().find(|engine| engine.is_open()) else {
        return Verdict::CouldNotRun("no group is open".to_owned());
    };
    record.tell(&format!("{} heads {:?}", head.id(), head.members()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, address) = (record.clone(), node.front.clone());
            thread::spawn(move || {
                let id = format!("note-{client}");
                let result = ask_for_stream(&address, &id);
                record.line(&format!("client: {id} ends with {result:?}"));
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    if scene.has_trouble {
        record.tell(&format!("{} drains, with {CLIENTS} streams of 7 s", head.id()));
        head.drain(SERVED, KEPT);
    }
    for client in clients {
        let _ = client.join();
    }
    wait_for(Duration::from_secs(8), || !scene.has_trouble || head.has_exited());
    thread::sleep(Duration::from_secs(2));
    let early = fabric.early_joins();
    record.tell(&format!("{} joins came too early", early.len()));
    for text in early.iter().take(4) {
        record.tell(&format!("  {text}"));
    }
    if early.is_empty() { Verdict::Held } else { Verdict::Broken }
}
