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
    standing: Standing,
}

/// What a node says of itself as to the control of groups.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// Whether it could be in charge: it reads the store, and stays.
    pub eligible: bool,
    /// Whether it is in charge.
    pub in_charge: bool,
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
        standing: Standing,
    ) {
        if self.peers.get(node).is_some_and(|p| p.incarnation > incarnation) {
            return;
        }
        let peer = Peer { address: address.clone(), incarnation, heard: now, standing };
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

    /// Whether this node is in charge of the groups; `own` is how it stood until now.
    ///
    /// Who is in charge stays so: a change makes the next one wait for what the last one knew.
    pub fn is_in_charge(&self, now: Instant, address: &Address, own: Standing) -> bool {
        if !own.eligible || !self.listed.contains_key(address) {
            return false;
        }
        let rivals: Vec<&Peer> = self
            .peers
            .values()
            .filter(|p| p.standing.eligible && now < p.heard + BEAT_TIMEOUT)
            .filter(|p| p.address != *address)
            .collect();
        let holders = rivals.iter().filter(|p| p.standing.in_charge).map(|p| p.address.as_str());
        if own.in_charge {
            return is_first(address, holders);
        }
        if rivals.iter().any(|p| p.standing.in_charge) {
            return false;
        }
        let is_unheard = |address: &Address| self.peers.values().all(|p| p.address != *address);
        let starting = self
            .listed
            .iter()
            .filter(|(address, since)| now < **since + LISTED_TIMEOUT && is_unheard(address))
            .map(|(address, _)| address.as_str())
            .filter(|a| a != address);
        is_first(address, rivals.iter().map(|p| p.address.as_str()).chain(starting))
    }
}

/// Whether an address ranks before others for the control of groups.
fn is_first<'a>(address: &'a str, others: impl Iterator<Item = &'a str>) -> bool {
    owners(CONTROL_KEY, others.chain([address]), 1) == [address]
}
