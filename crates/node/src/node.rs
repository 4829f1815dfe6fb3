//! Start, run and drain of a node.

use {
    crate::{
        background,
        call_record::CallRecords,
        coordinator::CallCoordinator,
        error::NodeError,
        front::{
            acceptor::{Acceptor, CONNECTION_COSTS, RunningAcceptor},
            callers,
            connections::{Limits, Listener},
            operators, plain,
        },
        interfaces::{Interfaces, system_nonces},
        logs,
        peer_handler::PeerRequestHandler,
        proxy::Proxy,
        shared::Shared,
        tables::{Stage, Tables},
    },
    nix::sys::resource::{Resource, getrlimit, setrlimit},
    rand::RngExt as _,
    rocket::{
        Build, Rocket, Shutdown,
        config::{Config, LogLevel, Shutdown as ShutdownConfig},
        routes,
    },
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
        time::Duration,
    },
    tokio::{
        runtime::Builder,
        signal::unix::{SignalKind, signal},
        sync::mpsc,
        task::JoinHandle,
        time::{sleep, timeout},
    },
    turmerictack_membership::gossip::{NodeInfo, NodeState},
    turmerictack_model::{clock::unix_millis, ids::Address, pool::Pool},
    turmerictack_protocol::server::PeerServer,
    turmerictack_serving::{
        client_gate::ClientGate,
        client_memory::{AccountConfig, ClientLimits},
    },
    turmerictack_settings::node::NodeSettings,
};

/// Jobs that may wait for a worker before new calls are rejected.
const MAX_QUEUED_JOBS: usize = 4096;

/// Seconds for clients to read the rest of their responses once all have been produced.
const RESPONSE_GRACE_SECONDS: u32 = 5;

/// Longest time that a drain waits for pending writes of records.
const RECORD_WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// Largest number of open connections of operators.
const MAX_OPERATOR_CONNECTIONS: usize = 64;

/// Fraction of the memory that the account of operators is opened for.
const OPERATOR_MEMORY_FRACTION: usize = 16;

/// Age below which no connection of an operator is closed for another; operators send their request at
/// once.
const MIN_OPERATOR_AGE: Duration = Duration::from_millis(100);

/// Interval at which a drain polls for the end of calls and writes.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// An HTTP server and the acceptor in front of it.
struct HttpListener {
    acceptor: RunningAcceptor,
    shutdown: Shutdown,
    task: JoinHandle<()>,
}

/// A running node; dropping it aborts its tasks without a drain.
pub struct Node {
    shared: Arc<Shared>,
    tasks: Vec<JoinHandle<()>>,
    listeners: Vec<HttpListener>,
    _peers: PeerServer,
}

impl Node {
    /// Starts a node on the current async runtime.
    ///
    /// # Errors
    /// Any failure to start the workers or the listeners.
    pub async fn spawn(settings: NodeSettings, interfaces: Interfaces) -> Result<Self, NodeError> {
        let seed = settings.seed.unwrap_or_else(|| rand::rng().random());
        let clock = Arc::clone(&interfaces.clock);
        let incarnation = unix_millis(clock.wall_time());
        let local_node = NodeInfo {
            node: settings.node.clone(),
            address: settings.peer_advertised.as_ref().unwrap_or(&settings.peer_address).clone(),
            data_centre: settings.data_centre.clone(),
            incarnation,
            state: NodeState::Alive,
        };
        let tables = Arc::new(Tables::new(local_node, seed, clock.now()));
        let proxy = Arc::new(Proxy {
            pool: Pool::spawn(settings.workers, MAX_QUEUED_JOBS)?,
            coordinator: Arc::new(CallCoordinator::new(Arc::clone(&tables), Arc::clone(&clock))),
            records: Arc::new(CallRecords::new(
                Arc::clone(&interfaces.store),
                clock,
                Arc::clone(&tables),
                settings.node.clone(),
            )),
            interfaces,
        });
        let shared = Arc::new(Shared::new(settings, tables, proxy, incarnation));
        let peers = listen_for_peers(&shared).await?;
        background::instances::refresh(&shared).await;
        background::settings::read(&shared).await;
        let tasks = vec![
            tokio::spawn(background::instances::run(Arc::clone(&shared))),
            tokio::spawn(background::settings::run(Arc::clone(&shared))),
            tokio::spawn(background::gossip::run(Arc::clone(&shared))),
            tokio::spawn(background::health::run(Arc::clone(&shared))),
            tokio::spawn(background::group_controller::run(Arc::clone(&shared))),
            tokio::spawn(background::alerts::run(Arc::clone(&shared))),
        ];
        let listeners = vec![launch_callers(&shared).await?, launch_operators(&shared).await?];
        logs::event("node_started")
            .with("node", &shared.settings.node)
            .with("callers", &shared.settings.caller_address)
            .with("operators", &shared.settings.operator_address)
            .with("peers", peers.address())
            .info();
        Ok(Self { shared, tasks, listeners, _peers: peers })
    }

    /// State shared by the node's tasks.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Waits until an operator requests a drain.
    pub async fn stop_requested(&self) {
        self.shared.stop_request.notified().await;
    }

    /// Drains the node: turns off readiness, rejects new calls, and waits for calls in flight.
    pub async fn drain(mut self) {
        self.set_stage(Stage::Announced);
        logs::event("drain_announced").info();
        sleep(self.shared.settings.balancer_wait).await;
        self.set_stage(Stage::Draining);
        logs::event("drain_started").with("calls", self.calls()).info();
        while self.calls() > 0 || self.shared.responses.count() > 0 {
            sleep(DRAIN_POLL).await;
        }
        self.wait_for_records().await;
        background::gossip::announce_leave(&self.shared).await;
        for listener in self.listeners.drain(..) {
            listener.acceptor.close();
            listener.shutdown.notify();
            let _ = listener.task.await;
            listener.acceptor.finish().await;
        }
        logs::event("drain_finished").info();
    }

    /// Waits for pending writes of records, up to a limit.
    async fn wait_for_records(&self) {
        let pending = async {
            while self.shared.proxy.records.pending_writes() > 0 {
                sleep(DRAIN_POLL).await;
            }
        };
        if timeout(RECORD_WRITE_TIMEOUT, pending).await.is_err() {
            let records = self.shared.proxy.records.pending_writes();
            logs::event("records_left_open").with("records", records).error();
        }
    }

    fn set_stage(&self, stage: Stage) {
        self.shared.tables.lifecycle.lock().stage = stage;
    }

    fn calls(&self) -> usize {
        self.shared.tables.open_calls()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
        for listener in &self.listeners {
            listener.task.abort();
        }
    }
}

async fn listen_for_peers(shared: &Arc<Shared>) -> Result<PeerServer, NodeError> {
    let server = PeerServer::bind(
        &shared.settings.peer_address,
        &shared.settings.peer_key,
        system_nonces(),
        Arc::new(PeerRequestHandler(Arc::downgrade(shared))),
        Arc::clone(&shared.proxy.interfaces.traffic),
    );
    Ok(server.await?)
}

/// Configuration of an HTTP server behind an acceptor, on any free port.
fn rocket_config() -> Config {
    let shutdown = ShutdownConfig {
        ctrlc: false,
        signals: Default::default(),
        grace: RESPONSE_GRACE_SECONDS,
        mercy: 1,
        ..ShutdownConfig::default()
    };
    Config {
        address: Ipv4Addr::LOCALHOST.into(),
        port: 0,
        log_level: LogLevel::Off,
        cli_colors: false,
        shutdown,
        ..Config::release_default()
    }
}

async fn launch_callers(shared: &Arc<Shared>) -> Result<HttpListener, NodeError> {
    let routes =
        routes![callers::healthz, callers::readyz, callers::models, callers::chat, callers::text];
    let rocket = rocket::custom(rocket_config())
        .manage(Arc::clone(shared))
        .mount("/", routes)
        .mount("/", plain::routes(shared));
    let limits = Limits::new(shared.settings.connections);
    let gate = Arc::clone(&shared.callers);
    launch(rocket, &shared.settings.caller_address, Listener::Callers, limits, shared, gate).await
}

async fn launch_operators(shared: &Arc<Shared>) -> Result<HttpListener, NodeError> {
    let routes = routes![operators::status, operators::burn, operators::drain, operators::lift];
    let rocket = rocket::custom(rocket_config()).manage(Arc::clone(shared)).mount("/", routes);
    let limits = Limits::new(MAX_OPERATOR_CONNECTIONS);
    let memory = Some((shared.settings.memory_mb << 20) / OPERATOR_MEMORY_FRACTION);
    let account = AccountConfig {
        limits: ClientLimits { memory, sockets: None },
        costs: CONNECTION_COSTS,
        connections: MAX_OPERATOR_CONNECTIONS,
        min_age: MIN_OPERATOR_AGE,
    };
    let metrics = Arc::clone(&shared.proxy.interfaces.metrics);
    let gate = ClientGate::open(account, Arc::clone(shared.clock()), metrics);
    let address = &shared.settings.operator_address;
    launch(rocket, address, Listener::Operators, limits, shared, gate).await
}

/// Starts an HTTP server, waits until it listens, and starts the acceptor in front of it.
async fn launch(
    rocket: Rocket<Build>,
    address: &Address,
    listener: Listener,
    limits: Limits,
    shared: &Arc<Shared>,
    gate: Arc<ClientGate>,
) -> Result<HttpListener, NodeError> {
    let failed = || NodeError::Bind { address: address.clone() };
    let (tables, clock) = (Arc::clone(&shared.tables), Arc::clone(shared.clock()));
    let acceptor = Acceptor::bind_with(address, listener, limits, tables, clock, gate).await;
    let acceptor = acceptor.map_err(|_| failed())?;
    let (tx, mut rx) = mpsc::channel(1);
    let rocket = rocket
        .attach(rocket::fairing::AdHoc::on_liftoff("listening", move |rocket| {
            let _ = tx.try_send(SocketAddr::new(rocket.config().address, rocket.config().port));
            Box::pin(async {})
        }))
        .ignite()
        .await
        .map_err(|_| failed())?;
    let shutdown = rocket.shutdown();
    let mut task = tokio::spawn(async move {
        let _ = rocket.launch().await;
    });
    tokio::select! {
        Some(target) = rx.recv() => Ok(HttpListener {
            acceptor: acceptor.spawn(target),
            shutdown,
            task,
        }),
        _ = &mut task => Err(failed()),
    }
}

/// Raises the soft limit on open files to the hard limit.
fn raise_file_limit() {
    let raised = getrlimit(Resource::RLIMIT_NOFILE)
        .and_then(|(_, hard)| setrlimit(Resource::RLIMIT_NOFILE, hard, hard));
    if let Err(e) = raised {
        logs::event("file_limit_not_raised").with("cause", e).warn();
    }
}

/// Runs the daemon until a signal or an operator requests a drain.
///
/// # Errors
/// Any failure to start.
pub fn run(settings: NodeSettings) -> Result<(), NodeError> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(settings.workers)
        .enable_all()
        .build()
        .map_err(NodeError::Runtime)?;
    raise_file_limit();
    runtime.block_on(async {
        let interfaces = Interfaces::open(&settings)?;
        let mut terminate = signal(SignalKind::terminate()).map_err(NodeError::Runtime)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(NodeError::Runtime)?;
        let node = Node::spawn(settings, interfaces).await?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
            () = node.stop_requested() => {}
        }
        let shared = Arc::clone(node.shared());
        let log_signals = async {
            loop {
                tokio::select! {
                    _ = terminate.recv() => {}
                    _ = interrupt.recv() => {}
                }
                logs::event("drain_in_progress").with("calls", shared.tables.open_calls()).warn();
            }
        };
        tokio::select! {
            () = node.drain() => {}
            () = log_signals => {}
        }
        Ok(())
    })
}
