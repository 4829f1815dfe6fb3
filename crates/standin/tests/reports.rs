//! Health reports of engines: the member reports that the first member of a group includes, and the
//! size of an unchanged report.

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

/// Bytes of request and response of an unchanged report. The limits on control traffic are
/// calculated with this value.
const PROBE_BYTES: usize = 232;

/// Maximum age of the member reports that a first member includes while all members respond.
const MAX_MEMBER_REPORTS_AGE: Duration = Duration::from_millis(1000);

async fn fleet() -> Fleet {
    let config = FleetConfig { nodes: 1, groups: 1, booking_services: 1, ..FleetConfig::default() };
    let fleet = Fleet::spawn(config).await.expect("a fleet starts");
    assert!(fleet.await_open("assistant", 1, Duration::from_secs(20)).await);
    sleep(Duration::from_millis(500)).await;
    fleet
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn the_first_member_includes_reports_of_the_others_until_one_stops_responding() {
    let mut fleet = fleet().await;
    let (first_member, group, epoch) = fleet.first_group().await.unwrap();
    let address = fleet.process_mut(&first_member).unwrap().public_address.clone();
    let engines = HttpUpstreams::new(Duration::from_secs(1)).unwrap();
    let report = engines.report(&address).await.unwrap();
    let others: Vec<&MemberReport> = report.member_reports.iter().collect();
    assert_eq!(others.len(), 3);
    for member in &others {
        let claim = member.membership.as_ref().expect("the member belongs to the group");
        assert_eq!((claim.group.as_str(), claim.epoch), (group.as_str(), epoch));
    }
    assert!(
        report.member_reports_age > Duration::ZERO
            && report.member_reports_age < MAX_MEMBER_REPORTS_AGE
    );
    let again = engines.report(&address).await.unwrap();
    assert_eq!(
        again.member_reports, report.member_reports,
        "an unchanged report lost its member reports"
    );
    let gone = others[0].instance.clone();
    fleet.process_mut(&gone).unwrap().signal(nix::sys::signal::Signal::SIGKILL).unwrap();
    sleep(Duration::from_secs(2)).await;
    let report = engines.report(&address).await.unwrap();
    assert!(
        report.member_reports.iter().all(|m| m.instance != gone),
        "the report of a dead member is included"
    );
    assert!(!report.ready);
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn an_unchanged_report_fits_the_probe_size() {
    let mut fleet = fleet().await;
    let (first_member, _, _) = fleet.first_group().await.unwrap();
    let address = fleet.process_mut(&first_member).unwrap().public_address.clone();
    let mut stream = TcpStream::connect(&address).await.unwrap();
    let head = "GET /member HTTP/1.1\r\naccept: */*\r\nhost: ";
    let request = format!("{head}{address}\r\n\r\n");
    let full_report = exchange(&mut stream, &request).await;
    let tag = full_report
        .lines()
        .find_map(|l| l.strip_prefix("etag: "))
        .expect("the report has an etag")
        .to_owned();
    let request = format!("{head}{address}\r\nif-none-match: {tag}\r\n\r\n");
    let not_modified = exchange(&mut stream, &request).await;
    assert!(not_modified.starts_with("HTTP/1.1 304"), "{not_modified}");
    println!("{} bytes of request and response", request.len() + not_modified.len());
    assert!(request.len() + not_modified.len() <= PROBE_BYTES, "{request}{not_modified}");
}

async fn exchange(stream: &mut TcpStream, request: &str) -> String {
    stream.write_all(request.as_bytes()).await.expect("the engine accepts a request");
    let mut buf = vec![0; 64 * 1024];
    let count = stream.read(&mut buf).await.expect("the engine responds");
    String::from_utf8_lossy(&buf[..count]).into_owned()
}
