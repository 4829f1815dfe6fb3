//! Effects of lost paths on the other tables.

use {
    super::{DirectPath, IsolationChange},
    crate::{
        directory::upstream_key, interfaces::TunnelError, load::UpstreamOutcome, tables::Tables,
    },
    std::time::Instant,
    turmerictack_model::ids::InstanceId,
    turmerictack_telemetry::logs,
};

impl Tables {
    /// What to tell a peer for which this node dialled an instance that refused it.
    pub fn refusal_for_peer(&self, now: Instant) -> TunnelError {
        if self.paths.lock().is_doubtful_witness(now) {
            TunnelError::Unreachable
        } else {
            TunnelError::Refused
        }
    }

    /// Forgets the paths to instances that are gone or not used, and logs whether the node is isolated.
    pub(crate) fn expire_paths(&self, now: Instant) {
        let change = {
            let directory = self.directory.lock();
            self.paths.lock().expire(now, &|id| directory.get(id).is_some())
        };
        if let Some(IsolationChange { is_isolated, down, known }) = change {
            let event = if is_isolated { "node_isolated" } else { "node_reachable" };
            logs::event(event).with("paths_down", down).with("paths_known", known).info();
        }
    }

    /// What the result of a request says about the health of its upstream, given its path.
    ///
    /// A connection that breaks while the direct path is down says nothing about the upstream.
    pub(crate) fn outcome_on_path(
        &self,
        instance: &InstanceId,
        outcome: UpstreamOutcome,
    ) -> UpstreamOutcome {
        let is_down = || matches!(self.paths.lock().state(instance), DirectPath::Down { .. });
        match outcome {
            UpstreamOutcome::ConnectionLost if is_down() => UpstreamOutcome::Inconclusive,
            outcome => outcome,
        }
    }

    /// Clears the failures of an instance at this node, since it was the path that failed.
    pub(super) fn forgive_failures(&self, now: Instant, instance: &InstanceId) {
        self.balancer.lock().loads.forgive_failures(now, upstream_key(instance));
        self.dispatch_all_waiting(now);
    }
}
