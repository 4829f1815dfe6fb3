//! What an engine's report tells of its group, and what it costs when nothing is new.

use {
    rstest::rstest,
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::TcpStream,
        time::sleep,
    },
    turmerictack_standin::{fleet::Fleet, fleet_config::FleetConfig},
    turmerictack_upstream::{
        engine::{Engine as _, MemberReport},
        http::HttpUpstreams,
    },
};

/// Bytes both ways of a report that is not new; the bounds on control count on it.
const PROBE_BYTES: usize = 232;

/// Longest age of what a first member passes on of members that answer.
const HEARD_AGE: Duration = Duration::from_millis(1000);

async fn fleet() -> Fleet {
    let plan = FleetConfig { nodes: 1, groups: 1, booking_services: 1, ..FleetConfig::default() };
    let fleet = Fleet::spawn(plan).await.expect("a fleet starts");
    assert!(fleet.await_open("assistant", 1, Duration::from_secs(20)).await);
    sleep(Duration::from_millis(500)).await;
    fleet
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn the_first_member_passes_on_what_the_others_say_until_one_is_silent() {
    let mut fleet = fleet().await;
    let (leader, group, epoch) = fleet.first_group().await.unwrap();
    let address = fleet.process_mut(&leader).unwrap().public_address.clone();
    let engines = HttpUpstreams::new(Duration::from_secs(1)).unwrap();
    let report = engines.report(&address).await.unwrap();
    let others: Vec<&MemberReport> = report.member_reports.iter().collect();
    assert_eq!(others.len(), 3);
    for member in &others {
        let claim = member.membership.as_ref().expect("it belongs to the group");
        assert_eq!((claim.group.as_str(), claim.epoch), (group.as_str(), epoch));
    }
    assert!(report.member_reports_age > Duration::ZERO && report.member_reports_age < HEARD_AGE);
    let again = engines.report(&address).await.unwrap();
    assert_eq!(
        again.member_reports, report.member_reports,
        "a report that is not new lost what it passes on"
    );
    let gone = others[0].instance.clone();
    fleet.process_mut(&gone).unwrap().signal(nix::sys::signal::Signal::SIGKILL).unwrap();
    sleep(Duration::from_secs(2)).await;
    let report = engines.report(&address).await.unwrap();
    assert!(report.member_reports.iter().all(|m| m.instance != gone), "a dead member is passed on");
    assert!(!report.ready);
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_report_that_is_not_new_costs_few_bytes() {
    let mut fleet = fleet().await;
    let (leader, _, _) = fleet.first_group().await.unwrap();
    let address = fleet.process_mut(&leader).unwrap().public_address.clone();
    let mut stream = TcpStream::connect(&address).await.unwrap();
    let head = "GET /member HTTP/1.1\r\naccept: */*\r\nhost: ";
    let ask = format!("{head}{address}\r\n\r\n");
    let whole = exchange(&mut stream, &ask).await;
    let tag = whole.lines().find_map(|l| l.strip_prefix("etag: ")).expect("a tag").to_owned();
    let ask = format!("{head}{address}\r\nif-none-match: {tag}\r\n\r\n");
    let short = exchange(&mut stream, &ask).await;
    assert!(short.starts_with("HTTP/1.1 304"), "{short}");
    println!("{} bytes both ways", ask.len() + short.len());
    assert!(ask.len() + short.len() <= PROBE_BYTES, "{ask}{short}");
}

async fn exchange(stream: &mut TcpStream, ask: &str) -> String {
    stream.write_all(ask.as_bytes()).await.expect("the engine takes a request");
    let mut buf = vec![0; 64 * 1024];
    let count = stream.read(&mut buf).await.expect("the engine answers");
    String::from_utf8_lossy(&buf[..count]).into_owned()
}
