//! Traits through which the core reaches upstreams, the plan store and other nodes.

use {
    crate::{
        client_gate::NoRoom,
        paths::PathLoss,
        relay::{ChangeSet, FactKind, RelayError},
        request::{ResponseHead, UpstreamRequest},
    },
    async_trait::async_trait,
    bytes::Bytes,
    displaydoc::Display,
    std::{
        io,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite},
        time::timeout,
    },
    turmerictack_groups::{formation::Order, plan::Plan},
    turmerictack_model::{
        ids::{Address, Era, EventPosition, InstanceId},
        rate::RequestRate,
        store_version::StoreVersion,
    },
};

/// Time allowed for a dial that checks whether an instance refuses connections.
pub(crate) const REFUSAL_TIMEOUT: Duration = Duration::from_millis(100);

/// Failure of an upstream to respond to a request.
#[derive(Clone, Debug, Display, PartialEq, Eq, derive_more::Error)]
pub enum SendError {
    /// the connection failed before any byte of the request was sent
    NotSent,
    /// the upstream has no free capacity
    Overloaded,
    /// the upstream rejected the request because member {0:?} of its group is lost
    GroupBroken(#[error(not(source))] Option<InstanceId>),
    /// the address belongs to another instance, or the instance does not head a group
    WrongInstance,
    /// the client left before any byte of the request was sent
    Abandoned,
    /// the connection was lost before the response was complete
    ConnectionLost,
    /// the response could not be parsed or belongs to another request
    InvalidResponse,
}

impl From<NoRoom> for SendError {
    /// A response that is too large for what the node has left; faulty upstreams send them without
    /// an end.
    fn from(_: NoRoom) -> Self {
        Self::InvalidResponse
    }
}

impl SendError {
    /// Whether the upstream is certain not to have executed the request.
    pub fn is_not_executed(&self) -> bool {
        !matches!(self, Self::ConnectionLost | Self::InvalidResponse)
    }
}

/// Chunk of an event stream that contains only whole events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventChunk {
    /// Bytes as received from the upstream.
    pub bytes: Bytes,
    /// Position of the last event in the chunk that states one.
    pub last_event: Option<EventPosition>,
    /// Position of the first event in the chunk that states one.
    pub first_event: Option<EventPosition>,
}

/// Response body; dropping it before its end cancels the request at the upstream.
#[async_trait]
pub trait ResponseBody: Send {
    /// Waits for the next whole events; returns `None` at the proper end of the response.
    ///
    /// # Errors
    /// [`SendError::ConnectionLost`] or [`SendError::InvalidResponse`].
    async fn next_events(&mut self) -> Result<Option<EventChunk>, SendError>;

    /// Reads the rest of the body.
    ///
    /// # Errors
    /// [`SendError::ConnectionLost`] or [`SendError::InvalidResponse`].
    async fn read_to_end(&mut self) -> Result<Bytes, SendError>;
}

/// Response whose head has arrived.
pub struct UpstreamResponse {
    /// Response head.
    pub head: ResponseHead,
    /// Whether the status of the response indicates success.
    pub is_success: bool,
    /// Whether the body may be a stream of events; `false` if the head states another type.
    pub may_be_events: bool,
    /// Response body.
    pub body: Box<dyn ResponseBody>,
}

/// Load that an upstream states in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatedLoad {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait there for a slot.
    pub waiting: u32,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
}

/// Rate limit that an upstream states in a response, for the requests of all nodes together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StatedLimit {
    /// There is no response of this upstream that could state one.
    #[default]
    Unknown,
    /// The response states no limit, which lifts an earlier one.
    Unlimited,
    /// The upstream takes this many requests per second.
    Limited(RequestRate),
}

/// What an upstream states about itself in a response, whatever its status.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamNotice {
    /// Whether it is about to be stopped and takes no new requests.
    pub is_leaving: bool,
    /// Time for which it wants no further requests from this node.
    pub pause: Option<Duration>,
    /// Its load when it sent the response head.
    pub load: Option<StatedLoad>,
    /// Its rate limit.
    pub rate_limit: StatedLimit,
}

/// Result of sending a request.
pub struct SendReport {
    /// The response, or why there is none.
    pub result: Result<UpstreamResponse, SendError>,
    /// What the upstream stated about itself.
    pub notice: UpstreamNotice,
}

impl From<SendError> for SendReport {
    fn from(error: SendError) -> Self {
        Self { result: Err(error), notice: UpstreamNotice::default() }
    }
}

/// Connection to an instance.
pub trait ByteStream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> ByteStream for T {}

/// Opens connections to instances.
#[async_trait]
pub trait Dialer: Send + Sync {
    /// Opens a connection; no byte is sent on it.
    ///
    /// # Errors
    /// [`io::ErrorKind::ConnectionRefused`] if no process listens on the address, or another error if
    /// the instance can't be reached. It may take any time; callers bound it.
    async fn dial(
        &self,
        instance: &InstanceId,
        address: &Address,
    ) -> io::Result<Box<dyn ByteStream>>;

    /// Opens a connection like [`Self::dial`], and says by which path.
    ///
    /// # Errors
    /// Those of [`Self::dial`].
    async fn dial_path(
        &self,
        instance: &InstanceId,
        address: &Address,
    ) -> io::Result<DialledStream> {
        let stream = self.dial(instance, address).await?;
        Ok(DialledStream { stream, path: StreamPath::Direct, peer: None })
    }

    /// Whether an idle connection by this path, which delivered its last response at `proven_at`, may
    /// carry another request.
    fn may_reuse(&self, _instance: &InstanceId, _path: StreamPath, _proven_at: Instant) -> bool {
        true
    }

    /// Whether connections through a peer may be kept for further requests.
    fn may_keep_through(&self, _peer: &Address) -> bool {
        true
    }

    /// Whether the address refuses connections, as it does after the process there has crashed or,
    /// in a planned shutdown, has closed its listener.
    async fn refuses_connections(&self, instance: &InstanceId, address: &Address) -> bool {
        let dialled = timeout(REFUSAL_TIMEOUT, self.dial(instance, address)).await;
        matches!(dialled, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
    }
}

/// A new connection to an instance.
pub struct DialledStream {
    /// Bytes.
    pub stream: Box<dyn ByteStream>,
    /// Path of the connection.
    pub path: StreamPath,
    /// Peer through which it goes; `None` if it is direct.
    pub peer: Option<Address>,
}

/// Path of a connection to an instance.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StreamPath {
    /// direct
    Direct,
    /// tunnel
    Tunnel,
}

/// Failure of a peer to open a connection to an instance for this node.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, derive_more::Error)]
pub enum TunnelError {
    /// peer_unreachable
    PeerUnreachable,
    /// busy
    Busy,
    /// unknown_instance
    UnknownInstance,
    /// refused
    Refused,
    /// unreachable
    Unreachable,
}

/// Opens connections to instances through peers.
#[async_trait]
pub trait TunnelDialer: Send + Sync {
    /// Opens a connection to an instance through the node at `peer`, which dials it directly; no byte
    /// is sent on it.
    ///
    /// # Errors
    /// Any [`TunnelError`]; [`TunnelError::PeerUnreachable`] if the peer does not respond in time.
    async fn dial_through(
        &self,
        peer: &Address,
        instance: &InstanceId,
        address: &Address,
    ) -> Result<Box<dyn ByteStream>, TunnelError>;
}

/// Learns of lost and restored direct paths, for example to close connections.
pub trait PathObserver: Send + Sync {
    /// Called when the direct path to an instance was lost; if it was refused, open connections may
    /// live on.
    fn path_lost(&self, instance: &InstanceId, how: PathLoss);

    /// Called when the direct path to an instance is back, so that tunnels are needless.
    fn path_restored(&self, instance: &InstanceId);
}

/// Client that sends requests to upstreams.
#[async_trait]
pub trait UpstreamClient: Send + Sync {
    /// Sends a request to an instance and waits for the response head.
    async fn send(
        &self,
        instance: &InstanceId,
        address: &Address,
        request: UpstreamRequest,
    ) -> SendReport;

    /// Whether the instance refuses connections, as it does after its process has crashed or, in a
    /// planned shutdown, has closed its listener; not if only this node's path to it is lost.
    async fn refuses_connections(&self, instance: &InstanceId, address: &Address) -> bool;

    /// Closes the idle connections to an instance that is gone or unreachable.
    fn close_idle_connections(&self, instance: &InstanceId);
}

/// Response of an instance to an order.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum OrderResponse {
    /// accepted
    Accepted,
    /// unfit
    Unfit,
    /// fenced
    Fenced,
    /// another_instance
    AnotherInstance,
    /// connection_refused
    ConnectionRefused,
    /// unanswered
    Unanswered,
}

/// Client that sends group orders and probes to engine instances.
#[async_trait]
pub trait InstanceControl: Send + Sync {
    /// Sends an order to an instance.
    async fn send_order(
        &self,
        instance: &InstanceId,
        address: &Address,
        order: &Order,
    ) -> OrderResponse;

    /// Whether the instance responds successfully within `timeout`.
    async fn probe(&self, instance: &InstanceId, address: &Address, timeout: Duration) -> bool;
}

/// Failure to read or replace the stored plan.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, derive_more::Error)]
pub enum PlanError {
    /// the plan was replaced by another node
    Conflict,
    /// the store did not respond or rejected the operation
    Unavailable,
    /// the stored plan, at version {version}, is none that a node wrote
    Damaged {
        /// Version of the stored object, which the next plan replaces.
        version: StoreVersion,
    },
}

/// Storage of the group plan.
#[async_trait]
pub trait PlanStore: Send + Sync {
    /// Latest era of the store that this node knows of.
    fn era(&self) -> Era;

    /// Reads the plan; returns version 0 and an empty plan if none is stored.
    ///
    /// In an era in which no plan has been written yet, it returns version 0 and the last plan of an
    /// earlier era, which may lack changes that the store has lost.
    ///
    /// # Errors
    /// [`PlanError::Unavailable`] or [`PlanError::Damaged`].
    async fn read(&self) -> Result<(Plan, StoreVersion), PlanError>;

    /// Replaces the plan if its version is still `version`, and returns the new version.
    ///
    /// # Errors
    /// Any [`PlanError`].
    async fn replace(&self, plan: &Plan, version: StoreVersion) -> Result<StoreVersion, PlanError>;
}

/// Unreliable datagram transport between nodes.
#[async_trait]
pub trait PeerTransport: Send + Sync {
    /// Sends a datagram; it may be lost.
    async fn send(&self, to: &Address, datagram: &[u8]);

    /// Waits for a datagram.
    async fn receive(&self) -> Bytes;
}

/// The platform's list of nodes.
#[async_trait]
pub trait NodeList: Send + Sync {
    /// Heartbeat addresses of the registered nodes; `None` if the list cannot be read.
    async fn addresses(&self) -> Option<Vec<Address>>;
}

/// Requests to nodes that watch the store for others.
#[async_trait]
pub trait RelayClient: Send + Sync {
    /// Asks the node at `relay` for the changes after a version, and waits for the first one for up
    /// to `wait`.
    ///
    /// # Errors
    /// [`RelayError::NoResponse`], [`RelayError::NotWatching`] or [`RelayError::HistoryTooShort`].
    async fn changes_since(
        &self,
        relay: &Address,
        kind: FactKind,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<ChangeSet, RelayError>;
}
