//! A store that goes back to older copies of itself: what nodes take from it, and from each other.

#![allow(clippy::unwrap_used, reason = "test helpers may panic")]

mod common;

use {
    common::{config, plain_instance},
    rand::{RngExt as _, SeedableRng as _},
    rand_pcg::Pcg64Mcg,
    rstest::rstest,
    std::{
        collections::BTreeMap,
        env,
        time::{Duration, Instant},
    },
    turmerictack_model::{ids::Era, store_version::StoreVersion},
    turmerictack_serving::{
        config_state::{ConfigState, KeyFreshness},
        directory::{Directory, Instance},
        relay::{EraStart, ObjectChange, REWRITE_PERIOD, RelayError, facts::Facts},
    },
};

const DEFAULT_HISTORIES: u64 = 200;
const STEP: Duration = Duration::from_millis(100);
const NODES: usize = 4;

fn at(era: Era, version: u64) -> StoreVersion {
    StoreVersion { era, version }
}

fn written(name: &str, version: StoreVersion) -> ObjectChange {
    ObjectChange { name: name.to_owned(), version, value: Some("{}".to_owned()) }
}

fn deleted(name: &str, version: StoreVersion) -> ObjectChange {
    ObjectChange { name: name.to_owned(), version, value: None }
}

/// A node that knows two objects of an era.
fn node(now: Instant, is_watching: bool) -> Facts {
    let mut facts = Facts::default();
    facts.set_watching(is_watching);
    facts.record_listing(now, at(1, 90), vec![written("a", at(1, 40)), written("b", at(1, 90))]);
    facts.record_read(now);
    facts
}

#[rstest]
#[case::next_era(2)]
#[case::several_eras_at_once(7)]
fn relay_of_a_later_era_passes_on_all_that_it_lists(#[case] era: Era) {
    let now = Instant::now();
    let (mut relay, mut follower) = (node(now, true), node(now, false));
    follower.record_changes(at(1, 95), vec![written("lost", at(1, 95))]);
    // "a" has the version that it had, "b" one that was given out again, and "c" is new.
    let listed =
        vec![written("a", at(era, 40)), written("b", at(era, 85)), written("c", at(era, 86))];
    let later = now + STEP;
    assert!(relay.record_listing(later, at(era, 86), listed.clone()));
    let set = relay.changes_since(later, later, follower.version()).unwrap();
    let changes = follower.follow_relay(later, later, set).unwrap();
    assert_eq!(changes[..3], listed);
    assert_eq!(changes[3..], [deleted("lost", at(era, 86))]);
    assert_eq!(follower.version(), at(era, 86));
    assert_eq!(follower.era_start().unwrap().version, at(era, 86));
    // What is missing may appear again, as after an outage.
    assert_eq!(follower.outage_ended(), Some(later));
}

#[rstest]
fn node_that_is_ahead_of_a_relay_learns_nothing_from_it() {
    let now = Instant::now();
    let (relay, mut follower) = (node(now, true), node(now, false));
    assert!(follower.record_listing(now, at(2, 50), vec![written("a", at(2, 40))]));
    let set = relay.changes_since(now, now, follower.version()).unwrap();
    assert_eq!(follower.follow_relay(now, now, set), Err(RelayError::Behind));
    assert_eq!(follower.version(), at(2, 50));
}

#[rstest]
fn relay_that_began_to_watch_in_a_later_era_sends_others_to_the_store() {
    let now = Instant::now();
    let mut relay = node(now, false);
    relay.record_listing(now, at(2, 50), vec![written("a", at(2, 40))]);
    relay.set_watching(true);
    assert_eq!(relay.changes_since(now, now, at(1, 90)), Err(RelayError::HistoryTooShort));
}

#[rstest]
fn listing_of_an_earlier_era_is_ignored() {
    let now = Instant::now();
    let mut facts = node(now, false);
    facts.record_listing(now, at(2, 50), vec![written("a", at(2, 40))]);
    assert!(!facts.record_listing(now, at(1, 99), vec![written("z", at(1, 99))]));
    assert_eq!(facts.version(), at(2, 50));
}

/// A state with configuration 7 in force, confirmed when era 1 of the store ended.
fn state_in_force(now: Instant) -> ConfigState {
    let mut state = ConfigState::new(Some(Duration::from_secs(3)));
    assert!(state.offer(now, config(7), at(1, 90), None));
    state.confirm(7, now);
    state
}

fn second_era(now: Instant) -> Option<EraStart> {
    Some(EraStart { version: at(2, 80), seen_at: now })
}

#[rstest]
#[case::older_one_of_the_copy(5, at(2, 60), 7)]
#[case::newer_one_of_the_copy(8, at(2, 70), 8)]
#[case::older_one_written_again(5, at(2, 81), 5)]
#[case::newer_one_written_again(8, at(2, 81), 8)]
fn copy_does_not_replace_a_newer_configuration(
    #[case] revision: u64,
    #[case] version: StoreVersion,
    #[case] expected: u64,
) {
    let now = Instant::now();
    let mut state = state_in_force(now);
    state.offer(now, config(revision), version, second_era(now));
    assert!(state.revision() >= 7, "a lower one takes its time");
    state.accept_pending(now + Duration::from_secs(1));
    assert_eq!(state.revision(), expected);
}

/// Operators that write again what they wrote, one after the other, end with the newest one.
#[rstest]
fn configurations_written_again_in_order_never_take_the_newest_back() {
    let now = Instant::now();
    let mut state = state_in_force(now);
    for (revision, version) in [(5, 60), (6, 81), (7, 82)] {
        state.offer(now, config(revision), at(2, version), second_era(now));
        assert_eq!(state.revision(), 7);
    }
    assert!(!state.accept_pending(now + Duration::from_secs(9)));
    assert_eq!(state.revision(), 7);
}

/// The copy may lack a configuration that withdraws a key, and that this node never saw.
#[rstest]
#[case::older_one_in_the_copy(5, at(2, 60), 2_800, false)]
#[case::same_one_in_the_copy(7, at(2, 60), 2_000, false)]
#[case::same_one_after_the_others_were_written(7, at(2, 60), 2_200, true)]
#[case::same_one_written_again(7, at(2, 81), 100, true)]
fn copy_confirms_nothing(
    #[case] revision: u64,
    #[case] version: StoreVersion,
    #[case] read_after_ms: u64,
    #[case] is_confirmed: bool,
) {
    let now = Instant::now();
    let mut state = state_in_force(now);
    state.offer(now, config(revision), version, second_era(now));
    let read_at = now + Duration::from_millis(read_after_ms);
    state.confirm(revision, read_at);
    let fresh_until = if is_confirmed { read_at } else { now } + Duration::from_millis(2_900);
    assert_eq!(state.key_freshness(fresh_until), KeyFreshness::Fresh);
    let after = fresh_until + Duration::from_millis(1);
    assert!(matches!(state.key_freshness(after), KeyFreshness::Outdated { .. }));
}

fn instance(slots: u32, draining: bool) -> Instance {
    Instance { slots, draining, ..plain_instance(0) }
}

/// What is known of a run, what the copy lists of it, and the slots and state before and after the
/// time in which it may be written again.
#[rstest]
#[case::older_state_waits(instance(3, false), instance(2, false), (3, false), (2, false))]
#[case::run_that_is_leaving_stays_so(instance(3, true), instance(3, false), (3, true), (3, true))]
#[case::leaving_counts_at_once(instance(3, false), instance(3, true), (3, true), (3, true))]
fn entry_of_the_copy_does_not_replace_a_newer_one(
    #[case] known: Instance,
    #[case] listed: Instance,
    #[case] before: (u32, bool),
    #[case] after: (u32, bool),
) {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.insert("p0".to_owned(), known);
    directory.insert_restored("p0".to_owned(), listed, now + REWRITE_PERIOD);
    for (at, expected) in [(now, before), (now + REWRITE_PERIOD, after)] {
        assert!(directory.apply_due_removals(at).is_empty());
        let instance = directory.get("p0").unwrap();
        assert_eq!((instance.slots, instance.draining), expected);
    }
}

#[rstest]
fn removed_run_comes_back_only_when_it_writes_itself() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.insert("p0".to_owned(), plain_instance(0));
    directory.schedule_removal("p0", now);
    assert_eq!(directory.apply_due_removals(now), ["p0"]);
    directory.insert_restored("p0".to_owned(), plain_instance(0), now);
    assert!(directory.get("p0").is_none());
    let restarted = Instance { started_ms: plain_instance(0).started_ms + 1, ..plain_instance(0) };
    directory.insert_restored("p0".to_owned(), restarted, now);
    assert!(directory.get("p0").is_some());
    directory.insert("p0".to_owned(), plain_instance(0));
    assert!(directory.get("p0").is_some());
}

/// Guards against a restart in the lost seconds that the copy takes back.
#[rstest]
fn earlier_run_in_a_copy_does_not_replace_a_later_one() {
    let now = Instant::now();
    let mut directory = Directory::default();
    let later = Instance { started_ms: plain_instance(0).started_ms + 1, ..plain_instance(0) };
    directory.insert("p0".to_owned(), later.clone());
    directory.insert_restored("p0".to_owned(), plain_instance(0), now + REWRITE_PERIOD);
    assert_eq!(directory.get("p0"), Some(&later));
    directory.schedule_removal("p0", now);
    assert_eq!(directory.apply_due_removals(now), ["p0"]);
    directory.insert_restored("p0".to_owned(), plain_instance(0), now);
    assert!(directory.get("p0").is_none());
}

/// A safeguard that a history does without.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Without {
    Nothing,
    Eras,
    MemoryOfRevisions,
}

/// A store with one configuration and some other objects.
#[derive(Clone, Default)]
struct Store {
    version: u64,
    objects: BTreeMap<String, u64>,
    /// Revision of the configuration, which is one of the objects.
    config: u64,
}

impl Store {
    fn write(&mut self, name: &str) {
        self.version += 1;
        self.objects.insert(name.to_owned(), self.version);
    }
}

struct Node {
    facts: Facts,
    state: ConfigState,
    /// Revisions in force so far.
    applied: Vec<u64>,
}

struct History {
    rng: Pcg64Mcg,
    now: Instant,
    without: Without,
    store: Store,
    copies: Vec<Store>,
    era: Era,
    /// Newest configuration of the operators, which they write again when the store is back.
    newest: u64,
    nodes: Vec<Node>,
    failures: Vec<String>,
}

impl History {
    fn new(seed: u64, without: Without) -> Self {
        let node = |index| {
            let mut facts = Facts::default();
            facts.set_watching(index < 2);
            Node { facts, state: ConfigState::new(None), applied: Vec::new() }
        };
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: Instant::now(),
            without,
            store: Store::default(),
            copies: Vec::new(),
            era: 0,
            newest: 0,
            nodes: (0..NODES).map(node).collect(),
            failures: Vec::new(),
        }
    }

    fn write_config(&mut self, revision: u64) {
        self.newest = self.newest.max(revision);
        self.store.config = revision;
        self.store.write("config");
    }

    fn change_store(&mut self) {
        if self.rng.random_range(0..6) == 0 {
            let next = self.newest + self.rng.random_range(1..4);
            self.write_config(next);
        }
        let name = format!("o{}", self.rng.random_range(0..8));
        match self.rng.random_range(0..4) {
            0 if self.store.objects.remove(&name).is_some() => self.store.version += 1,
            0 | 1 => self.store.write(&name),
            _ => {}
        }
        self.copies.push(self.store.clone());
        if self.rng.random_range(0..12) == 0 {
            let age = self.rng.random_range(0..20).min(self.copies.len() - 1);
            self.store = self.copies[self.copies.len() - 1 - age].clone();
            self.era += self.rng.random_range(1..3);
        } else if self.store.config < self.newest && self.rng.random_range(0..3) == 0 {
            self.write_config(self.newest);
        }
    }

    fn listing(&self, store: &Store, era: Era) -> (StoreVersion, Vec<ObjectChange>) {
        let era = if self.without == Without::Eras { 0 } else { era };
        let objects = store.objects.iter().map(|(name, version)| ObjectChange {
            value: Some(store.config.to_string()),
            ..written(name, at(era, *version))
        });
        (at(era, store.version), objects.collect())
    }

    /// A node reads the store; a late answer shows an earlier state of it.
    fn read_store(&mut self, index: usize) {
        let (version, objects) = self.listing(&self.store, self.era);
        let shown = self.store.config;
        if self.nodes[index].facts.record_listing(self.now, version, objects.clone()) {
            self.nodes[index].facts.record_read(self.now);
            let config = objects.iter().find(|o| o.name == "config");
            self.apply(index, config.map(|o| (shown, o.version)));
        }
    }

    fn ask_relay(&mut self, index: usize) {
        let relay = self.rng.random_range(0..2);
        let after = self.nodes[index].facts.version();
        let answer = self.nodes[relay].facts.changes_since(self.now, self.now, after);
        let followed =
            answer.and_then(|set| self.nodes[index].facts.follow_relay(self.now, self.now, set));
        match followed {
            Ok(changes) => {
                let config = changes.iter().find(|c| c.name == "config" && c.value.is_some());
                let shown = config.map(|c| (c.value.clone().unwrap().parse().unwrap(), c.version));
                self.apply(index, shown);
            }
            Err(RelayError::Behind | RelayError::NotWatching) => {}
            Err(_) => self.read_store(index),
        }
    }

    fn apply(&mut self, index: usize, shown: Option<(u64, StoreVersion)>) {
        let node = &mut self.nodes[index];
        if let Some((revision, version)) = shown {
            if self.without == Without::MemoryOfRevisions {
                node.state = ConfigState::new(None);
            }
            node.state.offer(self.now, config(revision), version, node.facts.era_start());
        }
        node.state.accept_pending(self.now);
        let revision = node.state.revision();
        if node.applied.last().is_some_and(|last| *last > revision) {
            let last = node.applied.last();
            self.failures.push(format!("node {index} went back from {last:?} to {revision}"));
        }
        node.applied.push(revision);
    }

    fn run(&mut self) {
        self.write_config(1);
        for step in 0..200 {
            self.now += STEP;
            if step < 180 {
                self.change_store();
            } else if step == 180 {
                self.write_config(self.newest);
            }
            for index in 0..NODES {
                let is_cut = step < 180 && self.rng.random_range(0..3) == 0;
                match index {
                    _ if is_cut => {}
                    0 | 1 => self.read_store(index),
                    _ => self.ask_relay(index),
                }
            }
        }
        let (version, _) = self.listing(&self.store, self.era);
        for (index, node) in self.nodes.iter().enumerate() {
            if (node.facts.version(), node.state.revision()) != (version, self.newest) {
                let failure = format!("node {index} ends at {:?}", node.facts.version());
                self.failures.push(failure);
            }
        }
    }
}

fn run_history(seed: u64, without: Without) -> Vec<String> {
    let mut history = History::new(seed, without);
    history.run();
    history.failures
}

/// `HISTORIES` sets the number of seeds.
#[rstest]
fn no_node_goes_back_and_all_end_with_what_operators_wrote_last() {
    let count = env::var("HISTORIES").ok().and_then(|n| n.parse().ok());
    for seed in 0..count.unwrap_or(DEFAULT_HISTORIES) {
        assert_eq!(run_history(seed, Without::Nothing), Vec::<String>::new(), "seed {seed}");
    }
}

#[rstest]
#[case::eras(Without::Eras)]
#[case::memory_of_revisions(Without::MemoryOfRevisions)]
fn safeguard_is_needed(#[case] without: Without) {
    let failed = (0..100).filter(|seed| !run_history(*seed, without).is_empty()).count();
    println!("without {without:?}: {failed} of 100 histories fail");
    assert!(failed > 0);
}

#[rstest]
fn era_settles_when_others_have_written_again() {
    let now = Instant::now();
    let start = second_era(now).unwrap();
    assert_eq!(start.settles_at(), now + REWRITE_PERIOD);
    assert!(start.may_be_restored(at(2, 80)) && !start.may_be_restored(at(2, 81)));
}
