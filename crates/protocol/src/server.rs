//! Listener for requests from other nodes.

use {
    crate::{
        client::{NonceSource, read_body},
        codec::{decode, encode},
        error::PeerError,
        handshake::accept,
        message::{PeerRequest, PeerResponse},
        persistent_stream,
        traffic::{CountingStream, Traffic},
    },
    async_trait::async_trait,
    bytes::Bytes,
    h2::{RecvStream, server::SendResponse},
    http::{Request, Response, StatusCode},
    std::{sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::Semaphore,
        task::JoinHandle,
        time::timeout,
    },
    turmerictack_model::ids::Address,
};

/// Connections served concurrently; further ones are closed on arrival.
const MAX_CONNECTIONS: usize = 1024;

/// Concurrent streams of one connection.
const MAX_STREAMS: u32 = 64;

/// Time limit for a request on a stream of its own: reading its body, handling it and responding.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Handles requests of other nodes.
#[async_trait]
pub trait PeerHandler: Send + Sync {
    /// Creates the response to one request.
    async fn handle(&self, request: PeerRequest) -> PeerResponse;
}

/// Running listener; dropping it stops accepting connections.
#[derive(Debug)]
pub struct PeerServer {
    address: Address,
    task: JoinHandle<()>,
}

struct ServerState {
    key: Vec<u8>,
    nonce_source: NonceSource,
    handler: Arc<dyn PeerHandler>,
    traffic: Arc<Traffic>,
}

impl PeerServer {
    /// Binds `address` and passes the requests of peers that hold `key` to `handler`.
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
        let bind_error = |_| PeerError::Bind { address: address.clone() };
        let listener = TcpListener::bind(address.as_str()).await.map_err(bind_error)?;
        let address = listener.local_addr().map_err(bind_error)?.to_string();
        let state =
            Arc::new(ServerState { key: key.as_bytes().to_vec(), nonce_source, handler, traffic });
        let task = tokio::spawn(accept_connections(listener, state));
        Ok(Self { address, task })
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
    let _ = stream.set_nodelay(true);
    let mut stream = CountingStream::new(stream, Arc::clone(&state.traffic));
    if accept(&mut stream, &state.key, (state.nonce_source)()).await.is_err() {
        return;
    }
    let mut builder = h2::server::Builder::new();
    builder.max_concurrent_streams(MAX_STREAMS);
    let Ok(mut connection) = builder.handshake::<_, Bytes>(stream).await else {
        return;
    };
    while let Some(Ok((request, respond))) = connection.accept().await {
        let handler = Arc::clone(&state.handler);
        if request.uri().path() == persistent_stream::PERSISTENT_STREAM_PATH {
            tokio::spawn(persistent_stream::serve(request, respond, handler));
            continue;
        }
        tokio::spawn(async move {
            let _ = timeout(REQUEST_TIMEOUT, handle_request(request, respond, handler)).await;
        });
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
