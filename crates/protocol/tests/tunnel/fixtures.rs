//! Peers, instances and a breakable path between nodes.

use {
    async_trait::async_trait,
    std::{
        future::{Future, pending},
        io::ErrorKind,
        net::Ipv4Addr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::copy_bidirectional,
        net::{TcpListener, TcpSocket, TcpStream},
        sync::watch,
        task::JoinHandle,
        time::timeout,
    },
    turmerictack_model::ids::Address,
    turmerictack_protocol::{
        client::NonceSource,
        message::{PeerRequest, PeerResponse},
        server::{PeerHandler, PeerServer},
        tunnel::{
            H2TunnelClient, TunnelClient as _, TunnelEnd, TunnelFailure, TunnelHandler,
            TunnelStream, TunnelTarget,
        },
    },
};

pub const KEY: &str = "key that both ends hold";
pub const INSTANCE: &str = "instance-1";

/// Generous limit for what has to happen, whatever the load of the machine.
pub const PATIENCE: Duration = Duration::from_secs(30);

pub fn nonces(value: u8) -> NonceSource {
    Box::new(move || [value; 16])
}

/// Answers every request of another kind.
pub struct Prober;

#[async_trait]
impl PeerHandler for Prober {
    async fn handle(&self, _request: PeerRequest) -> PeerResponse {
        PeerResponse::ProbeResult(true)
    }
}

/// Connects to [`INSTANCE`] over TCP; `hang` never does.
pub struct Connector;

#[async_trait]
impl TunnelHandler for Connector {
    async fn connect(&self, target: TunnelTarget) -> Result<Box<dyn TunnelEnd>, TunnelFailure> {
        match target.instance.as_str() {
            INSTANCE => {}
            "hang" => pending().await,
            _ => return Err(TunnelFailure::UnknownInstance),
        }
        match TcpStream::connect(&target.address).await {
            Ok(stream) => Ok(Box::new(stream)),
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
                Err(TunnelFailure::Refused)
            }
            Err(_) => Err(TunnelFailure::Unreachable),
        }
    }
}

pub async fn peer_with(handler: Arc<dyn TunnelHandler>, max_tunnels: usize) -> PeerServer {
    let address = "127.0.0.1:0".to_owned();
    let (prober, traffic) = (Arc::new(Prober), Arc::default());
    PeerServer::bind_with_tunnels(&address, KEY, nonces(7), prober, traffic, handler, max_tunnels)
        .await
        .expect("cannot bind a free port")
}

pub async fn peer(max_tunnels: usize) -> PeerServer {
    peer_with(Arc::new(Connector), max_tunnels).await
}

pub fn client() -> H2TunnelClient {
    H2TunnelClient::new(KEY, nonces(9), Arc::default())
}

pub fn target(address: &Address) -> TunnelTarget {
    TunnelTarget { instance: INSTANCE.to_owned(), address: address.clone() }
}

/// Listener of an instance and its address.
pub async fn instance() -> (TcpListener, Address) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind((Ipv4Addr::LOCALHOST, 0).into()).unwrap();
    // The system drops connections beyond the backlog, 128 by default.
    let listener = socket.listen(1024).unwrap();
    let address = listener.local_addr().unwrap().to_string();
    (listener, address)
}

/// Instance that sends back what it gets, on any number of connections.
pub async fn echo_instance() -> Address {
    let (listener, address) = instance().await;
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let (mut reader, mut writer) = stream.split();
                let _ = tokio::io::copy(&mut reader, &mut writer).await;
            });
        }
    });
    address
}

/// A tunnel to an instance, both ends of it, and the peer.
pub async fn open_pair() -> (TunnelStream, TcpStream, PeerServer) {
    let peer = peer(8).await;
    let (listener, address) = instance().await;
    let stream = client().open(peer.address(), &target(&address)).await.unwrap();
    let (end, _) = within(listener.accept()).await.unwrap();
    (stream, end, peer)
}

pub async fn within<F: Future>(future: F) -> F::Output {
    timeout(PATIENCE, future).await.expect("it did not happen")
}

/// Path to a listener that can fall silent or break.
pub struct Path {
    pub address: Address,
    pub connections: Arc<AtomicUsize>,
    /// Connections that are open.
    pub open: watch::Receiver<usize>,
    is_silent: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Path {
    pub async fn to(listener_address: &Address) -> Self {
        let (listener, address) = instance().await;
        let to = listener_address.clone();
        let connections = Arc::new(AtomicUsize::new(0));
        let (open_count, open) = watch::channel(0);
        let is_silent = watch::Sender::new(false);
        let (count, silent) = (Arc::clone(&connections), is_silent.subscribe());
        let task = tokio::spawn(async move {
            loop {
                let (mut near, _) = listener.accept().await.unwrap();
                count.fetch_add(1, Ordering::SeqCst);
                let (to, mut silent, open_count) = (to.clone(), silent.clone(), open_count.clone());
                tokio::spawn(async move {
                    open_count.send_modify(|count| *count += 1);
                    let copy = async {
                        let mut far = TcpStream::connect(&to).await.unwrap();
                        near.set_nodelay(true).unwrap();
                        far.set_nodelay(true).unwrap();
                        let _ = copy_bidirectional(&mut near, &mut far).await;
                    };
                    let is_cut = tokio::select! {
                        () = copy => false,
                        cut = silent.wait_for(|is_silent| *is_silent) => cut.is_ok(),
                    };
                    if is_cut {
                        // Holds its ends open until the path breaks.
                        while silent.changed().await.is_ok() {}
                    }
                    open_count.send_modify(|count| *count -= 1);
                });
            }
        });
        Self { address, connections, open, is_silent, task }
    }

    /// Passes nothing on any more and leaves connections open.
    pub fn fall_silent(&self) {
        self.is_silent.send_replace(true);
    }
}

impl Drop for Path {
    fn drop(&mut self) {
        self.task.abort();
    }
}
