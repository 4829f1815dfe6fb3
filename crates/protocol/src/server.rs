//! Listener for requests from other nodes.

use {
    crate::{
        client::{NonceSource, read_body},
        codec::{decode, encode},
        error::PeerError,
        handshake::accept,
        message::{PeerRequest, PeerResponse},
        persistent_stream::{self, PERSISTENT_STREAM_PATH},
        traffic::{CountingStream, Traffic},
        tunnel::{
            self, CONNECTION_WINDOW_BYTES, MAX_TUNNELS_PER_CONNECTION, SEND_BUFFER_BYTES,
            STREAM_WINDOW_BYTES, TUNNEL_PATH, TunnelHandler, TunnelService,
        },
    },
    async_trait::async_trait,
    bytes::Bytes,
    h2::{
        RecvStream,
        server::{Builder, SendResponse},
    },
    http::{Request, Response, StatusCode},
    std::{sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{Semaphore, watch},
        task::JoinHandle,
        time::timeout,
    },
    turmerictack_model::ids::Address,
};

/// Connections served concurrently; further ones are closed on arrival.
const MAX_CONNECTIONS: usize = 1024;

/// Concurrent streams of one connection, without tunnels.
const MAX_STREAMS: u32 = 64;

/// Concurrent streams of all connections, without tunnels, which have a bound of their own.
const MAX_TOTAL_STREAMS: usize = MAX_CONNECTIONS * MAX_STREAMS as usize;

/// Time limit for a request on a stream of its own: reading its body, handling it and responding.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Handles requests of other nodes.
#[async_trait]
pub trait PeerHandler: Send + Sync {
    /// Creates the response to one request.
    async fn handle(&self, request: PeerRequest) -> PeerResponse;
}

/// Running listener; dropping it stops accepting connections and resets all tunnels.
#[derive(Debug)]
pub struct PeerServer {
    address: Address,
    task: JoinHandle<()>,
    _is_running: watch::Sender<()>,
}

struct ServerState {
    key: Vec<u8>,
    nonce_source: NonceSource,
    handler: Arc<dyn PeerHandler>,
    traffic: Arc<Traffic>,
    streams: Arc<Semaphore>,
    tunnels: Option<Arc<TunnelService>>,
    max_streams: u32,
}

impl ServerState {
    fn new(
        key: Vec<u8>,
        nonce_source: NonceSource,
        handler: Arc<dyn PeerHandler>,
        traffic: Arc<Traffic>,
    ) -> Self {
        let streams = Arc::new(Semaphore::new(MAX_TOTAL_STREAMS));
        let (tunnels, max_streams) = (None, MAX_STREAMS);
        Self { key, nonce_source, handler, traffic, streams, tunnels, max_streams }
    }

    /// Settings of a connection, which are the defaults where no tunnels are served.
    fn builder(&self) -> Builder {
        let mut builder = Builder::new();
        builder.max_concurrent_streams(self.max_streams);
        if self.tunnels.is_some() {
            builder
                .initial_window_size(STREAM_WINDOW_BYTES)
                .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
                .max_send_buffer_size(SEND_BUFFER_BYTES)
                // Tunnels that are dropped at once must not end the others of the connection.
                .max_concurrent_reset_streams(MAX_TUNNELS_PER_CONNECTION as usize)
                .max_pending_accept_reset_streams(MAX_TUNNELS_PER_CONNECTION as usize)
                .max_local_error_reset_streams(None);
        }
        builder
    }

    /// Serves a stream in a task of its own; resets it if there are too many.
    fn spawn_stream(&self, request: Request<RecvStream>, respond: SendResponse<Bytes>) {
        if request.uri().path() == TUNNEL_PATH {
            let tunnels = self.tunnels.clone();
            tokio::spawn(async move {
                match tunnels {
                    Some(tunnels) => tunnels.serve(request, respond).await,
                    None => tunnel::reject_request(request, respond).await,
                }
            });
            return;
        }
        let Ok(permit) = Arc::clone(&self.streams).try_acquire_owned() else { return };
        let handler = Arc::clone(&self.handler);
        tokio::spawn(async move {
            if request.uri().path() == PERSISTENT_STREAM_PATH {
                persistent_stream::serve(request, respond, handler).await;
            } else {
                let _ = timeout(REQUEST_TIMEOUT, handle_request(request, respond, handler)).await;
            }
            drop(permit);
        });
    }
}

impl PeerServer {
    /// Binds `address` and passes the requests of peers that hold `key` to `handler`.
    ///
    /// Tunnels are rejected.
    ///
    /// # Errors
    /// [`PeerError::Bind`] if the address is invalid or in use.
    pub async fn bind(
        address: &Address,
        key: &str,
        nonce_source: NonceSource,
        handler: Arc<dyn PeerHandler>,
        traffic: Arc<Traffic>,
    ) -> Result<Self, PeerError> {
        let key = key.as_bytes().to_vec();
        let state = ServerState::new(key, nonce_source, handler, traffic);
        Self::start(address, state, watch::Sender::new(())).await
    }

    /// Like [`PeerServer::bind`], and connects at most `max_tunnels` tunnels at once to instances.
    ///
    /// # Errors
    /// [`PeerError::Bind`] if the address is invalid or in use.
    pub async fn bind_with_tunnels(
        address: &Address,
        key: &str,
        nonce_source: NonceSource,
        handler: Arc<dyn PeerHandler>,
        traffic: Arc<Traffic>,
        tunnels: Arc<dyn TunnelHandler>,
        max_tunnels: usize,
    ) -> Result<Self, PeerError> {
        let key = key.as_bytes().to_vec();
        let mut state = ServerState::new(key, nonce_source, handler, traffic);
        let is_running = watch::Sender::new(());
        let service = TunnelService::new(tunnels, max_tunnels, is_running.subscribe());
        state.tunnels = Some(Arc::new(service));
        state.max_streams += MAX_TUNNELS_PER_CONNECTION;
        Self::start(address, state, is_running).await
    }

    async fn start(
        address: &Address,
        state: ServerState,
        is_running: watch::Sender<()>,
    ) -> Result<Self, PeerError> {
        let bind_error = |_| PeerError::Bind { address: address.clone() };
        let listener = TcpListener::bind(address.as_str()).await.map_err(bind_error)?;
        let address = listener.local_addr().map_err(bind_error)?.to_string();
        let task = tokio::spawn(accept_connections(listener, Arc::new(state)));
        Ok(Self { address, task, _is_running: is_running })
    }

    /// Address that the listener is bound to, with the actual port if port 0 was requested.
    pub fn address(&self) -> &Address {
        &self.address
    }
}

impl Drop for PeerServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_connections(listener: TcpListener, state: Arc<ServerState>) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            continue;
        };
        let state = Arc::clone(&state);
        tokio::spawn(async move {
            serve_connection(stream, &state).await;
            drop(permit);
        });
    }
}

async fn serve_connection(stream: TcpStream, state: &Arc<ServerState>) {
    let is_configured = match &state.tunnels {
        Some(_) => tunnel::configure_socket(&stream),
        None => stream.set_nodelay(true),
    };
    if is_configured.is_err() {
        return;
    }
    let mut stream = CountingStream::new(stream, Arc::clone(&state.traffic));
    if accept(&mut stream, &state.key, (state.nonce_source)()).await.is_err() {
        return;
    }
    let Ok(mut connection) = state.builder().handshake::<_, Bytes>(stream).await else {
        return;
    };
    while let Some(Ok((request, respond))) = connection.accept().await {
        state.spawn_stream(request, respond);
    }
}

async fn handle_request(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    handler: Arc<dyn PeerHandler>,
) {
    let body = read_body(request.into_body()).await;
    let message = body.and_then(|bytes| decode::<PeerRequest>(&bytes).ok());
    let Some(message) = message else {
        let mut rejection = Response::new(());
        *rejection.status_mut() = StatusCode::BAD_REQUEST;
        let _ = respond.send_response(rejection, true);
        return;
    };
    let response = handler.handle(message).await;
    let Ok(bytes) = encode(&response) else { return };
    if let Ok(mut stream) = respond.send_response(Response::new(()), false) {
        let _ = stream.send_data(bytes, true);
    }
}
