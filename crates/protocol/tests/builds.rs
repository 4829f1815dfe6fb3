//! Messages of an earlier build that may run beside this one during an upgrade: bytes that it wrote are
//! read, and this build writes the same.

use {
    bincode::{Decode, Encode},
    bytes::Bytes,
    rstest::rstest,
    std::fmt::Debug,
    turmerictack_protocol::{
        codec::{decode, encode},
        heartbeat::{
            Heartbeat, HeartbeatCrash, HeartbeatLimit, HeartbeatLoad, HeartbeatPace,
            HeartbeatStatement,
        },
        message::{
            PROTOCOL_VERSION, PeerChanges, PeerObjectChange, PeerObjectKind, PeerRequest,
            PeerResponse,
        },
    },
};

/// Heartbeat that build 5181fe8 encoded, in hexadecimal digits.
const HEARTBEAT: &str = "0806656467652d310d31302e302e302e313a39303030fde319d0eb9d0100000464632d3178010001014d03fb8c050100014efd403ec4eb9d0100000101fb98082805fb84030103692d3901040a0201020103000105014f0604020100820100000001";
/// Request for changes of the same build.
const REQUEST: &str = "0401fbc303fb900102";
/// Answer with changes of the same build.
const CHANGES: &str =
    "05fbc5030103692d39fbc40301077b2261223a317dfd351cdcdf02000000fa01fb282302fb8403";

fn heartbeat() -> Heartbeat {
    Heartbeat {
        version: 8,
        node: "edge-1".to_owned(),
        address: "10.0.0.1:9000".to_owned(),
        incarnation: 1_777_777_777_123,
        data_centre: "dc-1".to_owned(),
        capacity: 120,
        has_fresh_view: true,
        leaving: false,
        is_leader: true,
        loads: vec![HeartbeatLoad {
            upstream: 77,
            in_flight: 3,
            prompt_tokens: 1_420,
            progressing: true,
            stalled: false,
        }],
        limits: vec![HeartbeatLimit {
            upstream: 78,
            started_ms: 1_777_777_000_000,
            statement: Some(HeartbeatStatement { rate_thousandths: Some(2_200), age_ms: 40 }),
            recent_sends: 5,
            demand_thousandths: 900,
        }],
        unresponsive: vec!["i-9".to_owned()],
        prompt_crashes: vec![HeartbeatCrash { crash: 4, age_ms: 10, parts: vec![1, 2] }],
        cleared_parts: vec![3],
        request_crashes: Vec::new(),
        cleared_requests: vec![5],
        paces: vec![HeartbeatPace {
            upstream: 79,
            run: 6,
            bound: 4,
            raises: 2,
            late: 1,
            rejected: 0,
            fastest_ms: 130,
            is_listed: true,
            is_waiting: false,
            has_ended: false,
        }],
        lacks_paths: false,
        defers_leadership: true,
    }
}

fn request() -> PeerRequest {
    PeerRequest::Changes { kind: PeerObjectKind::Instances, after: 963, wait_ms: 400, era: 2 }
}

fn changes() -> PeerResponse {
    let name = "i-9".to_owned();
    let change = PeerObjectChange { name, version: 964, value: Some("{\"a\":1}".to_owned()) };
    PeerResponse::Changes(PeerChanges {
        version: 965,
        changes: vec![change],
        digest: 12_345_678_901,
        confirmed_age_ms: 250,
        outage_age_ms: Some(9_000),
        era: 2,
        era_seen_at: 900,
    })
}

fn from_hex(digits: &str) -> Bytes {
    let digit = |c: u8| (c as char).to_digit(16).map_or(0, |d| d as u8);
    digits.as_bytes().chunks(2).map(|pair| digit(pair[0]) << 4 | digit(pair[1])).collect()
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// Guards against an upgrade in which old and new nodes drop each other's messages, and so form two
/// clusters.
#[rstest]
#[case::heartbeat(HEARTBEAT, heartbeat())]
#[case::request_for_changes(REQUEST, request())]
#[case::changes(CHANGES, changes())]
fn messages_are_those_of_the_build_before<T>(#[case] old: &str, #[case] message: T)
where
    T: Encode + Decode<()> + Debug + PartialEq,
{
    assert_eq!(decode::<T>(&from_hex(old)), Ok(message));
    assert_eq!(to_hex(&encode(&decode::<T>(&from_hex(old)).unwrap()).unwrap()), old);
}

#[rstest]
fn handshake_is_that_of_the_build_before() {
    assert_eq!(PROTOCOL_VERSION, 4);
}
