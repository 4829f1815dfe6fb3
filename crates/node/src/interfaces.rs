//! Everything that a node reaches beyond itself.

use {
    crate::{error::NodeError, metrics},
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
    turmerictack_settings::node::NodeSettings,
    turmerictack_upstream::{engine::Engine, http::HttpUpstreams, service::PlainService},
};

/// The interfaces of a node, each a trait object.
#[derive(Clone)]
pub struct Interfaces {
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// The platform's object store.
    pub store: Arc<dyn ObjectStore>,
    /// The platform's instance list.
    pub instances: Arc<dyn InstanceList>,
    /// Other nodes.
    pub peers: Arc<dyn PeerClient>,
    /// Model engines.
    pub engine: Arc<dyn Engine>,
    /// Plain services.
    pub service: Arc<dyn PlainService>,
    /// Metrics.
    pub metrics: Arc<StatsdClient>,
    /// What passes the peer links.
    pub traffic: Arc<Traffic>,
}

impl Interfaces {
    /// The interfaces of a daemon: the machine's clock, HTTP and h2.
    ///
    /// # Errors
    /// Any failure to make a client.
    pub fn open(settings: &NodeSettings) -> Result<Self, NodeError> {
        let platform = Arc::new(HttpPlatform::new(&settings.platform)?);
        let upstreams = Arc::new(HttpUpstreams::new(MAX_DELIVERY_TIME)?);
        let traffic = Arc::new(Traffic::default());
        let peers = H2PeerClient::new(&settings.peer_key, system_nonces(), Arc::clone(&traffic));
        Ok(Self {
            clock: Arc::new(SystemClock::default()),
            store: platform.clone(),
            instances: platform,
            peers: Arc::new(peers),
            engine: upstreams.clone(),
            service: upstreams,
            metrics: Arc::new(metrics::open(settings.metrics_address.as_ref())?),
            traffic,
        })
    }
}

/// Nonces for handshakes from the system's random numbers.
pub fn system_nonces() -> NonceSource {
    Box::new(|| rand::rng().random())
}
