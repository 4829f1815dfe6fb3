//! Time for which groups were missing and instances idle as a result.
//!
//! Each fabric domain is observed by the node that owns it.

use {
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    turmerictack_model::ids::{FabricDomain, ServiceId},
};

/// Maximum time between two observations of a domain; after a longer gap, the node did not own the
/// domain in between.
const MAX_OBSERVATION_GAP: Duration = Duration::from_secs(2);

/// Downtime of one service since the nodes started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Downtime {
    /// Time in ms for which groups were missing, summed over groups.
    pub missing_group_ms: u64,
    /// Time in ms for which instances were idle because their group was missing, summed over
    /// instances.
    pub stranded_instance_ms: u64,
}

impl Downtime {
    /// Adds the downtime recorded by another node.
    pub fn merge(&mut self, other: Self) {
        self.missing_group_ms += other.missing_group_ms;
        self.stranded_instance_ms += other.stranded_instance_ms;
    }
}

/// Measures the downtime of each service in the domains that this node owns.
#[derive(Debug, Default)]
pub struct DowntimeMeter {
    last_observed: BTreeMap<FabricDomain, Instant>,
    by_service: BTreeMap<ServiceId, Downtime>,
}

impl DowntimeMeter {
    /// Registers an observation of a domain and returns the time it covers: that since the previous
    /// one, or zero if the node did not own the domain in between.
    pub fn observe(&mut self, now: Instant, domain: &str) -> Duration {
        let previous = self.last_observed.insert(domain.to_owned(), now);
        let elapsed =
            previous.map_or(Duration::ZERO, |previous| now.saturating_duration_since(previous));
        if elapsed > MAX_OBSERVATION_GAP { Duration::ZERO } else { elapsed }
    }

    /// Records that `groups` groups were missing and `instances` instances idle as a result for the
    /// time `elapsed`.
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

    /// Downtime recorded so far.
    pub fn by_service(&self) -> &BTreeMap<ServiceId, Downtime> {
        &self.by_service
    }
}
