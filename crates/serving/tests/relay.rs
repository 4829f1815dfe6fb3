//! Nodes that follow the store through others: what they learn, how late, and what it costs.

#![allow(clippy::unwrap_used, reason = "test helpers may panic")]

use {
    rand::{RngExt as _, SeedableRng as _},
    rand_pcg::Pcg64Mcg,
    rstest::rstest,
    std::{
        collections::{BTreeMap, BTreeSet},
        env,
        time::{Duration, Instant},
    },
    turmerictack_model::store_version::StoreVersion,
    turmerictack_serving::relay::{
        ChangeSet, ObjectChange, RelayError, digest,
        facts::Facts,
        source::{
            RELAY_WAIT, RelayCandidate, RelayRoles, RelayTimes, Source, SourceSelector,
            assign_roles,
        },
    },
};

/// Version of a store that states no era.
fn at(version: u64) -> StoreVersion {
    StoreVersion::without_era(version)
}

fn written(name: &str, version: u64) -> ObjectChange {
    let value = Some(format!("{{\"v\":{version}}}"));
    ObjectChange { name: name.to_owned(), version: at(version), value }
}

fn deleted(name: &str, version: u64) -> ObjectChange {
    ObjectChange { name: name.to_owned(), version: at(version), value: None }
}

/// A node that watches the store for others, with three objects.
fn watching(now: Instant) -> Facts {
    let mut facts = Facts::default();
    facts.set_watching(true);
    facts.record_listing(now, at(10), vec![written("a", 3), written("b", 7), written("c", 10)]);
    facts.record_read(now);
    facts
}

/// A node that has listed the same objects.
fn following(now: Instant) -> Facts {
    let mut facts = Facts::default();
    facts.record_listing(now, at(10), vec![written("a", 3), written("b", 7), written("c", 10)]);
    facts.record_read(now);
    facts
}

#[rstest]
fn changes_are_followed_up_to_the_relay_s_version() {
    let now = Instant::now();
    let (mut relay, mut follower) = (watching(now), following(now));
    relay.record_changes(at(14), vec![written("a", 12), deleted("b", 13), written("d", 14)]);
    let set = relay.changes_since(now, now, follower.version()).unwrap();
    let changes = follower.follow_relay(now, now, set).unwrap();
    assert_eq!(changes, [written("a", 12), deleted("b", 13), written("d", 14)]);
    assert_eq!(follower.version(), at(14));
    // Nothing comes twice.
    let set = relay.changes_since(now, now, at(10)).unwrap();
    assert_eq!(follower.follow_relay(now, now, set), Ok(Vec::new()));
}

#[rstest]
fn relay_that_knows_less_changes_nothing() {
    let now = Instant::now();
    let (relay, mut follower) = (watching(now), following(now));
    follower.record_changes(at(12), vec![written("a", 12)]);
    let confirmed_at = follower.confirmed_at();
    let set = relay.changes_since(now, now, at(12)).unwrap();
    let later = now + Duration::from_secs(1);
    assert_eq!(follower.follow_relay(later, later, set), Err(RelayError::Behind));
    assert_eq!((follower.version(), follower.confirmed_at()), (at(12), confirmed_at));
}

#[rstest]
#[case::change(1)]
#[case::deletion(2)]
fn missing_change_is_noticed(#[case] missing: usize) {
    let now = Instant::now();
    let (mut relay, mut follower) = (watching(now), following(now));
    relay.record_changes(at(14), vec![written("a", 12), written("b", 13), deleted("c", 14)]);
    let mut set = relay.changes_since(now, now, at(10)).unwrap();
    set.changes.remove(missing);
    assert_eq!(follower.follow_relay(now, now, set), Err(RelayError::Incomplete));
    assert_eq!(follower.version(), at(10));
    // A listing of the store repairs the view.
    follower.record_listing(now, at(14), vec![written("a", 12), written("b", 13)]);
    let set = relay.changes_since(now, now, at(14)).unwrap();
    assert_eq!(follower.follow_relay(now, now, set), Ok(Vec::new()));
}

#[rstest]
fn lost_history_of_the_store_is_passed_on_as_differences() {
    let now = Instant::now();
    let (mut relay, mut follower) = (watching(now), following(now));
    relay.record_listing(now, at(30), vec![written("a", 3), written("c", 25), written("e", 28)]);
    let set = relay.changes_since(now, now, at(10)).unwrap();
    let changes = follower.follow_relay(now, now, set).unwrap();
    assert_eq!(changes, [written("c", 25), written("e", 28), deleted("b", 30)]);
}

/// Guards against nodes that keep the text of every configuration, and exceed their memory limit
/// (review/2).
#[rstest]
#[case::one_object(&["a"])]
#[case::two_objects(&["a", "d"])]
fn only_the_last_change_of_an_object_is_kept_and_passed_on(#[case] names: &[&str]) {
    let now = Instant::now();
    let (mut relay, mut follower) = (watching(now), following(now));
    for version in 11..1_000 {
        let name = names[version as usize % names.len()];
        relay.record_changes(at(version), vec![written(name, version)]);
    }
    relay.record_changes(at(1_000), vec![deleted("b", 1_000)]);
    let set = relay.changes_since(now, now, at(10)).unwrap();
    assert_eq!(set.changes.len(), names.len() + 1);
    assert!(set.changes.is_sorted_by_key(|change| change.version));
    follower.follow_relay(now, now, set).unwrap();
    assert_eq!(follower.version(), at(1_000));
}

#[rstest]
fn node_answers_only_while_it_watches_and_as_far_back_as_it_knows() {
    let now = Instant::now();
    let mut relay = watching(now);
    assert_eq!(relay.changes_since(now, now, at(9)), Err(RelayError::HistoryTooShort));
    relay.set_watching(false);
    assert_eq!(relay.changes_since(now, now, at(10)), Err(RelayError::NotWatching));
    relay.record_changes(at(12), vec![written("a", 12)]);
    relay.set_watching(true);
    assert_eq!(relay.changes_since(now, now, at(10)), Err(RelayError::HistoryTooShort));
    assert!(relay.changes_since(now, now, at(12)).is_ok());
    assert_eq!(
        Facts::default().changes_since(now, now, at(0)),
        Err(RelayError::NotWatching),
        "a node that has read nothing"
    );
}

#[rstest]
fn listing_that_is_older_than_what_is_known_is_ignored() {
    let now = Instant::now();
    let mut facts = following(now);
    assert!(!facts.record_listing(now, at(9), vec![written("z", 9)]));
    assert_eq!(facts.version(), at(10));
}

/// The confirmation that a follower learns of is never more recent than the read of the store.
#[rstest]
#[case::read_before_the_request(500, 0)]
#[case::read_while_the_request_waited(0, 200)]
fn confirmation_is_not_taken_for_a_later_one(#[case] age_ms: u64, #[case] during_ms: u64) {
    let ms = Duration::from_millis;
    let start = Instant::now();
    let (mut relay, mut follower) = (watching(start), following(start));
    let sent_at = start + ms(1_000);
    let arrived_at = sent_at + ms(30);
    let read_at = arrived_at - ms(age_ms) + ms(during_ms);
    relay.record_read(read_at);
    let answered_at = arrived_at + ms(400);
    let set = relay.changes_since(answered_at, arrived_at, at(10)).unwrap();
    follower.follow_relay(answered_at + ms(30), sent_at, set).unwrap();
    assert!(follower.confirmed_at().unwrap() <= read_at);
    assert!(follower.confirmed_at().unwrap() >= sent_at - ms(age_ms));
}

#[rstest]
fn digest_depends_on_names_and_versions() {
    let of = |pairs: &[(&str, u64)]| {
        digest(&pairs.iter().map(|(name, version)| ((*name).to_owned(), at(*version))).collect())
    };
    let base = of(&[("a", 1), ("b", 2)]);
    for other in [&[("a", 1)][..], &[("a", 2), ("b", 1)], &[("a", 1), ("b", 3)], &[]] {
        assert_ne!(of(other), base);
    }
}

fn candidates(nodes: usize, data_centres: usize, strong_every: usize) -> Vec<RelayCandidate> {
    let candidate = |at: usize| RelayCandidate {
        address: format!("10.{}.0.{at}:7340", at % data_centres),
        data_centre: format!("dc-{}", at % data_centres),
        capacity: if at.is_multiple_of(strong_every) { 500 } else { 120 },
    };
    (0..nodes).map(candidate).collect()
}

#[rstest]
#[case(85, 3, 7)]
#[case(195, 5, 12)]
#[case(380, 6, 1)]
#[case(1_000, 6, 50)]
fn few_strong_nodes_watch_the_store(
    #[case] nodes: usize,
    #[case] data_centres: usize,
    #[case] strong_every: usize,
) {
    let candidates = candidates(nodes, data_centres, strong_every);
    let roles: Vec<RelayRoles> =
        candidates.iter().map(|c| assign_roles(&c.address, &candidates)).collect();
    let relays: BTreeSet<&str> = candidates
        .iter()
        .zip(&roles)
        .filter(|(_, r)| r.is_relay)
        .map(|(c, _)| c.address.as_str())
        .collect();
    assert_eq!(relays.len(), 2 * data_centres);
    let mut followers: BTreeMap<&str, usize> = BTreeMap::new();
    for (candidate, roles) in candidates.iter().zip(&roles).filter(|(_, r)| !r.is_relay) {
        assert_eq!(roles.relays.len(), 2);
        for relay in &roles.relays {
            assert!(relays.contains(relay.as_str()));
            let relay = candidates.iter().find(|c| c.address == *relay).unwrap();
            assert_eq!(relay.data_centre, candidate.data_centre);
            assert!(relay.capacity >= candidate.capacity);
        }
        *followers.entry(roles.relays[0].as_str()).or_default() += 1;
    }
    let most = followers.values().max().unwrap();
    assert!(*most <= nodes / data_centres * 3 / 4, "{most} nodes ask one relay first");
}

#[rstest]
fn small_clusters_and_unknown_nodes_watch_the_store_themselves() {
    for nodes in 1..12 {
        let candidates = candidates(nodes, 3, 1);
        let roles = assign_roles(&candidates[0].address, &candidates);
        assert!(roles.is_relay && !roles.serves_others);
    }
    let roles = assign_roles(&"10.9.9.9:1".to_owned(), &candidates(85, 3, 1));
    assert!(roles.is_relay && !roles.serves_others);
}

const BOUND: Duration = Duration::from_secs(4);

fn follower_roles() -> RelayRoles {
    RelayRoles {
        is_relay: false,
        serves_others: false,
        relays: vec!["r1".to_owned(), "r2".to_owned()],
    }
}

#[rstest]
fn relays_are_asked_while_they_answer_and_are_up_to_date() {
    let (start, mut rng) = (Instant::now(), Pcg64Mcg::seed_from_u64(1));
    let (roles, relay) = (follower_roles(), |id: &str| Source::Relay(id.to_owned()));
    let mut selector = SourceSelector::new(RelayTimes::new(BOUND));
    assert_eq!(selector.choose(start, &roles, None, &mut rng), Source::Store);
    assert_eq!(selector.choose(start, &roles, Some(start), &mut rng), relay("r1"));
    selector.record_relay_failure(start, &"r1".to_owned());
    assert_eq!(selector.choose(start, &roles, Some(start), &mut rng), relay("r2"));
    selector.record_relay_failure(start, &"r2".to_owned());
    assert_eq!(selector.choose(start, &roles, Some(start), &mut rng), Source::Store);
    let later = start + Duration::from_secs(3);
    assert_eq!(selector.choose(later, &roles, Some(later), &mut rng), relay("r1"));
    // Outdated facts are checked with the store, for a while.
    let stale = later - BOUND.mul_f64(0.8);
    assert_eq!(selector.choose(later, &roles, Some(stale), &mut rng), Source::Store);
    assert_eq!(selector.choose(later, &roles, Some(later), &mut rng), Source::Store);
    let end = later + Duration::from_secs(4);
    assert_eq!(selector.choose(end, &roles, Some(end), &mut rng), relay("r1"));
    // A store that does not answer is not asked again and again.
    selector.record_store_failure(end, &mut rng);
    assert_eq!(selector.choose(end, &roles, Some(stale), &mut rng), relay("r1"));
    let retry = end + Duration::from_secs(1);
    assert_eq!(selector.choose(retry, &roles, Some(stale), &mut rng), Source::Store);
}

const STEP_MS: u64 = 10;
const LENGTH_MS: u64 = 40_000;
/// One way between a node and the store or another node, rounded up to a step.
const LATENCY_MS: u64 = 10;
/// Pause of a node after a change.
const PAUSE_MS: u64 = 250;
/// Time until nodes learn that another one is dead or back.
const DETECTION_MS: u64 = 1_200;
/// Time allowed for the answer of the store or a relay in addition to its waiting time.
const STORE_MARGIN_MS: u64 = 600;
const RELAY_MARGIN_MS: u64 = 300;
/// Time before a change in which a node that has to follow it in time was calm.
const CALM_MS: u64 = 5_000;

/// A request of a node that has not been answered yet.
#[derive(Clone, Copy)]
enum Pending {
    Store { sent_ms: u64, wait_ms: u64, is_listing: bool },
    Relay { relay: usize, sent_ms: u64 },
}

struct Node {
    facts: Facts,
    selector: SourceSelector,
    is_listed: bool,
    pending: Option<Pending>,
    paused_until_ms: u64,
    cut_until_ms: u64,
    frozen_until_ms: u64,
    dead_until_ms: u64,
    /// Times at which the node was disturbed.
    disturbed_ms: Vec<(u64, u64)>,
    failures: u32,
}

struct History {
    seed: u64,
    nodes: usize,
    data_centres: usize,
    times: RelayTimes,
    /// Time within which calm nodes have to follow a change.
    bound: Duration,
    has_faults: bool,
}

#[derive(Debug, Default)]
struct Outcome {
    late: Vec<String>,
    store_calls: usize,
    backwards: usize,
}

impl History {
    fn new(seed: u64, nodes: usize, has_faults: bool) -> Self {
        let times = RelayTimes::new(BOUND);
        Self { seed, nodes, data_centres: 5, times, bound: BOUND, has_faults }
    }

    fn play(&self) -> Outcome {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed);
        let origin = Instant::now();
        let instant = |ms: u64| origin + Duration::from_millis(ms);
        let candidates = candidates(self.nodes, self.data_centres, 12);
        let index: BTreeMap<&str, usize> =
            candidates.iter().enumerate().map(|(i, c)| (c.address.as_str(), i)).collect();
        let new_node = || Node {
            facts: Facts::default(),
            selector: SourceSelector::new(self.times),
            is_listed: false,
            pending: None,
            paused_until_ms: 0,
            cut_until_ms: 0,
            frozen_until_ms: 0,
            dead_until_ms: 0,
            disturbed_ms: Vec::new(),
            failures: 0,
        };
        let mut nodes: Vec<Node> = (0..self.nodes).map(|_| new_node()).collect();
        let mut objects: BTreeMap<String, u64> = BTreeMap::new();
        let mut log: Vec<(u64, ObjectChange)> = Vec::new();
        let (mut version, mut store_down_until) = (1, 0);
        let mut outages: Vec<(u64, u64)> = Vec::new();
        let mut outcome = Outcome::default();
        let mut roles: Vec<RelayRoles> = vec![RelayRoles::default(); self.nodes];
        let mut applied: Vec<Vec<(u64, u64)>> = vec![Vec::new(); self.nodes];
        for now_ms in (0..LENGTH_MS).step_by(STEP_MS as usize) {
            let now = instant(now_ms);
            let is_up = now_ms >= store_down_until;
            if is_up && rng.random_range(0..30) == 0 {
                version += 1;
                let name = format!("o{}", rng.random_range(0..50));
                let change = match rng.random_range(0..5) == 0 {
                    true if objects.remove(&name).is_some() => deleted(&name, version),
                    _ => {
                        objects.insert(name.clone(), version);
                        written(&name, version)
                    }
                };
                log.push((now_ms, change));
            }
            if self.has_faults {
                if rng.random_range(0..1_500) == 0 {
                    store_down_until = now_ms + rng.random_range(200..4_000);
                    outages.push((now_ms, store_down_until));
                }
                if rng.random_range(0..40) == 0 {
                    // Relays are hit half of the time.
                    let relays: Vec<usize> =
                        (0..self.nodes).filter(|n| roles[*n].is_relay).collect();
                    let hit = match rng.random_range(0..2) {
                        0 if !relays.is_empty() => relays[rng.random_range(0..relays.len())],
                        _ => rng.random_range(0..self.nodes),
                    };
                    let until = now_ms + rng.random_range(100..8_000);
                    let node = &mut nodes[hit];
                    node.disturbed_ms.push((now_ms, until));
                    match rng.random_range(0..3) {
                        0 => node.cut_until_ms = until,
                        1 => node.frozen_until_ms = until,
                        _ => {
                            let disturbed_ms = std::mem::take(&mut node.disturbed_ms);
                            *node = Node { disturbed_ms, dead_until_ms: until, ..new_node() };
                            applied[hit].push((until, 0));
                        }
                    }
                }
            }
            if now_ms.is_multiple_of(DETECTION_MS) {
                let live: Vec<RelayCandidate> = (0..self.nodes)
                    .filter(|n| now_ms >= nodes[*n].dead_until_ms)
                    .map(|n| candidates[n].clone())
                    .collect();
                for (n, candidate) in candidates.iter().enumerate() {
                    roles[n] = assign_roles(&candidate.address, &live);
                }
            }
            for n in 0..self.nodes {
                if now_ms < nodes[n].frozen_until_ms
                    || now_ms < nodes[n].dead_until_ms
                    || now_ms < nodes[n].paused_until_ms
                {
                    continue;
                }
                nodes[n].facts.set_watching(roles[n].serves_others);
                let before = nodes[n].facts.version();
                match nodes[n].pending {
                    None => {
                        let node = &mut nodes[n];
                        let confirmed_at = node.facts.confirmed_at().filter(|_| node.is_listed);
                        let chosen = node.selector.choose(now, &roles[n], confirmed_at, &mut rng);
                        node.pending = Some(match chosen {
                            Source::Store => {
                                outcome.store_calls += 1;
                                let wait = if node.failures > 0 {
                                    0
                                } else {
                                    self.times.watch.as_millis() as u64
                                };
                                Pending::Store {
                                    sent_ms: now_ms,
                                    wait_ms: wait,
                                    is_listing: !node.is_listed,
                                }
                            }
                            Source::Relay(relay) => {
                                Pending::Relay { relay: index[relay.as_str()], sent_ms: now_ms }
                            }
                        });
                    }
                    Some(Pending::Store { sent_ms, wait_ms, is_listing }) => {
                        let node = &mut nodes[n];
                        if now_ms < sent_ms + 2 * LATENCY_MS {
                            continue;
                        }
                        let is_reachable = is_up && now_ms >= node.cut_until_ms;
                        let after = node.facts.version();
                        let news: Vec<ObjectChange> = log
                            .iter()
                            .rev()
                            .take_while(|(_, c)| c.version > after)
                            .map(|(_, c)| c.clone())
                            .collect();
                        let is_due = is_listing || !news.is_empty() || now_ms >= sent_ms + wait_ms;
                        if is_reachable && is_due {
                            let started = instant(sent_ms);
                            if is_listing {
                                let all =
                                    objects.iter().map(|(name, v)| written(name, *v)).collect();
                                node.is_listed = node.facts.record_listing(now, at(version), all);
                            } else {
                                let news: Vec<ObjectChange> = news.into_iter().rev().collect();
                                if !news.is_empty() {
                                    node.paused_until_ms = now_ms + PAUSE_MS;
                                }
                                node.facts.record_changes(at(version), news);
                            }
                            node.facts.record_read(started);
                            node.selector.record_store_success();
                            node.failures = 0;
                            node.pending = None;
                        } else if now_ms >= sent_ms + wait_ms + STORE_MARGIN_MS {
                            node.selector.record_store_failure(now, &mut rng);
                            node.failures += 1;
                            node.paused_until_ms = now_ms + 100 * u64::from(node.failures.min(4));
                            node.pending = None;
                        }
                    }
                    Some(Pending::Relay { relay, sent_ms }) => {
                        if now_ms < sent_ms + 2 * LATENCY_MS {
                            continue;
                        }
                        let is_dead = now_ms < nodes[relay].dead_until_ms;
                        let is_silent = now_ms < nodes[relay].frozen_until_ms;
                        let after = nodes[n].facts.version();
                        let waited = now_ms >= sent_ms + RELAY_WAIT.as_millis() as u64;
                        let arrived_at = instant(sent_ms + LATENCY_MS);
                        let answer = match (is_dead, is_silent) {
                            (true, _) => Some(Err(RelayError::NoResponse)),
                            (_, true)
                                if now_ms
                                    >= sent_ms
                                        + RELAY_WAIT.as_millis() as u64
                                        + RELAY_MARGIN_MS =>
                            {
                                Some(Err(RelayError::NoResponse))
                            }
                            (_, true) => None,
                            _ => match nodes[relay].facts.changes_since(now, arrived_at, after) {
                                Ok(set) if set.changes.is_empty() && !waited => None,
                                answer => Some(answer),
                            },
                        };
                        let Some(answer) = answer else { continue };
                        let node = &mut nodes[n];
                        node.pending = None;
                        let followed = answer.and_then(|set: ChangeSet| {
                            node.facts.follow_relay(now, instant(sent_ms), set)
                        });
                        match followed {
                            Ok(changes) => {
                                node.failures = 0;
                                if !changes.is_empty() {
                                    node.paused_until_ms = now_ms + PAUSE_MS;
                                }
                            }
                            Err(error) => {
                                node.selector.record_relay_failure(now, &candidates[relay].address);
                                if matches!(
                                    error,
                                    RelayError::HistoryTooShort | RelayError::Incomplete
                                ) {
                                    node.is_listed = false;
                                }
                            }
                        }
                    }
                }
                let after = nodes[n].facts.version();
                outcome.backwards += usize::from(after < before);
                if after != before {
                    applied[n].push((now_ms, after.version));
                }
            }
        }
        self.check(&nodes, &log, &applied, &outages, &mut outcome);
        outcome
    }

    /// Finds the changes that calm nodes have not followed in time.
    fn check(
        &self,
        nodes: &[Node],
        log: &[(u64, ObjectChange)],
        applied: &[Vec<(u64, u64)>],
        outages: &[(u64, u64)],
        outcome: &mut Outcome,
    ) {
        let bound_ms = self.bound.as_millis() as u64;
        let overlaps = |spans: &[(u64, u64)], from: u64, to: u64| {
            spans.iter().any(|(start, end)| *start < to && *end > from)
        };
        for (acked_ms, change) in log {
            let (from, to) = (acked_ms.saturating_sub(CALM_MS), acked_ms + bound_ms);
            if *acked_ms < CALM_MS || to >= LENGTH_MS || overlaps(outages, from, to) {
                continue;
            }
            for (n, node) in nodes.iter().enumerate() {
                if overlaps(&node.disturbed_ms, from, to) {
                    continue;
                }
                let known =
                    applied[n].iter().rev().find(|(ms, _)| *ms <= to).map_or(0, |(_, v)| *v);
                if known < change.version.version {
                    outcome.late.push(format!("node {n}: {} of {acked_ms} ms", change.version));
                }
            }
        }
    }
}

/// Store calls a second and node without relays: a watch a change, or each 2 s.
#[rstest]
#[case(9, 4.0)]
#[case(85, 0.9)]
#[case(195, 0.4)]
#[case(380, 0.2)]
fn calls_to_the_store_do_not_grow_with_the_nodes(
    #[case] nodes: usize,
    #[case] most_per_node_second: f64,
) {
    let outcome = History::new(1, nodes, false).play();
    assert_eq!(outcome.late, Vec::<String>::new());
    let per_node = outcome.store_calls as f64 / nodes as f64 / (LENGTH_MS as f64 / 1_000.0);
    println!("{nodes} nodes: {} calls, {per_node:.2} a node and second", outcome.store_calls);
    assert!(per_node <= most_per_node_second, "{per_node}");
}

/// Evacuations are due within 5 s, and known at all nodes within 2 s; their relays' times follow from
/// half of the bound. Only relays call the store again and again.
#[rstest]
#[case(71, 1.0)]
#[case(380, 0.2)]
fn evacuations_are_known_at_all_nodes_within_2_s(
    #[case] nodes: usize,
    #[case] most_per_node_second: f64,
) {
    let times = RelayTimes::new(Duration::from_secs(5) / 2);
    let bound = Duration::from_secs(2);
    let outcome = History { times, bound, ..History::new(1, nodes, false) }.play();
    assert_eq!(outcome.late, Vec::<String>::new());
    let per_node = outcome.store_calls as f64 / nodes as f64 / (LENGTH_MS as f64 / 1_000.0);
    println!("{nodes} nodes: {} calls, {per_node:.2} a node and second", outcome.store_calls);
    assert!(per_node <= most_per_node_second, "{per_node}");
}

/// Histories with cuts from the store, freezes and deaths of nodes, of relays above all, and outages
/// of the store. `HISTORIES` sets their number.
#[rstest]
fn changes_take_effect_in_time_at_calm_nodes_in_all_histories() {
    let count = env::var("HISTORIES").ok().and_then(|n| n.parse().ok()).unwrap_or(12);
    for seed in 0..count {
        let outcome = History::new(seed, 60, true).play();
        assert_eq!(outcome.late.first(), None, "seed {seed}: {} late", outcome.late.len());
        assert_eq!(outcome.backwards, 0, "seed {seed}");
    }
}

/// Without the limit on the age of relayed facts, followers of relays that are cut from the store
/// are late.
#[rstest]
fn limit_on_the_age_of_relayed_facts_is_needed() {
    let times = RelayTimes { trust: Duration::from_secs(3_600), ..RelayTimes::new(BOUND) };
    let late = |seed| History { times, ..History::new(seed, 60, true) }.play().late.len();
    assert!((0..12).map(late).sum::<usize>() > 0);
}
