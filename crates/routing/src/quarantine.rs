//! Quarantine of requests suspected of crashing their upstreams.
//!
//! Such a request would crash more upstreams when it is retried or sent again. Nodes therefore
//! record which upstreams were lost on each request and gossip these losses; a request with too
//! many of them is rejected.

use {
    crate::UpstreamId,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    turmerictack_model::digest::Digest,
};

/// Time for which a request is kept after the last upstream was lost on it.
const RETENTION: Duration = Duration::from_secs(600);

/// Largest number of requests kept; above it, those with the oldest last loss are dropped.
const MAX_REQUESTS: usize = 4096;

/// Number of gossip rounds in which a loss is sent to other nodes.
const GOSSIP_ROUNDS: u32 = 4;

/// Largest number of losses sent in one gossip round.
const MAX_LOSSES_PER_ROUND: usize = 16;

/// Largest number of upstreams kept for one request.
const MAX_UPSTREAMS: usize = 8;

/// An upstream that was lost while it may have been running a request: its connection broke, or it
/// stalled or sent an incomplete response.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UpstreamLoss {
    /// Digest of the caller, route and body of the request.
    pub digest: Digest,
    /// Name of the upstream; that of a group contains its epoch.
    pub upstream: UpstreamId,
}

#[derive(Debug)]
struct Entry {
    upstreams: BTreeSet<UpstreamId>,
    last_loss: Instant,
}

/// Suspect requests, each with the upstreams lost on it on any node.
#[derive(Debug, Default)]
pub struct Quarantine {
    entries: BTreeMap<Digest, Entry>,
    pending_updates: Vec<(UpstreamLoss, u32)>,
}

impl Quarantine {
    /// Records a loss that this node saw or another node reported; a new one is gossiped.
    pub fn record_loss(&mut self, now: Instant, loss: UpstreamLoss) {
        self.prune(now);
        let entry = self
            .entries
            .entry(loss.digest.clone())
            .or_insert_with(|| Entry { upstreams: BTreeSet::new(), last_loss: now });
        let full = entry.upstreams.len() >= MAX_UPSTREAMS;
        if !full && entry.upstreams.insert(loss.upstream.clone()) {
            entry.last_loss = now;
            self.pending_updates.push((loss, GOSSIP_ROUNDS));
        }
    }

    /// Losses to send to other nodes in this gossip round.
    pub fn next_updates(&mut self) -> Vec<UpstreamLoss> {
        let mut updates = Vec::new();
        for (loss, rounds) in self.pending_updates.iter_mut().take(MAX_LOSSES_PER_ROUND) {
            updates.push(loss.clone());
            *rounds -= 1;
        }
        self.pending_updates.retain(|(_, rounds)| *rounds > 0);
        updates
    }

    /// Whether there are losses to gossip.
    pub fn has_updates(&self) -> bool {
        !self.pending_updates.is_empty()
    }

    /// Number of upstreams lost on the request; 0 once the retention time has passed.
    pub fn loss_count(&self, now: Instant, digest: &str) -> usize {
        let entry = self.entries.get(digest);
        entry.filter(|e| now < e.last_loss + RETENTION).map_or(0, |e| e.upstreams.len())
    }

    /// Removes a request from quarantine on behalf of an operator; `false` if it was not there.
    pub fn lift(&mut self, digest: &str) -> bool {
        self.entries.remove(digest).is_some()
    }

    /// The requests kept, with the number of upstreams lost on each.
    pub fn entries(&self) -> impl Iterator<Item = (&Digest, usize)> {
        self.entries.iter().map(|(digest, entry)| (digest, entry.upstreams.len()))
    }

    fn prune(&mut self, now: Instant) {
        if self.entries.len() < MAX_REQUESTS {
            return;
        }
        self.entries.retain(|_, e| now < e.last_loss + RETENTION);
        while self.entries.len() >= MAX_REQUESTS {
            let oldest = self.entries.iter().min_by_key(|(_, e)| e.last_loss);
            let Some(digest) = oldest.map(|(digest, _)| digest.clone()) else {
                return;
            };
            self.entries.remove(&digest);
        }
    }
}
