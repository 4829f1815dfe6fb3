//! Peers that fail, other messages beside tunnels, and garbage.

use {
    crate::fixtures::{
        KEY, Path, Prober, client, echo_instance, instance, nonces, peer, target, within,
    },
    http::Request,
    rstest::rstest,
    std::{
        io::ErrorKind,
        sync::{Arc, atomic::Ordering},
    },
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::TcpStream,
    },
    turmerictack_protocol::{
        client::{H2PeerClient, PeerClient as _},
        handshake::dial,
        message::{PeerRequest, PeerResponse},
        server::PeerServer,
        tunnel::{H2TunnelClient, TunnelClient as _, TunnelFailure, TunnelTarget},
    },
};

#[rstest]
#[case::unknown("instance-2", "127.0.0.1:1", TunnelFailure::UnknownInstance)]
#[case::refused("instance-1", "127.0.0.1:1", TunnelFailure::Refused)]
#[case::hanging("hang", "127.0.0.1:1", TunnelFailure::Unreachable)]
#[case::oversized(&"i".repeat(2000), "127.0.0.1:1", TunnelFailure::PeerUnreachable)]
#[tokio::test]
async fn failure_of_the_peer_is_told(
    #[case] instance: &str,
    #[case] address: &str,
    #[case] failure: TunnelFailure,
) {
    let peer = peer(1).await;
    let target = TunnelTarget { instance: instance.to_owned(), address: address.to_owned() };
    // Each failure frees its tunnel.
    for _ in 0..2 {
        let result = within(client().open(peer.address(), &target)).await.map(drop);
        assert_eq!(result, Err(failure));
    }
}

#[rstest]
#[tokio::test]
async fn peer_without_tunnels_is_busy() {
    let address = "127.0.0.1:0".to_owned();
    let peer = PeerServer::bind(&address, KEY, nonces(7), Arc::new(Prober), Arc::default());
    let peer = peer.await.unwrap();
    let result = within(client().open(peer.address(), &target(&address))).await.map(drop);
    assert_eq!(result, Err(TunnelFailure::Busy));
}

#[rstest]
#[tokio::test]
async fn peer_with_another_key_is_unreachable() {
    let (peer, echo) = (peer(8).await, echo_instance().await);
    let client = H2TunnelClient::new("another key", nonces(9), Arc::default());
    let result = within(client.open(peer.address(), &target(&echo))).await.map(drop);
    assert_eq!(result, Err(TunnelFailure::PeerUnreachable));
}

#[rstest]
#[tokio::test]
async fn closed_port_is_unreachable() {
    let address = "127.0.0.1:1".to_owned();
    let result = within(client().open(&address, &target(&address))).await.map(drop);
    assert_eq!(result, Err(TunnelFailure::PeerUnreachable));
}

/// All that wait for one silent peer share its attempt.
#[rstest]
#[tokio::test]
async fn silent_peer_fails_all_that_wait_for_it() {
    let (listener, address) = instance().await;
    let (client, target) = (client(), target(&address));
    let open = || client.open(&address, &target);
    let results = within(async { tokio::join!(open(), open(), open(), open()) }).await;
    for result in [results.0, results.1, results.2, results.3] {
        assert_eq!(result.map(drop), Err(TunnelFailure::PeerUnreachable));
    }
    within(listener.accept()).await.unwrap();
    let next = tokio::time::timeout(std::time::Duration::from_millis(200), listener.accept());
    assert!(next.await.is_err(), "a second attempt was made");
}

#[rstest]
#[tokio::test]
async fn peer_that_falls_silent_is_given_up() {
    let (peer, echo) = (peer(8).await, echo_instance().await);
    let path = Path::to(peer.address()).await;
    let (client, target) = (client(), target(&echo));
    let _kept = client.open(&path.address, &target).await.unwrap();
    path.fall_silent();
    let result = within(client.open(&path.address, &target)).await.map(drop);
    assert_eq!(result, Err(TunnelFailure::PeerUnreachable));
    // The first attempt was on the open connection, the second one on a connection of its own.
    assert_eq!(path.connections.load(Ordering::SeqCst), 2);
}

#[rstest]
#[tokio::test]
async fn connection_that_was_lost_is_replaced() {
    let (first, echo) = (peer(8).await, echo_instance().await);
    let (client, target, address) = (client(), target(&echo), first.address().clone());
    let mut lost = client.open(&address, &target).await.unwrap();
    drop(first);
    let error = within(lost.read(&mut [0; 1])).await.unwrap_err();
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    let result = within(client.open(&address, &target)).await.map(drop);
    assert_eq!(result, Err(TunnelFailure::PeerUnreachable));
}

#[rstest]
#[tokio::test]
async fn connection_without_tunnels_is_closed() {
    let (peer, echo) = (peer(8).await, echo_instance().await);
    let mut path = Path::to(peer.address()).await;
    let (client, target) = (client(), target(&echo));
    drop(client.open(&path.address, &target).await.unwrap());
    assert_eq!(*path.open.borrow(), 1);
    within(path.open.wait_for(|count| *count == 0)).await.unwrap();
    drop(within(client.open(&path.address, &target)).await.unwrap());
}

/// An idle tunnel outlasts the time limit of requests.
#[rstest]
#[tokio::test]
async fn other_messages_are_answered_beside_an_idle_tunnel() {
    let (peer, echo) = (peer(8).await, echo_instance().await);
    let mut stream = client().open(peer.address(), &target(&echo)).await.unwrap();
    let messages = H2PeerClient::new(KEY, nonces(9), Arc::default());
    let requests = [
        PeerRequest::Settings { known_revision: 0 },
        PeerRequest::Reports { run: [1; 6], last_change: 1 },
    ];
    for _ in 0..15 {
        for request in &requests {
            let response = messages.send(peer.address(), request).await;
            assert_eq!(response, Ok(PeerResponse::ProbeResult(true)));
        }
        tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    }
    stream.write_all(b"ping").await.unwrap();
    within(stream.read_exact(&mut [0; 4])).await.unwrap();
}

/// Garbage of the length `length`, from a linear congruential generator.
fn garbage(seed: u64, length: usize) -> Vec<u8> {
    let mut state = seed;
    let mut next = || {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (state >> 56) as u8
    };
    (0..length).map(|_| next()).collect()
}

#[rstest]
#[tokio::test]
async fn garbage_on_the_tunnel_path_is_rejected() {
    let (peer, echo) = (peer(4).await, echo_instance().await);
    let mut socket = TcpStream::connect(peer.address()).await.unwrap();
    dial(&mut socket, KEY.as_bytes(), [3; 16]).await.unwrap();
    let (sender, connection) = h2::client::handshake(socket).await.unwrap();
    tokio::spawn(connection);
    for seed in 0..400 {
        let mut sender = within(sender.clone().ready()).await.unwrap();
        let url = format!("http://{}/tunnel", peer.address());
        let request = Request::post(url).body(()).unwrap();
        let (response, mut body) = sender.send_request(request, false).unwrap();
        let mut bytes = garbage(seed, seed as usize % 97);
        if seed % 2 == 0 && bytes.len() > 2 {
            // A plausible length lets the rest be decoded.
            let length = (bytes.len() - 2) as u16;
            bytes[..2].copy_from_slice(&length.to_be_bytes());
        }
        let _ = body.send_data(bytes.into(), true);
        let mut answer = within(response).await.unwrap().into_body();
        let outcome = within(answer.data()).await;
        assert!(!matches!(outcome, Some(Ok(data)) if data == [0, 1, 0][..]), "seed {seed}");
    }
    let client = client();
    let mut tunnels = Vec::new();
    for _ in 0..4 {
        tunnels.push(within(client.open(peer.address(), &target(&echo))).await.unwrap());
    }
}
