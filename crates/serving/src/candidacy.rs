//! Whether this node may lead group control, and whether it watches the store itself.

use {
    crate::{
        heartbeat::NodeIdentity,
        relay::{
            FactKind,
            source::{RelayRoles, all_relays, assign_roles},
        },
        tables::Tables,
    },
    std::{mem, time::Instant},
    turmerictack_telemetry::logs,
};

impl Tables {
    /// Whether this node may lead group control: it has a view of its own, is not shutting down, and
    /// knows the other nodes.
    pub fn may_lead(&self, now: Instant) -> bool {
        self.has_own_fresh_view(now)
            && !self.directory.lock().evacuations().is_unread()
            && !self.lifecycle.lock().draining
            && self.peers.lock().has_listened()
    }

    /// Updates whether this node may lead, as its heartbeats say, and returns it.
    pub(crate) fn update_candidacy(&self, now: Instant, identity: &NodeIdentity) -> bool {
        let has_heard_all = self.peers.lock().update_listening(now, &identity.address);
        if has_heard_all {
            // The watcher may be waiting for the store, and a node without a role must not lead.
            self.assign_relay_roles(now, FactKind::Instances, identity);
        }
        let may_lead = self.may_lead(now);
        self.peers.lock().set_eligible(now, may_lead);
        may_lead
    }

    /// Assigns the roles for the objects of a kind from the nodes that are alive.
    ///
    /// A node watches the store itself until it has heard of the others, and while it leads: the lead
    /// does not change hands with the roles.
    pub fn assign_relay_roles(
        &self,
        now: Instant,
        kind: FactKind,
        identity: &NodeIdentity,
    ) -> RelayRoles {
        let (mut candidates, has_listened) = {
            let peers = self.peers.lock();
            (peers.relay_candidates(now), peers.has_listened())
        };
        candidates.retain(|c| c.address != identity.address);
        candidates.push(identity.relay_candidate());
        let mut roles = assign_roles(&identity.address, &candidates);
        if kind == FactKind::Instances {
            self.peers.lock().set_relays(all_relays(&candidates));
        }
        let mut lifecycle = self.lifecycle.lock();
        if !has_listened || lifecycle.is_leader {
            roles = RelayRoles { is_relay: true, relays: Vec::new(), ..roles };
        }
        let follows_relays = !roles.is_relay;
        if kind == FactKind::Instances
            && mem::replace(&mut lifecycle.follows_relays, follows_relays) != follows_relays
        {
            logs::event("relay_role_changed")
                .with("is_relay", roles.is_relay)
                .with("candidates", candidates.len())
                .info();
        }
        roles
    }
}
