//! Interfaces of a node to the outside.

use {
    crate::{
        error::NodeError, front::acceptor::CONNECTION_COSTS, metrics, response_space::CountedSpace,
    },
    cadence::StatsdClient,
    rand::RngExt as _,
    std::sync::Arc,
    turmerictack_ledger::record_writer::MAX_DELIVERY_TIME,
    turmerictack_model::clock::{Clock, SystemClock},
    turmerictack_platform::{http::HttpPlatform, instance::InstanceList, store::ObjectStore},
    turmerictack_protocol::{
        client::{H2PeerClient, NonceSource, PeerClient},
        traffic::Traffic,
    },
    turmerictack_serving::{
        client_gate::ClientGate,
        client_memory::{AccountConfig, ClientLimits},
    },
    turmerictack_settings::node::NodeSettings,
    turmerictack_upstream::{engine::Engine, http::HttpUpstreams, service::PlainService},
};

/// Interfaces of a node, as trait objects that tests and embedders can replace.
#[derive(Clone)]
pub struct Interfaces {
    /// Clock.
    pub clock: Arc<dyn Clock>,
    /// The platform's object store.
    pub store: Arc<dyn ObjectStore>,
    /// The platform's instance list.
    pub instances: Arc<dyn InstanceList>,
    /// Client of other nodes.
    pub peers: Arc<dyn PeerClient>,
    /// Client of model engines.
    pub engine: Arc<dyn Engine>,
    /// Client of plain services.
    pub service: Arc<dyn PlainService>,
    /// Metrics client.
    pub metrics: Arc<StatsdClient>,
    /// Account of what callers hold.
    pub callers: Arc<ClientGate>,
    /// Byte and request counters of the links to other nodes.
    pub traffic: Arc<Traffic>,
}

impl Interfaces {
    /// Opens the interfaces of the daemon: the system clock, and HTTP and HTTP/2 clients.
    ///
    /// # Errors
    /// Any failure to create a client.
    pub fn open(settings: &NodeSettings) -> Result<Self, NodeError> {
        let platform = Arc::new(HttpPlatform::new(&settings.platform)?);
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::default());
        let metrics = Arc::new(metrics::open(settings.metrics_address.as_ref())?);
        let callers = open_callers(settings, &clock, &metrics);
        let space = Arc::new(CountedSpace(Arc::clone(&callers)));
        let upstreams = HttpUpstreams::new(MAX_DELIVERY_TIME)?.with_response_space(space);
        let upstreams = Arc::new(upstreams);
        let traffic = Arc::new(Traffic::default());
        let peers = H2PeerClient::new(&settings.peer_key, system_nonces(), Arc::clone(&traffic));
        Ok(Self {
            clock,
            store: platform.clone(),
            instances: platform,
            peers: Arc::new(peers),
            engine: upstreams.clone(),
            service: upstreams,
            metrics,
            callers,
            traffic,
        })
    }
}

/// Opens the account of callers, who may hold half of the memory in the settings.
fn open_callers(
    settings: &NodeSettings,
    clock: &Arc<dyn Clock>,
    metrics: &Arc<StatsdClient>,
) -> Arc<ClientGate> {
    let memory = Some(settings.memory_mb << 20);
    let account = AccountConfig {
        limits: ClientLimits { memory, sockets: None },
        costs: CONNECTION_COSTS,
        connections: settings.connections,
        ..AccountConfig::default()
    };
    ClientGate::open(account, Arc::clone(clock), Arc::clone(metrics))
}

/// Nonces for handshakes, from the system's random number generator.
pub fn system_nonces() -> NonceSource {
    Box::new(|| rand::rng().random())
}
