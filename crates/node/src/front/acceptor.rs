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
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::{
            TcpListener, TcpStream,
            tcp::{ReadHalf, WriteHalf},
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
};

/// Size of a read buffer.
const BUFFER_BYTES: usize = 16 * 1024;

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
}

impl Acceptor {
    /// Binds an address for one of the node's listeners.
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
        let socket = TcpListener::bind(address.as_str()).await?;
        Ok(Self { socket, cx: Arc::new(Context { listener, limits, tables, clock }) })
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
    while !*closing.borrow_and_update() {
        let has_capacity = open.len() < cx.limits.connections;
        tokio::select! {
            accepted = listener.accept(), if has_capacity => match accepted {
                Ok((stream, _)) => {
                    open.spawn(connection(stream, target, Arc::clone(&cx)));
                }
                Err(e) => {
                    logs::event("accept_failed").with("cause", e).warn();
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(_) = open.join_next() => {}
            changed = closing.changed() => if changed.is_err() { return },
        }
    }
    drop(listener);
    while open.join_next().await.is_some() {}
}

/// Forwards one connection until either side closes it or it times out.
async fn connection(mut caller: TcpStream, target: SocketAddr, cx: Arc<Context>) {
    let Ok(mut inner) = TcpStream::connect(target).await else { return };
    let Ok(address) = inner.local_addr() else { return };
    let id = ConnectionId { listener: cx.listener, address };
    let _ = (caller.set_nodelay(true), inner.set_nodelay(true));
    cx.tables.connections.lock().open(id, cx.clock.now());
    let expired = {
        let (from_caller, mut to_caller) = caller.split();
        let (from_inner, to_inner) = inner.split();
        let ended = tokio::select! {
            () = forward_requests(from_caller, to_inner, id, &cx) => None,
            () = forward_responses(from_inner, &mut to_caller, id, &cx) => None,
            expired = wait_for_timeout(id, &cx) => Some(expired),
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
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
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
    mut from: ReadHalf<'_>,
    to: &mut WriteHalf<'_>,
    id: ConnectionId,
    cx: &Context,
) {
    let mut buf = vec![0; BUFFER_BYTES];
    while let Ok(count @ 1..) = from.read(&mut buf).await {
        if !buf[..count].starts_with(INTERIM_RESPONSE) {
            cx.tables.connections.lock().record_response_bytes(id, cx.clock.now());
        }
        let mut rest = &buf[..count];
        while !rest.is_empty() {
            match timeout(cx.limits.write, to.write(rest)).await {
                Ok(Ok(written @ 1..)) => rest = &rest[written..],
                _ => return,
            }
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
