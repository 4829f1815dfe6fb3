//! Front proxy of an HTTP listener: limits connections and closes those with incomplete requests.
//!
//! The HTTP library reads the start of a body before it calls a handler, and has no timeout for
//! that read.

use {
    crate::{
        front::{
            completion::failure_body,
            connections::{ConnectionId, Limits, Listener, TimeoutCheck, TimeoutKind},
            response::{OUTCOME_HEADER, status_of},
        },
        logs,
        tables::Tables,
    },
    cadence::{NopMetricSink, StatsdClient},
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _, ReadHalf, WriteHalf, split},
        net::{
            TcpListener, TcpSocket, TcpStream,
            tcp::{ReadHalf as InnerReadHalf, WriteHalf as InnerWriteHalf},
        },
        sync::watch::{self, Receiver, Sender},
        task::{JoinHandle, JoinSet},
        time::{sleep, timeout},
    },
    turmerictack_model::{
        clock::Clock,
        ids::Address,
        outcome::{Failure, FailureCode},
    },
    turmerictack_serving::{
        accounted_stream::AccountedStream,
        client_gate::{ClientGate, ConnectionHold},
        client_listener,
        client_memory::{AccountConfig, ConnectionCosts},
        request_account::RequestAccount,
    },
};

/// Size of a read buffer.
const BUFFER_BYTES: usize = 16 * 1024;

/// Maximum number of bytes of a request before a handler takes it.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// What a connection takes: both buffers of the acceptor, two connections between the acceptor and
/// the HTTP server, and what the system has received on them.
pub const CONNECTION_COSTS: ConnectionCosts = ConnectionCosts {
    idle: 48 * 1024,
    request: 32 * 1024,
    long_head: 64 * 1024,
    response: 48 * 1024,
    stream_backlog: 64 * 1024,
};

/// Pause after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time for connections to end after the acceptor is closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Start of an interim response; it does not end the wait for the request.
const INTERIM_RESPONSE: &[u8] = b"HTTP/1.1 100";

/// A bound acceptor that does not accept connections yet.
pub struct Acceptor {
    socket: TcpListener,
    cx: Arc<Context>,
}

/// A running acceptor; dropping it closes it and all its connections at once.
pub struct RunningAcceptor {
    closing: Sender<bool>,
    task: JoinHandle<()>,
}

/// State shared by the connections of an acceptor.
struct Context {
    listener: Listener,
    limits: Limits,
    tables: Arc<Tables>,
    clock: Arc<dyn Clock>,
    gate: Arc<ClientGate>,
}

impl Acceptor {
    /// Binds an address for one of the node's listeners; nothing but the number of connections is
    /// bounded.
    ///
    /// # Errors
    /// [`io::Error`] if the address cannot be bound.
    pub async fn bind(
        address: &Address,
        listener: Listener,
        limits: Limits,
        tables: Arc<Tables>,
        clock: Arc<dyn Clock>,
    ) -> io::Result<Self> {
        let account = AccountConfig {
            costs: CONNECTION_COSTS,
            connections: limits.connections,
            ..AccountConfig::default()
        };
        let metrics = Arc::new(StatsdClient::from_sink("", NopMetricSink));
        let gate = ClientGate::open(account, Arc::clone(&clock), metrics);
        Self::bind_with(address, listener, limits, tables, clock, gate).await
    }

    /// The same with an account for what callers hold, which bounds the connections too.
    ///
    /// # Errors
    /// As for [`Self::bind`].
    pub async fn bind_with(
        address: &Address,
        listener: Listener,
        limits: Limits,
        tables: Arc<Tables>,
        clock: Arc<dyn Clock>,
        gate: Arc<ClientGate>,
    ) -> io::Result<Self> {
        let socket = client_listener::bind(address, gate.limits())?;
        let cx = Context { listener, limits, tables, clock, gate };
        Ok(Self { socket, cx: Arc::new(cx) })
    }

    /// Local address of the acceptor.
    ///
    /// # Errors
    /// [`io::Error`] if the address cannot be read.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Starts forwarding connections to the HTTP listener at `target`.
    pub fn spawn(self, target: SocketAddr) -> RunningAcceptor {
        let (tx, rx) = watch::channel(false);
        let task = tokio::spawn(accept(self.socket, self.cx, target, rx));
        RunningAcceptor { closing: tx, task }
    }
}

impl RunningAcceptor {
    /// Stops accepting connections.
    pub fn close(&self) {
        self.closing.send_replace(true);
    }

    /// Closes the acceptor and waits for its connections to end, up to a limit.
    pub async fn finish(mut self) {
        self.close();
        let _ = timeout(CLOSE_TIMEOUT, &mut self.task).await;
    }
}

impl Drop for RunningAcceptor {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    cx: Arc<Context>,
    target: SocketAddr,
    mut closing: Receiver<bool>,
) {
    let mut open = JoinSet::new();
    // Accepted, but without a place yet.
    let mut waiting = None;
    while !*closing.borrow_and_update() {
        tokio::select! {
            accepted = listener.accept(), if waiting.is_none() => match accepted {
                Ok((stream, _)) => waiting = Some(stream),
                Err(e) => {
                    logs::event("accept_failed").with("cause", e).warn();
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            hold = cx.gate.admit(), if waiting.is_some() => {
                if let Some(stream) = waiting.take() {
                    open.spawn(connection(stream, hold, target, Arc::clone(&cx)));
                }
            }
            Some(_) = open.join_next() => {}
            changed = closing.changed() => if changed.is_err() { return },
        }
    }
    drop((listener, waiting));
    while open.join_next().await.is_some() {}
}

/// Connects to the HTTP server, with a receive buffer like those of callers.
async fn connect(target: SocketAddr, gate: &ClientGate) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    if let Some(bytes) = gate.limits().receive_buffer() {
        socket.set_recv_buffer_size(u32::try_from(bytes).unwrap_or(u32::MAX))?;
    }
    socket.connect(target).await
}

/// Forwards one connection until either side closes it, it times out, or it has to go.
async fn connection(
    caller: TcpStream,
    mut hold: ConnectionHold,
    target: SocketAddr,
    cx: Arc<Context>,
) {
    let Ok(mut inner) = connect(target, &cx.gate).await else { return };
    let Ok(address) = inner.local_addr() else { return };
    let id = ConnectionId { listener: cx.listener, address };
    let _ = (caller.set_nodelay(true), inner.set_nodelay(true));
    let (caller, account) = AccountedStream::new(caller, hold.requests(), MAX_HEAD_BYTES);
    {
        let mut connections = cx.tables.connections.lock();
        connections.open(id, cx.clock.now());
        connections.set_account(id, account.clone());
    }
    let expired = {
        let (from_caller, mut to_caller) = split(caller);
        let (from_inner, to_inner) = inner.split();
        let ended = tokio::select! {
            () = forward_requests(from_caller, to_inner, id, &cx) => None,
            () = forward_responses(from_inner, &mut to_caller, id, &account, &cx) => None,
            expired = wait_for_timeout(id, &cx) => Some(expired),
            () = async {
                let _ = (&mut hold.evicted).await;
                // A request that has come meanwhile is served.
                account.wait_for_idle().await;
            } => None,
        };
        if ended == Some(TimeoutKind::Request) {
            let rejection = rejection();
            let _ = timeout(cx.limits.write, to_caller.write_all(rejection.as_bytes())).await;
        }
        ended
    };
    cx.tables.connections.lock().close(id);
    if let Some(expired) = expired {
        logs::event("connection_timed_out").with("cause", format!("{expired:?}")).debug();
    }
}

async fn forward_requests(
    mut from: ReadHalf<AccountedStream<TcpStream>>,
    mut to: InnerWriteHalf<'_>,
    id: ConnectionId,
    cx: &Context,
) {
    let mut buf = vec![0; BUFFER_BYTES];
    while let Ok(count @ 1..) = from.read(&mut buf).await {
        cx.tables.connections.lock().record_request_bytes(id, cx.clock.now());
        if to.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}

async fn forward_responses(
    mut from: InnerReadHalf<'_>,
    to: &mut WriteHalf<AccountedStream<TcpStream>>,
    id: ConnectionId,
    account: &RequestAccount,
    cx: &Context,
) {
    let mut buf = vec![0; BUFFER_BYTES];
    while let Ok(count @ 1..) = from.read(&mut buf).await {
        if !buf[..count].starts_with(INTERIM_RESPONSE) {
            cx.tables.connections.lock().record_response_bytes(id, cx.clock.now());
            account.end_unhandled();
        }
        let mut rest = &buf[..count];
        while !rest.is_empty() {
            match timeout(cx.limits.write, to.write(rest)).await {
                Ok(Ok(written @ 1..)) => rest = &rest[written..],
                _ => return,
            }
        }
        if to.flush().await.is_err() {
            return;
        }
    }
}

async fn wait_for_timeout(id: ConnectionId, cx: &Context) -> TimeoutKind {
    loop {
        let now = cx.clock.now();
        let check = cx.tables.connections.lock().check_timeout(id, &cx.limits, now);
        match check {
            TimeoutCheck::Close(expired) => return expired,
            TimeoutCheck::RecheckAt(at) => sleep(at.saturating_duration_since(now)).await,
        }
    }
}

/// Response to a request that did not arrive completely in time.
fn rejection() -> String {
    let failure = Failure::not_run(FailureCode::BadRequest);
    let body = failure_body(&failure, None);
    format!(
        "HTTP/1.1 {}\r\ncontent-type: application/json\r\nconnection: close\r\n\
         {OUTCOME_HEADER}: {}\r\ncontent-length: {}\r\n\r\n{body}",
        status_of(failure.code),
        failure.outcome,
        body.len()
    )
}
