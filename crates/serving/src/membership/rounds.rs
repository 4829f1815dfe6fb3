//! Whom a node sends heartbeats, and when.

use {
    super::{Peer, PeerTable},
    std::time::{Duration, Instant},
    turmerictack_model::ids::Address,
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

/// Number of peers to which a node sends heartbeats in one interval.
pub fn heartbeats_per_interval(peers: usize) -> usize {
    if peers > LARGE_CLUSTER { LARGE_CLUSTER_HEARTBEATS } else { MAX_HEARTBEATS_PER_INTERVAL }
}

/// Time in which a node sends a heartbeat to each of its peers.
pub fn heartbeat_round(peers: usize) -> Duration {
    let intervals = u32::try_from(peers.div_ceil(heartbeats_per_interval(peers)));
    HEARTBEAT_INTERVAL * intervals.unwrap_or(u32::MAX)
}

/// Time in which a node that may lead sends a further heartbeat to each of `peers` that may lead.
pub(super) fn leader_round(peers: usize) -> Duration {
    let intervals = u32::try_from(peers.div_ceil(LEADER_HEARTBEATS));
    HEARTBEAT_INTERVAL * intervals.unwrap_or(u32::MAX)
}

/// Number of batches of heartbeats with one to a silent address; a node that was cut off from this
/// one from the beginning gets in touch by them.
const BATCHES_PER_SILENT_ADDRESS: u32 = 4;

/// Peers to which heartbeats are sent in one interval.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatBatch {
    /// Heartbeat addresses.
    pub addresses: Vec<Address>,
    /// Whether all peers have been addressed since the batch that last had this set.
    pub starts_round: bool,
}

impl PeerTable {
    /// Next batch of peers to send heartbeats to; successive batches address all peers in turn.
    pub fn next_heartbeat_batch(&mut self, own: &Address) -> HeartbeatBatch {
        let mut addresses = self.heartbeat_addresses(own);
        let batch_size = if self.has_listened() {
            heartbeats_per_interval(addresses.len())
        } else {
            MAX_HEARTBEATS_PER_INTERVAL
        };
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

    /// Peers that may lead or are relays, to which a node that may lead too sends further heartbeats, in
    /// turn.
    ///
    /// In a large cluster, the death of the leader would otherwise be noticed late, and two nodes that
    /// become eligible at the same time would not know of each other.
    pub fn next_leader_batch(&mut self, now: Instant) -> Vec<Address> {
        if !self.is_large() || !self.candidacy.sends_frequently(now) {
            return Vec::new();
        }
        let timeout = self.heartbeat_timeout();
        let may_lead = |p: &&Peer| self.is_candidate(p) && now < p.last_heartbeat + timeout;
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

    /// Whether nodes hear of each other so seldom that those that may lead send further heartbeats.
    pub(super) fn is_large(&self) -> bool {
        self.expected_count() > LARGE_CLUSTER
    }
}
