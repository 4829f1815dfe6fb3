//! Whether this node may lead, and since when.

use {
    super::{PeerTable, rounds::heartbeat_round},
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
    turmerictack_model::ids::Address,
};

/// Minimum time for which a node listens to heartbeats before it may lead or be a relay. It reads the
/// list of nodes again in this time, since others may have started just after it.
const MIN_LISTENING: Duration = Duration::from_millis(500);

/// Rounds of heartbeats for which a node listens if some registered nodes are silent.
const LISTENING_ROUNDS: u32 = 2;

/// Maximum of that time, longer than a round of 380 nodes; another writer may have registered
/// thousands of addresses.
const MAX_LISTENING: Duration = Duration::from_secs(6);

/// Time for which a node that may no longer lead goes on sending frequent heartbeats, which say so.
const WITHDRAWAL: Duration = Duration::from_millis(500);

/// Time for which a node says that it may lead before it leads, in a large cluster; in others, a round
/// of heartbeats. A leader that did not know of it answers within this time.
const ANNOUNCEMENT: Duration = Duration::from_millis(600);

/// State of this node as a candidate.
#[derive(Debug, Default)]
pub(super) struct Candidacy {
    listening_since: Option<Instant>,
    has_listened: bool,
    eligible_since: Option<Instant>,
    ended_at: Option<Instant>,
}

impl Candidacy {
    pub(super) fn eligible_since(&self) -> Option<Instant> {
        self.eligible_since
    }

    /// Whether the node sends frequent heartbeats to the peers that may lead.
    pub(super) fn sends_frequently(&self, now: Instant) -> bool {
        self.eligible_since.is_some() || self.ended_at.is_some_and(|at| now < at + WITHDRAWAL)
    }
}

impl PeerTable {
    /// Whether this node has heard of the others, so that it knows who leads and which nodes are
    /// relays; it stays so.
    pub fn has_listened(&self) -> bool {
        self.candidacy.has_listened
    }

    /// Notes which of the registered nodes have been heard; returns whether the node has now listened
    /// for long enough.
    pub fn update_listening(&mut self, now: Instant, own: &Address) -> bool {
        if self.candidacy.has_listened || self.registered.is_empty() {
            return false;
        }
        let since = *self.candidacy.listening_since.get_or_insert(now);
        let listened = now.saturating_duration_since(since);
        let heard: BTreeSet<&Address> = self.peers.values().map(|p| &p.address).collect();
        let is_heard = |a: &Address| a == own || heard.contains(a) || self.silent.contains(a);
        let rounds = heartbeat_round(self.expected_count()) * LISTENING_ROUNDS;
        self.candidacy.has_listened = listened >= MIN_LISTENING
            && (self.registered.keys().all(is_heard) || listened >= rounds.min(MAX_LISTENING));
        self.candidacy.has_listened
    }

    /// Whether the nodes that may lead have had no time yet to learn that this one may.
    pub(super) fn is_announcing(&self, now: Instant) -> bool {
        let round = heartbeat_round(self.expected_count());
        let announcement = if self.is_large() { ANNOUNCEMENT } else { round };
        self.candidacy.eligible_since.is_some_and(|since| now < since + announcement)
    }

    /// Sets whether this node may lead, as its heartbeats say from now on.
    pub fn set_eligible(&mut self, now: Instant, is_eligible: bool) {
        let candidacy = &mut self.candidacy;
        if is_eligible {
            candidacy.eligible_since.get_or_insert(now);
        } else if candidacy.eligible_since.take().is_some() {
            candidacy.ended_at = Some(now);
        }
    }
}
