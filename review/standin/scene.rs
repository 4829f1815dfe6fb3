//! A small deployment: a store, workers of two services, and nodes.

use crate::{
    client::{Balancer, Clients, Kind},
    node::{Machine, Node, Places},
    proxy::Link,
    record::Record,
    store::Store,
    worker::{Profile, Worker},
};
use std::{
    env, fs,
    path::{Path, PathBuf},
    process,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

pub const ZONES: [&str; 3] = ["norte-a", "norte-b", "norte-c"];

/// Slots of a booking worker, and the time that it works on a request.
pub const SLOTS: u32 = 6;
pub const WORK: Duration = Duration::from_millis(30);

pub struct Scene {
    pub record: Record,
    pub store: Store,
    pub workers: Vec<Worker>,
    pub nodes: Vec<Node>,
    /// Links of the nodes to the store.
    pub links: Vec<Link>,
    pub clients: Arc<Clients>,
    temp: PathBuf,
}

/// Bandwidth of a link that is not limited; nodes then reach the store directly.
pub const NO_LIMIT: f64 = 1_000.0;

/// Model workers of the deployment, and the size of its machines.
#[derive(Clone, Copy)]
pub struct Engines {
    pub count: usize,
    pub group_size: usize,
    /// Duration of a stream.
    pub stream: Duration,
    /// Memory of a node's machine.
    pub memory_mb: u64,
    /// Bandwidth of the link of a node's machine.
    pub link_mbps: f64,
}

pub const ONE_GROUP: Engines = Engines {
    count: 2,
    group_size: 2,
    stream: Duration::from_millis(200),
    memory_mb: 260,
    link_mbps: NO_LIMIT,
};

pub fn configuration(version: u64, group_size: usize, more_routes: usize, has_old: bool) -> String {
    let route =
        |name: &str, kind: &str, timeout: u64, target: u64, service: &str, attempts: u32| {
            let resumable = kind == "streaming";
            format!(
                "{{\"name\":\"{name}\",\"hostname\":\"ford.example\",\"pathPrefix\":\"/{name}/\",\
             \"routeType\":\"{kind}\",\"timeoutMs\":{timeout},\"latencyTargetMs\":{target},\
             \"priority\":1,\"service\":\"{service}\",\"maxAttempts\":{attempts},\"public\":false,\
             \"resumable\":{resumable},\"itlTargetMs\":300}}"
            )
        };
    let mut routes = vec![
        route("notes", "streaming", 8_000, 400, "asistente", 2),
        route("book", "unsafe", 1_000, 150, "reservas", 1),
        route("look", "safe", 1_000, 150, "reservas", 2),
    ];
    if has_old {
        routes.push(route("old", "safe", 1_000, 150, "reservas", 2));
    }
    for index in 0..more_routes {
        routes.push(route(&format!("idle-{index}"), "safe", 1_000, 150, "reservas", 2));
    }
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"asistente\",\
         \"healthPath\":\"/healthz\",\"maxConnections\":378,\"protocol\":\"h1\",\"tls\":false,\
         \"engineProfile\":{{\"slots\":17,\"loadsPerS\":5.0,\"loads_at_once\":7,\"models\":[{{\
         \"name\":\"m0\",\"size\":{group_size},\"workShare\":1.0,\"pace\":1.0,\"loadS\":12.0,\
         \"warmupS\":1.6}}]}}}},{{\"name\":\"reservas\",\"healthPath\":\"/healthz\",\
         \"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\
         \"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"gremio\",\"apiKeys\":[\"key-1\"],\
         \"priority\":1}}]}}",
        routes.join(",")
    )
}

impl Scene {
    /// Starts the deployment and waits until all nodes are ready and every kind of request is served.
    pub fn start(root: &Path, folder: &Path, node_count: usize, engines: Engines) -> Option<Self> {
        let record = Record::create(folder.join("record.txt").to_str()?);
        let temp = env::temp_dir().join(format!("turmerictack-review-{}", process::id()));
        fs::create_dir_all(&temp).ok()?;
        let store = Store::spawn();
        store.put("config", "main", &configuration(7, engines.group_size, 0, true));
        let mut workers = Vec::new();
        for index in 0..3 {
            let profile = Profile {
                id: format!("i-res{index}"),
                service: "reservas".into(),
                zone: ZONES[index % 3].into(),
                slots: SLOTS,
                queue: 24,
                work: WORK,
                model: None,
            };
            workers.push(Worker::spawn(profile, &store, &record));
        }
        for index in 0..engines.count {
            let profile = Profile {
                id: format!("i-asi{index}"),
                service: "asistente".into(),
                zone: ZONES[0].into(),
                slots: 17,
                queue: 34,
                work: engines.stream,
                model: Some("m0".into()),
            };
            workers.push(Worker::spawn(profile, &store, &record));
        }
        let machine = Machine { memory_mb: engines.memory_mb, link_mbps: engines.link_mbps };
        let links: Vec<Link> =
            (0..node_count).map(|_| Link::spawn(&store.address, engines.link_mbps)).collect();
        let store_address = |i: usize| match engines.link_mbps < NO_LIMIT {
            true => &links[i].address,
            false => &store.address,
        };
        let places = Places { root, temp: &temp };
        let nodes: Vec<Node> = (0..node_count)
            .map(|i| Node::spawn(&places, store_address(i), i, &ZONES, &machine))
            .collect();
        let all_ready = nodes.iter().all(|n| n.wait_until_ready(Duration::from_secs(10)));
        let clients = Clients::new(Balancer::spawn(&nodes), &record);
        let scene = Self { record, store, workers, nodes, links, clients, temp };
        if !all_ready || !scene.wait_until_served() {
            scene.record.say("the deployment did not start");
            return None;
        }
        Some(scene)
    }

    fn wait_until_served(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            let from = Instant::now();
            for kind in [Kind::Booking, Kind::Lookup, Kind::Note] {
                let users = self.clients.users(ZONES[0], 1, kind, Duration::from_millis(50));
                thread::sleep(Duration::from_millis(400));
                users.stop();
            }
            let counts = self.clients.outcomes.count(from, Instant::now());
            if counts.len() == 3 && counts.values().all(|(_, served)| *served > 0) {
                return true;
            }
        }
        false
    }

    /// Counts the attempts of a span by kind, and writes them to the record.
    pub fn report(&self, title: &str, from: Instant, to: Instant) -> [(Kind, usize, usize); 3] {
        let counts = self.clients.outcomes.count(from, to);
        [Kind::Booking, Kind::Lookup, Kind::Note].map(|kind| {
            let (sent, served) = counts.get(&kind).copied().unwrap_or_default();
            self.record.say(&format!("{title}: {} sent {sent}, served {served}", kind.name()));
            (kind, sent, served)
        })
    }
}

impl Drop for Scene {
    fn drop(&mut self) {
        self.nodes.clear();
        if env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.temp);
        } else {
            println!("kept {}", self.temp.display());
        }
    }
}

/// A number from the environment, for trials.
pub fn number(name: &str, default: usize) -> usize {
    env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default)
}

/// Whether a kind of request is served less than a quarter as often as all requests.
pub fn is_starved(counts: &[(Kind, usize, usize)]) -> bool {
    let (sent, served) =
        counts.iter().fold((0, 0), |(s, v), (_, sent, served)| (s + sent, v + served));
    if sent == 0 || served == 0 {
        return sent > 0;
    }
    let overall = served as f64 / sent as f64;
    counts.iter().any(|(_, s, v)| *s > 0 && (*v as f64 / *s as f64) < overall / 4.0)
}
