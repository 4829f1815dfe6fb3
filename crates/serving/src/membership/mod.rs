//! Liveness of nodes, and election of the node that leads group control.

mod candidacy;
mod election;
mod rounds;

pub use self::{
    election::{KnownLeader, NotLeading},
    rounds::{
        HEARTBEAT_INTERVAL, HeartbeatBatch, MAX_HEARTBEATS_PER_INTERVAL, heartbeat_round,
        heartbeats_per_interval,
    },
};

use {
    self::{candidacy::Candidacy, rounds::leader_round},
    crate::{paths::peers::TunnelPeer, relay::source::RelayCandidate},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    turmerictack_model::ids::{Address, Incarnation, NodeId},
};

/// Minimum time without a heartbeat after which a node counts as dead.
const MIN_HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Number of heartbeats in a row that must be missing for a node to count as dead.
const MAX_MISSED_HEARTBEATS: u32 = 3;

/// Round of heartbeats up to which a node counts as dead after [`MIN_HEARTBEAT_TIMEOUT`]: at least two
/// heartbeats are missing by then.
const SHORT_ROUND: Duration = Duration::from_millis(500);

/// Time after which a registered address that has sent no heartbeat is no longer taken for a node
/// that is about to start: another writer may have registered it, thousands of them.
const SILENT_AFTER: Duration = Duration::from_secs(30);

#[derive(Clone, Debug)]
struct Peer {
    address: Address,
    incarnation: Incarnation,
    last_heartbeat: Instant,
    status: LeaderStatus,
    /// Time of the first of the latest heartbeats that all say that it may lead.
    eligible_since: Option<Instant>,
    candidate: Option<RelayCandidate>,
    reach: PeerReach,
}

/// Whether a peer can be asked to reach instances for this node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerReach {
    /// Whether it is shutting down.
    pub is_leaving: bool,
    /// Whether most of its own dials fail.
    pub lacks_paths: bool,
}

/// What a node announces about its leadership.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaderStatus {
    /// Whether it may lead: it has a fresh view of the instances and is not draining.
    pub eligible: bool,
    /// Whether it is the leader.
    pub is_leader: bool,
    /// Whether it leads only if all others that may lead defer too, because it is cut off.
    pub defers: bool,
}

/// Peers known from heartbeats, and addresses from the platform's list of nodes.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<NodeId, Peer>,
    registered: BTreeMap<Address, Instant>,
    /// Registered addresses that have sent no heartbeat for [`SILENT_AFTER`].
    silent: BTreeSet<Address>,
    last_silent: Option<Address>,
    batches: u32,
    last_addressed: Option<Address>,
    last_leader_addressed: Option<Address>,
    /// Relays of all data centres, which may lead or soon will.
    relays: BTreeSet<Address>,
    candidacy: Candidacy,
}

impl PeerTable {
    /// Applies a heartbeat; one from an earlier incarnation is ignored.
    pub fn record_heartbeat(
        &mut self,
        now: Instant,
        node: &NodeId,
        address: &Address,
        incarnation: Incarnation,
        status: LeaderStatus,
    ) {
        if self.peers.get(node).is_some_and(|p| p.incarnation > incarnation) {
            return;
        }
        let previous = self.peers.get(node);
        let peer = Peer {
            address: address.clone(),
            incarnation,
            last_heartbeat: now,
            status,
            eligible_since: status
                .eligible
                .then(|| previous.and_then(|p| p.eligible_since).unwrap_or(now)),
            candidate: previous.and_then(|p| p.candidate.clone()),
            reach: previous.map(|p| p.reach).unwrap_or_default(),
        };
        self.silent.remove(address);
        self.peers.insert(node.clone(), peer);
    }

    /// Records what a peer says about itself as a candidate for watching the store.
    pub fn record_candidate(&mut self, node: &NodeId, candidate: RelayCandidate) {
        if let Some(peer) = self.peers.get_mut(node) {
            peer.candidate = Some(candidate);
        }
    }

    /// Records what a peer says about its paths to instances.
    pub fn record_reach(&mut self, node: &NodeId, reach: PeerReach) {
        if let Some(peer) = self.peers.get_mut(node) {
            peer.reach = reach;
        }
    }

    /// Live peers that can be asked to reach instances for this node.
    pub fn tunnel_peers(&self, now: Instant) -> impl Iterator<Item = TunnelPeer<'_>> {
        let is_sound = |p: &&Peer| !p.reach.is_leaving && !p.reach.lacks_paths;
        let sound = self.peers.values().filter(is_sound).filter(move |p| self.is_alive(now, p));
        sound.filter_map(|p| p.candidate.as_ref()).map(|candidate| TunnelPeer {
            address: &candidate.address,
            data_centre: &candidate.data_centre,
        })
    }

    /// Whether the peer with an address for requests of other nodes has announced its shutdown.
    pub fn is_leaving(&self, address: &Address) -> bool {
        let is_meant = |p: &&Peer| p.candidate.as_ref().is_some_and(|c| c.address == *address);
        self.peers.values().find(is_meant).is_some_and(|p| p.reach.is_leaving)
    }

    /// Live peers that may watch the store for others.
    pub fn relay_candidates(&self, now: Instant) -> Vec<RelayCandidate> {
        let alive = self.peers.values().filter(|p| self.is_alive(now, p));
        alive.filter_map(|p| p.candidate.clone()).collect()
    }

    /// Replaces the addresses of the platform's list of nodes.
    pub fn set_registered(&mut self, now: Instant, addresses: Vec<Address>) {
        let listed: BTreeSet<&Address> = addresses.iter().collect();
        self.registered.retain(|address, _| listed.contains(address));
        for address in addresses {
            self.registered.entry(address).or_insert(now);
        }
        let known: BTreeSet<&Address> = self.peers.values().map(|p| &p.address).collect();
        let is_silent = |(address, since): &(&Address, &Instant)| {
            now >= **since + SILENT_AFTER && !known.contains(address)
        };
        let silent = self.registered.iter().filter(is_silent);
        self.silent = silent.map(|(address, _)| address.clone()).collect();
    }

    /// Sets the relays of all data centres.
    pub fn set_relays(&mut self, relays: BTreeSet<Address>) {
        self.relays = relays;
    }

    /// Addresses of all known nodes except this one and silent ones.
    pub fn heartbeat_addresses(&self, own: &Address) -> Vec<Address> {
        let registered = self.registered.keys().filter(|address| !self.silent.contains(*address));
        let mut all: Vec<Address> = registered.cloned().collect();
        all.extend(self.peers.values().map(|p| p.address.clone()));
        all.sort_unstable();
        all.dedup();
        all.retain(|a| a != own);
        all
    }

    /// Number of registered nodes that are not silent.
    fn expected_count(&self) -> usize {
        self.registered.len() - self.silent.len()
    }

    /// Number of nodes that are alive, including this one.
    pub fn live_count(&self, now: Instant) -> usize {
        1 + self.peers.values().filter(|p| self.is_alive(now, p)).count()
    }

    /// Peers that are alive.
    pub fn live_peers(&self, now: Instant) -> BTreeSet<NodeId> {
        let alive = self.peers.iter().filter(|(_, p)| self.is_alive(now, p));
        alive.map(|(node, _)| node.clone()).collect()
    }

    /// Addresses on the platform's list of nodes.
    pub fn registered_addresses(&self) -> BTreeSet<Address> {
        self.registered.keys().cloned().collect()
    }

    /// Number of nodes that have sent a heartbeat, including this one.
    pub fn heard_count(&self) -> usize {
        1 + self.peers.len()
    }

    /// Number of nodes on the platform's list.
    pub fn registered_count(&self) -> usize {
        self.registered.len()
    }

    fn is_alive(&self, now: Instant, peer: &Peer) -> bool {
        now < peer.last_heartbeat + self.liveness_timeout()
            && self.frequent_since(peer).is_none_or(|since| now < since + self.leader_timeout())
    }

    /// Time since which further heartbeats of a peer are due, because it may lead and knows that this
    /// node may; `None` if it sends only one in each round.
    fn frequent_since(&self, peer: &Peer) -> Option<Instant> {
        let both_since = self.candidacy.eligible_since()?.max(peer.eligible_since?);
        self.is_large().then(|| both_since.max(peer.last_heartbeat))
    }

    /// Whether a peer may lead, or soon will, as a relay.
    fn is_candidate(&self, peer: &Peer) -> bool {
        peer.status.eligible || self.relays.contains(&peer.address)
    }

    /// Time without a heartbeat after which a peer counts as dead that may lead, at a node that may
    /// lead too.
    fn leader_timeout(&self) -> Duration {
        let addressed = self.peers.values().filter(|p| self.is_candidate(p)).count();
        MIN_HEARTBEAT_TIMEOUT.max(leader_round(addressed) * MAX_MISSED_HEARTBEATS)
    }

    /// Time without a heartbeat after which a node counts as dead that sends one in each round.
    fn liveness_timeout(&self) -> Duration {
        let is_short = self.round() <= SHORT_ROUND;
        if is_short { MIN_HEARTBEAT_TIMEOUT } else { self.heartbeat_timeout() }
    }

    /// Time without a heartbeat after which what a node has reported no longer counts.
    pub fn heartbeat_timeout(&self) -> Duration {
        MIN_HEARTBEAT_TIMEOUT.max(self.round() * MAX_MISSED_HEARTBEATS)
    }

    /// Round of heartbeats of the peers, whether or not they are on the list of nodes.
    fn round(&self) -> Duration {
        heartbeat_round(self.expected_count().max(self.peers.len()))
    }
}
