//! Simulates random histories of a cluster in virtual time: nodes track each other's state and
//! propagate the accepted settings by gossip, while nodes are killed or paused, links are blocked
//! in one direction, and the platform is down or returns stale reads.
//!
//! `TURMERICTACK_SEED=N` runs only the history of seed N; a failure prints the violated invariants.

mod common;

use {
    common::{assert_violation_found, seeds},
    rand::{RngExt as _, SeedableRng as _},
    rand_pcg::Pcg64Mcg,
    rstest::rstest,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    turmerictack_membership::{
        gossip::{NodeInfo, NodeState},
        ownership::assign_owners,
        table::{MembershipTable, PROBE_INTERVAL, Probe},
    },
    turmerictack_node::wire,
    turmerictack_protocol::{
        codec::encode,
        message::{Gossip, PeerRequest},
    },
};

const FAULTS_END: Millis = 12_000;
const PROPAGATION_TARGET: Millis = 7_000;
/// Time in which the membership tables converge when all nodes start at once.
const CONVERGENCE_TIME: Millis = 40_000;
/// Time over which messages and bytes are counted.
const MEASUREMENT_TIME: Millis = 20_000;

/// Bytes that framing adds to a message on the persistent stream between two nodes.
const FRAME_OVERHEAD_BYTES: usize = 10;

type Millis = u64;

/// Selects the revision that a node uses; a test replaces it with one that doesn't compare them.
trait RevisionPolicy: Sync {
    fn select(&self, current: u64, offered: u64) -> u64 {
        current.max(offered)
    }
}

struct Strict;
impl RevisionPolicy for Strict {}

/// The last revision received is used, even if it is older.
struct LastReadWins;
impl RevisionPolicy for LastReadWins {
    fn select(&self, _current: u64, offered: u64) -> u64 {
        offered
    }
}

struct Node {
    membership: MembershipTable,
    revision: u64,
    alive: bool,
    paused_until: Millis,
}

struct Simulation<'a> {
    policy: &'a dyn RevisionPolicy,
    rng: Pcg64Mcg,
    origin: Instant,
    now: Millis,
    nodes: Vec<Node>,
    blocked_links: BTreeSet<(usize, usize)>,
    accepted_revision: u64,
    platform_down_until: Millis,
    has_reverted: bool,
    messages: u64,
    bytes: u64,
}

fn node_name(node: usize) -> String {
    format!("n{node}")
}

fn node_info(node: usize, incarnation: u64) -> NodeInfo {
    NodeInfo {
        node: node_name(node),
        address: format!("10.0.{}.{}:8082", node / 250, node % 250),
        data_centre: "norte-1".to_owned(),
        incarnation,
        state: NodeState::Alive,
    }
}

impl<'a> Simulation<'a> {
    fn new(nodes: usize, seed: u64, policy: &'a dyn RevisionPolicy) -> Self {
        let origin = Instant::now();
        let node = |n| Node {
            membership: MembershipTable::new(node_info(n, 1), seed ^ n as u64, origin),
            revision: 1,
            alive: true,
            paused_until: 0,
        };
        let mut simulation = Self {
            policy,
            rng: Pcg64Mcg::seed_from_u64(seed),
            origin,
            now: 0,
            nodes: (0..nodes).map(node).collect(),
            blocked_links: BTreeSet::new(),
            accepted_revision: 1,
            platform_down_until: 0,
            has_reverted: false,
            messages: 0,
            bytes: 0,
        };
        simulation.update_listed_nodes();
        simulation
    }

    fn instant(&self) -> Instant {
        self.origin + Duration::from_millis(self.now)
    }

    fn update_listed_nodes(&mut self) {
        let now = self.instant();
        let list: Vec<NodeInfo> = (0..self.nodes.len()).map(|n| node_info(n, 0)).collect();
        for node in &mut self.nodes {
            node.membership.set_listed_nodes(now, list.clone());
        }
    }

    fn is_running(&self, node: usize) -> bool {
        self.nodes[node].alive && self.nodes[node].paused_until <= self.now
    }

    fn node_index(probe: &Probe) -> usize {
        probe.node[1..].parse().unwrap_or(0)
    }

    fn gossip(&mut self, node: usize) -> Gossip {
        let node = &mut self.nodes[node];
        Gossip {
            from: wire::info_to_wire(node.membership.local_node().clone()),
            revision: node.revision,
            updates: node.membership.next_updates().into_iter().map(wire::info_to_wire).collect(),
            losses: Vec::new(),
        }
    }

    fn receive(&mut self, node: usize, gossip: Gossip) {
        let now = self.instant();
        let from = wire::info_from_wire(gossip.from);
        let updates = gossip.updates.into_iter().map(wire::info_from_wire).collect();
        self.nodes[node].membership.record_contact(now, &from, updates);
        self.offer_revision(node, gossip.revision);
    }

    fn offer_revision(&mut self, node: usize, offered: u64) {
        let current = self.nodes[node].revision;
        let selected = self.policy.select(current, offered);
        self.has_reverted |= selected < current;
        if selected > current {
            self.nodes[node].membership.raise_fanout();
        }
        self.nodes[node].revision = selected;
    }

    /// Sends a probe and its response; `false` if a blocked link, a pause or a crash prevents that.
    fn exchange(&mut self, from: usize, to: usize) -> bool {
        let request = self.gossip(from);
        self.record_traffic(&request);
        if self.blocked_links.contains(&(from, to)) || !self.is_running(to) {
            return false;
        }
        self.receive(to, request);
        let response = self.gossip(to);
        self.record_traffic(&response);
        if self.blocked_links.contains(&(to, from)) {
            return false;
        }
        self.receive(from, response);
        true
    }

    fn record_traffic(&mut self, gossip: &Gossip) {
        self.messages += 1;
        let bytes = encode(&PeerRequest::Probe(gossip.clone()))
            .map_or(0, |b| b.len() + FRAME_OVERHEAD_BYTES);
        self.bytes += bytes as u64;
    }

    fn run_node(&mut self, node: usize) {
        if !self.is_running(node) {
            return;
        }
        let now = self.instant();
        for probe in self.nodes[node].membership.tick(now) {
            let to = Self::node_index(&probe);
            if self.exchange(node, to) {
                continue;
            }
            let probers = self.nodes[node].membership.indirect_probers(&probe.node);
            let is_reached = probers.iter().any(|prober| {
                let prober = Self::node_index(prober);
                self.is_running(prober)
                    && !self.blocked_links.contains(&(node, prober))
                    && !self.blocked_links.contains(&(prober, node))
                    && self.exchange(prober, to)
            });
            if !is_reached {
                self.nodes[node].membership.record_probe_failure(now, &probe.node);
            }
        }
        self.read_platform(node);
    }

    /// Reads the settings from the platform, if the node is one of their owners or sees no other
    /// node. The read may be stale until the faults have ended.
    fn read_platform(&mut self, node: usize) {
        if self.platform_down_until > self.now {
            return;
        }
        let membership = &self.nodes[node].membership;
        let is_settings_owner = turmerictack_membership::ownership::is_owner(
            &membership.local_node().node,
            &membership.live_nodes(),
            "settings/services",
            2,
        );
        if is_settings_owner || membership.is_alone(self.instant()) {
            let faults_ended = self.now >= FAULTS_END;
            let is_stale = !faults_ended && self.rng.random_bool(0.2);
            let revision = if is_stale {
                self.accepted_revision.saturating_sub(1).max(1)
            } else {
                self.accepted_revision
            };
            self.offer_revision(node, revision);
        }
    }

    fn inject_fault(&mut self) {
        let node_count = self.nodes.len();
        let node = self.rng.random_range(0..node_count);
        match self.rng.random_range(0..6) {
            0 => {
                self.nodes[node].alive = false;
            }
            1 => self.restart(node),
            2 => self.nodes[node].paused_until = self.now + self.rng.random_range(0..8_000),
            3 => {
                let other = self.rng.random_range(0..node_count);
                self.blocked_links.insert((node, other));
            }
            4 => self.platform_down_until = self.now + self.rng.random_range(0..4_000),
            _ => self.accepted_revision += 1,
        }
    }

    /// Restarts a killed node with a new incarnation and without its former state.
    fn restart(&mut self, node: usize) {
        if self.nodes[node].alive {
            return;
        }
        let incarnation = self.now + 2;
        let membership = MembershipTable::new(
            node_info(node, incarnation),
            self.now ^ node as u64,
            self.instant(),
        );
        self.nodes[node] = Node { membership, revision: 0, alive: true, paused_until: 0 };
        self.update_listed_nodes();
    }

    fn run(&mut self, until: Millis, with_faults: bool) {
        let period = PROBE_INTERVAL.as_millis() as Millis;
        while self.now < until {
            if with_faults && self.now < FAULTS_END && self.rng.random_bool(0.4) {
                self.inject_fault();
            }
            if with_faults && self.now >= FAULTS_END && self.now < FAULTS_END + period {
                self.blocked_links.clear();
                self.platform_down_until = 0;
                (0..self.nodes.len()).for_each(|n| self.restart(n));
                self.nodes.iter_mut().for_each(|n| n.paused_until = 0);
            }
            if self.now.is_multiple_of(1000) {
                self.update_listed_nodes();
            }
            (0..self.nodes.len()).for_each(|n| self.run_node(n));
            self.now += period;
        }
    }

    fn violations(&self) -> BTreeSet<&'static str> {
        let mut violations = BTreeSet::new();
        if self.has_reverted {
            violations.insert("a node reverted to an older revision");
        }
        if self.nodes.iter().any(|n| n.revision != self.accepted_revision) {
            violations.insert("a node does not have the newest revision");
        }
        let all: BTreeSet<String> = (0..self.nodes.len()).map(node_name).collect();
        if self.nodes.iter().any(|n| n.membership.live_nodes() != all) {
            violations.insert("a node does not list every node as live");
        }
        let tasks = ["a", "b", "c"].map(str::to_owned);
        for task in &tasks {
            let owners = self.nodes.iter().map(|n| {
                let owners =
                    assign_owners(&n.membership.live_nodes(), &BTreeSet::from(tasks.clone()));
                owners.get(task).cloned()
            });
            if owners.collect::<BTreeSet<_>>().len() != 1 {
                violations.insert("nodes disagree on the owner of a task");
            }
        }
        violations
    }
}

fn history(seed: u64, policy: &dyn RevisionPolicy) -> BTreeSet<&'static str> {
    let nodes = 3 + (seed % 7) as usize;
    let mut simulation = Simulation::new(nodes, seed, policy);
    simulation.run(FAULTS_END + PROPAGATION_TARGET, true);
    simulation.violations()
}

/// Target: every node has the newest revision within 7 s after the faults have ended, and none ever
/// reverts to an older one.
#[rstest]
fn settings_propagate_and_never_revert(#[values(0, 1, 2, 3)] part: u64) {
    println!("seeds {:?}, part {part} of 4", seeds());
    for seed in seeds().filter(|s| s % 4 == part) {
        let violations = history(seed, &Strict);
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    }
}

#[rstest]
fn without_the_comparison_settings_revert() {
    let violation = "a node reverted to an older revision";
    assert_violation_found(|s| history(s, &LastReadWins).contains(violation));
}

/// Target: a new revision is in force on all of 380 nodes within 7 s.
///
/// `max_gossip_bytes` bounds the gossip traffic of a node, in bytes per second in both directions.
/// The limit on all control traffic, 3 KB per second and node, is calculated with it.
#[rstest]
#[case(9, 380)]
#[case(27, 450)]
#[case(380, 550)]
fn a_change_is_in_force_within_the_target(#[case] nodes: usize, #[case] max_gossip_bytes: u64) {
    let mut simulation = Simulation::new(nodes, 1, &Strict);
    simulation.run(CONVERGENCE_TIME, false);
    let changed_at = simulation.now;
    simulation.messages = 0;
    simulation.bytes = 0;
    simulation.accepted_revision += 1;
    let mut propagation = None;
    while propagation.is_none() && simulation.now < changed_at + MEASUREMENT_TIME {
        simulation.run(simulation.now + 500, false);
        let is_everywhere =
            simulation.nodes.iter().all(|n| n.revision == simulation.accepted_revision);
        propagation = is_everywhere.then_some(simulation.now - changed_at);
    }
    simulation.run(changed_at + MEASUREMENT_TIME, false);
    let seconds = MEASUREMENT_TIME / 1000 * nodes as u64;
    println!(
        "nodes {nodes}: in force everywhere after {propagation:?} ms, {} messages and {} bytes per \
         node and second",
        simulation.messages as f64 / seconds as f64,
        simulation.bytes / seconds,
    );
    assert!(propagation.is_some_and(|ms| ms <= PROPAGATION_TARGET));
    assert!(2 * simulation.bytes / seconds <= max_gossip_bytes);
    let counts: BTreeMap<usize, usize> =
        simulation.nodes.iter().fold(BTreeMap::new(), |mut c, n| {
            *c.entry(n.membership.live_nodes().len()).or_default() += 1;
            c
        });
    assert_eq!(counts, BTreeMap::from([(nodes, nodes)]));
}
