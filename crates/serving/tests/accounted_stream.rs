//! Client connections that read no more than there is room for, and end when their client has to go.

#![allow(clippy::unwrap_used, reason = "test helpers panic on failure, as tests do")]

use {
    cadence::{NopMetricSink, StatsdClient},
    rstest::rstest,
    std::{io::ErrorKind, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _, DuplexStream, duplex},
        time::timeout,
    },
    turmerictack_model::clock::SystemClock,
    turmerictack_serving::{
        accounted_stream::AccountedStream,
        client_gate::{ClientGate, ConnectionHold},
        client_memory::{AccountConfig, ClientLimits, ConnectionCosts},
        request_account::RequestAccount,
    },
};

const KIB: usize = 1024;
const PIPE_BYTES: usize = 1024 * KIB;
const MAX_HEAD_BYTES: usize = 16 * KIB;
const SHORT: Duration = Duration::from_millis(200);
const LONG: Duration = Duration::from_secs(10);

/// Account with room for one request with a long head beside the idle connections.
fn open_gate() -> Arc<ClientGate> {
    let costs = ConnectionCosts {
        idle: 16 * KIB,
        request: 8 * KIB,
        long_head: 40 * KIB,
        response: 16 * KIB,
        stream_backlog: 16 * KIB,
    };
    let limits = ClientLimits { memory: Some(2 * 96 * KIB), sockets: None };
    let config = AccountConfig { limits, costs, min_age: SHORT, ..AccountConfig::default() };
    let metrics = StatsdClient::from_sink("", NopMetricSink);
    ClientGate::open(config, Arc::new(SystemClock::default()), Arc::new(metrics))
}

struct Connection {
    client: DuplexStream,
    stream: AccountedStream<DuplexStream>,
    account: RequestAccount,
    _hold: ConnectionHold,
}

async fn connect(gate: &Arc<ClientGate>, pipe_bytes: usize) -> Connection {
    let hold = gate.admit().await;
    let (client, server) = duplex(pipe_bytes);
    let (stream, account) = AccountedStream::new(server, hold.requests(), MAX_HEAD_BYTES);
    Connection { client, stream, account, _hold: hold }
}

/// Reads until nothing more comes for a while, or `most` bytes have come.
async fn read_available(stream: &mut AccountedStream<DuplexStream>, most: usize) -> usize {
    let (mut buf, mut total) = (vec![0; 16 * KIB], 0);
    while total < most {
        match timeout(SHORT, stream.read(&mut buf)).await {
            Ok(Ok(count @ 1..)) => total += count,
            _ => break,
        }
    }
    total
}

#[rstest]
#[tokio::test]
async fn long_head_is_read_once_there_is_room() {
    let gate = open_gate();
    let mut first = connect(&gate, PIPE_BYTES).await;
    let mut second = connect(&gate, PIPE_BYTES).await;
    for connection in [&mut first, &mut second] {
        connection.client.write_all(&[b'x'; 10 * KIB]).await.unwrap();
    }
    assert_eq!(read_available(&mut first.stream, 10 * KIB).await, 10 * KIB);
    let (guard, begun) = first.account.begin().await;
    begun.unwrap();
    assert_eq!(read_available(&mut second.stream, 10 * KIB).await, 4 * KIB, "there is no room");
    drop(guard);
    first.stream.flush().await.unwrap();
    assert_eq!(read_available(&mut second.stream, 6 * KIB).await, 6 * KIB);
}

#[rstest]
#[tokio::test]
async fn stalled_head_ends_when_others_need_the_memory() {
    let gate = open_gate();
    let mut stalled = connect(&gate, PIPE_BYTES).await;
    stalled.client.write_all(&[b'x'; 10 * KIB]).await.unwrap();
    assert_eq!(read_available(&mut stalled.stream, 10 * KIB).await, 10 * KIB);
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let mut next = connect(&gate, PIPE_BYTES).await;
    next.client.write_all(&[b'x'; 10 * KIB]).await.unwrap();
    let reading = tokio::spawn(async move {
        let result = stalled.stream.read(&mut [0; 16]).await;
        drop(stalled);
        result
    });
    assert_eq!(read_available(&mut next.stream, 10 * KIB).await, 10 * KIB);
    let ended = timeout(LONG, reading).await.unwrap().unwrap();
    assert_eq!(ended.unwrap_err().kind(), ErrorKind::ConnectionAborted);
}

/// Guards against a relay that reads a body faster than its handler, and piles it up between them.
#[rstest]
#[tokio::test]
async fn relay_reads_a_window_ahead_of_its_handler() {
    let gate = open_gate();
    let mut connection = connect(&gate, PIPE_BYTES).await;
    connection.client.write_all(&vec![b'x'; 500 * KIB]).await.unwrap();
    let (_guard, begun) = connection.account.begin_relayed().await;
    begun.unwrap();
    assert_eq!(read_available(&mut connection.stream, PIPE_BYTES).await, 64 * KIB);
    connection.account.record_read(10 * KIB);
    assert_eq!(read_available(&mut connection.stream, PIPE_BYTES).await, 10 * KIB);
    connection.account.record_all_read();
    assert_eq!(read_available(&mut connection.stream, PIPE_BYTES).await, 64 * KIB);
}

/// The bytes behind a head wait for its handler, which may begin later.
#[rstest]
#[tokio::test]
async fn no_more_than_a_head_is_read_without_a_handler() {
    let gate = open_gate();
    let mut connection = connect(&gate, PIPE_BYTES).await;
    connection.client.write_all(&vec![b'x'; 100 * KIB]).await.unwrap();
    assert_eq!(read_available(&mut connection.stream, PIPE_BYTES).await, MAX_HEAD_BYTES);
    let (_guard, begun) = connection.account.begin().await;
    begun.unwrap();
    assert_eq!(read_available(&mut connection.stream, 84 * KIB).await, 84 * KIB);
}

/// Guards against responses that are kept for clients which read nothing.
#[rstest]
#[tokio::test]
async fn client_that_reads_nothing_ends_when_others_need_the_memory() {
    let gate = open_gate();
    let mut blocked = connect(&gate, KIB).await;
    let (guard, begun) = blocked.account.begin().await;
    begun.unwrap();
    blocked.account.reserve_response().await.unwrap();
    blocked.account.set_streaming();
    let writing = tokio::spawn(async move {
        let result = blocked.stream.write_all(&[b'x'; 10 * KIB]).await;
        drop(guard);
        result
    });
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let mut next = connect(&gate, PIPE_BYTES).await;
    next.client.write_all(&[b'x'; 10 * KIB]).await.unwrap();
    let reading = tokio::spawn(async move { read_available(&mut next.stream, 10 * KIB).await });
    let ended = timeout(LONG, writing).await.unwrap().unwrap();
    assert_eq!(ended.unwrap_err().kind(), ErrorKind::ConnectionAborted);
    drop((reading, blocked.client));
}

#[rstest]
#[tokio::test]
async fn connection_serves_any_number_of_requests() {
    let gate = open_gate();
    let mut connection = connect(&gate, PIPE_BYTES).await;
    for is_relayed in [false, true, false, true] {
        connection.client.write_all(&[b'x'; 10 * KIB]).await.unwrap();
        assert_eq!(read_available(&mut connection.stream, 10 * KIB).await, 10 * KIB);
        let (guard, begun) = match is_relayed {
            false => connection.account.begin().await,
            true => connection.account.begin_relayed().await,
        };
        begun.unwrap();
        connection.account.reserve_response().await.unwrap();
        connection.stream.write_all(b"response").await.unwrap();
        drop(guard);
        connection.stream.flush().await.unwrap();
        let mut buf = [0; 8];
        connection.client.read_exact(&mut buf).await.unwrap();
    }
}

/// Guards against a request that is cut off since its connection had been told to close just before.
#[rstest]
#[tokio::test]
async fn connection_that_has_to_close_serves_its_request_first() {
    let gate = open_gate();
    let mut connection = connect(&gate, PIPE_BYTES).await;
    let (guard, begun) = connection.account.begin().await;
    begun.unwrap();
    let account = connection.account.clone();
    let idle = tokio::spawn(async move { account.wait_for_idle().await });
    tokio::time::sleep(SHORT).await;
    assert!(!idle.is_finished());
    drop(guard);
    connection.stream.flush().await.unwrap();
    timeout(LONG, idle).await.unwrap().unwrap();
}
