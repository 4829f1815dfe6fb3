//! What the ends of a tunnel get: the bytes, and the way in which the other end ended.

use {
    crate::fixtures::{client, echo_instance, instance, open_pair, peer, target, within},
    rstest::rstest,
    std::{io::ErrorKind, sync::mpsc, time::Duration},
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _, split},
        runtime::Runtime,
        time::{sleep, timeout},
    },
    turmerictack_protocol::tunnel::{TunnelClient as _, TunnelTarget},
};

fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|index| (index.wrapping_mul(2_654_435_761) >> 13) as u8).collect()
}

#[rstest]
#[tokio::test]
async fn bytes_arrive_unchanged_at_a_slow_reader() {
    let (peer, echo) = (peer(8).await, echo_instance().await);
    let stream = client().open(peer.address(), &target(&echo)).await.unwrap();
    let (mut reader, mut writer) = split(stream);
    let sent = pattern(4 * 1024 * 1024);
    let expected = sent.clone();
    let writing = tokio::spawn(async move {
        writer.write_all(&sent).await.unwrap();
        writer.shutdown().await.unwrap();
        writer
    });
    let mut received = Vec::new();
    let mut buf = vec![0; 32 * 1024];
    loop {
        let count = within(reader.read(&mut buf)).await.unwrap();
        if count == 0 {
            break;
        }
        received.extend_from_slice(&buf[..count]);
        sleep(Duration::from_millis(1)).await;
    }
    within(writing).await.unwrap();
    assert!(received == expected, "{} bytes arrived", received.len());
}

#[rstest]
#[tokio::test]
async fn instance_answers_after_the_client_has_ended_its_side() {
    let (mut stream, mut end, _peer) = open_pair().await;
    stream.write_all(b"request").await.unwrap();
    stream.shutdown().await.unwrap();
    let mut request = Vec::new();
    within(end.read_to_end(&mut request)).await.unwrap();
    assert_eq!(request, b"request");
    end.write_all(b"response").await.unwrap();
    drop(end);
    let mut response = Vec::new();
    within(stream.read_to_end(&mut response)).await.unwrap();
    assert_eq!(response, b"response");
}

#[rstest]
#[tokio::test]
async fn client_sends_after_the_instance_has_ended_its_side() {
    let (mut stream, mut end, _peer) = open_pair().await;
    end.write_all(b"early response").await.unwrap();
    end.shutdown().await.unwrap();
    let mut response = Vec::new();
    within(stream.read_to_end(&mut response)).await.unwrap();
    assert_eq!(response, b"early response");
    stream.write_all(b"rest of the request").await.unwrap();
    stream.shutdown().await.unwrap();
    let mut request = Vec::new();
    within(end.read_to_end(&mut request)).await.unwrap();
    assert_eq!(request, b"rest of the request");
}

/// An instance may answer without having read the request, and close.
#[rstest]
#[tokio::test]
async fn response_to_an_unread_request_is_complete() {
    let (mut stream, mut end, _peer) = open_pair().await;
    let response = pattern(256 * 1024);
    let expected = response.clone();
    let answering = tokio::spawn(async move {
        end.write_all(&response).await.unwrap();
        end.shutdown().await.unwrap();
        end
    });
    sleep(Duration::from_millis(20)).await;
    let mut received = Vec::new();
    within(stream.read_to_end(&mut received)).await.unwrap();
    assert!(received == expected);
    drop(within(answering).await.unwrap());
    let writes = async { while stream.write_all(&[0; 1024]).await.is_ok() {} };
    within(writes).await;
}

#[rstest]
#[tokio::test]
async fn reset_of_the_instance_is_no_end_of_file() {
    let (mut stream, mut end, _peer) = open_pair().await;
    end.write_all(b"part of a response").await.unwrap();
    let mut part = [0; 18];
    within(stream.read_exact(&mut part)).await.unwrap();
    end.set_zero_linger().unwrap();
    drop(end);
    let error = within(stream.read(&mut [0; 16])).await.unwrap_err();
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    let error = within(stream.write_all(b"more")).await.unwrap_err();
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
}

#[rstest]
#[tokio::test]
async fn reset_is_seen_after_the_client_has_ended_its_side() {
    let (mut stream, end, _peer) = open_pair().await;
    stream.shutdown().await.unwrap();
    end.set_zero_linger().unwrap();
    drop(end);
    let error = within(stream.read(&mut [0; 16])).await.unwrap_err();
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
}

#[rstest]
#[tokio::test]
async fn drop_of_the_server_resets_its_tunnels() {
    let (mut stream, mut end, peer) = open_pair().await;
    drop(peer);
    let error = within(stream.read(&mut [0; 16])).await.unwrap_err();
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    let _ = within(end.read(&mut [0; 16])).await;
}

/// Every socket of the peer closes at once, as when its process dies.
#[rstest]
#[tokio::test]
async fn death_of_the_peer_is_no_end_of_file() {
    let (listener, address) = instance().await;
    let runtime = Runtime::new().unwrap();
    let (tx, rx) = mpsc::channel();
    runtime.spawn(async move {
        let peer = peer(8).await;
        tx.send(peer.address().clone()).unwrap();
        std::future::pending::<()>().await;
    });
    let peer_address = rx.recv().unwrap();
    let mut stream = client().open(&peer_address, &target(&address)).await.unwrap();
    let (mut end, _) = within(listener.accept()).await.unwrap();
    end.write_all(b"part").await.unwrap();
    within(stream.read_exact(&mut [0; 4])).await.unwrap();
    runtime.shutdown_background();
    let error = within(stream.read(&mut [0; 16])).await.unwrap_err();
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
}

/// What the client is doing when it leaves, and whether the instance reads.
#[rstest]
#[case::idle(false, 0)]
#[case::after_its_end(true, 0)]
#[case::while_the_instance_does_not_read(false, 8 * 1024 * 1024)]
#[tokio::test]
async fn drop_of_the_client_ends_the_connection_to_the_instance(
    #[case] ends_first: bool,
    #[case] unread_bytes: usize,
) {
    let (mut stream, mut end, _peer) = open_pair().await;
    if ends_first {
        stream.shutdown().await.unwrap();
        assert_eq!(within(end.read(&mut [0; 16])).await.unwrap(), 0);
    }
    let unread = vec![0; unread_bytes];
    let writing = timeout(Duration::from_millis(300), stream.write_all(&unread));
    assert_eq!(writing.await.is_err(), unread_bytes > 0);
    drop(stream);
    // The instance only writes: its connection fails once the peer has closed it.
    let writes = async {
        while end.write_all(&[0; 1024]).await.is_ok() {
            sleep(Duration::from_millis(1)).await;
        }
    };
    within(writes).await;
}

/// The instance neither reads nor writes, so that only the reset tells the peer of the drop.
#[rstest]
#[case::after_its_end(0)]
#[case::with_unread_bytes(8 * 1024 * 1024)]
#[tokio::test]
async fn drop_of_the_client_frees_the_tunnel_to_a_hung_instance(#[case] unread_bytes: usize) {
    let peer = peer(1).await;
    let (client, (listener, address)) = (client(), instance().await);
    let mut stream = client.open(peer.address(), &target(&address)).await.unwrap();
    let (mut end, _) = within(listener.accept()).await.unwrap();
    if unread_bytes == 0 {
        stream.shutdown().await.unwrap();
        assert_eq!(within(end.read(&mut [0; 16])).await.unwrap(), 0);
    } else {
        let unread = vec![0; unread_bytes];
        let writing = timeout(Duration::from_millis(300), stream.write_all(&unread));
        assert!(writing.await.is_err());
    }
    drop(stream);
    let reopening = async {
        while client.open(peer.address(), &target(&address)).await.is_err() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    within(reopening).await;
    let _ = within(end.read_to_end(&mut Vec::new())).await;
}

#[rstest]
#[tokio::test]
async fn drop_during_a_response_ends_the_connection_to_the_instance() {
    let (stream, mut end, _peer) = open_pair().await;
    let writing = tokio::spawn(async move { while end.write_all(&[0; 4096]).await.is_ok() {} });
    sleep(Duration::from_millis(100)).await;
    drop(stream);
    within(writing).await.unwrap();
}

#[rstest]
#[tokio::test]
async fn drop_while_opening_frees_the_tunnel() {
    let peer = peer(1).await;
    let (client, echo) = (client(), echo_instance().await);
    let hanging = TunnelTarget { instance: "hang".to_owned(), address: echo.clone() };
    let opening = client.open(peer.address(), &hanging);
    assert!(timeout(Duration::from_millis(200), opening).await.is_err());
    let reopening = async {
        while client.open(peer.address(), &target(&echo)).await.is_err() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    within(reopening).await;
}
