//! The project's nodes, started with the command of the deploy file.

use crate::http::Connection;
use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{self, Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

/// A node, on a loopback address of its own.
pub struct Node {
    pub name: String,
    pub zone: String,
    pub frontend: SocketAddr,
    pub readiness: SocketAddr,
    child: Child,
    command: Vec<String>,
    root: PathBuf,
    settings: PathBuf,
    log: PathBuf,
}

/// Size of the machine of a node.
#[derive(Clone, Copy)]
pub struct Machine {
    pub memory_mb: u64,
    pub link_mbps: f64,
}

impl Machine {
    /// Bounds on changes and the stable window: those of the site with small links, or the other.
    pub fn bounds_ms(&self) -> (u64, u64) {
        if self.link_mbps < 1_000.0 { (3_000, 4_000) } else { (2_000, 3_000) }
    }
}

pub struct Places<'a> {
    /// The repository, and a folder for settings files and logs.
    pub root: &'a Path,
    pub temp: &'a Path,
}

/// Port of the metrics endpoint, which the deploy file fixes.
const METRICS_PORT: u16 = 9_464;

/// A loopback address on which the metrics port is free.
fn free_ip(index: usize) -> String {
    let own = process::id();
    (0..200)
        .map(|tried| {
            format!("127.{}.{}.{}", 20 + (own + tried) % 200, 1 + own / 200 % 250, index + 1)
        })
        .find(|ip| TcpListener::bind(format!("{ip}:{METRICS_PORT}")).is_ok())
        .expect("no free address")
}

fn free_port(ip: &str) -> u16 {
    let listener = TcpListener::bind(format!("{ip}:0")).expect("no free port");
    listener.local_addr().expect("no address").port()
}

impl Node {
    pub fn spawn(
        places: &Places,
        store_address: &str,
        index: usize,
        zones: &[&str],
        machine: &Machine,
    ) -> Self {
        let ip = free_ip(index);
        let zone = zones[index % zones.len()].to_owned();
        let name = format!("edge-{zone}-{}", index + 1);
        let (front, ready) = (free_port(&ip), free_port(&ip));
        let peer = free_port(&ip);
        let zone_table: String = zones.iter().map(|z| format!("{z} = \"norte\"\n")).collect();
        let (apply, stable) = machine.bounds_ms();
        let settings = format!(
            "nodeName = \"{name}\"\nrole = \"entry\"\nmachineClass = \"edge\"\nserves = [\"edge\"]\n\
             ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"norte\"\ninternalPorts = [{peer},{peer}]\n\
             seeds = []\nbootstrap = true\nfaultCounted = false\ndiscovery = \"platform\"\n\
             entry = \"vip\"\nheartbeatMs = 1200\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\
             \"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\",\"gangs\"]\n\
             [zones]\n{zone_table}[listen]\nfrontend = \"{ip}:{front}\"\nreadiness = \"{ip}:{ready}\"\n\
             [limits]\ncpuFraction = 0.25\ncores = 1\nmemoryMb = {}\nmaxFds = 4100\n\
             linkMbps = {:.1}\ndiskMb = 0\n[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
             [bounds]\nseedLagS = 3\nreuseAfterS = 2\nstableWindowMs = {stable}\nackMs = 4000\n\
             catchUpS = 4\ndrainMs = {apply}\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = {apply}\n\
             revertSlackMs = 250\nmaxSkewMs = 5000\nstrictRevocation = false\nrevokeMs = 5000\n\
             retryRatio = 0.2\nretryWindowS = 10\nretryBurst = 109\nrecoveryS = 12\n\
             iterationMs = 120\nretryAfterS = 0\nstallMs = 4000\nfencingEnforced = true\n\
             ceilingWindowS = 5\nloadBurstFactor = 1.1\n[platform]\naddress = \"{}\"\n\
             form = \"objects\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\n\
             maxValueBytes = 1048576\nminTtlMs = 1000\n",
            machine.memory_mb, machine.link_mbps, store_address
        );
        let settings_path: PathBuf = places.temp.join(format!("{name}.toml"));
        fs::write(&settings_path, settings).expect("the settings can't be written");
        let command = deploy_command(places.root);
        let log = places.temp.join(format!("{name}.log"));
        let root = places.root.to_owned();
        let child = start(&root, &command, &settings_path, &log);
        let address = |port| format!("{ip}:{port}").parse().expect("no address");
        Self {
            name,
            zone,
            frontend: address(front),
            readiness: address(ready),
            child,
            command,
            root,
            settings: settings_path,
            log,
        }
    }

    /// Kills the process and starts it again, as the platform does.
    pub fn restart(&mut self) {
        end(&mut self.child);
        self.child = start(&self.root, &self.command, &self.settings, &self.log);
    }

    /// Memory of the process that isn't backed by files, in MB.
    pub fn memory_mb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("RssAnon:"));
        let kb: u64 = line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0);
        kb / 1024
    }

    pub fn is_ready(&self) -> bool {
        let timeout = Duration::from_millis(900);
        let answer = Connection::open(self.readiness, timeout)
            .and_then(|mut c| c.call("GET", "/api/readyz", &[("Host", "node")], b"", timeout));
        answer.is_ok_and(|response| response.status == 200)
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        end(&mut self.child);
    }
}

/// Ids of the processes that were started and not ended yet.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn kill_all() {
    for id in RUNNING.lock().unwrap().drain(..) {
        let _ = Command::new("kill").args(["-9", &id.to_string()]).status();
    }
}

fn end(child: &mut Child) {
    let _ = child.kill();
    let _ = child.wait();
    RUNNING.lock().unwrap().retain(|id| *id != child.id());
}

fn start(root: &Path, command: &[String], settings: &Path, log: &Path) -> Child {
    let log = fs::File::options().create(true).append(true).open(log).expect("no log");
    let child = Command::new(root.join(&command[0]))
        .args(&command[1..])
        .current_dir(root)
        .env("TURMERICTACK_BOOT", settings)
        .env("MALLOC_ARENA_MAX", "2")
        .stdin(Stdio::null())
        .stderr(log.try_clone().expect("no log"))
        .stdout(log)
        .spawn()
        .expect("the node can't be started");
    RUNNING.lock().unwrap().push(child.id());
    child
}

/// Words of `run` in the deploy file.
fn deploy_command(root: &Path) -> Vec<String> {
    let text = fs::read_to_string(root.join("deploy/system.toml")).expect("no deploy file");
    let line = text.lines().find_map(|l| l.strip_prefix("run = ")).expect("no run command");
    line.trim().trim_matches('"').split(' ').map(str::to_owned).collect()
}
