//! Which clients go for memory and for places, beyond those that send bodies.

#![allow(clippy::unwrap_used, reason = "test helpers panic on failure, as tests do")]

use {
    rstest::rstest,
    std::time::{Duration, Instant},
    turmerictack_serving::client_memory::{
        AccountConfig, Admission, ClientLimits, ClientMemory, ConnectionCosts, HolderId, Room,
    },
};

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;
const SECOND: Duration = Duration::from_secs(1);

/// Half of it, 8 MiB, is for clients; 30 of the sockets are.
const LIMITS: ClientLimits = ClientLimits { memory: Some(16 * MIB), sockets: Some(40) };

/// Signals are numbers that tell clients apart.
fn admit(memory: &mut ClientMemory<u64>, now: Instant, signal: u64) -> HolderId {
    match memory.admit(now, || signal) {
        Admission::Admitted(id) => id,
        other => panic!("{other:?}"),
    }
}

/// Takes all places but `free`, with connections that have served a request.
fn fill(memory: &mut ClientMemory<u64>, now: Instant, free: usize) -> Vec<HolderId> {
    let busy = memory.max_connections() - free;
    let admitted: Vec<HolderId> = (0..busy).map(|n| admit(memory, now, n as u64)).collect();
    for id in &admitted {
        memory.begin_request(now, *id).unwrap();
    }
    admitted
}

/// Guards against a crowd of stalled bodies that keeps all places (review case 9).
#[rstest]
fn stalled_request_goes_for_a_place_before_idle_connections() {
    let (mut memory, start) = (ClientMemory::new(LIMITS), Instant::now());
    let connections = fill(&mut memory, start, 0);
    memory.end_request(start, connections[3]);
    let stalled = memory.open_body(start, 100);
    assert_eq!(memory.grow(start, stalled, KIB), Room::Granted);
    assert_eq!(memory.admit(start + SECOND / 2, || 99), Admission::Wait, "all are young");
    assert_eq!(memory.admit(start + SECOND, || 99), Admission::Evict(100));
    assert_eq!(memory.admit(start + SECOND, || 99), Admission::Wait, "one is about to go");
    memory.release(stalled);
    assert_eq!(memory.admit(start + SECOND, || 99), Admission::Evict(3));
}

/// An ordinary client keeps its connection, one that has sent nothing does not.
#[rstest]
fn connection_without_any_request_goes_before_one_that_is_idle_longer() {
    let (mut memory, start) = (ClientMemory::new(LIMITS), Instant::now());
    let connections = fill(&mut memory, start, 1);
    memory.end_request(start, connections[3]);
    admit(&mut memory, start + SECOND, 100);
    assert_eq!(memory.admit(start + 2 * SECOND, || 99), Admission::Evict(100));
}

/// A body that comes slowly but steadily is no stalled one.
#[rstest]
fn steady_body_goes_after_slow_ones_and_idle_connections() {
    let (mut memory, start) = (ClientMemory::new(LIMITS), Instant::now());
    let connections = fill(&mut memory, start, 0);
    memory.end_request(start, connections[3]);
    let now = start + 4 * SECOND;
    for (signal, received) in [(100, 64 * KIB), (101, 512)] {
        let body = memory.open_body(start, signal);
        memory.record_progress(now, body, received);
    }
    assert_eq!(memory.admit(now, || 99), Admission::Evict(101), "it receives 128 bytes a second");
    assert_eq!(memory.admit(now, || 99), Admission::Wait);
}

#[rstest]
fn places_are_kept_free_of_clients_that_do_not_get_on_only() {
    let (mut memory, start) = (ClientMemory::new(LIMITS), Instant::now());
    let connections = fill(&mut memory, start, 4);
    admit(&mut memory, start, 100);
    memory.end_request(start, connections[3]);
    let now = start + SECOND;
    // An eighth of 30 places.
    assert_eq!(memory.keep_places_free(now), None, "three are free");
    admit(&mut memory, now, 101);
    assert_eq!(memory.keep_places_free(now), Some(100));
    assert_eq!(memory.keep_places_free(now), None, "one is about to go");
    memory.end_request(now, connections[4]);
    admit(&mut memory, now, 102);
    let later = now + SECOND / 2;
    assert_eq!(memory.keep_places_free(later), None, "idle connections are not closed ahead");
}

#[rstest]
fn request_holds_more_step_by_step_until_it_ends() {
    let (mut memory, now) = (ClientMemory::new(LIMITS), Instant::now());
    let costs = memory.costs();
    let connection = admit(&mut memory, now, 1);
    assert_eq!(memory.used(), costs.idle);
    let head = memory.open_head(now, connection, 2);
    assert_eq!(memory.grow(now, head, costs.request + costs.long_head), Room::Granted);
    let (request, held) = memory.begin_request(now, connection).unwrap();
    assert_eq!((request, held), (head, costs.request + costs.long_head));
    assert_eq!(memory.grow(now, request, held + costs.response), Room::Granted);
    assert_eq!(memory.used(), costs.idle + held + costs.response);
    memory.end_request(now, connection);
    assert_eq!(memory.used(), costs.idle);
    memory.begin_request(now, connection).unwrap();
    memory.close(connection);
    assert_eq!(memory.used(), 0);
}

/// Guards against long heads that nobody counts (review case 7).
#[rstest]
fn unfinished_head_goes_for_memory_and_a_complete_one_does_not() {
    let (mut memory, start) = (ClientMemory::new(LIMITS), Instant::now());
    let connections: Vec<HolderId> = (0..2).map(|n| admit(&mut memory, start, n)).collect();
    let complete = memory.open_head(start, connections[0], 100);
    assert_eq!(memory.grow(start, complete, 64 * KIB), Room::Granted);
    memory.begin_request(start, connections[0]).unwrap();
    let unfinished = memory.open_head(start, connections[1], 101);
    assert_eq!(memory.grow(start, unfinished, 64 * KIB), Room::Granted);
    let response = memory.hold_response(start, 8 * MIB - 200 * KIB);
    let now = start + SECOND;
    let body = memory.open_body(now, 102);
    assert_eq!(memory.grow(now, body, 64 * KIB), Room::Evict(101));
    memory.release(response);
}

/// Guards against clients that leave large responses unread until the process ends.
#[rstest]
fn client_that_reads_nothing_goes_before_one_that_reads_slowly() {
    let (mut memory, start) = (ClientMemory::new(LIMITS), Instant::now());
    for (signal, sent) in [(1, 0), (2, 100 * KIB)] {
        memory.hold_response(start, 3 * MIB);
        let backlog = memory.open_backlog(start, signal, 0, 3 * MIB);
        memory.record_progress(start + SECOND, backlog, sent);
    }
    let now = start + 2 * SECOND - Duration::from_millis(1);
    let next = memory.open_response(now);
    assert_eq!(memory.grow(now, next, 3 * MIB), Room::Evict(1));
    // What goes with it suffices.
    assert_eq!(memory.grow(now, next, 3 * MIB), Room::Wait);
}

/// The response to a request that has run waits while clients read others, rather than being lost.
#[rstest]
fn response_waits_for_others_that_are_being_read() {
    let (mut memory, start) = (ClientMemory::<u64>::new(LIMITS), Instant::now());
    let complete = memory.open_response(start);
    assert_eq!(memory.grow(start, complete, 5 * MIB), Room::Granted);
    assert!(memory.complete(complete, 5 * MIB));
    let next = memory.open_response(start);
    assert_eq!(memory.grow(start, next, 3 * MIB), Room::Wait);
    memory.release(complete);
    assert_eq!(memory.grow(start, next, 3 * MIB), Room::Granted);
}

/// Faulty upstreams that send without an end must not keep each other waiting.
#[rstest]
fn response_is_refused_if_only_incomplete_ones_hold_the_memory() {
    let (mut memory, start) = (ClientMemory::<u64>::new(LIMITS), Instant::now());
    let first = memory.open_response(start);
    assert_eq!(memory.grow(start, first, 5 * MIB), Room::Granted);
    let second = memory.open_response(start);
    assert_eq!(memory.grow(start, second, 3 * MIB), Room::Refused);
}

/// What the system receives for 1,024 connections that are not accepted yet stays within an eighth of
/// the memory, unless that is very small.
#[rstest]
#[case::unbounded(None, None)]
#[case::small(Some(48), Some(16 * KIB))]
#[case::smallest_machine(Some(160), Some(20 * KIB))]
#[case::large(Some(4_096), Some(64 * KIB))]
fn receive_buffers_follow_from_the_memory(
    #[case] memory_mb: Option<usize>,
    #[case] bytes: Option<usize>,
) {
    let limits = ClientLimits { memory: memory_mb.map(|mb| mb * MIB), sockets: None };
    assert_eq!(limits.receive_buffer(), bytes);
}

/// Clients, upstreams and the rest together have no more sockets than there are.
#[rstest]
#[case(500)]
#[case(3_900)]
fn connections_to_upstreams_leave_sockets_for_the_rest(#[case] sockets: usize) {
    let limits = ClientLimits { memory: None, sockets: Some(sockets) };
    let clients = ClientMemory::<u64>::new(limits).max_connections();
    let upstreams = limits.upstream_connections().unwrap();
    assert_eq!(clients + upstreams + 96, sockets);
}

#[rstest]
fn account_may_be_opened_for_fewer_connections_and_younger_victims() {
    let config = AccountConfig {
        limits: LIMITS,
        costs: ConnectionCosts { idle: MIB, ..ConnectionCosts::default() },
        connections: 3,
        min_age: SECOND / 10,
    };
    let (mut memory, start) = (ClientMemory::with_config(config), Instant::now());
    assert_eq!(memory.max_connections(), 3);
    for signal in 0..3 {
        admit(&mut memory, start, signal);
    }
    assert_eq!(memory.admit(start, || 99), Admission::Wait);
    assert_eq!(memory.admit(start + SECOND / 10, || 99), Admission::Evict(0));
}

/// A connection that was told to close and got a request meanwhile must not keep others waiting.
#[rstest]
fn connection_that_serves_a_request_before_it_closes_blocks_nobody() {
    let (mut memory, start) = (ClientMemory::new(LIMITS), Instant::now());
    let connections = fill(&mut memory, start, 0);
    memory.end_request(start, connections[3]);
    memory.end_request(start, connections[4]);
    let now = start + SECOND;
    assert_eq!(memory.admit(now, || 99), Admission::Evict(3));
    assert_eq!(memory.admit(now, || 99), Admission::Wait);
    memory.begin_request(now, connections[3]).unwrap();
    assert_eq!(memory.admit(now, || 99), Admission::Evict(4));
}

/// Many that wait for room ask again whenever something is released; each search goes through all
/// that is held.
#[rstest]
fn search_in_vain_is_not_repeated_at_once() {
    let (mut memory, start) = (ClientMemory::new(LIMITS), Instant::now());
    let first = memory.open_body(start, 1);
    assert_eq!(memory.grow(start, first, 6 * MIB), Room::Granted);
    let second = memory.open_body(start, 2);
    let almost = start + SECOND - Duration::from_millis(10);
    assert_eq!(memory.grow(almost, second, 3 * MIB), Room::Wait);
    assert_eq!(memory.grow(start + SECOND, second, 3 * MIB), Room::Wait);
    let later = start + SECOND + Duration::from_millis(50);
    assert_eq!(memory.grow(later, second, 3 * MIB), Room::Evict(1));
}
