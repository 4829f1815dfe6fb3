//! Election of the node that leads group control.

use {
    super::{LeaderStatus, Peer, PeerTable},
    derive_more::Error,
    displaydoc::Display,
    std::time::{Duration, Instant},
    turmerictack_model::{
        ids::{Address, NodeId},
        rendezvous::owners,
    },
};

/// Rendezvous hashing key that ranks nodes for leadership.
const LEADER_KEY: &str = "groups";

/// Reason for which a node does not lead.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Error)]
pub enum NotLeading {
    /// ineligible
    Ineligible,
    /// unregistered
    Unregistered,
    /// cut_off
    Deferring,
    /// announcing
    Announcing,
    /// another_leads
    AnotherLeads,
    /// another_ranks_first
    AnotherRanksFirst,
}

/// Peer that leads, as far as a node knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownLeader {
    /// Name of the peer.
    pub node: NodeId,
    /// Time since its last heartbeat.
    pub age: Duration,
}

impl PeerTable {
    /// Whether this node should lead group control; `own` is its status so far.
    pub fn should_lead(&self, now: Instant, address: &Address, own: LeaderStatus) -> bool {
        self.check_lead(now, address, own).is_ok()
    }

    /// Checks whether this node should lead group control; `own` is its status so far.
    ///
    /// A leader stays in place while it is eligible, because a successor would have to wait until
    /// it has learned what the previous leader knew. Of several leaders only the one that ranks
    /// first stays. A node that is cut off leaves the lead to one that isn't, if there is any.
    ///
    /// # Errors
    /// The reason for which the node should not lead.
    pub fn check_lead(
        &self,
        now: Instant,
        address: &Address,
        own: LeaderStatus,
    ) -> Result<(), NotLeading> {
        if !own.eligible {
            return Err(NotLeading::Ineligible);
        }
        if !self.registered.contains_key(address) {
            return Err(NotLeading::Unregistered);
        }
        let candidates: Vec<&Peer> = self
            .peers
            .values()
            .filter(|p| p.status.eligible && self.is_alive(now, p))
            .filter(|p| p.address != *address)
            .collect();
        let has_sound = candidates.iter().any(|p| !p.status.defers);
        if own.defers && has_sound {
            return Err(NotLeading::Deferring);
        }
        let candidates: Vec<&Peer> =
            candidates.into_iter().filter(|p| own.defers || !p.status.defers).collect();
        let leaders = candidates.iter().filter(|p| p.status.is_leader).map(|p| p.address.as_str());
        if own.is_leader {
            return ranks_first(address, leaders).then_some(()).ok_or(NotLeading::AnotherLeads);
        }
        if candidates.iter().any(|p| p.status.is_leader) {
            return Err(NotLeading::AnotherLeads);
        }
        if self.is_announcing(now) {
            return Err(NotLeading::Announcing);
        }
        let others = candidates.iter().map(|p| p.address.as_str());
        ranks_first(address, others).then_some(()).ok_or(NotLeading::AnotherRanksFirst)
    }

    /// The peer that announced last that it leads, whether or not it is alive.
    pub fn known_leader(&self, now: Instant) -> Option<KnownLeader> {
        let leaders = self.peers.iter().filter(|(_, p)| p.status.is_leader);
        let (node, peer) = leaders.max_by_key(|(_, p)| p.last_heartbeat)?;
        let age = now.saturating_duration_since(peer.last_heartbeat);
        Some(KnownLeader { node: node.clone(), age })
    }
}

/// Whether an address ranks before all others for leadership.
fn ranks_first<'a>(address: &'a str, others: impl Iterator<Item = &'a str>) -> bool {
    owners(LEADER_KEY, others.chain([address]), 1) == [address]
}
