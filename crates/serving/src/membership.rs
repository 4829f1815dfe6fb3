//! Which nodes are alive, and which of them is in charge of the groups.

use {
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    turmerictack_model::{
        ids::{Address, Incarnation, NodeId},
        rendezvous::owners,
    },
};

/// Time without a beat after which a node counts as gone.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Key under which nodes are ranked for the control of groups.
const LEADER_KEY: &str = "groups";

#[derive(Clone, Debug)]
struct Peer {
    address: Address,
    incarnation: Incarnation,
    last_heartbeat: Instant,
    status: LeaderStatus,
}

/// What a node says of itself as to the control of groups.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaderStatus {
    /// Whether it could be in charge: it reads the store, and stays.
    pub eligible: bool,
    /// Whether it is in charge.
    pub is_leader: bool,
}

/// Nodes, by what they say themselves.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<NodeId, Peer>,
    registered: BTreeMap<Address, Instant>,
}

/// Time for which a node counts as alive from the moment that it is first listed.
const STARTUP_GRACE: Duration = Duration::from_millis(1_500);

impl PeerTable {
    /// Takes a beat; one of an earlier run changes nothing.
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
        let peer = Peer { address: address.clone(), incarnation, last_heartbeat: now, status };
        self.peers.insert(node.clone(), peer);
    }

    /// Takes the platform's list of nodes.
    pub fn set_registered(&mut self, now: Instant, addresses: Vec<Address>) {
        self.registered.retain(|address, _| addresses.contains(address));
        for address in addresses {
            self.registered.entry(address).or_insert(now);
        }
    }

    /// Addresses to send beats to.
    pub fn heartbeat_addresses(&self, own: &Address) -> Vec<Address> {
        let mut all: Vec<Address> = self.registered.keys().cloned().collect();
        all.extend(self.peers.values().map(|p| p.address.clone()));
        all.sort_unstable();
        all.dedup();
        all.retain(|a| a != own);
        all
    }

    /// Nodes that are alive, this one included.
    pub fn live_count(&self, now: Instant) -> usize {
        1 + self.peers.values().filter(|p| now < p.last_heartbeat + HEARTBEAT_TIMEOUT).count()
    }

    /// Whether this node is in charge of the groups; `own` is how it stood until now.
    ///
    /// Who is in charge stays so: a change makes the next one wait for what the last one knew.
    pub fn should_lead(&self, now: Instant, address: &Address, own: LeaderStatus) -> bool {
        if !own.eligible || !self.registered.contains_key(address) {
            return false;
        }
        let candidates: Vec<&Peer> = self
            .peers
            .values()
            .filter(|p| p.status.eligible && now < p.last_heartbeat + HEARTBEAT_TIMEOUT)
            .filter(|p| p.address != *address)
            .collect();
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

/// Whether an address ranks before others for the control of groups.
fn ranks_first<'a>(address: &'a str, others: impl Iterator<Item = &'a str>) -> bool {
    owners(LEADER_KEY, others.chain([address]), 1) == [address]
}
