//! Loads that peers report, and the load that this node reports to them.

use {
    super::{LoadTracker, PeerLoads, STALL_TIMEOUT, UpstreamLoad},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    turmerictack_model::ids::NodeId,
    turmerictack_protocol::heartbeat::{HeartbeatLoad, UpstreamKey},
};

/// Minimum age at which the load reported by a peer is discarded.
const MIN_PEER_LOAD_TIMEOUT: Duration = Duration::from_millis(1_500);

impl LoadTracker {
    /// Replaces the load last reported by a peer.
    pub fn merge_peer_loads(&mut self, now: Instant, node: &NodeId, loads: &[HeartbeatLoad]) {
        let counts = |l: &HeartbeatLoad| (u32::from(l.in_flight), l.prompt_tokens);
        let by_upstream: BTreeMap<UpstreamKey, (u32, u32)> =
            loads.iter().map(|l| (l.upstream, counts(l))).collect();
        for (key, (in_flight, unread_tokens)) in &by_upstream {
            let load = self.entry(now, *key);
            load.peer_in_flight += in_flight;
            load.peer_unread_tokens = load.peer_unread_tokens.saturating_add(*unread_tokens);
        }
        let loads_of_peer = PeerLoads { received_at: now, by_upstream };
        let previous = self.peer_loads.insert(node.clone(), loads_of_peer);
        if let Some(previous) = previous {
            self.subtract_peer_loads(&previous);
        }
        for load in loads.iter().filter(|l| l.progressing) {
            self.entry(now, load.upstream).peer_last_progress = Some(now);
        }
    }

    /// Drops the loads of peers that have not reported within the heartbeat timeout, so that the
    /// requests of a lost node do not occupy upstreams any longer.
    pub fn expire_peer_loads(&mut self, now: Instant, heartbeat_timeout: Duration) {
        let timeout = MIN_PEER_LOAD_TIMEOUT.max(heartbeat_timeout);
        let expired: Vec<NodeId> = self
            .peer_loads
            .iter()
            .filter(|(_, p)| now >= p.received_at + timeout)
            .map(|(node, _)| node.clone())
            .collect();
        for node in expired {
            if let Some(loads) = self.peer_loads.remove(&node) {
                self.subtract_peer_loads(&loads);
            }
        }
    }

    fn subtract_peer_loads(&mut self, loads: &PeerLoads) {
        for (key, (in_flight, unread_tokens)) in &loads.by_upstream {
            if let Some(load) = self.by_key.get_mut(key) {
                load.peer_in_flight = load.peer_in_flight.saturating_sub(*in_flight);
                load.peer_unread_tokens = load.peer_unread_tokens.saturating_sub(*unread_tokens);
            }
        }
    }

    /// Remembers the local load as reported to all peers in the round of heartbeats that begins.
    pub fn mark_reported(&mut self) {
        for load in self.by_key.values_mut() {
            load.reported = [load.reported[1], load.local_in_flight];
        }
    }

    /// Local load of upstreams that are busy or made progress lately.
    pub fn local_loads(&self, now: Instant) -> Vec<HeartbeatLoad> {
        let to_heartbeat_load = |(key, load): (&UpstreamKey, &UpstreamLoad)| {
            let progressing = load.last_progress.is_some_and(|at| now < at + STALL_TIMEOUT);
            (load.local_in_flight > 0 || progressing).then(|| HeartbeatLoad {
                upstream: *key,
                in_flight: u16::try_from(load.local_in_flight).unwrap_or(u16::MAX),
                prompt_tokens: load.local_unread_tokens,
                progressing,
                stalled: self.is_stalled(now, *key),
            })
        };
        self.by_key.iter().filter_map(to_heartbeat_load).collect()
    }
}
