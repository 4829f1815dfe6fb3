//! Records how dials end, and tells the rest of the node of lost and restored paths.

use {
    super::{FailedDial, PathChange},
    crate::{
        interfaces::{PathObserver, TunnelError},
        tables::Tables,
    },
    cadence::{Counted as _, Gauged as _, StatsdClient},
    std::sync::{Arc, OnceLock, Weak},
    turmerictack_model::{
        clock::Clock,
        ids::{Address, InstanceId},
    },
    turmerictack_telemetry::logs,
};

/// Records the results of dials in the table of paths.
pub(super) struct PathRecorder {
    pub(super) tables: Arc<Tables>,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) metrics: Arc<StatsdClient>,
    pub(super) observer: OnceLock<Weak<dyn PathObserver>>,
}

impl PathRecorder {
    /// Records that a direct connection was opened.
    pub(super) fn record_open(&self, instance: &InstanceId) {
        let change = self.tables.paths.lock().record_open(self.clock.now(), instance);
        if change.is_some() {
            logs::event("direct_path_restored").with("instance", instance).info();
            self.record_down_count();
            if let Some(observer) = self.observer() {
                observer.path_restored(instance);
            }
        }
    }

    /// Records that a direct dial failed or takes long.
    pub(super) fn record_direct_failure(&self, instance: &InstanceId) {
        self.tables.paths.lock().record_direct_failure(self.clock.now(), instance);
    }

    /// Records that a direct dial failed although a tunnel through `peer` opened.
    pub(super) fn record_failure(&self, instance: &InstanceId, peer: &Address, dial: FailedDial) {
        let now = self.clock.now();
        let change = self.tables.paths.lock().record_failure(now, instance, dial);
        if let Some(PathChange::Lost(how)) = change {
            logs::event("direct_path_lost")
                .with("instance", instance)
                .with("peer", peer)
                .with("how", how)
                .info();
            self.record_down_count();
            self.tables.forgive_failures(now, instance);
            if let Some(observer) = self.observer() {
                observer.path_lost(instance, how);
            }
        }
    }

    /// Records that peers, too, were refused by an instance.
    ///
    /// It says nothing if this node is refused by most, since those peers may be cut off with it.
    pub(super) fn record_crash(&self, instance: &InstanceId) {
        let now = self.clock.now();
        let mut paths = self.tables.paths.lock();
        if !paths.lacks_paths(now) {
            paths.record_crash(now, instance);
        }
    }

    /// Records that a tunnel was opened.
    pub(super) fn record_tunnel(&self) {
        let _ = self.metrics.count("dials.tunnelled", 1);
    }

    /// Records that a peer could not open a tunnel.
    pub(super) fn record_tunnel_failure(
        &self,
        instance: &InstanceId,
        peer: &Address,
        error: TunnelError,
    ) {
        self.tables.paths.lock().record_peer_failure(self.clock.now(), instance, peer);
        let reason = error.to_string();
        self.metrics.count_with_tags("dials.tunnel_failed", 1).with_tag("reason", &reason).send();
    }

    fn record_down_count(&self) {
        let down = self.tables.paths.lock().down_count();
        let _ = self.metrics.gauge("paths.down", down as u64);
    }

    fn observer(&self) -> Option<Arc<dyn PathObserver>> {
        self.observer.get().and_then(Weak::upgrade)
    }
}
