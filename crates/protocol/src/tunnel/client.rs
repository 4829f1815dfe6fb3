//! Opens tunnels, and keeps a connection to each peer for them.

use {
    super::{
        Answer, CONNECTION_WINDOW_BYTES, MAX_TUNNELS_PER_CONNECTION, SEND_BUFFER_BYTES,
        STREAM_WINDOW_BYTES, TUNNEL_PATH, TunnelClient, TunnelFailure, TunnelStream, TunnelTarget,
        configure_socket, read_head,
        stream::{Place, TunnelWriter},
        write_head,
    },
    crate::{
        client::NonceSource,
        handshake::dial,
        traffic::{CountingStream, Traffic},
    },
    async_trait::async_trait,
    bytes::Bytes,
    h2::{
        Ping,
        client::{self, Builder, SendRequest},
    },
    http::{Request, StatusCode},
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{net::TcpStream, sync::watch, time::timeout},
    turmerictack_model::ids::Address,
};

/// Time limit for connecting to a peer, including the handshake and its settings.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time limit for the answer of a peer, which has 1 s to connect to the instance.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1300);

/// Time after which a connection without tunnels is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

type H2Connection = client::Connection<CountingStream<TcpStream>, Bytes>;

/// Open connection to a peer.
struct Connection {
    sender: SendRequest<Bytes>,
    tunnels: watch::Sender<usize>,
    max_tunnels: usize,
}

/// Result of an attempt to connect; `None` while it runs.
type Attempt = Option<Result<Arc<Connection>, TunnelFailure>>;

/// Attempt to connect to a peer, or its connection.
#[derive(Clone)]
struct Slot {
    number: u64,
    attempt: watch::Receiver<Attempt>,
}

#[derive(Default)]
struct Slots {
    by_peer: BTreeMap<Address, Slot>,
    last_number: u64,
}

/// Client of tunnels over HTTP/2, with a connection to each peer that carries nothing else.
///
/// Connections are opened on demand and closed 10 s after their last tunnel.
pub struct H2TunnelClient {
    dialer: Arc<Dialer>,
}

impl H2TunnelClient {
    /// Creates a client that authenticates with `key`.
    pub fn new(key: &str, nonce_source: NonceSource, traffic: Arc<Traffic>) -> Self {
        let (key, slots) = (key.as_bytes().to_vec(), Mutex::default());
        Self { dialer: Arc::new(Dialer { key, nonce_source, traffic, slots }) }
    }

    /// Opens a tunnel on the connection of a slot, which is given up if the peer doesn't answer.
    async fn open_on(
        &self,
        mut slot: Slot,
        peer: &Address,
        target: &TunnelTarget,
    ) -> Result<TunnelStream, TunnelFailure> {
        let attempt = match slot.attempt.wait_for(Option::is_some).await {
            Ok(attempt) => attempt.clone(),
            Err(_) => None,
        };
        let connection = attempt.unwrap_or(Err(TunnelFailure::PeerUnreachable))?;
        let place = Place::take(&connection.tunnels, connection.max_tunnels);
        let place = place.ok_or(TunnelFailure::Busy)?;
        let exchange = request_tunnel(connection.sender.clone(), peer, target, place);
        let (stream, answer) =
            timeout(ANSWER_TIMEOUT, exchange).await.ok().flatten().ok_or_else(|| {
                self.dialer.forget(peer, slot.number);
                TunnelFailure::PeerUnreachable
            })?;
        answer.map(|()| stream)
    }
}

#[async_trait]
impl TunnelClient for H2TunnelClient {
    async fn open(
        &self,
        peer: &Address,
        target: &TunnelTarget,
    ) -> Result<TunnelStream, TunnelFailure> {
        let slot = self.dialer.slot(peer);
        let is_reused = slot.attempt.borrow().is_some();
        match self.open_on(slot, peer, target).await {
            Err(TunnelFailure::PeerUnreachable) if is_reused => {
                self.open_on(self.dialer.slot(peer), peer, target).await
            }
            result => result,
        }
    }
}

/// Opens a stream, sends the target and reads the answer; `None` if the peer was lost.
async fn request_tunnel(
    sender: SendRequest<Bytes>,
    peer: &Address,
    target: &TunnelTarget,
    place: Place,
) -> Option<(TunnelStream, Answer)> {
    let mut sender = sender.ready().await.ok()?;
    let request = Request::post(format!("http://{peer}{TUNNEL_PATH}")).body(()).ok()?;
    let (response, body) = sender.send_request(request, false).ok()?;
    let mut writer = TunnelWriter::new(body);
    write_head(&mut writer, target).await.ok()?;
    let response = response.await.ok().filter(|response| response.status() == StatusCode::OK)?;
    let mut stream = TunnelStream::new(writer, response.into_body(), Some(place));
    let answer = read_head(&mut stream).await.ok()?;
    Some((stream, answer))
}

/// Connects to peers; concurrent tunnels to one peer share its slot.
struct Dialer {
    key: Vec<u8>,
    nonce_source: NonceSource,
    traffic: Arc<Traffic>,
    slots: Mutex<Slots>,
}

impl Dialer {
    fn slots(&self) -> MutexGuard<'_, Slots> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The slot of a peer; starts to connect if there is none.
    fn slot(self: &Arc<Self>, peer: &Address) -> Slot {
        let mut slots = self.slots();
        if let Some(slot) = slots.by_peer.get(peer) {
            return slot.clone();
        }
        slots.last_number += 1;
        let (sender, attempt) = watch::channel(None);
        let slot = Slot { number: slots.last_number, attempt };
        slots.by_peer.insert(peer.clone(), slot.clone());
        tokio::spawn(keep_connected(Arc::clone(self), peer.clone(), slot.number, sender));
        slot
    }

    /// Removes a slot, so that the next tunnel gets a new connection; open tunnels keep theirs.
    fn forget(&self, peer: &Address, number: u64) {
        let mut slots = self.slots();
        if slots.by_peer.get(peer).is_some_and(|slot| slot.number == number) {
            slots.by_peer.remove(peer);
        }
    }

    /// Connects to a peer and waits for its settings; `None` if it fails.
    async fn connect(&self, peer: &Address) -> Option<(Connection, H2Connection)> {
        let stream = TcpStream::connect(peer.as_str()).await.ok()?;
        configure_socket(&stream).ok()?;
        let mut stream = CountingStream::new(stream, Arc::clone(&self.traffic));
        dial(&mut stream, &self.key, (self.nonce_source)()).await.ok()?;
        let (sender, mut driver) = builder().handshake::<_, Bytes>(stream).await.ok()?;
        // The peer's settings, with the number of streams, arrive before the pong.
        let mut ping_pong = driver.ping_pong()?;
        tokio::select! {
            _ = &mut driver => return None,
            pong = ping_pong.ping(Ping::opaque()) => pong.ok()?,
        };
        let max_tunnels =
            driver.max_concurrent_send_streams().min(MAX_TUNNELS_PER_CONNECTION as usize);
        Some((Connection { sender, tunnels: watch::Sender::new(0), max_tunnels }, driver))
    }
}

fn builder() -> Builder {
    let mut builder = Builder::new();
    builder
        .enable_push(false)
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_send_buffer_size(SEND_BUFFER_BYTES)
        // Tunnels that are dropped while bytes arrive must not end the others of the connection.
        .max_concurrent_reset_streams(MAX_TUNNELS_PER_CONNECTION as usize)
        .max_local_error_reset_streams(None);
    builder
}

/// Connects, and drives the connection until it is lost, or its slot until it has been idle.
async fn keep_connected(
    dialer: Arc<Dialer>,
    peer: Address,
    number: u64,
    attempt: watch::Sender<Attempt>,
) {
    let connected = timeout(CONNECT_TIMEOUT, dialer.connect(&peer)).await.ok().flatten();
    let Some((connection, mut driver)) = connected else {
        dialer.forget(&peer, number);
        attempt.send_replace(Some(Err(TunnelFailure::PeerUnreachable)));
        return;
    };
    let tunnels = connection.tunnels.subscribe();
    attempt.send_replace(Some(Ok(Arc::new(connection))));
    drop(attempt);
    // The connections of a dropped client end with its tunnels.
    let weak = Arc::downgrade(&dialer);
    drop(dialer);
    let forget = || {
        if let Some(dialer) = weak.upgrade() {
            dialer.forget(&peer, number);
        }
    };
    tokio::select! {
        _ = &mut driver => forget(),
        () = wait_until_idle(tunnels) => {
            forget();
            // Ends once no tunnel holds the connection any more.
            let _ = driver.await;
        }
    }
}

/// Waits until there have been no tunnels for [`IDLE_TIMEOUT`].
async fn wait_until_idle(mut tunnels: watch::Receiver<usize>) {
    loop {
        if tunnels.wait_for(|count| *count == 0).await.is_err() {
            return;
        }
        match timeout(IDLE_TIMEOUT, tunnels.wait_for(|count| *count > 0)).await {
            Ok(Ok(_)) => {}
            Ok(Err(_)) | Err(_) => return,
        }
    }
}
