//! Which paths count as lost, and which peers are asked for tunnels.

use {
    rstest::{fixture, rstest},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    turmerictack_model::ids::InstanceId,
    turmerictack_serving::paths::{
        DialPlan, DirectPath, FailedDial, IsolationChange, PathChange, PathLoss, PathTable,
        peers::{TunnelEnds, TunnelPeer, choose_peers},
    },
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn id(at: usize) -> InstanceId {
    format!("e{at}")
}

struct Fixture {
    start: Instant,
    paths: PathTable,
}

#[fixture]
fn fixture() -> Fixture {
    Fixture { start: Instant::now(), paths: PathTable::default() }
}

impl Fixture {
    fn at(&self, after: u64) -> Instant {
        self.start + ms(after)
    }

    fn open(&mut self, after: u64, at: usize) -> Option<PathChange> {
        self.paths.record_open(self.at(after), &id(at))
    }

    /// A direct dial is refused, and a tunnel opens.
    fn refuse(&mut self, after: u64, at: usize) -> Option<PathChange> {
        let now = self.at(after);
        let dial = FailedDial { began_at: now, tunnel_began_at: now, how: PathLoss::Refused };
        self.paths.record_direct_failure(now, &id(at));
        self.paths.record_failure(now, &id(at), dial)
    }

    /// A direct dial that began at this time hangs, and a tunnel opens that began later.
    fn hang(&mut self, began: u64, tunnel_after: u64, at: usize) -> Option<PathChange> {
        let dial = FailedDial {
            began_at: self.at(began),
            tunnel_began_at: self.at(began + tunnel_after),
            how: PathLoss::TimedOut,
        };
        self.paths.record_failure(self.at(began + 400), &id(at), dial)
    }

    fn plan(&mut self, after: u64, at: usize) -> DialPlan {
        self.paths.plan_dial(self.start + ms(after), &id(at))
    }

    fn is_isolated(&self, after: u64) -> bool {
        self.paths.is_isolated(self.at(after))
    }
}

#[rstest]
fn refusal_that_a_peer_contradicts_loses_the_path_until_it_opens(mut fixture: Fixture) {
    assert_eq!(fixture.plan(0, 0), DialPlan::DirectFirst);
    assert_eq!(fixture.refuse(0, 0), Some(PathChange::Lost(PathLoss::Refused)));
    assert_eq!(fixture.refuse(1, 0), None, "it is lost already");
    assert!(matches!(fixture.paths.state(&id(0)), DirectPath::Down { .. }));
    assert_eq!(fixture.plan(10, 0), DialPlan::TunnelFirst);
    assert_eq!(fixture.open(20, 0), Some(PathChange::Restored));
    assert_eq!(fixture.plan(30, 0), DialPlan::DirectFirst);
    assert_eq!(fixture.open(40, 0), None);
}

#[rstest]
fn direct_path_is_tried_again_every_half_second_by_one_dial(mut fixture: Fixture) {
    fixture.refuse(0, 0);
    let rechecks: Vec<u64> =
        (0..2_000).step_by(10).filter(|at| fixture.plan(*at, 0) == DialPlan::Both).collect();
    assert_eq!(rechecks, [500, 1_000, 1_500]);
}

#[rstest]
#[case::once(&[(0, 100)], false)]
#[case::twice_at_once(&[(0, 100), (100, 100)], false)]
#[case::twice(&[(0, 100), (200, 100)], true)]
#[case::twice_long_ago(&[(0, 100), (2_500, 100)], false)]
#[case::to_peers_that_were_asked_late(&[(0, 400), (200, 400), (600, 400)], false)]
fn path_that_hangs_is_lost_only_after_two_dials(
    mut fixture: Fixture,
    #[case] dials: &[(u64, u64)],
    #[case] is_lost: bool,
) {
    for (began, tunnel_after) in dials {
        fixture.hang(*began, *tunnel_after, 0);
    }
    assert_eq!(matches!(fixture.paths.state(&id(0)), DirectPath::Down { .. }), is_lost);
}

#[rstest]
#[case::at_different_times(200, true)]
#[case::at_the_same_time(100, false)]
fn dials_that_hang_to_two_instances_support_each_other(
    mut fixture: Fixture,
    #[case] second: u64,
    #[case] is_lost: bool,
) {
    assert_eq!(fixture.hang(0, 100, 0), None);
    assert_eq!(fixture.hang(second, 100, 1).is_some(), is_lost);
}

/// A dial that began before another one opened says nothing of the path since.
#[rstest]
fn late_failure_does_not_undo_a_connection_that_opened_meanwhile(mut fixture: Fixture) {
    fixture.hang(0, 100, 0);
    fixture.open(500, 0);
    assert_eq!(fixture.hang(200, 100, 0), None);
    assert_eq!(fixture.paths.state(&id(0)), DirectPath::Open);
    assert_eq!(fixture.hang(600, 100, 0), None, "the first one no longer counts");
}

#[rstest]
#[case::one_of_one(1, 0, false)]
#[case::two_of_two(2, 0, true)]
#[case::one_service_of_two(2, 2, true)]
#[case::a_small_service(2, 3, false)]
#[case::most(10, 2, true)]
fn node_is_isolated_if_it_lost_at_least_half_of_the_paths(
    mut fixture: Fixture,
    #[case] down: usize,
    #[case] open: usize,
    #[case] is_isolated: bool,
) {
    for at in 0..down {
        fixture.refuse(0, at);
    }
    for at in down..down + open {
        fixture.open(0, at);
    }
    assert_eq!(fixture.is_isolated(10), is_isolated);
    assert!(!fixture.is_isolated(3_010), "the evidence is old");
}

/// Instances that refuse every node: the node learns nothing about itself, but is of no use as a peer.
#[rstest]
fn node_is_not_isolated_when_the_instances_are_gone(mut fixture: Fixture) {
    for at in 0..10 {
        fixture.paths.record_direct_failure(fixture.at(0), &id(at));
        fixture.paths.record_crash(fixture.at(0), &id(at));
    }
    assert!(!fixture.is_isolated(1));
    assert_eq!(fixture.paths.down_count(), 0);
    assert!(fixture.paths.lacks_paths(fixture.at(1)));
    assert!(!fixture.paths.lacks_paths(fixture.at(3_001)));
}

/// A node that has lost any path, or is refused by most instances, doesn't confirm crashes to peers.
#[rstest]
fn node_with_lost_paths_is_a_doubtful_witness(mut fixture: Fixture) {
    for at in 1..10 {
        fixture.open(0, at);
    }
    fixture.paths.record_direct_failure(fixture.at(0), &id(0));
    assert!(!fixture.paths.is_doubtful_witness(fixture.at(1)));
    fixture.refuse(1, 0);
    assert!(fixture.paths.is_doubtful_witness(fixture.at(2)));
    assert!(!fixture.paths.is_doubtful_witness(fixture.at(3_001)));
}

#[rstest]
fn responses_count_for_paths_that_are_not_in_doubt(mut fixture: Fixture) {
    fixture.refuse(0, 0);
    fixture.refuse(0, 1);
    assert!(fixture.is_isolated(1));
    // Open connections of lost paths may live on.
    fixture.paths.record_response(fixture.at(1), &id(0));
    assert!(fixture.is_isolated(1));
    for at in 2..5 {
        fixture.paths.record_response(fixture.at(1), &id(at));
    }
    assert!(!fixture.is_isolated(1));
}

#[rstest]
fn confirmed_crash_spares_the_peers_for_a_while(mut fixture: Fixture) {
    fixture.paths.record_crash(fixture.at(0), &id(0));
    assert_eq!(fixture.plan(249, 0), DialPlan::DirectOnly);
    assert_eq!(fixture.plan(249, 1), DialPlan::DirectFirst);
    assert_eq!(fixture.plan(250, 0), DialPlan::DirectFirst);
}

#[rstest]
fn instances_that_are_gone_or_not_used_are_forgotten(mut fixture: Fixture) {
    for at in 0..1_200 {
        fixture.plan(0, at);
    }
    fixture.plan(29_000, 3);
    let is_listed = |id: &InstanceId| id != "e7";
    fixture.paths.expire(fixture.at(1_000), &is_listed);
    assert_eq!(fixture.paths.len(), 1_199);
    fixture.paths.expire(fixture.at(30_000), &is_listed);
    assert_eq!(fixture.paths.len(), 1);
}

#[rstest]
fn isolated_node_defers_leadership_after_a_while_and_for_a_while(mut fixture: Fixture) {
    let mut changes = BTreeMap::new();
    let mut deferring = Vec::new();
    for after in (0..12_000).step_by(100) {
        if (1_000..3_000).contains(&after) {
            fixture.refuse(after, 0);
            fixture.refuse(after, 1);
        }
        if after == 3_000 {
            fixture.open(after, 0);
            fixture.open(after, 1);
        }
        if let Some(change) = fixture.paths.expire(fixture.at(after), &|_| true) {
            changes.insert(after, change);
        }
        if fixture.paths.defers_leadership() {
            deferring.push(after);
        }
    }
    let isolated = IsolationChange { is_isolated: true, down: 2, known: 2 };
    let reachable = IsolationChange { is_isolated: false, down: 0, known: 2 };
    assert_eq!(changes, BTreeMap::from([(1_000, isolated), (3_000, reachable)]));
    assert_eq!(deferring, (1_500..5_900).step_by(100).collect::<Vec<_>>());
}

#[rstest]
fn short_isolation_changes_no_leadership(mut fixture: Fixture) {
    for after in [0, 100, 200, 300, 400] {
        fixture.refuse(after, 0);
        fixture.refuse(after, 1);
        fixture.paths.expire(fixture.at(after), &|_| true);
    }
    fixture.open(450, 0);
    fixture.open(450, 1);
    for after in (500..4_000).step_by(100) {
        fixture.paths.expire(fixture.at(after), &|_| true);
        assert!(!fixture.paths.defers_leadership());
    }
}

const PEERS: [(&str, &str); 6] =
    [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b"), ("c1", "c"), ("c2", "c")];

fn choose(at: usize, own: &str, of_instance: &str, failed: &[&str], count: usize) -> Vec<String> {
    let instance = id(at);
    let ends = TunnelEnds {
        instance: &instance,
        instance_data_centre: Some(of_instance),
        own_data_centre: own,
    };
    let peers = PEERS.map(|(address, data_centre)| TunnelPeer { address, data_centre });
    let failed: BTreeSet<String> = failed.iter().map(|f| (*f).to_owned()).collect();
    choose_peers(ends, peers.into_iter(), &failed, count)
}

#[rstest]
#[case::same_data_centre("a", "a", &["a"])]
#[case::different_data_centres("a", "b", &["a", "b"])]
fn peers_on_the_way_to_the_instance_are_preferred(
    #[case] own: &str,
    #[case] of_instance: &str,
    #[case] expected: &[&str],
) {
    for at in 0..50 {
        let chosen = choose(at, own, of_instance, &[], 6);
        assert_eq!(chosen.len(), 6);
        assert!(expected.contains(&&chosen[0][..1]), "{chosen:?}");
        // The peers of one data centre may lose their paths together.
        let data_centres: BTreeSet<&str> = chosen[..3].iter().map(|peer| &peer[..1]).collect();
        assert_eq!(data_centres.len(), 3, "{chosen:?}");
    }
}

#[rstest]
fn tunnels_to_one_instance_share_a_peer_and_all_spread_over_the_peers() {
    let mut tunnels: BTreeMap<String, usize> = BTreeMap::new();
    for at in 0..1_000 {
        let [first] = &choose(at, "a", "b", &[], 1)[..] else { panic!("one peer was wanted") };
        assert_eq!(choose(at, "a", "b", &[], 2).first(), Some(first));
        *tunnels.entry(first.clone()).or_default() += 1;
    }
    assert_eq!(tunnels.len(), 4);
    assert!(tunnels.values().all(|count| (200..300).contains(count)), "{tunnels:?}");
}

#[rstest]
fn peers_that_failed_are_asked_last() {
    let failed = ["a1", "b1", "b2", "c1"];
    let chosen = choose(0, "a", "a", &failed, 6);
    assert_eq!(chosen[..2], ["a2", "c2"], "{chosen:?}");
    assert_eq!(chosen[2..].iter().map(String::as_str).collect::<BTreeSet<_>>(), failed.into());
}

#[rstest]
fn peer_that_fails_for_several_instances_is_asked_last_for_all(mut fixture: Fixture) {
    let peer = "a1".to_owned();
    fixture.paths.record_peer_failure(fixture.at(0), &id(0), &peer);
    assert_eq!(fixture.paths.failed_peers(fixture.at(1), &id(0)), [peer.clone()].into());
    assert!(fixture.paths.failed_peers(fixture.at(1), &id(1)).is_empty());
    fixture.paths.record_peer_failure(fixture.at(0), &id(1), &peer);
    assert_eq!(fixture.paths.failed_peers(fixture.at(1), &id(2)), [peer].into());
    assert!(fixture.paths.failed_peers(fixture.at(1_000), &id(0)).is_empty());
}
