//! Values of another writer in the store, of any number and size, and the decisions that use them.

#![allow(clippy::unwrap_used, reason = "test helpers may panic")]

mod common;

use {
    common::{DATA_CENTRE, addresses, config},
    rand::SeedableRng as _,
    rand_pcg::Pcg64Mcg,
    rstest::rstest,
    std::{
        collections::BTreeSet,
        sync::Arc,
        time::{Duration, Instant},
    },
    turmerictack_model::store_version::StoreVersion,
    turmerictack_serving::{
        attempts::Attempts,
        directory::{Upstream, upstream_key},
        load::{LoadTracker, Selection},
        membership::{LeaderStatus, PeerTable},
        relay::{ObjectChange, RelayError, facts::Facts},
    },
};

const OWN: &str = "10.0.0.0:1";
const MESSAGE_BYTES: usize = 2 * 1024 * 1024;

fn at(version: u64) -> StoreVersion {
    StoreVersion::without_era(version)
}

/// An object with a value of this many bytes.
fn written(name: &str, version: u64, bytes: usize) -> ObjectChange {
    ObjectChange { name: name.to_owned(), version: at(version), value: Some("x".repeat(bytes)) }
}

fn watching(now: Instant) -> Facts {
    let mut facts = Facts::default();
    facts.set_watching(true);
    facts.record_listing(now, at(1), Vec::new());
    facts.record_read(now);
    facts
}

fn bytes(changes: &[ObjectChange]) -> usize {
    changes.iter().map(|c| c.name.len() + c.value.as_ref().map_or(0, String::len)).sum()
}

/// Guards against values for other nodes that use up the memory, or don't fit into one message.
#[rstest]
fn changes_kept_for_other_nodes_are_bounded_by_their_size() {
    let now = Instant::now();
    let mut facts = watching(now);
    for version in 2..40 {
        let change = written(&format!("o-{version}"), version, 1024 * 1024);
        facts.record_changes(at(version), vec![change]);
    }
    let all = facts.changes_since(now, now, at(1)).map(|set| set.changes.len());
    assert_eq!(all, Err(RelayError::HistoryTooShort), "a node that lags behind reads the store");
    let last = facts.changes_since(now, now, at(38)).unwrap();
    assert_eq!(last.changes.len(), 1);
    let mut kept = at(38);
    while let Ok(set) = facts.changes_since(now, now, StoreVersion::without_era(kept.version - 1)) {
        assert!(bytes(&set.changes) < MESSAGE_BYTES, "{} bytes", bytes(&set.changes));
        kept.version -= 1;
    }
    assert!(kept < at(39));
}

/// One object that changes often takes the room of its last change.
#[rstest]
fn replaced_changes_take_no_room() {
    let now = Instant::now();
    let mut facts = watching(now);
    for version in 2..40 {
        facts.record_changes(at(version), vec![written("main", version, 1024 * 1024)]);
    }
    assert_eq!(facts.changes_since(now, now, at(1)).unwrap().changes.len(), 1);
}

/// Entries that nobody used end without a word to other nodes.
#[rstest]
fn end_of_an_unknown_object_is_not_passed_on() {
    let now = Instant::now();
    let mut facts = watching(now);
    let ended = |version: u64| ObjectChange {
        name: format!("foreign-{version}"),
        version: at(version),
        value: None,
    };
    facts.record_changes(at(5_000), (2..5_000).map(ended).collect());
    let answer = facts.changes_since(now, now, at(1));
    assert_eq!(answer.as_ref().map(|set| set.changes.len()), Ok(0));
    let set = answer.unwrap();
    let mut follower = Facts::default();
    follower.record_listing(now, at(1), Vec::new());
    assert_eq!(follower.follow_relay(now, now, set), Ok(Vec::new()));
    assert_eq!(follower.version(), at(5_000));
}

fn select(slots: u32, reserved_share: f64) -> Selection {
    let upstream = Arc::new(Upstream {
        instance: "i".to_owned(),
        key: upstream_key("i"),
        address: String::new(),
        data_centre: DATA_CENTRE.to_owned(),
        slots,
        group: None,
        is_incomplete: false,
        started_ms: u64::MAX,
    });
    let (now, mut rng) = (Instant::now(), Pcg64Mcg::seed_from_u64(1));
    let mut loads = LoadTracker::default();
    loads.acquire(now, &upstream, u32::MAX);
    loads.select(now, &[upstream], &[], DATA_CENTRE, reserved_share, &mut rng)
}

#[rstest]
#[case::most(u32::MAX, 0.0, true)]
#[case::most_with_reserve(u32::MAX, 0.25, true)]
#[case::all_reserved(u32::MAX, 1.0, false)]
#[case::none(0, 0.0, false)]
fn any_number_of_slots_can_be_used(
    #[case] slots: u32,
    #[case] reserved_share: f64,
    #[case] has_room: bool,
) {
    let selected = select(slots, reserved_share);
    assert_eq!(matches!(selected, Selection::Upstream(_)), has_room, "{selected:?}");
}

#[rstest]
fn any_weights_divide_the_requests() {
    let mut route = config(1).find_route(common::HOST, "/look/").unwrap().clone();
    let service = |name: &str| (name.to_owned(), u32::MAX);
    route.services = vec![service("a"), service("b"), service("c"), service("d")];
    let draws = (0..4_000_u32).map(|at| at.wrapping_mul(1_073_741));
    let chosen: Vec<&str> = draws.map(|d| route.select_service(d).unwrap().as_str()).collect();
    for name in ["a", "b", "c", "d"] {
        let count = chosen.iter().filter(|c| **c == name).count();
        assert!((900..=1_100).contains(&count), "{count} of 4000 to {name}");
    }
}

#[rstest]
fn any_number_of_attempts_can_be_allowed() {
    assert!(Attempts::new(true, u32::MAX).can_send_again());
    assert!(Attempts::new(true, u32::MAX).can_fail_over());
}

const ALIVE: LeaderStatus = LeaderStatus { eligible: true, is_leader: false, defers: false };

/// Node `OWN` of three that all know each other, after `time` beside strange addresses.
fn table_after(time: Duration, strangers: usize) -> (PeerTable, Instant) {
    let start = Instant::now();
    let nodes = addresses(3);
    let mut listed = nodes.clone();
    listed.extend((0..strangers).map(|at| format!("10.9.{}.{}:1", at / 250, at % 250)));
    let mut table = PeerTable::default();
    table.set_registered(start, listed.clone());
    let now = start + time;
    for (at, address) in nodes.iter().enumerate().skip(1) {
        table.record_heartbeat(now, &format!("n{at}"), address, 1, ALIVE);
    }
    table.set_registered(now, listed);
    (table, now)
}

/// Guards against strange addresses on the list of nodes that make heartbeats rare, so that the death
/// of the leader goes unnoticed.
#[rstest]
fn strange_addresses_do_not_delay_heartbeats(#[values(0, 20, 5_000)] strangers: usize) {
    let (table, now) = table_after(Duration::from_secs(40), strangers);
    assert_eq!(table.heartbeat_timeout(), Duration::from_secs(1));
    assert_eq!(table.live_count(now), 3);
    assert_eq!(table.live_count(now + Duration::from_millis(1_100)), 1);
}

/// An address that has said nothing so far may be that of a node that was cut off.
#[rstest]
fn strange_addresses_get_a_heartbeat_now_and_then() {
    let (mut table, _) = table_after(Duration::from_secs(40), 20);
    let (mut sent, mut to_strangers) = (BTreeSet::new(), 0);
    for _ in 0..200 {
        let batch = table.next_heartbeat_batch(&OWN.to_owned()).addresses;
        assert!(batch.len() <= 3, "{batch:?}");
        to_strangers += batch.iter().filter(|a| a.starts_with("10.9.")).count();
        sent.extend(batch);
    }
    assert_eq!(sent.iter().filter(|a| a.starts_with("10.9.")).count(), 20);
    assert!(to_strangers <= 50, "{to_strangers} in 10 s");
    assert!(!sent.contains(OWN));
}

/// A node that was silent takes part as soon as it says something.
#[rstest]
fn silent_node_is_taken_up_again() {
    let (mut table, now) = table_after(Duration::from_secs(40), 20);
    let back = "10.9.0.7:1".to_owned();
    let is_regular = |table: &PeerTable| table.heartbeat_addresses(&OWN.to_owned()).contains(&back);
    assert!(!is_regular(&table));
    table.record_heartbeat(now, &"n-back".to_owned(), &back, 1, ALIVE);
    assert!(is_regular(&table));
    assert_eq!(table.live_count(now), 4);
}
