//! Effects of lost paths on the other tables.

use {
    super::IsolationChange,
    crate::{directory::upstream_key, tables::Tables},
    std::time::Instant,
    turmerictack_model::ids::InstanceId,
    turmerictack_telemetry::logs,
};

impl Tables {
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

    /// Clears the failures of an instance at this node, since it was the path that failed.
    pub(super) fn forgive_failures(&self, now: Instant, instance: &InstanceId) {
        self.balancer.lock().loads.forgive_failures(now, upstream_key(instance));
        self.dispatch_all_waiting(now);
    }
}
