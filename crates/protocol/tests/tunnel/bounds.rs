//! Bounds on what tunnels hold and on their number.

use {
    crate::fixtures::{Connector, Path, client, echo_instance, peer, peer_with, target, within},
    async_trait::async_trait,
    rstest::rstest,
    std::{
        sync::{Arc, Mutex, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _, DuplexStream, duplex},
        task::JoinSet,
        time::{sleep, timeout},
    },
    turmerictack_protocol::tunnel::{
        TUNNEL_BYTES, TunnelClient as _, TunnelEnd, TunnelFailure, TunnelHandler, TunnelTarget,
    },
};

/// Buffer of each direction between a [`Pipes`] handler and its instance.
const PIPE_BYTES: usize = 1024;

/// Connects tunnels to pipes, which unlike sockets have small buffers.
#[derive(Default)]
struct Pipes(Mutex<Vec<DuplexStream>>);

#[async_trait]
impl TunnelHandler for Pipes {
    async fn connect(&self, _target: TunnelTarget) -> Result<Box<dyn TunnelEnd>, TunnelFailure> {
        let (end, instance) = duplex(PIPE_BYTES);
        self.0.lock().unwrap().push(instance);
        Ok(Box::new(end))
    }
}

/// Writes until nothing more is taken; returns the number of bytes.
async fn fill(writer: &mut (impl AsyncWrite + Unpin), write_bytes: usize) -> usize {
    let (mut count, buf) = (0, vec![0; write_bytes]);
    while let Ok(written) = timeout(Duration::from_millis(500), writer.write(&buf)).await {
        count += written.unwrap();
    }
    count
}

/// Both nodes hold at most their share of one tunnel, and other tunnels go on; so they do if all
/// frames are tiny.
#[rstest]
#[case::to_the_instance(16 * 1024, true)]
#[case::to_the_instance_in_bytes(1, true)]
#[case::from_the_instance(16 * 1024, false)]
#[case::from_the_instance_in_bytes(1, false)]
#[tokio::test]
async fn unread_bytes_are_bounded(#[case] write_bytes: usize, #[case] is_upload: bool) {
    let pipes = Arc::new(Pipes::default());
    let (peer, client) = (peer_with(pipes.clone(), 8).await, client());
    let address = "127.0.0.1:1".to_owned();
    let mut stalled = client.open(peer.address(), &target(&address)).await.unwrap();
    let mut instance = pipes.0.lock().unwrap().pop().unwrap();
    let held = match is_upload {
        true => fill(&mut stalled, write_bytes).await,
        false => fill(&mut instance, write_bytes).await,
    };
    println!("{held} bytes held");
    assert!(held <= 2 * TUNNEL_BYTES + PIPE_BYTES, "{held} bytes held");

    let mut other = client.open(peer.address(), &target(&address)).await.unwrap();
    let mut other_instance = pipes.0.lock().unwrap().pop().unwrap();
    other.write_all(b"ping").await.unwrap();
    within(other_instance.read_exact(&mut [0; 4])).await.unwrap();
    other_instance.write_all(b"pong").await.unwrap();
    within(other.read_exact(&mut [0; 4])).await.unwrap();

    let mut rest = vec![0; held];
    match is_upload {
        true => within(instance.read_exact(&mut rest)).await.unwrap(),
        false => within(stalled.read_exact(&mut rest)).await.unwrap(),
    };
}

/// Many stalled tunnels don't use up the window of the connection.
#[rstest]
#[tokio::test]
async fn stalled_tunnels_do_not_hold_up_others() {
    let pipes = Arc::new(Pipes::default());
    let (peer, client) = (peer_with(pipes.clone(), 64).await, client());
    let address = "127.0.0.1:1".to_owned();
    let path = Path::to(peer.address()).await;
    let mut stalled = Vec::new();
    for _ in 0..32 {
        let mut stream = client.open(&path.address, &target(&address)).await.unwrap();
        let instance = pipes.0.lock().unwrap().pop().unwrap();
        let filled = timeout(Duration::from_millis(50), stream.write_all(&[0; 512 * 1024])).await;
        assert!(filled.is_err());
        stalled.push((stream, instance));
    }
    let mut other = client.open(&path.address, &target(&address)).await.unwrap();
    let mut instance = pipes.0.lock().unwrap().pop().unwrap();
    let reading = tokio::spawn(async move {
        instance.read_exact(&mut vec![0; 512 * 1024]).await.unwrap();
        instance
    });
    within(other.write_all(&vec![0; 512 * 1024])).await.unwrap();
    within(reading).await.unwrap();
    assert_eq!(path.connections.load(Ordering::SeqCst), 1);
}

#[rstest]
#[tokio::test]
async fn tunnel_beyond_the_bound_of_the_peer_is_busy() {
    let (peer, echo) = (peer(2).await, echo_instance().await);
    // The bound is over all connections.
    let (first, second) = (client(), client());
    let target = target(&echo);
    let kept = first.open(peer.address(), &target).await.unwrap();
    let dropped = second.open(peer.address(), &target).await.unwrap();
    for client in [&first, &second] {
        let result = client.open(peer.address(), &target).await.map(drop);
        assert_eq!(result, Err(TunnelFailure::Busy));
    }
    drop(dropped);
    let opening = async {
        loop {
            match first.open(peer.address(), &target).await {
                Ok(stream) => return stream,
                Err(failure) => assert_eq!(failure, TunnelFailure::Busy),
            }
            sleep(Duration::from_millis(5)).await;
        }
    };
    within(opening).await;
    drop(kept);
}

/// Tunnels of one connection, as the inner protocol states it.
const MAX_TUNNELS_PER_CONNECTION: usize = 1024;

#[rstest]
#[tokio::test]
async fn tunnel_beyond_the_streams_of_a_connection_is_busy() {
    let peer = peer_with(Arc::new(Pipes::default()), 2 * MAX_TUNNELS_PER_CONNECTION).await;
    let path = Path::to(peer.address()).await;
    let (client, target) = (client(), target(&"127.0.0.1:1".to_owned()));
    let mut streams = Vec::new();
    for _ in 0..MAX_TUNNELS_PER_CONNECTION {
        streams.push(within(client.open(&path.address, &target)).await.unwrap());
    }
    let result = within(client.open(&path.address, &target)).await.map(drop);
    assert_eq!(result, Err(TunnelFailure::Busy));
    streams.pop();
    within(client.open(&path.address, &target)).await.unwrap();
    assert_eq!(path.connections.load(Ordering::SeqCst), 1);
}

#[rstest]
#[tokio::test]
async fn two_hundred_tunnels_share_one_connection() {
    let (peer, echo) = (peer_with(Arc::new(Connector), 256).await, echo_instance().await);
    let path = Path::to(peer.address()).await;
    let (client, target) = (Arc::new(client()), target(&echo));
    let mut tunnels = JoinSet::new();
    for number in 0..200_u8 {
        let (client, address, target) = (Arc::clone(&client), path.address.clone(), target.clone());
        tunnels.spawn(async move {
            let mut stream = client.open(&address, &target).await.unwrap();
            let sent = vec![number; 20_000];
            stream.write_all(&sent).await.unwrap();
            let mut received = vec![0; sent.len()];
            stream.read_exact(&mut received).await.unwrap();
            assert!(received == sent);
            stream
        });
    }
    let streams = within(tunnels.join_all()).await;
    assert_eq!(streams.len(), 200);
    assert_eq!(path.connections.load(Ordering::SeqCst), 1);
}

/// Tunnels that are dropped while bytes arrive must not end the others of their connection, however
/// many there are.
#[rstest]
#[tokio::test]
async fn many_dropped_tunnels_leave_the_connection_alone() {
    let (peer, echo) = (peer(256).await, echo_instance().await);
    let path = Path::to(peer.address()).await;
    let (client, target) = (client(), target(&echo));
    let mut kept = client.open(&path.address, &target).await.unwrap();
    for _ in 0..10 {
        let mut dropped = Vec::new();
        for _ in 0..150 {
            let mut stream = within(client.open(&path.address, &target)).await.unwrap();
            stream.write_all(&[1; 32 * 1024]).await.unwrap();
            dropped.push(stream);
        }
        // Each of them still gets most of its echo.
        for stream in &mut dropped {
            within(stream.read_exact(&mut [0; 1])).await.unwrap();
        }
        drop(dropped);
        let is_freed = async {
            while client.open(&path.address, &target).await.is_err() {
                sleep(Duration::from_millis(5)).await;
            }
        };
        within(is_freed).await;
    }
    kept.write_all(b"ping").await.unwrap();
    within(kept.read_exact(&mut [0; 4])).await.unwrap();
    assert_eq!(path.connections.load(Ordering::SeqCst), 1);
}
