//! Liveness of nodes, and election of the node that leads group control.

use {
    crate::{paths::peers::TunnelPeer, relay::source::RelayCandidate},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    turmerictack_model::{
        ids::{Address, Incarnation, NodeId},
        rendezvous::owners,
    },
};

/// Interval at which heartbeats are sent, each time to the next few peers.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);

/// Number of peers to which heartbeats are sent in one interval.
///
/// Larger clusters exchange heartbeats less often instead of sending more of them, since a node
/// that talks to all others all the time has no processor time left for requests.
pub const MAX_HEARTBEATS_PER_INTERVAL: usize = 8;

/// The same number in clusters of more than [`LARGE_CLUSTER`] nodes.
///
/// There requests are spread as evenly with loads that are known half as often, and half of the
/// datagrams are saved.
const LARGE_CLUSTER_HEARTBEATS: usize = 4;

/// Number of peers above which fewer heartbeats are sent.
const LARGE_CLUSTER: usize = 100;

/// Additional heartbeats in one interval, in a large cluster, between the nodes that may lead.
const LEADER_HEARTBEATS: usize = 4;

/// Time between two heartbeats up to which a peer counts as one that sends them frequently.
const FREQUENT_HEARTBEAT: Duration = Duration::from_millis(500);

/// Minimum time without a heartbeat after which a node counts as dead.
const MIN_HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Number of heartbeats in a row that must be missing for a node to count as dead.
const MAX_MISSED_HEARTBEATS: u32 = 3;

/// Number of peers to which a node sends heartbeats in one interval.
pub fn heartbeats_per_interval(peers: usize) -> usize {
    if peers > LARGE_CLUSTER { LARGE_CLUSTER_HEARTBEATS } else { MAX_HEARTBEATS_PER_INTERVAL }
}

/// Time in which a node sends a heartbeat to each of its peers.
pub fn heartbeat_round(peers: usize) -> Duration {
    let intervals = u32::try_from(peers.div_ceil(heartbeats_per_interval(peers)));
    HEARTBEAT_INTERVAL * intervals.unwrap_or(u32::MAX)
}

/// Time after which a registered address that has sent no heartbeat is no longer taken for a node
/// that is about to start: another writer may have registered it, thousands of them.
const SILENT_AFTER: Duration = Duration::from_secs(30);

/// Number of batches of heartbeats with one to a silent address; a node that was cut off from this
/// one from the beginning gets in touch by them.
const BATCHES_PER_SILENT_ADDRESS: u32 = 4;

/// Rendezvous hashing key that ranks nodes for leadership.
const LEADER_KEY: &str = "groups";

#[derive(Clone, Debug)]
struct Peer {
    address: Address,
    incarnation: Incarnation,
    last_heartbeat: Instant,
    /// Time between the last two heartbeats.
    last_gap: Option<Duration>,
    status: LeaderStatus,
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
}

/// Peers to which heartbeats are sent in one interval.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatBatch {
    /// Heartbeat addresses.
    pub addresses: Vec<Address>,
    /// Whether all peers have been addressed since the batch that last had this set.
    pub starts_round: bool,
}

/// Time for which a newly registered node without a heartbeat so far counts as a candidate.
const STARTUP_GRACE: Duration = Duration::from_millis(1_500);

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
            last_gap: previous.map(|p| now.saturating_duration_since(p.last_heartbeat)),
            status,
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

    /// Next batch of peers to send heartbeats to; successive batches address all peers in turn.
    pub fn next_heartbeat_batch(&mut self, own: &Address) -> HeartbeatBatch {
        let mut addresses = self.heartbeat_addresses(own);
        let batch_size = heartbeats_per_interval(addresses.len());
        let next = match &self.last_addressed {
            Some(last) => addresses.partition_point(|a| a <= last),
            None => 0,
        };
        let starts_round = next == 0 || next >= addresses.len();
        if !starts_round {
            addresses.drain(..next);
        }
        addresses.truncate(batch_size);
        self.last_addressed = addresses.last().cloned();
        addresses.extend(self.next_silent(own));
        HeartbeatBatch { addresses, starts_round }
    }

    /// Silent address that gets a heartbeat now, if any; all of them get one in turn.
    fn next_silent(&mut self, own: &Address) -> Option<Address> {
        self.batches = self.batches.wrapping_add(1);
        if !self.batches.is_multiple_of(BATCHES_PER_SILENT_ADDRESS) {
            return None;
        }
        let is_later = |a: &&Address| self.last_silent.as_ref().is_none_or(|last| *a > last);
        let next = self.silent.iter().find(is_later).or(self.silent.first());
        self.last_silent = next.cloned();
        self.last_silent.clone().filter(|address| address != own)
    }

    /// Number of registered nodes that are not silent.
    fn expected_count(&self) -> usize {
        self.registered.len() - self.silent.len()
    }

    /// Peers that may lead, to which a node that may lead too sends further heartbeats, in turn.
    ///
    /// In a large cluster, the death of the leader would otherwise be noticed late.
    pub fn next_leader_batch(&mut self, now: Instant) -> Vec<Address> {
        if self.expected_count() <= LARGE_CLUSTER {
            return Vec::new();
        }
        let may_lead = |p: &&Peer| p.status.eligible && self.is_alive(now, p);
        let mut addresses: Vec<Address> =
            self.peers.values().filter(may_lead).map(|p| p.address.clone()).collect();
        addresses.sort_unstable();
        if let Some(last) = &self.last_leader_addressed {
            let next = addresses.partition_point(|a| a <= last);
            addresses.rotate_left(next);
        }
        addresses.truncate(LEADER_HEARTBEATS);
        self.last_leader_addressed = addresses.last().cloned();
        addresses
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

    /// Number of nodes on the platform's list.
    pub fn registered_count(&self) -> usize {
        self.registered.len()
    }

    fn is_alive(&self, now: Instant, peer: &Peer) -> bool {
        let is_frequent = peer.last_gap.is_some_and(|gap| gap <= FREQUENT_HEARTBEAT);
        let timeout = if is_frequent { MIN_HEARTBEAT_TIMEOUT } else { self.heartbeat_timeout() };
        now < peer.last_heartbeat + timeout
    }

    /// Time without a heartbeat after which a node counts as dead, unless it sends them frequently.
    pub fn heartbeat_timeout(&self) -> Duration {
        let round = heartbeat_round(self.expected_count().max(self.peers.len()));
        MIN_HEARTBEAT_TIMEOUT.max(round * MAX_MISSED_HEARTBEATS)
    }

    /// Whether this node should lead group control; `own` is its status so far.
    ///
    /// A leader stays in place while it is eligible, because a successor would have to wait until
    /// it has learned what the previous leader knew. Of several leaders only the one that ranks
    /// first stays. A node that is cut off leaves the lead to one that isn't, if there is any.
    pub fn should_lead(&self, now: Instant, address: &Address, own: LeaderStatus) -> bool {
        if !own.eligible || !self.registered.contains_key(address) {
            return false;
        }
        let candidates: Vec<&Peer> = self
            .peers
            .values()
            .filter(|p| p.status.eligible && self.is_alive(now, p))
            .filter(|p| p.address != *address)
            .collect();
        let has_sound = candidates.iter().any(|p| !p.status.defers);
        if own.defers && has_sound {
            return false;
        }
        let candidates: Vec<&Peer> =
            candidates.into_iter().filter(|p| own.defers || !p.status.defers).collect();
        let leaders = candidates.iter().filter(|p| p.status.is_leader).map(|p| p.address.as_str());
        if own.is_leader {
            return ranks_first(address, leaders);
        }
        if candidates.iter().any(|p| p.status.is_leader) {
            return false;
        }
        let has_no_heartbeat =
            |address: &Address| self.peers.values().all(|p| p.address != *address);
        let starting = self
            .registered
            .iter()
            .filter(|(address, since)| now < **since + STARTUP_GRACE && has_no_heartbeat(address))
            .map(|(address, _)| address.as_str())
            .filter(|a| a != address);
        ranks_first(address, candidates.iter().map(|p| p.address.as_str()).chain(starting))
    }
}

/// Whether an address ranks before all others for leadership.
fn ranks_first<'a>(address: &'a str, others: impl Iterator<Item = &'a str>) -> bool {
    owners(LEADER_KEY, others.chain([address]), 1) == [address]
}
