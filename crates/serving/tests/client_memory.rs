//! Who gets memory and connections of a node, and who has to go.

#![allow(clippy::unwrap_used, reason = "test helpers panic on failure, as tests do")]

use {
    rstest::rstest,
    std::time::{Duration, Instant},
    turmerictack_serving::client_memory::{Admission, ClientLimits, ClientMemory, HolderId, Room},
};

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;
const SECOND: Duration = Duration::from_secs(1);

/// Half of it, 8 MiB, is for clients; 6 MiB of these for large bodies.
const LIMITS: ClientLimits = ClientLimits { memory: Some(16 * MIB), sockets: Some(40) };

/// Opens a body and lets it take and receive `bytes`; its signal is its id.
fn open(memory: &mut ClientMemory<HolderId>, now: Instant, signal: u64, bytes: usize) -> HolderId {
    let id = memory.open_body(now, signal);
    assert_eq!(memory.grow(now, id, bytes), Room::Granted);
    memory.record_progress(now, id, bytes);
    id
}

/// Guards against clients of a node that are closed, or find no room, for the sake of other nodes.
#[rstest]
fn connection_carried_for_another_node_makes_no_client_go() {
    let (mut memory, start) = (ClientMemory::new(LIMITS), Instant::now());
    let stalled = open(&mut memory, start, 1, 6 * MIB);
    let now = start + 2 * SECOND;
    assert_eq!(memory.open_carried(now, 128 * KIB), None);
    assert_eq!(memory.used(), 6 * MIB);
    memory.release(stalled);
    let carried = memory.open_carried(now, 128 * KIB).unwrap();
    assert_eq!(memory.used(), 128 * KIB);
    memory.release(carried);
    assert_eq!(memory.used(), 0);
}

/// Guards against other nodes that take all that a node has for its own clients.
#[rstest]
#[case::memory(Some(160 * MIB), None, Some(160))]
#[case::sockets(Some(160 * MIB), Some(1_000), Some(77))]
#[case::little(Some(MIB / 2), None, Some(1))]
#[case::no_bound(None, None, None)]
fn connections_carried_for_other_nodes_leave_most_to_clients(
    #[case] memory: Option<usize>,
    #[case] sockets: Option<usize>,
    #[case] expected: Option<usize>,
) {
    let limits = ClientLimits { memory, sockets };
    assert_eq!(limits.carried_connections(128 * KIB), expected);
}

#[rstest]
fn stalled_body_goes_before_slow_and_quick_ones() {
    let (mut memory, start) = (ClientMemory::new(LIMITS), Instant::now());
    let quick = open(&mut memory, start, 1, 2 * MIB);
    let slow = open(&mut memory, start, 2, MIB);
    open(&mut memory, start, 3, 2 * MIB);
    let now = start + 2 * SECOND;
    memory.record_progress(now, quick, 2 * MIB);
    memory.record_progress(now, slow, MIB);
    let new = memory.open_body(now, 4);
    assert_eq!(memory.grow(now, new, 2 * MIB), Room::Evict(3));
    // What the stalled one holds suffices, so no other one goes while it ends.
    assert_eq!(memory.grow(now, new, 2 * MIB), Room::Wait);
}

#[rstest]
fn slowest_body_goes_once_none_is_stalled() {
    let (mut memory, start) = (ClientMemory::new(LIMITS), Instant::now());
    let quick = open(&mut memory, start, 1, 4 * MIB);
    let slow = open(&mut memory, start, 2, 2 * MIB);
    let now = start + 2 * SECOND;
    memory.record_progress(now, quick, 4 * MIB);
    memory.record_progress(now, slow, 2 * MIB);
    assert_eq!(memory.grow(now, quick, 5 * MIB), Room::Evict(2));
    assert_eq!(memory.grow(now, slow, 3 * MIB), Room::Refused, "it has been told to go");
    memory.release(slow);
    assert_eq!(memory.grow(now, quick, 5 * MIB), Room::Granted);
}

#[rstest]
fn slowest_body_is_refused_when_it_asks_itself() {
    let (mut memory, start) = (ClientMemory::new(LIMITS), Instant::now());
    let quick = open(&mut memory, start, 1, 5 * MIB);
    let slow = open(&mut memory, start, 2, MIB);
    let now = start + 2 * SECOND;
    memory.record_progress(now, quick, 5 * MIB);
    memory.record_progress(now, slow, MIB);
    assert_eq!(memory.grow(now, slow, 2 * MIB), Room::Refused);
}

/// Guards against quick clients that lose their bodies because a burst fills the budget.
#[rstest]
fn young_bodies_wait_and_are_refused_in_the_end() {
    let (mut memory, start) = (ClientMemory::new(LIMITS), Instant::now());
    let first = open(&mut memory, start, 1, 6 * MIB);
    memory.complete(first, 6 * MIB);
    let second = memory.open_body(start, 2);
    assert_eq!(memory.grow(start, second, MIB), Room::Wait);
    assert_eq!(memory.grow(start + SECOND, second, MIB), Room::Wait);
    assert_eq!(memory.grow(start + 2 * SECOND, second, MIB), Room::Refused);
}

#[rstest]
fn complete_body_stays_until_it_is_released() {
    let (mut memory, start) = (ClientMemory::new(LIMITS), Instant::now());
    let complete = open(&mut memory, start, 1, 6 * MIB);
    assert!(memory.complete(complete, 6 * MIB));
    let now = start + 5 * SECOND;
    let next = memory.open_body(now, 2);
    assert_eq!(memory.grow(now, next, MIB), Room::Wait);
    memory.release(complete);
    assert_eq!(memory.grow(now, next, MIB), Room::Granted);
    assert_eq!(memory.used(), MIB);
}

/// Responses that clients don't read are delivered, but leave less room for bodies.
#[rstest]
fn response_is_counted_until_it_is_written() {
    let (mut memory, start) = (ClientMemory::new(LIMITS), Instant::now());
    let response = memory.hold_response(start, 7 * MIB);
    let body = memory.open_body(start, 1);
    assert_eq!(memory.grow(start, body, MIB), Room::Wait);
    memory.release(response);
    assert_eq!(memory.grow(start, body, MIB), Room::Granted);
}

#[rstest]
fn small_bodies_have_room_beside_large_ones() {
    let (mut memory, start) = (ClientMemory::new(LIMITS), Instant::now());
    let large = open(&mut memory, start, 1, 6 * MIB);
    let other = memory.open_body(start, 2);
    assert_eq!(memory.grow(start, other, 65 * KIB), Room::Wait);
    for signal in 3..35 {
        open(&mut memory, start, signal, 64 * KIB);
    }
    let small = memory.open_body(start, 35);
    assert_eq!(memory.grow(start, small, 64 * KIB), Room::Wait, "all is used");
    assert_eq!(memory.grow(start + SECOND, small, 64 * KIB), Room::Evict(1));
    memory.release(large);
    assert_eq!(memory.grow(start + SECOND, small, 64 * KIB), Room::Granted);
}

#[rstest]
fn largest_body_is_granted_in_calm() {
    let limits = ClientLimits { memory: Some(160 * MIB), sockets: Some(3_900) };
    let (mut memory, start) = (ClientMemory::new(limits), Instant::now());
    for connection in 0..2_000 {
        assert!(matches!(memory.admit(start, || connection), Admission::Admitted(_)));
    }
    open(&mut memory, start, 1, 4 * MIB);
}

/// Three quarters of the sockets, 30, are for clients.
#[rstest]
fn connection_that_is_idle_longest_makes_room() {
    let (mut memory, start) = (ClientMemory::new(LIMITS), Instant::now());
    assert_eq!(memory.max_connections(), 30);
    let admitted: Vec<HolderId> = (0..30)
        .map(|n| match memory.admit(start + n * SECOND, || u64::from(n)) {
            Admission::Admitted(id) => id,
            other => panic!("{other:?}"),
        })
        .collect();
    memory.set_idle_since(admitted[0], None);
    let now = start + 60 * SECOND;
    assert_eq!(memory.admit(now, || 99), Admission::Evict(1));
    assert_eq!(memory.admit(now, || 99), Admission::Wait, "one is about to close");
    memory.close(admitted[1]);
    assert!(matches!(memory.admit(now, || 99), Admission::Admitted(_)));
}

#[rstest]
fn busy_and_new_connections_are_not_closed() {
    let (mut memory, start) = (ClientMemory::new(LIMITS), Instant::now());
    for n in 0..30 {
        let Admission::Admitted(id) = memory.admit(start, || n) else { panic!("no place") };
        if n < 29 {
            memory.set_idle_since(id, None);
        }
    }
    assert_eq!(memory.admit(start + SECOND / 2, || 99), Admission::Wait);
    assert_eq!(memory.admit(start + SECOND, || 99), Admission::Evict(29));
}

#[rstest]
fn settings_without_limits_bound_nothing() {
    let (mut memory, start) = (ClientMemory::new(ClientLimits::default()), Instant::now());
    for signal in 0..100 {
        open(&mut memory, start, signal, 1024 * MIB);
    }
}
