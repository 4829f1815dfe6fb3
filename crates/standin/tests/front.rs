//! What a node says to callers that err: stable codes, `not-run`, bounded input.

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

async fn refused(response: Response, status: StatusCode, code: &str) {
    assert_eq!(response.status(), status);
    assert_eq!(response.headers()["turmerictack-outcome"], "not-run");
    assert!(response.headers().contains_key("turmerictack-request-id"));
    let body: Value = response.json().await.expect("a refusal has a JSON body");
    assert_eq!(body["error"]["code"], code);
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn callers_that_err_are_told_so() {
    let plan = FleetConfig { nodes: 1, groups: 1, booking_services: 1, ..FleetConfig::default() };
    let fleet = Fleet::spawn(plan).await.unwrap();
    assert!(fleet.await_open("assistant", 1, Duration::from_secs(20)).await);
    let node = fleet.node("n1").unwrap();
    let http = Client::builder().no_proxy().build().unwrap();
    let chat = format!("http://{}/v1/chat/completions", node.caller_address);
    let body = r#"{"model": "assistant", "messages": [], "max_tokens": 2}"#;
    let key = caller_key("member");
    let post = || http.post(&chat).bearer_auth(&key);

    let response = http.post(&chat).body(body).send().await.unwrap();
    refused(response, StatusCode::UNAUTHORIZED, "unauthorized").await;
    let response = http.post(&chat).bearer_auth("wrong").body(body).send().await.unwrap();
    refused(response, StatusCode::UNAUTHORIZED, "unauthorized").await;
    let response = post().body("{").send().await.unwrap();
    refused(response, StatusCode::BAD_REQUEST, "bad_request").await;
    let response = post().body(body.replace("assistant", "oracle")).send().await.unwrap();
    refused(response, StatusCode::NOT_FOUND, "not_found").await;
    let response = post().header("turmerictack-rank", "royal").body(body).send().await.unwrap();
    refused(response, StatusCode::BAD_REQUEST, "bad_request").await;
    let response = post().body("x".repeat(9 << 20)).send().await;
    if let Ok(response) = response {
        refused(response, StatusCode::PAYLOAD_TOO_LARGE, "too_large").await;
    }
    let response = post().body(body).send().await.unwrap();
    assert_eq!(response.status(), StatusCode::OK);
    let whole: Value = response.json().await.unwrap();
    assert_eq!(whole["choices"][0]["finish_reason"], "stop");
    assert_eq!(whole["usage"]["completion_tokens"], 2);

    let status = format!("http://{}/status", node.operator_address);
    let response = http.get(&status).bearer_auth("wrong").send().await.unwrap();
    assert_eq!(response.status(), StatusCode::UNAUTHORIZED);
    let response = http.get(&status).bearer_auth(OPERATOR_KEY).send().await.unwrap();
    assert_eq!(response.status(), StatusCode::OK);
}

/// A body that never comes whole is given up, however little of it came.
#[rstest]
#[case::some(r#"{"model": "assistant", "#)]
#[case::one_byte("{")]
#[case::nothing("")]
#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_stalls_is_given_up(#[case] part: &str) {
    let plan = FleetConfig { nodes: 1, groups: 0, booking_services: 1, ..FleetConfig::default() };
    let fleet = Fleet::spawn(plan).await.unwrap();
    let mut stream = TcpStream::connect(&fleet.node("n1").unwrap().caller_address).await.unwrap();
    let key = caller_key("member");
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n\
         content-length: 1000\r\n\r\n{part}"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut answer = vec![0; 64];
    let read = timeout(Duration::from_secs(30), stream.read(&mut answer)).await;
    let count = read.expect("the node waits for ever").unwrap();
    assert!(answer[..count].starts_with(b"HTTP/1.1 400"));
}

/// Connections that operators keep open, and connections of callers that come and go meanwhile; so
/// many that the system gives some of both one port of the node's own.
const KEPT: usize = 40;
const PASSING: usize = 4000;

/// Asks on an open connection and gives the first bytes of the answer.
async fn ask(stream: &mut TcpStream, path: &str, key: &str) -> String {
    let head = format!("GET {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("the node takes a request");
    let mut answer = vec![0; 64 * 1024];
    let count = stream.read(&mut answer).await.expect("the node answers");
    String::from_utf8_lossy(&answer[..count.min(12)]).into_owned()
}

/// Callers that leave take nothing from operators: their requests were refused as unauthorized.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn callers_that_leave_disturb_no_operator() {
    let plan = FleetConfig { nodes: 1, groups: 0, booking_services: 1, ..FleetConfig::default() };
    let fleet = Fleet::spawn(plan).await.unwrap();
    let node = fleet.node("n1").unwrap();
    let mut kept = Vec::new();
    for _ in 0..KEPT {
        let mut stream = TcpStream::connect(&node.operator_address).await.unwrap();
        assert_eq!(ask(&mut stream, "/burn", OPERATOR_KEY).await, "HTTP/1.1 200");
        kept.push(stream);
    }
    for _ in 0..PASSING {
        let mut stream = TcpStream::connect(&node.caller_address).await.unwrap();
        assert_eq!(ask(&mut stream, "/healthz", "none").await, "HTTP/1.1 200");
    }
    let mut refused = 0;
    for stream in &mut kept {
        let answer = ask(stream, "/burn", OPERATOR_KEY).await;
        refused += usize::from(answer != "HTTP/1.1 200");
    }
    println!("{refused} of {KEPT} refused");
    assert_eq!(refused, 0);
}
