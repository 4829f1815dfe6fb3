//! Room for further requests at an upstream.

use {super::LoadTracker, crate::directory::Upstream, std::time::Instant};

/// Requests sent to an upstream beyond its slots; kept small because requests in the queues of
/// this node can still be reordered.
const MAX_EXCESS_REQUESTS: u32 = 1;

impl LoadTracker {
    /// Expected requests in flight at an upstream; `None` if it has no room for a further one.
    ///
    /// What peers have sent since their latest heartbeats is not known here, so each of them is
    /// assumed to have sent as many requests as this node has since its last but one round of them.
    /// Otherwise all nodes with queued requests would overload a group at the moment it opens. Paced
    /// upstreams need no such assumption, since the nodes share out what is free there.
    pub(super) fn in_flight_with_room(
        &self,
        now: Instant,
        upstream: &Upstream,
        reserved_share: f64,
    ) -> Option<u32> {
        let estimate = self.estimate(now, upstream.key);
        if let Some(pace) = self.paces.limit(upstream.key) {
            let bound = pace.bound.min(upstream.slots);
            let reserved_slots = (f64::from(bound) * reserved_share) as u32;
            let local = self.by_key.get(&upstream.key).map_or(0, |l| l.local_in_flight);
            let in_flight = estimate.saturating_sub(pace.overdue).max(local);
            let has_room = pace.sends_left > 0 && in_flight.saturating_add(reserved_slots) < bound;
            return has_room.then_some(in_flight);
        }
        let unreported = self
            .by_key
            .get(&upstream.key)
            .map_or(0, |l| l.local_in_flight.saturating_sub(l.reported[0]));
        let peer_nodes = u32::try_from(self.peer_loads.len()).unwrap_or(u32::MAX);
        let in_flight = estimate.saturating_add(unreported.saturating_mul(peer_nodes));
        let reserved_slots = (f64::from(upstream.slots) * reserved_share).ceil() as u32;
        let expected = in_flight.saturating_add(reserved_slots);
        let has_room = expected < upstream.slots.saturating_add(MAX_EXCESS_REQUESTS);
        has_room.then_some(in_flight)
    }
}
