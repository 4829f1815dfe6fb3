//! Paces in the tables of a node.

use {
    super::{Listing, PaceChange},
    crate::{
        config::Config,
        directory::Directory,
        queue::Queue,
        tables::{Balancer, Tables},
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    turmerictack_telemetry::logs,
};

/// Applies a new list of upstreams.
pub(crate) fn update_paces(
    now: Instant,
    config: &Config,
    directory: &Directory,
    balancer: &mut Balancer,
) {
    let Balancer { loads, response_times, .. } = balancer;
    let pools = Arc::clone(directory.pools());
    let listing = Listing {
        pools: &pools,
        is_paced: &|service| config.services.get(service).is_some_and(|s| s.paces_returns),
        has_usual: &|pool| !response_times.median(pool).is_zero(),
        returned_at: &|data_centre| directory.evacuations().returned_at(data_centre),
    };
    loads.paces.set_listed(now, &listing);
}

impl Tables {
    /// Shares out what is free at paced upstreams until the next interval of heartbeats.
    pub(crate) fn begin_pace_interval(&self, now: Instant, peer_timeout: Duration) {
        let changes = {
            let mut balancer = self.balancer.lock();
            let Balancer { loads, rng, .. } = &mut *balancer;
            let queues = self.queues.lock();
            let waiting = |pool: &_| queues.get(pool).map_or(0, Queue::len);
            loads.begin_pace_interval(now, peer_timeout, &waiting, rng);
            loads.paces.take_changes()
        };
        changes.into_iter().for_each(log_change);
    }
}

fn log_change(change: PaceChange) {
    match change {
        PaceChange::Began { upstream, reason, bound, slots } => logs::event("upstream_paced")
            .with("upstream", upstream)
            .with("reason", reason)
            .with("bound", bound)
            .with("slots", slots)
            .info(),
        PaceChange::Ended { upstream, after } => logs::event("upstream_pace_ended")
            .with("upstream", upstream)
            .with("after_ms", after.as_millis())
            .info(),
    }
}
