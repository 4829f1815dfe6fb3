//! What a domain lacks of the groups that are wanted there.

use {
    crate::{control::Want, health::HealthTable},
    std::time::Instant,
    turmerictack_model::ids::ServiceId,
};

/// What is lacking of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shortfall {
    /// Service.
    pub service: ServiceId,
    /// Groups that are wanted and don't serve.
    pub groups: usize,
    /// Instances that would serve if those groups did; spares are none of them.
    pub instances: usize,
}

/// What the domain lacks of a service, by the evidence; a group that nobody hears of is lacking.
pub fn shortfall(want: &Want, evidence: &HealthTable, now: Instant) -> Shortfall {
    let serving = want.instances.iter().filter(|i| leads_serving_group(i, evidence, now)).count();
    let groups = want.groups.saturating_sub(serving);
    let idle = want.instances.len().saturating_sub(serving * want.size);
    let spares = want.instances.len().saturating_sub(want.groups * want.size);
    let instances = idle.saturating_sub(spares).min(groups * want.size);
    Shortfall { service: want.service.clone(), groups, instances }
}

fn leads_serving_group(instance: &str, evidence: &HealthTable, now: Instant) -> bool {
    let claim = evidence.fresh_report(instance, now).and_then(|r| r.claim.as_ref());
    claim.is_some_and(|c| {
        c.members.first().is_some_and(|first| first == instance)
            && evidence.check_group(&c.group, c.epoch, now).is_ok()
    })
}
