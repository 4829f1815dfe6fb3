//! SWIM-style membership table: failure detection by probes, suspicion, and refutation by
//! incarnation.
//!
//! In each round a node probes the next node of a shuffled list, or several while it has updates to
//! disseminate. A node that responds neither directly nor through other nodes becomes suspect; it
//! refutes the suspicion with a higher incarnation or is declared dead. Updates are piggybacked on
//! the probes, each a limited number of times, so that the cost of a round does not grow with the
//! number of nodes.

use {
    crate::gossip::{NodeInfo, NodeState},
    rand::{
        SeedableRng as _,
        seq::{IndexedRandom as _, SliceRandom as _},
    },
    rand_pcg::Pcg64Mcg,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    turmerictack_model::ids::{Address, Incarnation, NodeId},
};

/// Time between two rounds of probes.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Nodes probed per round while there are updates to disseminate or listed nodes to discover.
pub const FANOUT: usize = 3;

/// Nodes probed per round otherwise.
const IDLE_FANOUT: usize = 1;

/// Nodes asked to probe a node that did not respond to a direct probe.
pub const INDIRECT_PROBERS: usize = 2;

/// Time within which a suspect node must refute the suspicion before it is declared dead.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval, in rounds, at which one dead or departed node is probed, to detect its return.
const DOWN_PROBE_ROUNDS: u64 = 4;

/// Times that an update is sent, for each doubling of the number of nodes.
const RETRANSMIT_FACTOR: u32 = 1;

/// Maximum number of updates in one message.
const MAX_UPDATES_PER_MESSAGE: usize = 12;

/// Time without contact to any other node after which a node considers itself alone.
const ALONE_TIMEOUT: Duration = Duration::from_secs(5);

/// State that is kept of one other node.
#[derive(Clone, Debug)]
struct Peer {
    info: NodeInfo,
    updated_at: Instant,
    last_contact: Option<Instant>,
    listed: bool,
}

impl Peer {
    /// Whether the platform lists the node, but there was no contact with it and no update says
    /// that it is alive.
    fn is_undiscovered(&self) -> bool {
        self.listed && self.last_contact.is_none() && self.info.state >= NodeState::Dead
    }

    /// Whether there was contact with the node before, but it is now dead or has left.
    fn is_down(&self) -> bool {
        self.info.state >= NodeState::Dead && self.last_contact.is_some()
    }
}

/// A node to send a probe to, or to ask for an indirect probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Probe {
    /// Name of the node.
    pub node: NodeId,
    /// Address at which it listens.
    pub address: Address,
}

/// One node's view of the cluster membership.
#[derive(Debug)]
pub struct MembershipTable {
    local: NodeInfo,
    peers: BTreeMap<NodeId, Peer>,
    /// Number of transmissions of each update that is being disseminated.
    transmissions: BTreeMap<NodeId, u32>,
    /// Remaining rounds for which the fanout is raised.
    raised_fanout_rounds: u32,
    /// Nodes that are still to be probed before the list is shuffled again.
    probe_order: Vec<NodeId>,
    round: u64,
    started_at: Instant,
    rng: Pcg64Mcg,
}

impl MembershipTable {
    /// Creates a table that contains only the local node; `seed` makes the choice of probed nodes
    /// reproducible.
    pub fn new(local: NodeInfo, seed: u64, now: Instant) -> Self {
        Self {
            local,
            peers: BTreeMap::new(),
            transmissions: BTreeMap::new(),
            raised_fanout_rounds: 0,
            probe_order: Vec::new(),
            round: 0,
            started_at: now,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Current incarnation of the local node.
    pub fn incarnation(&self) -> Incarnation {
        self.local.incarnation
    }

    /// Information about the local node, which is part of every gossip message.
    pub fn local_node(&self) -> &NodeInfo {
        &self.local
    }

    /// Replaces the set of nodes that the platform lists.
    ///
    /// Nodes that are new to the table are added as dead until contact with them. Nodes that are no
    /// longer listed are removed unless they are alive or suspect.
    pub fn set_listed_nodes(&mut self, now: Instant, listed: Vec<NodeInfo>) {
        for peer in self.peers.values_mut() {
            peer.listed = false;
        }
        for info in listed {
            if info.node == self.local.node {
                continue;
            }
            let peer = self.peers.entry(info.node.clone()).or_insert_with(|| Peer {
                info: NodeInfo { state: NodeState::Dead, incarnation: 0, ..info.clone() },
                updated_at: now,
                last_contact: None,
                listed: true,
            });
            peer.listed = true;
            peer.info.address = info.address;
        }
        self.peers.retain(|_, p| p.listed || p.info.state < NodeState::Dead);
    }

    /// Starts a round: declares suspects dead after [`SUSPICION_TIMEOUT`], and returns the nodes to
    /// probe.
    pub fn tick(&mut self, now: Instant) -> Vec<Probe> {
        self.round += 1;
        self.expire_suspects(now);
        if self.probe_order.is_empty() {
            self.probe_order = self.peers.keys().cloned().collect();
            self.probe_order.shuffle(&mut self.rng);
        }
        let fanout = self.fanout();
        self.raised_fanout_rounds = self.raised_fanout_rounds.saturating_sub(1);
        let mut probes = Vec::new();
        while probes.len() < fanout {
            let Some(node) = self.probe_order.pop() else { break };
            if self.peers.get(&node).is_some_and(|p| !p.is_down()) {
                probes.push(node);
            }
        }
        if self.round.is_multiple_of(DOWN_PROBE_ROUNDS) {
            probes.extend(self.random_down_node());
        }
        probes.into_iter().filter_map(|node| self.probe(node)).collect()
    }

    /// Raises the number of probed nodes to [`FANOUT`] for as many rounds as an update takes to
    /// reach all nodes.
    ///
    /// For data other than membership updates that is piggybacked on probes.
    pub fn raise_fanout(&mut self) {
        self.raised_fanout_rounds = self.retransmit_limit();
    }

    /// Number of nodes to probe in this round.
    fn fanout(&self) -> usize {
        let limit = self.retransmit_limit();
        let disseminating = self.raised_fanout_rounds > 0
            || self.transmissions.values().any(|count| *count < limit);
        let discovering = self.peers.values().any(Peer::is_undiscovered);
        if disseminating || discovering { FANOUT } else { IDLE_FANOUT }
    }

    /// Number of times that an update is sent.
    fn retransmit_limit(&self) -> u32 {
        let doublings = (self.peers.len() + 1).ilog2() + 1;
        RETRANSMIT_FACTOR * doublings
    }

    /// Returns a random node among those that are down.
    fn random_down_node(&mut self) -> Option<NodeId> {
        let down = self.peers.values().filter(|p| p.is_down());
        let down: Vec<&NodeId> = down.map(|p| &p.info.node).collect();
        down.choose(&mut self.rng).map(|node| (*node).clone())
    }

    /// Creates a probe of a node.
    ///
    /// If the node is not considered alive, the update that says so is scheduled for sending, so
    /// that the node can refute it.
    fn probe(&mut self, node: NodeId) -> Option<Probe> {
        let peer = self.peers.get(&node)?;
        let address = peer.info.address.clone();
        if peer.info.state != NodeState::Alive {
            self.transmissions.insert(node.clone(), 0);
        }
        Some(Probe { node, address })
    }

    fn expire_suspects(&mut self, now: Instant) {
        let expired: Vec<NodeInfo> = self
            .peers
            .values()
            .filter(|p| {
                p.info.state == NodeState::Suspect && now >= p.updated_at + SUSPICION_TIMEOUT
            })
            .map(|p| NodeInfo { state: NodeState::Dead, ..p.info.clone() })
            .collect();
        for update in expired {
            self.apply(now, update);
        }
    }

    /// Random alive nodes to ask for an indirect probe of `target`, at most [`INDIRECT_PROBERS`].
    pub fn indirect_probers(&mut self, target: &str) -> Vec<Probe> {
        let mut probers: Vec<Probe> = self
            .peers
            .values()
            .filter(|p| p.info.state == NodeState::Alive && p.info.node != target)
            .map(|p| Probe { node: p.info.node.clone(), address: p.info.address.clone() })
            .collect();
        probers.shuffle(&mut self.rng);
        probers.truncate(INDIRECT_PROBERS);
        probers
    }

    /// Records a message from a node, and applies the updates in it.
    pub fn record_contact(&mut self, now: Instant, from: &NodeInfo, updates: Vec<NodeInfo>) {
        self.apply(now, from.clone());
        if let Some(peer) = self.peers.get_mut(&from.node) {
            peer.last_contact = Some(now);
            if peer.info.state != NodeState::Alive {
                // The node must receive this state before it can refute it with a higher
                // incarnation.
                self.transmissions.insert(from.node.clone(), 0);
            }
        }
        for update in updates {
            self.apply(now, update);
        }
    }

    /// Records that a node responded to neither direct nor indirect probes; an alive node becomes
    /// suspect.
    pub fn record_probe_failure(&mut self, now: Instant, node: &str) {
        let Some(peer) = self.peers.get(node) else {
            return;
        };
        if peer.info.state == NodeState::Alive {
            let update = NodeInfo { state: NodeState::Suspect, ..peer.info.clone() };
            self.apply(now, update);
        }
    }

    /// Marks the local node as leaving; the next messages announce it.
    pub fn leave(&mut self) {
        self.local.state = NodeState::Left;
    }

    fn apply(&mut self, now: Instant, update: NodeInfo) {
        if update.node == self.local.node {
            self.refute(&update);
            return;
        }
        let peer = self.peers.get_mut(&update.node);
        let is_new = peer.as_ref().is_none_or(|p| is_superseded_by(&p.info, &update));
        if !is_new {
            return;
        }
        self.transmissions.insert(update.node.clone(), 0);
        match peer {
            Some(peer) => {
                peer.updated_at = now;
                peer.info = update;
            }
            None => {
                let peer =
                    Peer { updated_at: now, last_contact: None, listed: false, info: update };
                self.peers.insert(peer.info.node.clone(), peer);
            }
        }
    }

    /// Raises the incarnation of the local node if an update says that it is not alive.
    fn refute(&mut self, update: &NodeInfo) {
        let is_wrong = update.state != NodeState::Alive && self.local.state == NodeState::Alive;
        if is_wrong && update.incarnation >= self.local.incarnation {
            self.local.incarnation = update.incarnation + 1;
        }
    }

    /// Updates to include in the next message, the least often sent first; counts them as sent.
    pub fn next_updates(&mut self) -> Vec<NodeInfo> {
        let limit = self.retransmit_limit();
        let mut due: Vec<(u32, NodeId)> =
            self.transmissions.iter().map(|(node, count)| (*count, node.clone())).collect();
        due.sort_unstable();
        due.truncate(MAX_UPDATES_PER_MESSAGE);
        let mut updates = Vec::new();
        for (count, node) in due {
            match self.peers.get(&node) {
                Some(peer) if count < limit => {
                    updates.push(peer.info.clone());
                    self.transmissions.insert(node, count + 1);
                }
                _ => {
                    self.transmissions.remove(&node);
                }
            }
        }
        updates
    }

    /// Alive and suspect nodes, including the local one unless it is leaving.
    pub fn live_nodes(&self) -> BTreeSet<NodeId> {
        let peers = self.peers.values().map(|p| &p.info);
        peers
            .chain([&self.local])
            .filter(|n| n.state <= NodeState::Suspect)
            .map(|n| n.node.clone())
            .collect()
    }

    /// Address of another node, if it is in the table.
    pub fn address(&self, node: &str) -> Option<&Address> {
        self.peers.get(node).map(|p| &p.info.address)
    }

    /// All other nodes, each with the time of the last message from it.
    pub fn peers(&self) -> impl Iterator<Item = (&NodeInfo, Option<Instant>)> {
        self.peers.values().map(|p| (&p.info, p.last_contact))
    }

    /// Whether there are other nodes in the table, but no contact with any of them within
    /// `ALONE_TIMEOUT`; never within that time after the table was created.
    pub fn is_alone(&self, now: Instant) -> bool {
        let recent = |at: Instant| now.saturating_duration_since(at) <= ALONE_TIMEOUT;
        let any_recent = self.peers.values().filter_map(|p| p.last_contact).any(recent);
        !self.peers.is_empty() && !any_recent && !recent(self.started_at)
    }
}

/// Whether `update` overrides the information that is `known` about a node.
fn is_superseded_by(known: &NodeInfo, update: &NodeInfo) -> bool {
    (update.incarnation, update.state) > (known.incarnation, known.state)
}
