//! Error responses of a node to invalid requests: stable codes, the outcome `not-run`, and limits
//! on the size and duration of the input.

use {
    reqwest::{Client, Response, StatusCode},
    rstest::rstest,
    serde_json::Value,
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::TcpStream,
        time::timeout,
    },
    turmerictack_standin::{
        fleet::{Fleet, OPERATOR_KEY},
        fleet_config::{FleetConfig, caller_key},
    },
};

async fn assert_rejected(response: Response, status: StatusCode, code: &str) {
    assert_eq!(response.status(), status);
    assert_eq!(response.headers()["turmerictack-outcome"], "not-run");
    assert!(response.headers().contains_key("turmerictack-request-id"));
    let body: Value = response.json().await.expect("a rejection has a JSON body");
    assert_eq!(body["error"]["code"], code);
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_rejected_with_a_code() {
    let config = FleetConfig { nodes: 1, groups: 1, booking_services: 1, ..FleetConfig::default() };
    let fleet = Fleet::spawn(config).await.unwrap();
    assert!(fleet.await_open("assistant", 1, Duration::from_secs(20)).await);
    let node = fleet.node("n1").unwrap();
    let http = Client::builder().no_proxy().build().unwrap();
    let chat = format!("http://{}/v1/chat/completions", node.caller_address);
    let body = r#"{"model": "assistant", "messages": [], "max_tokens": 2}"#;
    let key = caller_key("member");
    let post = || http.post(&chat).bearer_auth(&key);

    let response = http.post(&chat).body(body).send().await.unwrap();
    assert_rejected(response, StatusCode::UNAUTHORIZED, "unauthorized").await;
    let response = http.post(&chat).bearer_auth("wrong").body(body).send().await.unwrap();
    assert_rejected(response, StatusCode::UNAUTHORIZED, "unauthorized").await;
    let response = post().body("{").send().await.unwrap();
    assert_rejected(response, StatusCode::BAD_REQUEST, "bad_request").await;
    let response = post().body(body.replace("assistant", "oracle")).send().await.unwrap();
    assert_rejected(response, StatusCode::NOT_FOUND, "not_found").await;
    let response = post().header("turmerictack-rank", "royal").body(body).send().await.unwrap();
    assert_rejected(response, StatusCode::BAD_REQUEST, "bad_request").await;
    let response = post().body("x".repeat(9 << 20)).send().await;
    if let Ok(response) = response {
        assert_rejected(response, StatusCode::PAYLOAD_TOO_LARGE, "too_large").await;
    }
    let response = post().body(body).send().await.unwrap();
    assert_eq!(response.status(), StatusCode::OK);
    let completion: Value = response.json().await.unwrap();
    assert_eq!(completion["choices"][0]["finish_reason"], "stop");
    assert_eq!(completion["usage"]["completion_tokens"], 2);

    let status = format!("http://{}/status", node.operator_address);
    let response = http.get(&status).bearer_auth("wrong").send().await.unwrap();
    assert_eq!(response.status(), StatusCode::UNAUTHORIZED);
    let response = http.get(&status).bearer_auth(OPERATOR_KEY).send().await.unwrap();
    assert_eq!(response.status(), StatusCode::OK);
}

/// A request whose body never arrives completely fails with status 400, however little arrived.
#[rstest]
#[case::some(r#"{"model": "assistant", "#)]
#[case::one_byte("{")]
#[case::nothing("")]
#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_request_body_times_out(#[case] part: &str) {
    let config = FleetConfig { nodes: 1, groups: 0, booking_services: 1, ..FleetConfig::default() };
    let fleet = Fleet::spawn(config).await.unwrap();
    let mut stream = TcpStream::connect(&fleet.node("n1").unwrap().caller_address).await.unwrap();
    let key = caller_key("member");
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n\
         content-length: 1000\r\n\r\n{part}"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut buf = vec![0; 64];
    let read = timeout(Duration::from_secs(30), stream.read(&mut buf)).await;
    let count = read.expect("the node must not wait forever").unwrap();
    assert!(buf[..count].starts_with(b"HTTP/1.1 400"));
}

/// Connections that operators keep open, and connections that callers open and close meanwhile.
///
/// They are so many that the node's internal connections behind both listeners, from the acceptor
/// to the HTTP server, get some source ports in common.
const KEPT_CONNECTIONS: usize = 40;
const SHORT_CONNECTIONS: usize = 4000;

/// Sends a request on an open connection and returns the protocol and status of the response.
async fn send_request(stream: &mut TcpStream, path: &str, key: &str) -> String {
    let head = format!("GET {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("the node accepts a request");
    let mut buf = vec![0; 64 * 1024];
    let count = stream.read(&mut buf).await.expect("the node responds");
    String::from_utf8_lossy(&buf[..count.min(12)]).into_owned()
}

/// Closing a caller connection must not remove the state of an operator connection with the same
/// source port, whose requests would then be rejected as unauthorized.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn closed_caller_connections_do_not_affect_operators() {
    let config = FleetConfig { nodes: 1, groups: 0, booking_services: 1, ..FleetConfig::default() };
    let fleet = Fleet::spawn(config).await.unwrap();
    let node = fleet.node("n1").unwrap();
    let mut kept_streams = Vec::new();
    for _ in 0..KEPT_CONNECTIONS {
        let mut stream = TcpStream::connect(&node.operator_address).await.unwrap();
        assert_eq!(send_request(&mut stream, "/burn", OPERATOR_KEY).await, "HTTP/1.1 200");
        kept_streams.push(stream);
    }
    for _ in 0..SHORT_CONNECTIONS {
        let mut stream = TcpStream::connect(&node.caller_address).await.unwrap();
        assert_eq!(send_request(&mut stream, "/healthz", "none").await, "HTTP/1.1 200");
    }
    let mut rejected = 0;
    for stream in &mut kept_streams {
        let status_line = send_request(stream, "/burn", OPERATOR_KEY).await;
        rejected += usize::from(status_line != "HTTP/1.1 200");
    }
    println!("{rejected} of {KEPT_CONNECTIONS} requests rejected");
    assert_eq!(rejected, 0);
}
