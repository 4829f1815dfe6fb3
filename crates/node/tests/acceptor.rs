//! Acceptor in front of an HTTP listener: limits on connections and timeouts of requests.

use {
    rstest::{fixture, rstest},
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::{TcpListener, TcpStream},
        time::{sleep, timeout},
    },
    turmerictack_membership::gossip::{NodeInfo, NodeState},
    turmerictack_model::clock::SystemClock,
    turmerictack_node::{
        front::{
            acceptor::{Acceptor, RunningAcceptor},
            connections::{ConnectionId, Connections, Limits, Listener, TimeoutCheck, TimeoutKind},
        },
        tables::Tables,
    },
};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn connection_id() -> ConnectionId {
    ConnectionId { listener: Listener::Callers, address: SocketAddr::from(([127, 0, 0, 1], 4000)) }
}

#[fixture]
fn limits() -> Limits {
    Limits {
        connections: 2,
        request: Duration::from_millis(100),
        idle: Duration::from_secs(5),
        write: Duration::from_millis(200),
    }
}

#[rstest]
fn a_request_times_out_only_until_a_handler_takes_it(limits: Limits) {
    let start = Instant::now();
    let mut connections = Connections::default();
    connections.open(connection_id(), start);
    connections.record_request_bytes(connection_id(), start);
    connections.record_request_bytes(connection_id(), start + limits.request / 2);
    let expiry = start + limits.request;
    let mut other = Connections::default();
    other.open(connection_id(), start);
    other.record_request_bytes(connection_id(), start);
    assert!(other.begin_handling(connection_id()));
    assert_eq!(
        other.check_timeout(connection_id(), &limits, expiry),
        TimeoutCheck::RecheckAt(expiry + limits.request)
    );
    assert_eq!(
        connections.check_timeout(connection_id(), &limits, expiry),
        TimeoutCheck::Close(TimeoutKind::Request)
    );
    assert!(
        !connections.begin_handling(connection_id()),
        "a handler took a request that had timed out"
    );
}

#[rstest]
fn an_idle_connection_times_out_and_a_response_restarts_the_timeout(limits: Limits) {
    let start = Instant::now();
    let mut connections = Connections::default();
    connections.open(connection_id(), start);
    connections.record_request_bytes(connection_id(), start);
    assert!(connections.begin_handling(connection_id()));
    let responded_at = start + limits.idle * 3;
    connections.record_response_bytes(connection_id(), responded_at);
    let before = responded_at + limits.idle - Duration::from_millis(1);
    assert!(matches!(
        connections.check_timeout(connection_id(), &limits, before),
        TimeoutCheck::RecheckAt(_)
    ));
    let after = responded_at + limits.idle;
    assert_eq!(
        connections.check_timeout(connection_id(), &limits, after),
        TimeoutCheck::Close(TimeoutKind::Idle)
    );
    assert!(connections.is_empty());
}

/// The system may assign the same local port to connections with different remote ends. When the id
/// left out the listener, a caller that disconnected removed the entry of an operator's connection,
/// and the operator's later requests were rejected.
#[rstest]
fn connections_to_two_listeners_may_have_the_same_remote_port() {
    let start = Instant::now();
    let operator = ConnectionId { listener: Listener::Operators, ..connection_id() };
    let mut connections = Connections::default();
    connections.open(operator, start);
    connections.open(connection_id(), start);
    assert_eq!(connections.len(), 2);
    connections.close(connection_id());
    assert!(!connections.begin_handling(connection_id()));
    assert!(connections.begin_handling(operator));
}

/// Starts an acceptor in front of a listener that the test serves.
async fn start_acceptor(limits: Limits) -> (RunningAcceptor, String, TcpListener, Arc<Tables>) {
    let server = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let local_node = NodeInfo {
        node: "n1".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        data_centre: "norte-1".to_owned(),
        incarnation: 1,
        state: NodeState::Alive,
    };
    let tables = Arc::new(Tables::new(local_node, 1, Instant::now()));
    let clock = Arc::new(SystemClock::default());
    let any = "127.0.0.1:0".to_owned();
    let acceptor =
        Acceptor::bind(&any, Listener::Callers, limits, Arc::clone(&tables), clock).await;
    let acceptor = acceptor.expect("a free port");
    let address = acceptor.address().expect("the acceptor listens").to_string();
    let acceptor = acceptor.spawn(server.local_addr().expect("it listens"));
    (acceptor, address, server, tables)
}

/// Reads until the connection ends.
async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut response = Vec::new();
    let read = timeout(TEST_TIMEOUT, stream.read_to_end(&mut response)).await;
    let _ = read.expect("the connection was not closed in time");
    String::from_utf8_lossy(&response).into_owned()
}

#[rstest]
#[case::head("POST / HT")]
#[case::start_of_body("POST / HTTP/1.1\r\ncontent-length: 100\r\n\r\n{")]
#[tokio::test]
async fn a_stalled_request_is_rejected_as_not_run(limits: Limits, #[case] start_of_request: &str) {
    let (_acceptor, address, server, tables) = start_acceptor(limits).await;
    let mut caller = TcpStream::connect(&address).await.unwrap();
    let (_server_side, _) = server.accept().await.unwrap();
    caller.write_all(start_of_request.as_bytes()).await.unwrap();
    let response = read_to_end(&mut caller).await;
    assert!(response.starts_with("HTTP/1.1 400 "), "{response}");
    assert!(response.contains("turmerictack-outcome: not-run"), "{response}");
    assert!(response.contains(r#""code":"bad_request""#), "{response}");
    assert!(tables.connections.lock().is_empty());
}

/// A caller that sends `expect: 100-continue` and then no body is treated as stalled.
#[rstest]
#[tokio::test]
async fn an_interim_response_does_not_end_the_request_timeout(limits: Limits) {
    let (_acceptor, address, server, _tables) = start_acceptor(limits).await;
    let mut caller = TcpStream::connect(&address).await.unwrap();
    let (mut server_side, _) = server.accept().await.unwrap();
    caller.write_all(b"POST / HTTP/1.1\r\nexpect: 100-continue\r\n\r\n").await.unwrap();
    server_side.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await.unwrap();
    let response = read_to_end(&mut caller).await;
    assert!(response.contains("HTTP/1.1 400 "), "{response}");
}

#[rstest]
#[tokio::test]
async fn a_request_taken_by_a_handler_does_not_time_out(limits: Limits) {
    let (_acceptor, address, server, tables) = start_acceptor(limits).await;
    let mut caller = TcpStream::connect(&address).await.unwrap();
    let (mut server_side, from) = server.accept().await.unwrap();
    caller.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    let mut buf = [0; 4];
    server_side.read_exact(&mut buf).await.unwrap();
    assert!(tables.take_request(Listener::Callers, Some(from)));
    sleep(limits.request * 5).await;
    server_side.write_all(b"whole").await.unwrap();
    drop(server_side);
    assert_eq!(read_to_end(&mut caller).await, "whole");
}

#[rstest]
#[tokio::test]
async fn connections_beyond_the_limit_wait_to_be_accepted(limits: Limits) {
    let limits = Limits { request: TEST_TIMEOUT, ..limits };
    let (_acceptor, address, server, _tables) = start_acceptor(limits).await;
    let first = TcpStream::connect(&address).await.unwrap();
    let (_server_side, _) = server.accept().await.unwrap();
    let _second = TcpStream::connect(&address).await.unwrap();
    let (_other_server_side, _) = server.accept().await.unwrap();
    let _third = TcpStream::connect(&address).await.unwrap();
    let early = timeout(Duration::from_millis(300), server.accept()).await;
    assert!(early.is_err(), "a third connection was accepted with a limit of two");
    drop(first);
    timeout(TEST_TIMEOUT, server.accept())
        .await
        .expect("no waiting connection was accepted after one had closed")
        .unwrap();
}

/// A caller that never reads its response would otherwise delay a drain forever.
#[rstest]
#[tokio::test]
async fn a_caller_that_reads_nothing_times_out(limits: Limits) {
    let (_acceptor, address, server, _tables) = start_acceptor(limits).await;
    let _caller = TcpStream::connect(&address).await.unwrap();
    let (mut server_side, _) = server.accept().await.unwrap();
    let endless = async {
        let chunk = vec![b'x'; 1 << 20];
        while server_side.write_all(&chunk).await.is_ok() {}
    };
    timeout(TEST_TIMEOUT, endless)
        .await
        .expect("the connection of a caller that reads nothing was not closed");
}

#[rstest]
#[tokio::test]
async fn closing_lets_responses_finish(limits: Limits) {
    let (acceptor, address, server, _tables) = start_acceptor(limits).await;
    let mut caller = TcpStream::connect(&address).await.unwrap();
    let (mut server_side, _) = server.accept().await.unwrap();
    let finished = tokio::spawn(acceptor.finish());
    sleep(Duration::from_millis(50)).await;
    assert!(TcpStream::connect(&address).await.is_err(), "a closed acceptor accepts connections");
    server_side.write_all(b"the last bytes").await.unwrap();
    drop(server_side);
    assert_eq!(read_to_end(&mut caller).await, "the last bytes");
    finished.await.unwrap();
}
