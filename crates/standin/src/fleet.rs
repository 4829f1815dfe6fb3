//! Test fleet of local processes: platform, engines, booking services and nodes.

use {
    crate::{
        effect_log::{Effect, EffectLog},
        error::StandinError,
        fault::Faults,
        fleet_config::{FleetConfig, services_json},
        port::ReservedPort,
        process::Process,
        program,
        relay::{Relay, RelayMode},
    },
    reqwest::Client,
    serde::de::DeserializeOwned,
    serde_json::json,
    std::{
        collections::BTreeMap,
        fs::File,
        io::{BufRead as _, BufReader},
        path::{Path, PathBuf},
        process::{Command, Stdio},
        time::{Duration, Instant},
    },
    tempfile::TempDir,
    tokio::time::sleep,
    turmerictack_groups::domain::{Domain, domain_key},
    turmerictack_model::ids::{Address, FabricDomain},
    turmerictack_platform::{
        error::StoreError,
        http::HttpPlatform,
        instance::{Instance, InstanceState, NODE_POOL},
        store::{ExpectedState, Object, ObjectStore as _},
    },
    turmerictack_report::{snapshot::Snapshot, status::NodeStatus},
};

/// Operator key of the nodes of every fleet.
pub const OPERATOR_KEY: &str = "operator-key-of-the-fleet";

/// Longest time for a node to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A node with the relays on its peer and platform connections.
#[derive(Debug)]
pub struct NodeProcess {
    /// The process; `None` while the node is not running.
    pub process: Option<Process>,
    /// Address for callers.
    pub caller_address: Address,
    /// Address for operators.
    pub operator_address: Address,
    /// Relay that the other nodes connect to this node through.
    pub peer_relay: Relay,
    /// Relay that this node connects to the platform through.
    pub platform_relay: Relay,
    settings: PathBuf,
    log: PathBuf,
    _ports: [ReservedPort; 3],
}

/// A running fleet; dropping it kills its processes and deletes its directory.
#[derive(Debug)]
pub struct Fleet {
    /// Configuration that it was started with.
    pub config: FleetConfig,
    /// Process of the platform.
    pub platform: Process,
    /// Engines and booking services by instance name.
    pub upstreams: BTreeMap<String, Process>,
    /// Nodes by name.
    pub nodes: BTreeMap<String, NodeProcess>,
    directory: TempDir,
    programs: PathBuf,
    http: Client,
}

impl Fleet {
    /// Builds the programs and starts a fleet; returns when every node is ready.
    ///
    /// Upstreams may not be open yet: see [`Fleet::await_open`].
    ///
    /// # Errors
    /// If the programs cannot be built, or a process cannot be started or does not become ready.
    pub async fn spawn(config: FleetConfig) -> Result<Self, StandinError> {
        let programs = program::build()?;
        let directory = TempDir::new()?;
        let http = Client::builder().no_proxy().timeout(Duration::from_secs(5)).build()?;
        let mut arguments = vec!["platform"];
        let write_limit = config.writes_per_second.map(|n| n.to_string());
        if let Some(write_limit) = &write_limit {
            arguments.extend(["--writes-per-second", write_limit]);
        }
        let platform = spawn_standin(&programs, directory.path(), "platform", &arguments)?;
        let mut fleet = Self {
            config: config.clone(),
            platform,
            upstreams: BTreeMap::new(),
            nodes: BTreeMap::new(),
            directory,
            programs,
            http,
        };
        for n in 1..=config.engine_count() {
            fleet.start_engine(&format!("eng-{n}")).await?;
        }
        for n in 1..=config.booking_services {
            fleet.start_service(&format!("booking-{n}")).await?;
        }
        fleet.put_services(&services_json(&config, 40), 1).await?;
        for n in 1..=config.nodes {
            fleet.prepare_node(&format!("n{n}")).await?;
        }
        let names: Vec<String> = fleet.nodes.keys().cloned().collect();
        for name in &names {
            fleet.start_node(name)?;
        }
        for name in &names {
            fleet.await_ready(name).await?;
        }
        Ok(fleet)
    }

    /// Path of a file in the fleet's directory, which is deleted with the fleet.
    pub fn scratch_file(&self, name: &str) -> PathBuf {
        self.directory.path().join(name)
    }

    /// Path of a built program.
    pub fn program(&self, name: &str) -> PathBuf {
        self.programs.join(name)
    }

    /// Writes a services configuration (JSON) to the platform as the given revision, without
    /// validation.
    ///
    /// # Errors
    /// [`StandinError::InvalidResponse`] if the platform does not apply the write.
    pub async fn put_services(&self, text: &str, revision: u64) -> Result<(), StandinError> {
        let store = self.platform_client()?;
        let current =
            store.get("settings/services").await.map_err(|_| StandinError::InvalidResponse)?;
        let expect = current.map_or(ExpectedState::Absent, |o| ExpectedState::Version(o.version));
        let value = json!({"revision": revision, "nonce": revision, "text": text}).to_string();
        let written = store.put("settings/services", value, expect).await;
        written.map(|_| ()).map_err(|_| StandinError::InvalidResponse)
    }

    /// A client of the platform that bypasses its relay, so that relay modes do not affect it.
    ///
    /// # Errors
    /// [`StandinError::InvalidResponse`] if the client cannot be created.
    pub fn platform_client(&self) -> Result<HttpPlatform, StandinError> {
        let base = format!("http://{}", self.platform.control_address);
        HttpPlatform::new(&base).map_err(|_: StoreError| StandinError::InvalidResponse)
    }

    async fn put_instance(&self, instance: &Instance) -> Result<(), StandinError> {
        let url = format!("http://{}/instances", self.platform.control_address);
        self.http.post(url).json(instance).send().await?;
        Ok(())
    }

    /// Fabric domain of an engine; `None` for booking services.
    fn domain_of(&self, instance: &str) -> Option<FabricDomain> {
        let number = instance.strip_prefix("eng-")?.parse().ok()?;
        Some(self.config.domain_of(number))
    }

    /// Starts an engine instance and adds it to the platform's instance list.
    ///
    /// # Errors
    /// If the process cannot be started or the platform cannot be reached.
    pub async fn start_engine(&mut self, name: &str) -> Result<(), StandinError> {
        let (first, between) =
            (self.config.first_token_ms.to_string(), self.config.between_tokens_ms.to_string());
        let mut arguments = vec!["engine", "--instance", name];
        arguments.extend(["--first-token-ms", &first, "--between-tokens-ms", &between]);
        if !self.config.fencing {
            arguments.push("--ignore-fencing");
        }
        let process = spawn_standin(&self.programs, self.directory.path(), name, &arguments)?;
        let domain = self.domain_of(name);
        self.put_instance(&instance_entry(
            name,
            &process.public_address,
            "assistant",
            domain.as_deref(),
        ))
        .await?;
        self.upstreams.insert(name.to_owned(), process);
        Ok(())
    }

    /// Starts a booking service and adds it to the platform's instance list.
    ///
    /// # Errors
    /// If the process cannot be started or the platform cannot be reached.
    pub async fn start_service(&mut self, name: &str) -> Result<(), StandinError> {
        let mut arguments = vec!["service", "--instance", name];
        if self.config.deduplicates {
            arguments.push("--deduplicates");
        }
        let process = spawn_standin(&self.programs, self.directory.path(), name, &arguments)?;
        self.put_instance(&instance_entry(name, &process.public_address, "bookings", None)).await?;
        self.upstreams.insert(name.to_owned(), process);
        Ok(())
    }

    /// Marks an upstream as leaving in the platform's instance list.
    ///
    /// # Errors
    /// [`StandinError::UnknownName`] or [`StandinError::Http`].
    pub async fn mark_leaving(&self, name: &str) -> Result<(), StandinError> {
        let unknown = || StandinError::UnknownName { name: name.to_owned() };
        let process = self.upstreams.get(name).ok_or_else(unknown)?;
        let domain = self.domain_of(name);
        let pool = if domain.is_some() { "assistant" } else { "bookings" };
        let entry = instance_entry(name, &process.public_address, pool, domain.as_deref());
        self.put_instance(&Instance { state: InstanceState::Leaving, ..entry }).await
    }

    async fn prepare_node(&mut self, name: &str) -> Result<(), StandinError> {
        let ports = [ReservedPort::bind()?, ReservedPort::bind()?, ReservedPort::bind()?];
        let [caller_address, operator_address, peer_address] =
            ports.each_ref().map(ReservedPort::address);
        let peer_relay = Relay::bind("127.0.0.1:0", peer_address.clone()).await?;
        let platform_relay =
            Relay::bind("127.0.0.1:0", self.platform.public_address.clone()).await?;
        let settings = json!({
            "node": name, "data_centre": "norte-1",
            "caller_address": caller_address, "operator_address": operator_address,
            "peer_address": peer_address, "peer_advertised": peer_relay.address(),
            "platform": format!("http://{}", platform_relay.address()),
            "operator_key": OPERATOR_KEY, "peer_key": "peer-key-of-the-fleet",
            "workers": 2, "log_level": self.config.log_level,
            "balancer_wait_ms": self.config.balancer_wait_ms,
        });
        let path = self.directory.path().join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string())?;
        self.put_instance(&instance_entry(name, peer_relay.address(), NODE_POOL, None)).await?;
        let log = self.directory.path().join(format!("{name}.log"));
        let node = NodeProcess {
            process: None,
            caller_address,
            operator_address,
            peer_relay,
            platform_relay,
            settings: path,
            log,
            _ports: ports,
        };
        self.nodes.insert(name.to_owned(), node);
        Ok(())
    }

    /// Starts the process of a node; its log is appended to.
    ///
    /// # Errors
    /// [`StandinError::UnknownName`] or [`StandinError::Io`].
    pub fn start_node(&mut self, name: &str) -> Result<(), StandinError> {
        let daemon = self.programs.join("turmerictackd");
        let node = self.node_mut(name)?;
        let log = File::options().create(true).append(true).open(&node.log)?;
        let child = Command::new(daemon)
            .arg("--settings")
            .arg(&node.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        let (public_address, control_address) =
            (node.caller_address.clone(), node.operator_address.clone());
        node.process = Some(Process { child, public_address, control_address });
        Ok(())
    }

    /// Node by name.
    ///
    /// # Errors
    /// [`StandinError::UnknownName`].
    pub fn node_mut(&mut self, name: &str) -> Result<&mut NodeProcess, StandinError> {
        let unknown = || StandinError::UnknownName { name: name.to_owned() };
        self.nodes.get_mut(name).ok_or_else(unknown)
    }

    /// Node by name.
    ///
    /// # Errors
    /// [`StandinError::UnknownName`].
    pub fn node(&self, name: &str) -> Result<&NodeProcess, StandinError> {
        self.nodes.get(name).ok_or_else(|| StandinError::UnknownName { name: name.to_owned() })
    }

    /// Process of the platform, a node or an upstream by name.
    ///
    /// # Errors
    /// [`StandinError::UnknownName`].
    pub fn process_mut(&mut self, name: &str) -> Result<&mut Process, StandinError> {
        let unknown = || StandinError::UnknownName { name: name.to_owned() };
        if name == "platform" {
            return Ok(&mut self.platform);
        }
        if let Some(node) = self.nodes.get_mut(name) {
            return node.process.as_mut().ok_or_else(unknown);
        }
        self.upstreams.get_mut(name).ok_or_else(unknown)
    }

    /// Waits until a node reports that it is ready; fails if its process exits or the time-out
    /// expires.
    async fn await_ready(&mut self, name: &str) -> Result<(), StandinError> {
        let caller_address = self.node(name)?.caller_address.clone();
        let deadline = Instant::now() + START_TIMEOUT;
        while Instant::now() < deadline && self.process_mut(name)?.poll_exit().is_none() {
            let response = self.http.get(format!("http://{caller_address}/readyz")).send().await;
            if response.is_ok_and(|r| r.status().is_success()) {
                return Ok(());
            }
            sleep(Duration::from_millis(20)).await;
        }
        Err(StandinError::NotStarted { name: name.to_owned() })
    }

    /// Waits until every running node has exactly this many open upstreams of a service; returns
    /// whether this was reached in time.
    pub async fn await_open(&self, service: &str, count: usize, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        loop {
            let mut all = true;
            for name in self.running_nodes() {
                let open = match self.status(&name).await {
                    Ok(status) => status
                        .services
                        .get(service)
                        .map_or(0, |s| s.upstreams.iter().filter(|u| u.open).count()),
                    Err(_) => 0,
                };
                all &= open == count;
            }
            if all || Instant::now() >= deadline {
                return all;
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Names of the nodes that have a process.
    pub fn running_nodes(&self) -> Vec<String> {
        let nodes = self.nodes.iter().filter(|(_, n)| n.process.is_some());
        nodes.map(|(name, _)| name.clone()).collect()
    }

    /// Status of a node.
    ///
    /// # Errors
    /// [`StandinError::UnknownName`] or [`StandinError::Http`].
    pub async fn status(&self, name: &str) -> Result<NodeStatus, StandinError> {
        self.query(name, "status").await
    }

    /// Merged error budget burn report of all running nodes.
    ///
    /// # Errors
    /// [`StandinError::Http`].
    pub async fn burn(&self) -> Result<Snapshot, StandinError> {
        let mut merged = Snapshot::default();
        for name in self.running_nodes() {
            merged.merge(self.query(&name, "burn").await?);
        }
        Ok(merged)
    }

    /// Requests a path of a node's operator interface.
    async fn query<T: DeserializeOwned>(&self, name: &str, path: &str) -> Result<T, StandinError> {
        let url = format!("http://{}/{path}", self.node(name)?.operator_address);
        let response = self.http.get(url).bearer_auth(OPERATOR_KEY).send().await?;
        Ok(response.json().await?)
    }

    /// First member, id and epoch of the first group in domain `fabric-1`.
    ///
    /// # Errors
    /// [`StandinError::InvalidResponse`] if there is no group or the platform cannot be read.
    pub async fn first_group(&self) -> Result<(String, String, u64), StandinError> {
        let object = self.platform_client()?.get(&domain_key("fabric-1")).await;
        let object = object.ok().flatten().ok_or(StandinError::InvalidResponse)?;
        let domain: Domain =
            serde_json::from_str(&object.value).map_err(|_| StandinError::InvalidResponse)?;
        let group = domain.groups.into_iter().next();
        let (id, group) = group.ok_or(StandinError::InvalidResponse)?;
        let first_member = group.members.into_iter().next().ok_or(StandinError::InvalidResponse)?;
        Ok((first_member, id, group.epoch))
    }

    /// Begins to drain a node.
    ///
    /// # Errors
    /// [`StandinError::UnknownName`] or [`StandinError::Http`].
    pub async fn drain(&self, name: &str) -> Result<(), StandinError> {
        let url = format!("http://{}/drain", self.node(name)?.operator_address);
        self.http.post(url).bearer_auth(OPERATOR_KEY).send().await?;
        Ok(())
    }

    /// Sets the faults that a stand-in injects.
    ///
    /// # Errors
    /// [`StandinError::UnknownName`] or [`StandinError::Http`].
    pub async fn set_faults(&mut self, name: &str, faults: Faults) -> Result<(), StandinError> {
        let url = format!("http://{}/fault", self.process_mut(name)?.control_address);
        self.http.post(url).json(&faults).send().await?;
        Ok(())
    }

    /// Sets the mode of the relay in front of a stand-in.
    ///
    /// # Errors
    /// [`StandinError::UnknownName`] or [`StandinError::Http`].
    pub async fn set_relay_mode(
        &mut self,
        name: &str,
        mode: RelayMode,
    ) -> Result<(), StandinError> {
        let url = format!("http://{}/passage", self.process_mut(name)?.control_address);
        self.http.post(url).json(&mode).send().await?;
        Ok(())
    }

    /// Effect log of a stand-in, including earlier processes of the same name.
    pub fn effects(&self, name: &str) -> Vec<Effect> {
        EffectLog::read(&effects_file(self.directory.path(), name))
    }

    /// Every write that the platform applied, in order.
    ///
    /// # Errors
    /// [`StandinError::Http`].
    pub async fn history(&self) -> Result<Vec<Object>, StandinError> {
        let url = format!("http://{}/history", self.platform.control_address);
        Ok(self.http.get(url).send().await?.json().await?)
    }

    /// Log of a node so far.
    ///
    /// # Errors
    /// [`StandinError::UnknownName`] or [`StandinError::Io`].
    pub fn node_log(&self, name: &str) -> Result<String, StandinError> {
        Ok(std::fs::read_to_string(&self.node(name)?.log)?)
    }
}

fn effects_file(directory: &Path, name: &str) -> PathBuf {
    directory.join(format!("{name}.effects"))
}

fn instance_entry(name: &str, address: &Address, pool: &str, domain: Option<&str>) -> Instance {
    Instance {
        id: name.to_owned(),
        address: address.clone(),
        pool: pool.to_owned(),
        data_centre: "norte-1".to_owned(),
        fabric_domain: domain.map(str::to_owned),
        state: InstanceState::Live,
    }
}

/// Starts a stand-in and reads its addresses from its standard output.
fn spawn_standin(
    programs: &Path,
    directory: &Path,
    name: &str,
    arguments: &[&str],
) -> Result<Process, StandinError> {
    let failed = || StandinError::NotStarted { name: name.to_owned() };
    let mut child = Command::new(programs.join("examples").join("standin"))
        .args(arguments)
        .arg("--log")
        .arg(effects_file(directory, name))
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()?;
    let mut line = String::new();
    let stdout = child.stdout.take().ok_or_else(failed)?;
    BufReader::new(stdout).read_line(&mut line)?;
    let field = |name: &str| {
        let value = line.split_whitespace().find_map(|word| word.strip_prefix(name));
        value.map(str::to_owned)
    };
    match (field("public="), field("orders=")) {
        (Some(public_address), Some(control_address)) => {
            Ok(Process { child, public_address, control_address })
        }
        _ => {
            let _ = child.kill();
            let _ = child.wait();
            Err(failed())
        }
    }
}
