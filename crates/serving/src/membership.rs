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
const BEAT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Key under which nodes are ranked for the control of groups.
const CONTROL_KEY: &str = "groups";

#[derive(Clone, Debug)]
struct Peer {
    address: Address,
    incarnation: Incarnation,
    heard: Instant,
    eligible: bool,
}

/// Nodes, by what they say themselves.
#[derive(Debug, Default)]
pub struct Members {
    peers: BTreeMap<NodeId, Peer>,
    listed: BTreeMap<Address, Instant>,
}

/// Time for which a node counts as alive from the moment that it is first listed.
const LISTED_TIMEOUT: Duration = Duration::from_millis(1_500);

impl Members {
    /// Takes a beat; one of an earlier run changes nothing.
    pub fn heard(
        &mut self,
        now: Instant,
        node: &NodeId,
        address: &Address,
        incarnation: Incarnation,
        eligible: bool,
    ) {
        if self.peers.get(node).is_some_and(|p| p.incarnation > incarnation) {
            return;
        }
        let peer = Peer { address: address.clone(), incarnation, heard: now, eligible };
        self.peers.insert(node.clone(), peer);
    }

    /// Takes the platform's list of nodes.
    pub fn set_listed(&mut self, now: Instant, listed: Vec<Address>) {
        self.listed.retain(|address, _| listed.contains(address));
        for address in listed {
            self.listed.entry(address).or_insert(now);
        }
    }

    /// Addresses to send beats to.
    pub fn addresses(&self, own: &Address) -> Vec<Address> {
        let mut all: Vec<Address> = self.listed.keys().cloned().collect();
        all.extend(self.peers.values().map(|p| p.address.clone()));
        all.sort_unstable();
        all.dedup();
        all.retain(|a| a != own);
        all
    }

    /// Nodes that are alive, this one included.
    pub fn live_count(&self, now: Instant) -> usize {
        1 + self.peers.values().filter(|p| now < p.heard + BEAT_TIMEOUT).count()
    }

    /// Whether this node is in charge of the groups.
    pub fn is_in_charge(&self, now: Instant, own: &Address, eligible: bool) -> bool {
        if !eligible || !self.listed.contains_key(own) {
            return false;
        }
        let heard = self.peers.values();
        let alive = heard
            .filter(|p| p.eligible && now < p.heard + BEAT_TIMEOUT)
            .map(|p| p.address.as_str());
        let is_unheard = |address: &Address| self.peers.values().all(|p| p.address != *address);
        let starting = self
            .listed
            .iter()
            .filter(|(address, since)| now < **since + LISTED_TIMEOUT && is_unheard(address))
            .map(|(address, _)| address.as_str());
        let candidates = alive.chain(starting).filter(|a| a != own).chain([own.as_str()]);
        owners(CONTROL_KEY, candidates, 1) == [own.as_str()]
    }
}
