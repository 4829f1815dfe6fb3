//! Ports reserved for a fleet are not assigned to any other socket.

use {
    rstest::rstest,
    std::{collections::BTreeSet, net::TcpListener},
    turmerictack_standin::port::ReservedPort,
};

/// Number of ports that a few hundred concurrent fleets use. If ports were only chosen at random,
/// some of that many would be equal.
const PORTS: usize = 700;

#[rstest]
#[tokio::test]
async fn a_reserved_port_is_unique_and_can_be_listened_on() {
    let ports: Vec<ReservedPort> = (0..PORTS).map(|_| ReservedPort::bind().unwrap()).collect();
    let numbers: BTreeSet<u16> = ports.iter().map(ReservedPort::number).collect();
    assert_eq!(numbers.len(), PORTS);
    let others: Vec<TcpListener> =
        (0..100).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    for other in &others {
        assert!(!numbers.contains(&other.local_addr().unwrap().port()));
    }
    let first = ports.first().unwrap();
    TcpListener::bind(first.address()).unwrap();
}
