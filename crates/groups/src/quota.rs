//! Distribution of the groups of a service over the fabric domains.

use {std::collections::BTreeMap, turmerictack_model::ids::FabricDomain};

/// Spreads `groups` groups evenly over the domains, limited by the number of instances in each.
///
/// The result depends on the arguments only, so nodes with the same list agree on it. The sum is
/// less than `groups` if there are too few instances.
pub fn quotas(
    groups: usize,
    group_size: usize,
    instances: &BTreeMap<FabricDomain, usize>,
) -> BTreeMap<FabricDomain, usize> {
    let mut quotas: BTreeMap<FabricDomain, usize> =
        instances.keys().map(|d| (d.clone(), 0)).collect();
    let mut remaining = groups;
    loop {
        let before = remaining;
        for (domain, quota) in &mut quotas {
            let capacity = instances[domain] / group_size.max(1);
            if remaining > 0 && *quota < capacity {
                *quota += 1;
                remaining -= 1;
            }
        }
        if remaining == before {
            return quotas;
        }
    }
}
