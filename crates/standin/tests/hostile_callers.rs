//! Crowds of callers that hold as much of a node as they can: its process lives, stays within its
//! memory and its descriptors, and serves an ordinary call while the crowd is still there.

#![allow(clippy::unwrap_used, reason = "test helpers panic on failure, as tests do")]

use {
    rstest::rstest,
    std::time::Duration,
    tokio::{
        sync::{Mutex, MutexGuard},
        time::{Instant, sleep, timeout},
    },
    turmerictack_standin::{
        client::Caller,
        crowd::{Crowd, Reading, Script, chunk, long_fields},
        fleet::{Fleet, OPERATOR_KEY},
        fleet_config::{FleetConfig, caller_key},
        process::{held_memory, open_descriptors},
    },
};

/// Memory of a node, as in the sizes to design for; the default of its settings.
const MEMORY_MB: u64 = 256;

/// Descriptors of a node: three for each of the 1,024 connections of callers, which are the default
/// of its settings, and others.
const MAX_DESCRIPTORS: usize = 3 * 1024 + 512;

/// Largest body.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Bytes by which a body stops short of its end.
const MISSING_BYTES: usize = 16;

/// Bytes of a body that is far over the limit.
const ENDLESS_BYTES: usize = 24 * 1024 * 1024;

/// Clients with large bodies or responses, clients that hold little else, and clients for whom there
/// are no places.
const CROWD: usize = 150;
const LARGE_CROWD: usize = 600;
const EXCESS_CROWD: usize = 1_600;

/// Bytes of a booking, and the number of bookings in a list of them.
const BOOKING_BYTES: usize = 1024 * 1024 - 64;
const BOOKINGS: usize = 4;

const CROWD_TIME: Duration = Duration::from_secs(8);
const HOLD_TIME: Duration = Duration::from_secs(5);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

fn head(method: &str, path: &str, key: &str, fields: &str) -> String {
    let key = caller_key(key);
    format!("{method} {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n{fields}")
}

fn post(fields: &str) -> String {
    head("POST", "/services/bookings/bookings", "member", fields)
}

const CHUNKED: &str = "transfer-encoding: chunked\r\n\r\n";

/// A body of which `bytes` bytes are announced, and nearly as many sent as are allowed.
fn announced(bytes: usize, piece: usize) -> Script {
    let head = post(&format!("content-length: {bytes}\r\n\r\n"));
    Script::new(head, vec![b'x'; piece], (MAX_BODY_BYTES - MISSING_BYTES) / piece)
}

fn chunked(bytes: usize, times: usize) -> Script {
    Script::new(post(CHUNKED), chunk(bytes), times)
}

/// Chat completions use another handler than services do.
fn chat(piece: usize) -> Script {
    let path = "/v1/chat/completions";
    let fields = format!("content-length: {MAX_BODY_BYTES}\r\n\r\n");
    let times = (MAX_BODY_BYTES - MISSING_BYTES) / piece;
    Script::new(head("POST", path, "member", &fields), vec![b'x'; piece], times)
}

fn chat_chunked(bytes: usize, times: usize) -> Script {
    let head = head("POST", "/v1/chat/completions", "member", CHUNKED);
    Script::new(head, chunk(bytes), times)
}

fn unfinished_head(bytes: usize) -> Script {
    Script::new(post(&long_fields(bytes)), "", 0)
}

fn unfinished_body(header_bytes: usize, body_bytes: usize) -> Script {
    let head = post(&format!("{}{CHUNKED}", long_fields(header_bytes)));
    Script::new(format!("{head}{}", chunk(body_bytes)), "", 0)
}

/// Requests for the list of all bookings.
fn lists(times: usize) -> Script {
    Script::new("", head("GET", "/services/bookings/bookings", "member", "\r\n"), times)
}

struct Scene {
    fleet: Fleet,
    id: u32,
    caller: Caller,
    peak: (u64, u64, u64),
    peak_descriptors: usize,
    _turn: MutexGuard<'static, ()>,
}

impl Scene {
    async fn spawn() -> Self {
        static TURN: Mutex<()> = Mutex::const_new(());
        let turn = TURN.lock().await;
        let config =
            FleetConfig { nodes: 1, groups: 0, booking_services: 1, ..FleetConfig::default() };
        let config = FleetConfig { log_level: "info", ..config };
        let fleet = Fleet::spawn(config).await.unwrap();
        let id = fleet.node("n1").unwrap().process.as_ref().unwrap().id();
        let caller = Caller::new(&caller_key("crew")).unwrap();
        let scene = Self { fleet, id, caller, peak: (0, 0, 0), peak_descriptors: 0, _turn: turn };
        let began = Instant::now();
        while !scene.is_served("calm").await {
            assert!(began.elapsed() < ANSWER_TIMEOUT, "no call is served in calm");
            sleep(SAMPLE_INTERVAL).await;
        }
        scene
    }

    fn address(&self) -> String {
        self.fleet.node("n1").unwrap().caller_address.clone()
    }

    /// Whether an ordinary call is served, on a new connection.
    async fn is_served(&self, key: &str) -> bool {
        let address = self.address();
        let booked = timeout(CALL_TIMEOUT, self.caller.book(&address, key, "seat")).await;
        booked.is_ok_and(|result| result.is_complete)
    }

    /// Whether an operator gets the status of the node.
    async fn is_status_served(&self) -> bool {
        let address = &self.fleet.node("n1").unwrap().operator_address;
        let http = reqwest::Client::builder().no_proxy().build().unwrap();
        let status = http.get(format!("http://{address}/status")).bearer_auth(OPERATOR_KEY);
        status.timeout(CALL_TIMEOUT).send().await.is_ok_and(|r| r.status().is_success())
    }

    fn sample(&mut self) {
        let held = held_memory(self.id);
        if held.total() > self.peak.0 {
            self.peak = (held.total(), held.anonymous, held.unread);
        }
        self.peak_descriptors = self.peak_descriptors.max(open_descriptors(self.id));
    }

    /// Lets the crowd send and stay, and checks what has to hold whatever callers do.
    async fn check(mut self, crowd: Crowd) {
        let began = Instant::now();
        while !crowd.has_sent() && began.elapsed() < CROWD_TIME {
            self.sample();
            sleep(SAMPLE_INTERVAL).await;
        }
        let stays_until = Instant::now() + HOLD_TIME;
        while Instant::now() < stays_until {
            self.sample();
            sleep(SAMPLE_INTERVAL).await;
        }
        let (waiting_since, mut tries) = (Instant::now(), 0);
        let (mut is_served, mut is_status_served) = (false, false);
        while !(is_served && is_status_served) && waiting_since.elapsed() < ANSWER_TIMEOUT {
            tries += 1;
            is_served = is_served || self.is_served(&format!("ordinary-{tries}")).await;
            is_status_served = is_status_served || self.is_status_served().await;
            self.sample();
        }
        let (total, anonymous, unread) = self.peak;
        let mb = |bytes: u64| bytes / (1024 * 1024);
        println!(
            "memory {} MB ({} anonymous, {} unread), descriptors {}, served {is_served}, operator \
             {is_status_served}",
            mb(total),
            mb(anonymous),
            mb(unread),
            self.peak_descriptors
        );
        let node = self.fleet.node_mut("n1").unwrap().process.as_mut().unwrap();
        assert_eq!(node.poll_exit(), None, "the process has ended");
        assert!(is_served, "no ordinary call is served beside the crowd");
        assert!(is_status_served, "no operator is served beside the crowd");
        assert!(mb(total) < MEMORY_MB, "{} MB of memory", mb(total));
        assert!(self.peak_descriptors < MAX_DESCRIPTORS, "{} descriptors", self.peak_descriptors);
        drop(crowd);
    }
}

/// Guards against memory that is held for callers and not counted, in the process or in the kernel.
#[rstest]
#[case::announced(announced(MAX_BODY_BYTES, MAX_BODY_BYTES - MISSING_BYTES), CROWD)]
#[case::in_pieces(announced(MAX_BODY_BYTES, 1_000), CROWD)]
#[case::large_chunks(chunked(65_536, MAX_BODY_BYTES / 65_536 - 1), CROWD)]
#[case::tiny_chunks(chunked(1, 400_000), CROWD)]
#[case::announced_over_the_limit(announced(256 * 1024 * 1024, 1024 * 1024), CROWD)]
#[case::endless(chunked(65_536, ENDLESS_BYTES / 65_536), CROWD)]
#[case::chat(chat(64 * 1024), CROWD)]
#[case::chat_in_large_chunks(chat_chunked(65_536, MAX_BODY_BYTES / 65_536 - 1), CROWD)]
#[case::chat_in_tiny_chunks(chat_chunked(1, 400_000), CROWD)]
#[case::unfinished_heads(unfinished_head(400_000), LARGE_CROWD)]
#[case::long_heads(unfinished_body(12_500, 15_000), LARGE_CROWD)]
#[case::small_bodies(unfinished_body(0, 15_000), LARGE_CROWD)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_stay_within_memory(#[case] script: Script, #[case] crowd: usize) {
    let scene = Scene::spawn().await;
    let crowd = Crowd::spawn(&scene.address(), script, crowd);
    scene.check(crowd).await;
}

/// Guards against responses that pile up in the process since callers don't read them.
#[rstest]
#[case::unread(Reading::Nothing)]
#[case::slow(Reading::Slow)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn responses_stay_within_memory(#[case] reading: Reading) {
    let scene = Scene::spawn().await;
    for at in 0..BOOKINGS {
        let body = "x".repeat(BOOKING_BYTES);
        let booked = scene.caller.book(&scene.address(), &format!("large-{at}"), &body).await;
        assert!(booked.is_complete);
    }
    let crowd = Crowd::spawn(&scene.address(), lists(1).reading(reading), CROWD);
    scene.check(crowd).await;
}

/// Guards against a node whose places are all taken, by callers that come back at once.
#[rstest]
#[case::idle(Script::new("", "", 0))]
#[case::unfinished_heads(unfinished_head(4_500))]
#[case::unfinished_bodies(unfinished_body(0, 4_096))]
#[case::announced_bodies(Script::new(post("content-length: 100000\r\n\r\n"), "", 0))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ordinary_callers_find_a_place(#[case] script: Script) {
    let scene = Scene::spawn().await;
    let crowd = Crowd::spawn(&scene.address(), script.reconnecting(), EXCESS_CROWD);
    scene.check(crowd).await;
}

/// The same for the listener of operators, which callers may reach too.
#[rstest]
#[case::idle(Script::new("", "", 0))]
#[case::unfinished_heads(unfinished_head(400_000))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn operators_find_a_place(#[case] script: Script) {
    let scene = Scene::spawn().await;
    let address = scene.fleet.node("n1").unwrap().operator_address.clone();
    let crowd = Crowd::spawn(&address, script.reconnecting(), 200);
    scene.check(crowd).await;
}

/// A single request inside the limits is served in calm, whatever its size.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn largest_body_is_served_in_calm() {
    let scene = Scene::spawn().await;
    // The stand-in of the service takes up to 1 MiB; a larger body passes the node all the same.
    let booked = scene.caller.book(&scene.address(), "1", &"x".repeat(BOOKING_BYTES)).await;
    assert!(booked.is_complete);
    let refused = scene.caller.book(&scene.address(), "2", &"x".repeat(MAX_BODY_BYTES)).await;
    assert_ne!(refused.status, 413, "{refused:?}");
    assert_ne!(refused.status, 503, "{refused:?}");
}
