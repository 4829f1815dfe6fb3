//! Requests to other nodes.

use {
    crate::{
        codec::{MAX_MESSAGE_BYTES, decode, encode},
        error::PeerError,
        handshake::{Nonce, dial},
        message::{PeerRequest, PeerResponse},
        persistent_stream::PersistentStream,
        traffic::{CountingStream, Traffic},
    },
    async_trait::async_trait,
    bytes::{Bytes, BytesMut},
    h2::{RecvStream, client::SendRequest},
    http::Request,
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{net::TcpStream, time::timeout},
    turmerictack_model::ids::Address,
};

/// Time limit for connecting, including the handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time limit for a request on an open connection.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

/// Idle persistent streams that are kept open for each connection.
const MAX_IDLE_STREAMS: usize = 2;

/// Generates the nonces of handshakes; must be random.
pub type NonceSource = Box<dyn Fn() -> Nonce + Send + Sync>;

/// Client for requests to other nodes.
#[async_trait]
pub trait PeerClient: Send + Sync {
    /// Sends a request to the node at `address` and waits for the response.
    ///
    /// The request may be sent a second time on a new connection if the first one fails; all
    /// requests are idempotent.
    async fn send(
        &self,
        address: &Address,
        request: &PeerRequest,
    ) -> Result<PeerResponse, PeerError>;
}

/// Open connection to a node.
struct Connection {
    sender: SendRequest<Bytes>,
    idle_streams: Mutex<Vec<PersistentStream>>,
}

impl Connection {
    fn idle_streams(&self) -> MutexGuard<'_, Vec<PersistentStream>> {
        self.idle_streams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a request on an idle persistent stream, or opens a persistent stream if none is idle.
    ///
    /// The stream is reused only after a complete response; `None` means that it failed.
    async fn send_on_persistent_stream(
        &self,
        address: &Address,
        message: &Bytes,
    ) -> Option<BytesMut> {
        let idle = self.idle_streams().pop();
        let mut stream = match idle {
            Some(stream) => stream,
            None => PersistentStream::open(self.sender.clone(), address).await?,
        };
        let response = stream.send(message).await?;
        let mut idle = self.idle_streams();
        if idle.len() < MAX_IDLE_STREAMS {
            idle.push(stream);
        }
        Some(response)
    }

    /// Sends a request on a stream of its own; `None` means that the stream failed.
    async fn send_on_new_stream(&self, address: &Address, message: Bytes) -> Option<BytesMut> {
        let mut sender = self.sender.clone().ready().await.ok()?;
        let request = Request::post(format!("http://{address}/")).body(()).ok()?;
        let (response, mut stream) = sender.send_request(request, false).ok()?;
        stream.send_data(message, true).ok()?;
        read_body(response.await.ok()?.into_body()).await
    }
}

/// Client over HTTP/2 that keeps one connection to each node.
pub struct H2PeerClient {
    key: Vec<u8>,
    nonce_source: NonceSource,
    connections: Mutex<BTreeMap<Address, Arc<Connection>>>,
    traffic: Arc<Traffic>,
}

impl H2PeerClient {
    /// Creates a client that authenticates with `key`; connections are opened on demand.
    pub fn new(key: &str, nonce_source: NonceSource, traffic: Arc<Traffic>) -> Self {
        let connections = Mutex::new(BTreeMap::new());
        Self { key: key.as_bytes().to_vec(), nonce_source, connections, traffic }
    }

    fn connections(&self) -> MutexGuard<'_, BTreeMap<Address, Arc<Connection>>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn connect(&self, address: &Address) -> Result<Arc<Connection>, PeerError> {
        let unreachable = || PeerError::Unreachable { address: address.clone() };
        let attempt = async {
            let stream = TcpStream::connect(address.as_str()).await.map_err(|_| unreachable())?;
            let _ = stream.set_nodelay(true);
            let mut stream = CountingStream::new(stream, Arc::clone(&self.traffic));
            dial(&mut stream, &self.key, (self.nonce_source)())
                .await
                .map_err(|_| PeerError::Handshake { address: address.clone() })?;
            let (sender, connection) =
                h2::client::handshake(stream).await.map_err(|_| unreachable())?;
            tokio::spawn(async move {
                let _ = connection.await;
            });
            Ok(Arc::new(Connection { sender, idle_streams: Mutex::default() }))
        };
        timeout(CONNECT_TIMEOUT, attempt).await.unwrap_or_else(|_| Err(unreachable()))
    }

    async fn send_on(
        &self,
        connection: &Connection,
        address: &Address,
        request: &PeerRequest,
        bytes: Bytes,
    ) -> Result<PeerResponse, PeerError> {
        let exchange = async {
            match request.is_frequent() {
                true => connection.send_on_persistent_stream(address, &bytes).await,
                false => connection.send_on_new_stream(address, bytes).await,
            }
        };
        let timed_out = || PeerError::Timeout { address: address.clone() };
        let response =
            timeout(RESPONSE_TIMEOUT + request.wait(), exchange).await.map_err(|_| timed_out())?;
        let response =
            response.ok_or_else(|| PeerError::Disconnected { address: address.clone() })?;
        decode(&response).map_err(|_| PeerError::Codec { address: address.clone() })
    }
}

/// Reads a body of at most [`MAX_MESSAGE_BYTES`]; `None` if it is larger or the stream failed.
pub(crate) async fn read_body(mut body: RecvStream) -> Option<BytesMut> {
    let mut bytes = BytesMut::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.ok()?;
        body.flow_control().release_capacity(chunk.len()).ok()?;
        if bytes.len() + chunk.len() > MAX_MESSAGE_BYTES {
            return None;
        }
        bytes.extend_from_slice(&chunk);
    }
    Some(bytes)
}

#[async_trait]
impl PeerClient for H2PeerClient {
    async fn send(
        &self,
        address: &Address,
        request: &PeerRequest,
    ) -> Result<PeerResponse, PeerError> {
        self.traffic.count_request();
        let bytes = encode(request).map_err(|_| PeerError::Codec { address: address.clone() })?;
        let existing = self.connections().get(address).cloned();
        if let Some(connection) = existing {
            match self.send_on(&connection, address, request, bytes.clone()).await {
                Ok(response) => return Ok(response),
                Err(_) => drop(self.connections().remove(address)),
            }
        }
        let connection = self.connect(address).await?;
        let response = self.send_on(&connection, address, request, bytes).await?;
        self.connections().insert(address.clone(), connection);
        Ok(response)
    }
}
