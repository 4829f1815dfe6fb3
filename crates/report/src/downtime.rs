//! Time for which groups were missing and instances idle for it, as the nodes in charge saw it.

use {
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    turmerictack_model::ids::{FabricDomain, ServiceId},
};

/// Longest time between looks at a domain; a node that did not look for longer was not in charge.
const MAX_OBSERVATION_GAP: Duration = Duration::from_secs(2);

/// What one service lost since the nodes started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Downtime {
    /// Time in ms that groups were missing, added up over groups.
    pub missing_group_ms: u64,
    /// Time in ms that instances did not serve for it, added up over instances.
    pub stranded_instance_ms: u64,
}

impl Downtime {
    /// Adds what another node saw.
    pub fn merge(&mut self, other: Self) {
        self.missing_group_ms += other.missing_group_ms;
        self.stranded_instance_ms += other.stranded_instance_ms;
    }
}

/// Downtime by service, for the domains that a node has charge of.
#[derive(Debug, Default)]
pub struct DowntimeMeter {
    last_observed: BTreeMap<FabricDomain, Instant>,
    by_service: BTreeMap<ServiceId, Downtime>,
}

impl DowntimeMeter {
    /// Time that a look at a domain stands for: that since the last one.
    pub fn observe(&mut self, now: Instant, domain: &str) -> Duration {
        let previous = self.last_observed.insert(domain.to_owned(), now);
        let elapsed =
            previous.map_or(Duration::ZERO, |previous| now.saturating_duration_since(previous));
        if elapsed > MAX_OBSERVATION_GAP { Duration::ZERO } else { elapsed }
    }

    /// Counts groups that were missing, and instances that were idle for it, for a time.
    pub fn record_missing(
        &mut self,
        service: &str,
        groups: usize,
        instances: usize,
        elapsed: Duration,
    ) {
        let ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        let added = Downtime {
            missing_group_ms: groups as u64 * ms,
            stranded_instance_ms: instances as u64 * ms,
        };
        self.by_service.entry(service.to_owned()).or_default().merge(added);
    }

    /// What was counted so far.
    pub fn by_service(&self) -> &BTreeMap<ServiceId, Downtime> {
        &self.by_service
    }
}
