//! Connections between nodes: authentication, response matching, time-outs and bytes on the wire.

use {
    async_trait::async_trait,
    rstest::rstest,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::TcpStream,
        time::timeout,
    },
    turmerictack_protocol::{
        client::{H2PeerClient, PeerClient as _},
        error::PeerError,
        message::{PeerRequest, PeerResponse},
        server::{PeerHandler, PeerServer},
        traffic::Traffic,
    },
};

const KEY: &str = "key that both ends hold";

#[derive(Default)]
struct CountingHandler(AtomicU64);

#[async_trait]
impl PeerHandler for CountingHandler {
    async fn handle(&self, _request: PeerRequest) -> PeerResponse {
        self.0.fetch_add(1, Ordering::SeqCst);
        PeerResponse::ProbeResult(true)
    }
}

async fn server(handler: Arc<dyn PeerHandler>) -> PeerServer {
    let nonce_source = Box::new(|| [7; 16]);
    let address = "127.0.0.1:0".to_owned();
    PeerServer::bind(&address, KEY, nonce_source, handler, Arc::default())
        .await
        .expect("cannot bind a free port")
}

fn client(key: &str) -> H2PeerClient {
    H2PeerClient::new(key, Box::new(|| [9; 16]), Arc::new(Traffic::default()))
}

const REQUEST: PeerRequest = PeerRequest::Settings { known_revision: 0 };

#[rstest]
#[tokio::test]
async fn matching_key_is_accepted() {
    let server = server(Arc::new(CountingHandler::default())).await;
    let response = client(KEY).send(server.address(), &REQUEST).await;
    assert_eq!(response, Ok(PeerResponse::ProbeResult(true)));
}

#[rstest]
#[tokio::test]
async fn wrong_key_is_rejected_before_any_request() {
    let handler = Arc::new(CountingHandler::default());
    let server = server(handler.clone()).await;
    let result = client("another key than the server's").send(server.address(), &REQUEST).await;
    assert_eq!(result, Err(PeerError::Handshake { address: server.address().clone() }));
    assert_eq!(handler.0.load(Ordering::SeqCst), 0);
}

/// Bytes from a peer that has not completed the handshake must not be read as a request; the
/// connection is closed.
#[rstest]
#[case::preface(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec())]
#[case::noise(vec![0xa5; 64 * 1024])]
#[tokio::test]
async fn unauthenticated_bytes_close_the_connection(#[case] bytes: Vec<u8>) {
    let handler = Arc::new(CountingHandler::default());
    let server = server(handler.clone()).await;
    let mut stream = TcpStream::connect(server.address().as_str()).await.unwrap();
    let _ = stream.write_all(&bytes).await;
    let mut rest = Vec::new();
    let closed = timeout(Duration::from_secs(5), stream.read_to_end(&mut rest)).await;
    assert!(closed.is_ok(), "the listener kept the connection open");
    assert_eq!(handler.0.load(Ordering::SeqCst), 0);
}

/// Limit on the bytes of a request and its response, both directions together, when no report has
/// changed. The limits on control traffic assume it.
const MAX_EXCHANGE_BYTES: u64 = 32;

/// Answers each request with its sequence number, and the first one after the client's time-out.
#[derive(Default)]
struct FirstResponseLate(AtomicU64);

#[async_trait]
impl PeerHandler for FirstResponseLate {
    async fn handle(&self, _request: PeerRequest) -> PeerResponse {
        let number = self.0.fetch_add(1, Ordering::SeqCst);
        if number == 0 {
            tokio::time::sleep(Duration::from_millis(600)).await;
        }
        PeerResponse::Unchanged { age: number as u32 }
    }
}

/// Periodic request after 60,000 changes, whose number takes 3 bytes to encode.
const FREQUENT_REQUEST: PeerRequest = PeerRequest::Reports { run: [1; 6], last_change: 60_000 };

#[rstest]
#[tokio::test]
async fn frequent_request_costs_few_bytes() {
    let server = server(Arc::new(CountingHandler::default())).await;
    let traffic = Arc::new(Traffic::default());
    let client = H2PeerClient::new(KEY, Box::new(|| [9; 16]), Arc::clone(&traffic));
    for _ in 0..10 {
        client.send(server.address(), &FREQUENT_REQUEST).await.unwrap();
    }
    let bytes_transferred = || traffic.bytes_sent() + traffic.bytes_received();
    let before = bytes_transferred();
    for _ in 0..100 {
        client.send(server.address(), &FREQUENT_REQUEST).await.unwrap();
    }
    let bytes_per_exchange = (bytes_transferred() - before) / 100;
    println!("{bytes_per_exchange} bytes per exchange");
    assert!(bytes_per_exchange <= MAX_EXCHANGE_BYTES);
}

/// The response to a timed-out request must not be taken for that of the next one. This happens if a
/// persistent stream is reused after a time-out.
#[rstest]
#[tokio::test]
async fn late_response_is_not_taken_for_another_request() {
    let server = server(Arc::new(FirstResponseLate::default())).await;
    let client = client(KEY);
    let first = client.send(server.address(), &FREQUENT_REQUEST).await;
    assert!(matches!(first, Err(PeerError::Timeout { .. })), "{first:?}");
    for number in 1..4 {
        let response = client.send(server.address(), &FREQUENT_REQUEST).await;
        assert_eq!(response, Ok(PeerResponse::Unchanged { age: number }));
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
}

/// A delayed response must not hold up other requests on the same connection.
#[rstest]
#[tokio::test]
async fn concurrent_requests_get_their_own_responses() {
    let server = server(Arc::new(FirstResponseLate::default())).await;
    let client = Arc::new(client(KEY));
    let (address, other) = (server.address().clone(), Arc::clone(&client));
    let late = tokio::spawn(async move { other.send(&address, &FREQUENT_REQUEST).await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    let response = client.send(server.address(), &FREQUENT_REQUEST).await;
    assert_eq!(response, Ok(PeerResponse::Unchanged { age: 1 }));
    assert!(matches!(late.await.unwrap(), Err(PeerError::Timeout { .. })));
}

#[rstest]
#[tokio::test]
async fn closed_port_is_unreachable() {
    let address = "127.0.0.1:1".to_owned();
    let result = client(KEY).send(&address, &REQUEST).await;
    assert_eq!(result, Err(PeerError::Unreachable { address }));
}
