//! Deterministic subsetting: selects the fabric domains that a node monitors when the fleet is too
//! large to monitor every instance.

use {
    std::collections::{BTreeMap, BTreeSet},
    turmerictack_model::rendezvous::owners,
};

/// Minimum number of instances of a pool that a node monitors, if the pool has as many.
pub const MIN_MONITORED: usize = 32;

/// Average number of nodes that monitor an instance, in fleets where each node monitors more than
/// [`MIN_MONITORED`] instances.
pub const MONITORS_PER_INSTANCE: usize = 10;

/// Counts of a domain's instances in one pool, as known to a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DomainCounts {
    /// Instances that the platform lists.
    pub listed: usize,
    /// Listed instances with a fresh health report.
    pub fresh: usize,
    /// Whether the domain is in the node's own data centre.
    pub local: bool,
}

/// Number of instances that each node monitors in a pool of `listed` instances.
pub fn instances_per_node(listed: usize, nodes: usize) -> usize {
    (listed * MONITORS_PER_INSTANCE).div_ceil(nodes.max(1)).clamp(MIN_MONITORED.min(listed), listed)
}

/// Selects the domains that a node monitors for one pool.
///
/// Domains are added in rendezvous order, those of the node's own data centre first, until the
/// selected domains have enough instances with a fresh report. Domains without fresh reports that
/// come before the last one are monitored too, so that the node notices when they recover.
pub fn monitored_domains(
    node: &str,
    domains: &BTreeMap<&str, DomainCounts>,
    nodes: usize,
) -> BTreeSet<String> {
    let listed = domains.values().map(|c| c.listed).sum();
    let required = instances_per_node(listed, nodes);
    let mut fresh = 0;
    let ranked = owners(node, domains.keys().copied(), domains.len());
    let (local, remote): (Vec<&str>, Vec<&str>) =
        ranked.into_iter().partition(|d| domains[d].local);
    let mut selected = BTreeSet::new();
    for domain in local.into_iter().chain(remote) {
        if fresh >= required {
            break;
        }
        fresh += domains[domain].fresh;
        selected.insert(domain.to_owned());
    }
    selected
}
