//! Ports that fleets take stay theirs.

use {
    rstest::rstest,
    std::{collections::BTreeSet, net::TcpListener},
    turmerictack_standin::port::ReservedPort,
};

/// Ports of a few hundred fleets at once; by chance alone, some of so many draws would be equal.
const PORTS: usize = 700;

#[rstest]
#[tokio::test]
async fn a_port_is_given_once_and_can_be_listened_on() {
    let held: Vec<ReservedPort> = (0..PORTS).map(|_| ReservedPort::bind().unwrap()).collect();
    let numbers: BTreeSet<u16> = held.iter().map(ReservedPort::number).collect();
    assert_eq!(numbers.len(), PORTS);
    let others: Vec<TcpListener> =
        (0..100).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    for other in &others {
        assert!(!numbers.contains(&other.local_addr().unwrap().port()));
    }
    let first = held.first().unwrap();
    TcpListener::bind(first.address()).unwrap();
}
