//! When an incomplete listing of the store is read again, and what is kept meanwhile.

#![allow(clippy::unwrap_used, reason = "test helpers panic on failure, as tests do")]

use {
    rand::SeedableRng as _,
    rand_pcg::Pcg64Mcg,
    rstest::rstest,
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
    turmerictack_model::store_version::StoreVersion,
    turmerictack_serving::{
        evacuations::Evacuations,
        relay::{ObjectChange, RelayError, facts::Facts, relisting::Relisting},
    },
};

fn at(version: u64) -> StoreVersion {
    StoreVersion::without_era(version)
}

fn written(name: &str, version: u64) -> ObjectChange {
    ObjectChange { name: name.to_owned(), version: at(version), value: Some(String::new()) }
}

/// Nodes read 2,000 times a second at most, all together; a listing may take a hundred calls.
#[rstest]
fn repetitions_become_rare() {
    let start = Instant::now();
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut relisting = Relisting::default();
    assert!(!relisting.is_pending() && !relisting.is_due(start));
    assert_eq!(relisting.time_left(start), Duration::MAX);
    let mut now = start;
    let mut pauses = Vec::new();
    for _ in 0..100 {
        let pause = relisting.record_incomplete(now, &mut rng);
        assert!(relisting.is_pending() && !relisting.is_due(now));
        assert_eq!(relisting.time_left(now), pause);
        now += pause;
        assert!(relisting.is_due(now));
        pauses.push(pause);
    }
    assert!(pauses[0] >= Duration::from_secs(2) && pauses[0] <= Duration::from_secs(4));
    assert!(pauses[10..].iter().all(|pause| *pause >= Duration::from_secs(60)));
    relisting.record_complete();
    assert!(!relisting.is_pending());
}

#[rstest]
fn incomplete_listing_removes_nothing_and_is_not_passed_on() {
    let now = Instant::now();
    let mut facts = Facts::default();
    facts.set_watching(true);
    facts.record_listing(now, at(5), vec![written("a", 3), written("b", 4)]);
    facts.record_read(now);
    assert!(facts.changes_since(now, now, at(5)).is_ok());
    assert!(facts.record_incomplete_listing(now, at(9), &[written("b", 7), written("c", 8)]));
    assert_eq!(facts.version(), at(9));
    assert!(["a", "b", "c"].iter().all(|name| facts.knows(name)));
    assert_eq!(facts.changes_since(now, now, at(5)), Err(RelayError::NotWatching));
    assert!(!facts.record_incomplete_listing(now, at(8), &[written("d", 8)]));
    assert!(!facts.knows("d"));
    // A complete listing makes the node a relay again, from its version on.
    facts.record_listing(now, at(12), vec![written("b", 7)]);
    facts.set_watching(true);
    assert!(!facts.knows("a"));
    assert_eq!(facts.changes_since(now, now, at(9)), Err(RelayError::HistoryTooShort));
    assert!(facts.changes_since(now, now, at(12)).is_ok());
}

#[rstest]
fn evacuation_that_an_incomplete_listing_lacks_goes_on() {
    let now = Instant::now();
    let mut evacuations = Evacuations::unread();
    let listed = |names: &[&str]| -> BTreeSet<String> {
        names.iter().map(|name| (*name).to_owned()).collect()
    };
    assert_eq!(evacuations.extend(now, &listed(&["z-a"])), ["z-a"]);
    assert!(!evacuations.is_unread());
    assert_eq!(evacuations.extend(now, &listed(&["z-b"])), ["z-b"]);
    assert!(evacuations.is_evacuated("z-a"));
    assert_eq!(evacuations.next_end(), None);
    evacuations.replace_all(now, &listed(&["z-b"]), now);
    assert_eq!(evacuations.end_due(now), ["z-a"]);
}
