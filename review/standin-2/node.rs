//! Nodes of the project, started as the deploy file says, each on a loopback address of its own.

use {
    crate::http::Connection,
    std::{
        env,
        fs::{self, File},
        net::TcpListener,
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

const PROGRAM: &str = "target/release/turmerictackd";

/// Processes that were started, to be ended with the run.
static STARTED: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());

/// A running node; dropping it ends its process.
pub struct Node {
    pub ip: String,
    pub front: String,
    child: Arc<Mutex<Child>>,
}

/// Ends all nodes that are still running.
pub fn end_all() {
    for child in STARTED.lock().expect("the processes").iter() {
        end(child);
    }
}

fn end(child: &Mutex<Child>) {
    let mut child = child.lock().expect("the process");
    let _ = child.kill();
    let _ = child.wait();
}

/// Loopback addresses on which nothing listens on the ports of a node.
pub fn free_ips(count: usize) -> Vec<String> {
    let first = std::process::id() as usize;
    let candidates = (0..60_000)
        .map(|i| first.wrapping_mul(7) + i)
        .map(|i| format!("127.{}.{}.{}", 40 + i / 62_500 % 60, 1 + i / 250 % 250, 1 + i % 250));
    let is_free = |ip: &String| {
        [8227, 8220, 8229, 9464, 7340].iter().all(|port| TcpListener::bind((&**ip, *port)).is_ok())
    };
    candidates.filter(is_free).take(count).collect()
}

/// Settings of a node as on the page of deployments, with the limits of the case.
fn settings(name: &str, ip: &str, store: &str, limits: &Limits) -> String {
    let Limits { memory_mb, max_fds } = limits;
    format!(
        r#"nodeName = "{name}"
role = "entry"
machineClass = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "norte-a"
region = "norte"
internalPorts = [7340,7355]
seeds = []
bootstrap = true
faultCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","gangs"]
[zones]
norte-a = "norte"
[listen]
frontend = "{ip}:8227"
readiness = "{ip}:8220"
[limits]
cpuFraction = 0.25
cores = 1
memoryMb = {memory_mb}
maxFds = {max_fds}
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
revertSlackMs = 250
maxSkewMs = 5000
strictRevocation = false
revokeMs = 5000
retryRatio = 0.2
retryWindowS = 10
retryBurst = 109
recoveryS = 12
iterationMs = 120
retryAfterS = 0
stallMs = 4000
fencingEnforced = true
ceilingWindowS = 5
loadBurstFactor = 1.1
[platform]
address = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
maxValueBytes = 1048576
minTtlMs = 1000
"#
    )
}

/// Limits of the machine of a node.
pub struct Limits {
    pub memory_mb: u64,
    pub max_fds: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { memory_mb: 260, max_fds: 4_100 }
    }
}

impl Node {
    pub fn spawn(directory: &Path, name: &str, ip: &str, store: &str, limits: &Limits) -> Self {
        let path: PathBuf = directory.join(format!("{name}.toml"));
        fs::write(&path, settings(name, ip, store, limits)).expect("the settings");
        let log = File::create(directory.join(format!("{name}.log"))).expect("the log");
        let mut command = Command::new(PROGRAM);
        command.arg("--platform").env_clear().env("TURMERICTACK_BOOT", &path);
        for variable in ["PATH", "HOME", "LANG"] {
            if let Some(value) = env::var_os(variable) {
                command.env(variable, value);
            }
        }
        command.stdin(Stdio::null()).stderr(log.try_clone().expect("the log")).stdout(log);
        let child = command.spawn().expect("the node's program, built as the deploy file says");
        let child = Arc::new(Mutex::new(child));
        STARTED.lock().expect("the processes").push(Arc::clone(&child));
        Self { ip: ip.to_owned(), front: format!("{ip}:8227"), child }
    }

    pub fn pid(&self) -> u32 {
        self.child.lock().expect("the process").id()
    }

    pub fn is_alive(&self) -> bool {
        matches!(self.child.lock().expect("the process").try_wait(), Ok(None))
    }

    /// Status of the readiness endpoint; 0 without an answer within a second.
    pub fn readiness(ip: &str) -> u16 {
        let limit = Duration::from_secs(1);
        let Ok(mut connection) = Connection::connect(&format!("{ip}:8220"), limit) else {
            return 0;
        };
        let _ = connection.stream.set_read_timeout(Some(limit));
        let request =
            format!("GET /api/readyz HTTP/1.1\r\nHost: {ip}\r\nConnection: close\r\n\r\n");
        if connection.write(request.as_bytes()).is_err() {
            return 0;
        }
        connection.read_message().map_or(0, |response| response.status())
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if Self::readiness(&self.ip) == 200 {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        end(&self.child);
    }
}
