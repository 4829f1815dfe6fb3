//! Difference between the desired and the serving groups of a domain.

use {
    crate::{control::GroupTarget, health::HealthTable},
    std::time::Instant,
    turmerictack_model::ids::ServiceId,
};

/// Missing capacity of one service in a domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shortfall {
    /// Id of the service.
    pub service: ServiceId,
    /// Number of desired groups that do not serve.
    pub groups: usize,
    /// Number of instances that idle because those groups do not serve, without spare instances.
    pub instances: usize,
}

/// Computes the missing capacity of a service from the health reports. A group without fresh
/// reports counts as missing.
pub fn shortfall(target: &GroupTarget, health: &HealthTable, now: Instant) -> Shortfall {
    let serving =
        target.instances.iter().filter(|i| is_head_of_serving_group(i, health, now)).count();
    let groups = target.groups.saturating_sub(serving);
    let not_serving = target.instances.len().saturating_sub(serving * target.group_size);
    let spares = target.instances.len().saturating_sub(target.groups * target.group_size);
    let instances = not_serving.saturating_sub(spares).min(groups * target.group_size);
    Shortfall { service: target.service.clone(), groups, instances }
}

fn is_head_of_serving_group(instance: &str, health: &HealthTable, now: Instant) -> bool {
    let claim = health.fresh_report(instance, now).and_then(|r| r.claim.as_ref());
    claim.is_some_and(|c| {
        c.members.first().is_some_and(|first| first == instance)
            && health.check_group(&c.group, c.epoch, now).is_ok()
    })
}
