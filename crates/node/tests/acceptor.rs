//! The acceptor before an HTTP listener: bounds on connections and on what they bring.

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
fn a_request_is_given_up_only_while_no_handler_has_it(limits: Limits) {
    let start = Instant::now();
    let mut connections = Connections::default();
    connections.open(connection_id(), start);
    connections.record_request_bytes(connection_id(), start);
    connections.record_request_bytes(connection_id(), start + limits.request / 2);
    let late = start + limits.request;
    let mut other = Connections::default();
    other.open(connection_id(), start);
    other.record_request_bytes(connection_id(), start);
    assert!(other.begin_handling(connection_id()));
    assert_eq!(
        other.check_timeout(connection_id(), &limits, late),
        TimeoutCheck::RecheckAt(late + limits.request)
    );
    assert_eq!(
        connections.check_timeout(connection_id(), &limits, late),
        TimeoutCheck::Close(TimeoutKind::Request)
    );
    assert!(
        !connections.begin_handling(connection_id()),
        "a handler took what was refused as not run"
    );
}

#[rstest]
fn an_idle_connection_is_given_up_and_an_answer_begins_the_time_anew(limits: Limits) {
    let start = Instant::now();
    let mut connections = Connections::default();
    connections.open(connection_id(), start);
    connections.record_request_bytes(connection_id(), start);
    assert!(connections.begin_handling(connection_id()));
    let answered = start + limits.idle * 3;
    connections.record_response_bytes(connection_id(), answered);
    let before = answered + limits.idle - Duration::from_millis(1);
    assert!(matches!(
        connections.check_timeout(connection_id(), &limits, before),
        TimeoutCheck::RecheckAt(_)
    ));
    let after = answered + limits.idle;
    assert_eq!(
        connections.check_timeout(connection_id(), &limits, after),
        TimeoutCheck::Close(TimeoutKind::Idle)
    );
    assert!(connections.is_empty());
}

/// The system gives one port to connections with different far ends; a caller that left took the
/// entry of an operator's connection with it, whose requests were refused from then on.
#[rstest]
fn connections_of_two_listeners_may_come_from_one_port() {
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

/// An acceptor before a listener that the test plays.
async fn open(limits: Limits) -> (RunningAcceptor, String, TcpListener, Arc<Tables>) {
    let inner = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let me = NodeInfo {
        node: "n1".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        data_centre: "norte-1".to_owned(),
        incarnation: 1,
        state: NodeState::Alive,
    };
    let tables = Arc::new(Tables::new(me, 1, Instant::now()));
    let clock = Arc::new(SystemClock::default());
    let any = "127.0.0.1:0".to_owned();
    let acceptor =
        Acceptor::bind(&any, Listener::Callers, limits, Arc::clone(&tables), clock).await;
    let acceptor = acceptor.expect("a free port");
    let address = acceptor.address().expect("the acceptor listens").to_string();
    let acceptor = acceptor.spawn(inner.local_addr().expect("it listens"));
    (acceptor, address, inner, tables)
}

/// Reads until the connection ends.
async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let read = timeout(TEST_TIMEOUT, stream.read_to_end(&mut answer)).await;
    let _ = read.expect("the acceptor waits for ever");
    String::from_utf8_lossy(&answer).into_owned()
}

#[rstest]
#[case::head("POST / HT")]
#[case::start_of_body("POST / HTTP/1.1\r\ncontent-length: 100\r\n\r\n{")]
#[tokio::test]
async fn a_request_that_stalls_is_refused_as_not_run(limits: Limits, #[case] part: &str) {
    let (_acceptor, address, inner, tables) = open(limits).await;
    let mut caller = TcpStream::connect(&address).await.unwrap();
    let (_held, _) = inner.accept().await.unwrap();
    caller.write_all(part.as_bytes()).await.unwrap();
    let answer = read_to_end(&mut caller).await;
    assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
    assert!(answer.contains("turmerictack-outcome: not-run"), "{answer}");
    assert!(answer.contains(r#""code":"bad_request""#), "{answer}");
    assert!(tables.connections.lock().is_empty());
}

/// A caller that asks for leave to send a body and then sends none is a stalled one.
#[rstest]
#[tokio::test]
async fn an_interim_answer_ends_no_wait(limits: Limits) {
    let (_acceptor, address, inner, _tables) = open(limits).await;
    let mut caller = TcpStream::connect(&address).await.unwrap();
    let (mut held, _) = inner.accept().await.unwrap();
    caller.write_all(b"POST / HTTP/1.1\r\nexpect: 100-continue\r\n\r\n").await.unwrap();
    held.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await.unwrap();
    let answer = read_to_end(&mut caller).await;
    assert!(answer.contains("HTTP/1.1 400 "), "{answer}");
}

#[rstest]
#[tokio::test]
async fn a_request_that_a_handler_took_may_wait(limits: Limits) {
    let (_acceptor, address, inner, tables) = open(limits).await;
    let mut caller = TcpStream::connect(&address).await.unwrap();
    let (mut held, from) = inner.accept().await.unwrap();
    caller.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    let mut buf = [0; 4];
    held.read_exact(&mut buf).await.unwrap();
    assert!(tables.take_request(Listener::Callers, Some(from)));
    sleep(limits.request * 5).await;
    held.write_all(b"whole").await.unwrap();
    drop(held);
    assert_eq!(read_to_end(&mut caller).await, "whole");
}

#[rstest]
#[tokio::test]
async fn connections_beyond_the_bound_wait_to_be_let_in(limits: Limits) {
    let limits = Limits { request: TEST_TIMEOUT, ..limits };
    let (_acceptor, address, inner, _tables) = open(limits).await;
    let first = TcpStream::connect(&address).await.unwrap();
    let (_held, _) = inner.accept().await.unwrap();
    let _second = TcpStream::connect(&address).await.unwrap();
    let (_also_held, _) = inner.accept().await.unwrap();
    let _third = TcpStream::connect(&address).await.unwrap();
    let early = timeout(Duration::from_millis(300), inner.accept()).await;
    assert!(early.is_err(), "a third connection was let in beside two");
    drop(first);
    timeout(TEST_TIMEOUT, inner.accept()).await.expect("the place was never given on").unwrap();
}

/// Such a caller would hold up a planned stop for ever.
#[rstest]
#[tokio::test]
async fn a_caller_that_reads_nothing_is_given_up(limits: Limits) {
    let (_acceptor, address, inner, _tables) = open(limits).await;
    let _caller = TcpStream::connect(&address).await.unwrap();
    let (mut held, _) = inner.accept().await.unwrap();
    let endless = async {
        let chunk = vec![b'x'; 1 << 20];
        while held.write_all(&chunk).await.is_ok() {}
    };
    timeout(TEST_TIMEOUT, endless).await.expect("the answer is held for ever");
}

#[rstest]
#[tokio::test]
async fn closing_lets_answers_end(limits: Limits) {
    let (acceptor, address, inner, _tables) = open(limits).await;
    let mut caller = TcpStream::connect(&address).await.unwrap();
    let (mut held, _) = inner.accept().await.unwrap();
    let finished = tokio::spawn(acceptor.finish());
    sleep(Duration::from_millis(50)).await;
    assert!(TcpStream::connect(&address).await.is_err(), "a closed acceptor lets callers in");
    held.write_all(b"the last bytes").await.unwrap();
    drop(held);
    assert_eq!(read_to_end(&mut caller).await, "the last bytes");
    finished.await.unwrap();
}
