//! Clients that leave while their requests, which may run once at most, wait for a place or for their
//! first event.

use {
    crate::{
        Scene, Verdict,
        client::head,
        engine::{EngineWorker, Fabric, MODEL, Profile},
        http::Connection,
        node::{Limits, Node},
        record::Record,
    },
    std::{
        collections::BTreeMap,
        io,
        sync::{Arc, Mutex},
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
};

/// Time after a client has left from which on its request counts.
const BOUND: Duration = Duration::from_millis(500);

/// Half of the objective of 400 ms, after which the clients leave.
const LEAVES_AFTER: Duration = Duration::from_millis(200);

const DEADLINE_MS: u64 = 8_000;

/// Clients that leave: each `every`-th of them, `after` it has sent its request.
#[derive(Clone, Copy)]
struct Leaves {
    every: usize,
    after: Duration,
}

/// Times that the clients come. A fifth of all clients leave at most.
const WAVES: usize = 4;

/// More than "a few".
const FEW: usize = 5;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-note","hostname":"ficu95.example",
"pathPrefix":"/lohu930/","routeType":"streaming","timeoutMs":8000,"latencyTargetMs":400,
"priority":1,"service":"asistente","maxAttempts":1,"public":false,"sessionAffinity":true,
"resumable":false,"itlTargetMs":300}],"services":[{"name":"asistente","healthPath":"/healthz",
"maxConnections":378,"protocol":"h1","tls":false,"engineProfile":{"slots":4,
"kvCapacityTokens":1860000,"models":[{"name":"daka510000","size":1,"workShare":1.0,"pace":1.0,
"loadS":2.0,"warmupS":1.1}],"step_ms":7.8,"loadsPerS":5.0,"loads_at_once":7,"retainCount":1,
"openDelayMs":300.0}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"]}]}"#;

/// Times at which clients closed their connections, by request.
type Closed = Arc<Mutex<BTreeMap<String, Instant>>>;

/// Asks for a stream and reads it to its end, or leaves after a while.
fn ask_for_stream(
    record: &Record,
    address: &str,
    id: &str,
    leaves_after: Option<Duration>,
    closed: &Closed,
) -> io::Result<usize> {
    let mut connection = Connection::connect(address, Duration::from_secs(1))?;
    let head = head("POST", "/lohu930/2f", id, DEADLINE_MS);
    let body = "draft a repair note";
    let fields = format!("X-Model-Id: {MODEL}\r\nX-Token-Usage: 1460,80\r\n");
    let length = body.len();
    connection.write(format!("{head}{fields}Content-Length: {length}\r\n\r\n{body}").as_bytes())?;
    if let Some(time) = leaves_after {
        thread::sleep(time);
        drop(connection);
        closed.lock().expect("the times").insert(id.to_owned(), Instant::now());
        record.line(&format!("client: {id} leaves"));
        return Ok(0);
    }
    connection.stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))?;
    let answer = connection.read_head()?;
    let mut events = 0;
    if answer.status() == 200 {
        while !connection.read_chunk()?.is_empty() {
            events += 1;
        }
    }
    record.line(&format!("client: {id} gets {} with {events} events", answer.status()));
    Ok(events)
}

fn spawn_clients(
    scene: &Scene,
    node: &Node,
    name: &str,
    count: usize,
    leaves: Option<Leaves>,
    closed: &Closed,
) -> Vec<JoinHandle<usize>> {
    let spawn = |at: usize| {
        let (record, address) = (scene.record.clone(), node.front.clone());
        let (id, closed) = (format!("{name}-{at}"), Arc::clone(closed));
        let leaves_after = leaves
            .filter(|leaves| at % leaves.every == leaves.every - 1)
            .map(|leaves| leaves.after);
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(5) * at as u32);
            let asked = ask_for_stream(&record, &address, &id, leaves_after, &closed);
            if let Err(error) = &asked {
                record.line(&format!("client: {id} fails: {error}"));
            }
            asked.unwrap_or(0)
        })
    };
    (0..count).map(spawn).collect()
}

fn join(clients: Vec<JoinHandle<usize>>) -> usize {
    clients.into_iter().filter_map(|c| c.join().ok()).filter(|events| *events > 0).count()
}

pub fn play(scene: &Scene) -> Verdict {
    let record = &scene.record;
    scene.store.put("config", "main", CONFIG.replace('\n', ""));
    let fabric = Fabric::default();
    let profile =
        Profile { slots: 4, load: Duration::from_secs(2), warmup: Duration::from_millis(1_100) };
    let open_engine = |i| {
        let id = format!("i-model{i}");
        EngineWorker::open(record, &scene.store, &fabric, &scene.ips[0], &id, profile)
    };
    let engines: Vec<EngineWorker> = (0..2).map(open_engine).collect();
    let node = scene.spawn_node("edge-norte-a-1", &scene.ips[1], &Limits::default());
    let end = Instant::now() + Duration::from_secs(25);
    while !(node.wait_until_ready(Duration::from_millis(100))
        && engines.iter().all(|e| e.is_open()))
    {
        if Instant::now() > end {
            return Verdict::CouldNotRun("the groups don't open".to_owned());
        }
    }
    thread::sleep(Duration::from_millis(600));
    let closed = Closed::default();
    let leaves = scene.has_trouble.then_some(Leaves { every: 3, after: LEAVES_AFTER });
    if join(spawn_clients(scene, &node, "calm", 4, None, &closed)) < 4 {
        return Verdict::CouldNotRun("streams in calm are not served".to_owned());
    }
    for wave in 0..WAVES {
        record.tell(&format!("wave {wave}: 10 streams take all places, 10 more clients come"));
        for engine in &engines {
            engine.set_pace(Duration::from_millis(150), Duration::from_millis(150), 9);
        }
        let mut clients = spawn_clients(scene, &node, &format!("hold{wave}"), 10, None, &closed);
        thread::sleep(Duration::from_millis(250));
        for engine in &engines {
            engine.set_pace(Duration::from_millis(150), Duration::from_millis(50), 12);
        }
        clients.extend(spawn_clients(scene, &node, &format!("late{wave}"), 10, leaves, &closed));
        let served = join(clients);
        record.tell(&format!("wave {wave}: {served} streams were read by their clients"));
        thread::sleep(Duration::from_millis(1_500));
    }
    for wave in 0..WAVES {
        record.tell(&format!("prompts {wave}: 10 clients ask for streams that begin after 1.6 s"));
        for engine in &engines {
            engine.set_pace(Duration::from_millis(1_600), Duration::from_millis(50), 12);
        }
        let leaves = leaves.map(|leaves| Leaves { every: 5, ..leaves });
        join(spawn_clients(scene, &node, &format!("slow{wave}"), 10, leaves, &closed));
        thread::sleep(Duration::from_millis(1_500));
    }
    judge(scene, &engines, &closed.lock().expect("the times"))
}

fn judge(scene: &Scene, engines: &[EngineWorker], closed: &BTreeMap<String, Instant>) -> Verdict {
    let works: Vec<_> = engines.iter().flat_map(EngineWorker::works).collect();
    let late = |id: &String, at: Instant| closed.get(id).is_some_and(|left| at > *left + BOUND);
    let arrivals = works.iter().filter(|work| late(&work.id, work.arrived_at)).count();
    // Streams whose clients left after their arrival, all of which would have lasted longer.
    let is_left = |id: &String, at: Instant| closed.get(id).is_some_and(|left| at <= *left);
    let left: Vec<_> = works.iter().filter(|w| is_left(&w.id, w.arrived_at)).collect();
    let at_work = left.iter().filter(|w| late(&w.id, w.ended_at.unwrap_or(Instant::now()))).count();
    scene.record.tell(&format!(
        "{} clients left; {arrivals} of their requests reached a worker more than {BOUND:?} later; \
         at {at_work} of {} that were at a worker by then, it was still at work {BOUND:?} later",
        closed.len(),
        left.len()
    ));
    if arrivals > FEW || at_work * 4 > left.len() { Verdict::Broken } else { Verdict::Held }
}
