//! Controller of one fabric domain: computes the next update of its groups and the orders to its
//! instances.
//!
//! Any node may run a controller at any time. Updates are conditional writes of the domain's
//! object, and every order carries a fencing token taken from that object, so two controllers of
//! one domain cannot violate its invariants.

use {
    crate::{
        domain::{Domain, Group, GroupState},
        health::{HealthReport, HealthTable, MAX_REPORT_AGE},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    turmerictack_model::ids::{Epoch, FabricDomain, GroupId, InstanceId, ServiceId},
};

/// Age of the last health report from which a member is considered dead.
pub const MEMBER_TIMEOUT: Duration = Duration::from_millis(2500);

/// Maximum age of the copy of the domain that a controller plans from. It stops a controller that
/// no longer owns the domain, or was paused, from sending outdated orders.
pub const MAX_DOMAIN_AGE: Duration = Duration::from_secs(5);

/// Time that members have to join their group, or to rejoin it after an outdated order made them
/// leave.
const JOIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Time that members of a new group have to load its model and become ready.
const LOAD_TIMEOUT: Duration = Duration::from_secs(300);

/// Desired state of one service in the domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupTarget {
    /// Id of the service.
    pub service: ServiceId,
    /// Number of groups to run in this domain.
    pub groups: usize,
    /// Number of instances in a group.
    pub group_size: usize,
    /// Model that the members load.
    pub model: String,
    /// Instances of the domain that may run the service.
    pub instances: BTreeSet<InstanceId>,
}

/// Input of a controller: the desired and the observed state of a domain.
#[derive(Clone, Copy, Debug)]
pub struct DomainView<'a> {
    /// Current time.
    pub now: Instant,
    /// Name of the domain.
    pub domain: &'a FabricDomain,
    /// Desired state, the most urgent service first.
    pub targets: &'a [GroupTarget],
    /// All instances that the platform lists in the domain.
    pub listed: &'a BTreeSet<InstanceId>,
    /// Health reports of the instances.
    pub health: &'a HealthTable,
    /// Number of groups that may be formed now within the load rate of the weight store.
    pub max_new_groups: usize,
}

/// Order to an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Join a group.
    Assign {
        /// Id of the group.
        group: GroupId,
        /// Epoch of the group, which is the fencing token of the order.
        epoch: Epoch,
        /// Members of the group, the head first.
        members: Vec<InstanceId>,
        /// Model to load.
        model: String,
    },
    /// Leave any group with an epoch older than the fencing token.
    Release {
        /// Fencing token of the order.
        fence: Epoch,
    },
}

/// Result of a planning step of a controller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ControlPlan {
    /// New state of the domain, if it changes; it is written before any order is derived from it.
    pub update: Option<Domain>,
    /// Orders derived from the current state of the domain.
    pub orders: Vec<(InstanceId, Order)>,
    /// Number of groups that the update forms.
    pub groups_formed: usize,
    /// Whether instances report a later epoch than the copy of the domain, which then has to
    /// be read again.
    pub outdated: bool,
}

/// Controller of one domain on one node.
///
/// It can be replaced by a new one at any time: without the observations it keeps, members are
/// reassigned or found lost later, never sooner than is safe.
#[derive(Clone, Debug)]
pub struct Controller {
    reassign_delay: Duration,
    acknowledged_at: BTreeMap<(InstanceId, Epoch), Instant>,
    observed: BTreeMap<(GroupId, Epoch), GroupObservation>,
}

/// Observations of a group by this controller.
#[derive(Clone, Copy, Debug)]
struct GroupObservation {
    /// When the group was first seen.
    first_seen: Instant,
    /// When the group was last seen to be able to serve.
    last_served: Option<Instant>,
}

impl GroupObservation {
    /// Whether members may still be joining the group.
    fn is_joining(&self, now: Instant) -> bool {
        let last = self.last_served.unwrap_or(self.first_seen);
        now.saturating_duration_since(last) < JOIN_TIMEOUT
    }

    /// Whether members may still be loading the model.
    fn is_loading(&self, now: Instant) -> bool {
        self.last_served.is_none() && now.saturating_duration_since(self.first_seen) < LOAD_TIMEOUT
    }
}

impl Default for Controller {
    fn default() -> Self {
        Self::new(MAX_REPORT_AGE)
    }
}

impl Controller {
    /// Creates a controller without observations. An instance can be assigned to another group once
    /// it has been seen outside its old one for longer than `reassign_delay`.
    pub fn new(reassign_delay: Duration) -> Self {
        Self { reassign_delay, acknowledged_at: BTreeMap::new(), observed: BTreeMap::new() }
    }

    /// Computes the next update and the orders from the state of the domain stored on the platform.
    pub fn plan(&mut self, domain: &Domain, view: &DomainView<'_>) -> ControlPlan {
        if is_outdated(domain, view) {
            return ControlPlan { outdated: true, ..ControlPlan::default() };
        }
        self.record_acknowledgements(domain, view);
        self.record_groups(domain, view);
        let mut next = domain.clone();
        self.mark_served(&mut next);
        self.retire_groups(&mut next, view);
        self.remove_retiring_groups(&mut next, view);
        self.free_held_instances(&mut next, view);
        let groups_formed = form_groups(&mut next, view);
        ControlPlan {
            update: (next != *domain).then_some(next),
            orders: orders_for_members(domain, view),
            groups_formed,
            outdated: false,
        }
    }

    /// Records when each member of a retiring group was first seen to have left it.
    fn record_acknowledgements(&mut self, domain: &Domain, view: &DomainView<'_>) {
        let pending = pending_acknowledgements(domain);
        self.acknowledged_at.retain(|key, _| pending.contains(key));
        for (instance, fence) in pending {
            let left =
                view.health.fresh_report(&instance, view.now).is_some_and(|r| has_left(r, fence));
            if left {
                self.acknowledged_at.entry((instance, fence)).or_insert(view.now);
            }
        }
    }

    fn record_groups(&mut self, domain: &Domain, view: &DomainView<'_>) {
        let current: BTreeSet<_> =
            domain.groups.iter().map(|(id, g)| (id.clone(), g.epoch)).collect();
        self.observed.retain(|key, _| current.contains(key));
        for key in current {
            let serves = view.health.check_group(&key.0, key.1, view.now).is_ok();
            let new = GroupObservation { first_seen: view.now, last_served: None };
            let observed = self.observed.entry(key).or_insert(new);
            if serves {
                observed.last_served = Some(view.now);
            }
        }
    }

    /// Marks the groups that have served, so that another controller which takes over the domain
    /// does not take them for groups that are still loading.
    fn mark_served(&self, next: &mut Domain) {
        for ((id, _), observed) in &self.observed {
            if let Some(group) = next.groups.get_mut(id) {
                group.served |= observed.last_served.is_some();
            }
        }
    }

    /// Whether a member left its old group so long ago that no node still has a fresh report of it
    /// as a member, so that it can join another group.
    fn is_reassignable(&self, instance: &InstanceId, fence: Epoch, now: Instant) -> bool {
        let since = self.acknowledged_at.get(&(instance.clone(), fence));
        since.is_some_and(|since| now.saturating_duration_since(*since) > self.reassign_delay)
    }

    /// Retires groups that lost a member or exceed the target.
    ///
    /// Without a fresh report of any instance, either this node is partitioned or the whole domain
    /// is down. No group can be formed in either case, so none is retired.
    fn retire_groups(&self, next: &mut Domain, view: &DomainView<'_>) {
        if !view.listed.iter().any(|i| view.health.fresh_report(i, view.now).is_some()) {
            return;
        }
        let mut kept_groups: BTreeMap<&ServiceId, usize> = BTreeMap::new();
        let mut to_retire = Vec::new();
        for (id, group) in next.groups.iter().filter(|(_, g)| g.state == GroupState::Active) {
            let target = view.targets.iter().find(|t| t.service == group.service);
            let count = kept_groups.entry(&group.service).or_default();
            let wanted =
                target.is_some_and(|t| *count < t.groups && t.group_size == group.members.len());
            let lost = self.observed.get(&(id.clone(), group.epoch)).is_some_and(|observed| {
                let is_member_lost = |m| is_member_lost(m, id, group, target, view, *observed);
                group.members.iter().any(is_member_lost)
            });
            if wanted && !lost {
                *count += 1;
            } else {
                to_retire.push(id.clone());
            }
        }
        for id in to_retire {
            let fence = next.next_epoch();
            if let Some(group) = next.groups.get_mut(&id) {
                group.state = GroupState::Retiring { fence };
            }
        }
    }

    /// Removes retiring groups once each member is reassignable, is no longer listed or has no fresh
    /// report. Listed members without a fresh report are put on hold until they acknowledge the
    /// fencing token.
    fn remove_retiring_groups(&self, next: &mut Domain, view: &DomainView<'_>) {
        let retiring: Vec<(GroupId, Epoch)> = next
            .groups
            .iter()
            .filter_map(|(id, group)| match group.state {
                GroupState::Retiring { fence } => Some((id.clone(), fence)),
                GroupState::Active => None,
            })
            .collect();
        for (id, fence) in retiring {
            let Some(group) = next.groups.get(&id) else {
                continue;
            };
            let mut held = BTreeMap::new();
            let mut waiting = false;
            for member in &group.members {
                if self.is_reassignable(member, fence, view.now) || is_delisted(member, view) {
                    continue;
                }
                // An instance on hold becomes free once it is reassignable.
                match view.health.fresh_report(member, view.now) {
                    None => drop(held.insert(member.clone(), fence)),
                    Some(_) => waiting = true,
                }
            }
            if !waiting {
                next.groups.remove(&id);
                next.held.extend(held);
            }
        }
    }

    /// Releases instances on hold that are reassignable or no longer listed.
    fn free_held_instances(&self, next: &mut Domain, view: &DomainView<'_>) {
        next.held.retain(|instance, fence| {
            !self.is_reassignable(instance, *fence, view.now) && !is_delisted(instance, view)
        });
    }
}

/// Whether an instance reports a later epoch than the copy of the domain.
fn is_outdated(domain: &Domain, view: &DomainView<'_>) -> bool {
    let fresh = view.listed.iter().filter_map(|i| view.health.fresh_report(i, view.now));
    let seen = fresh.map(|r| r.claim.as_ref().map_or(0, |c| c.epoch).max(r.fence));
    seen.max().is_some_and(|epoch| epoch > domain.epoch)
}

/// Whether an instance belongs to no group and rejects orders older than the fencing token.
fn has_left(report: &HealthReport, fence: Epoch) -> bool {
    report.claim.is_none() && report.fence >= fence
}

/// Members of retiring groups and instances on hold, each with the fencing token that it has to
/// acknowledge.
fn pending_acknowledgements(domain: &Domain) -> BTreeSet<(InstanceId, Epoch)> {
    let retiring = domain.groups.values().filter_map(|g| match g.state {
        GroupState::Retiring { fence } => Some((g, fence)),
        GroupState::Active => None,
    });
    let members = retiring.flat_map(|(g, fence)| g.members.iter().map(move |m| (m.clone(), fence)));
    members.chain(domain.held.iter().map(|(i, f)| (i.clone(), *f))).collect()
}

/// Whether the platform no longer lists an instance.
fn is_delisted(instance: &InstanceId, view: &DomainView<'_>) -> bool {
    !view.listed.contains(instance)
}

fn is_dead(instance: &InstanceId, view: &DomainView<'_>) -> bool {
    let received = view.health.get(instance);
    received.is_none_or(|r| view.now.saturating_duration_since(r.requested_at) > MEMBER_TIMEOUT)
}

/// Whether a member is lost: not listed, leaving, dead, outside its group, or unable to serve.
fn is_member_lost(
    member: &InstanceId,
    id: &GroupId,
    group: &Group,
    target: Option<&GroupTarget>,
    view: &DomainView<'_>,
    observed: GroupObservation,
) -> bool {
    let listed = target.is_some_and(|t| t.instances.contains(member));
    if !listed || view.health.is_leaving(member) {
        return true;
    }
    match view.health.fresh_report(member, view.now) {
        Some(report) if !is_member_of(report, id, group) => !observed.is_joining(view.now),
        Some(report) => !report.ready && (group.served || !observed.is_loading(view.now)),
        None if observed.last_served.is_none() && observed.is_joining(view.now) => false,
        None => is_dead(member, view),
    }
}

/// Forms groups from spare instances; returns the number of new groups.
fn form_groups(next: &mut Domain, view: &DomainView<'_>) -> usize {
    let mut groups_formed = 0;
    for target in view.targets {
        loop {
            let active = next
                .groups
                .values()
                .filter(|g| g.service == target.service && g.state == GroupState::Active)
                .count();
            if active >= target.groups || groups_formed >= view.max_new_groups {
                break;
            }
            let members = spare_instances(next, target, view);
            if members.len() < target.group_size {
                break;
            }
            let epoch = next.next_epoch();
            let id = format!("{}-{}-{epoch}", target.service, view.domain);
            let members = members.into_iter().take(target.group_size).collect();
            let service = target.service.clone();
            let group = Group { service, epoch, members, served: false, state: GroupState::Active };
            next.groups.insert(id, group);
            groups_formed += 1;
        }
    }
    groups_formed
}

/// Unassigned instances with a fresh report and no group; those that have the model loaded first.
fn spare_instances(next: &Domain, target: &GroupTarget, view: &DomainView<'_>) -> Vec<InstanceId> {
    let unavailable = next.unavailable();
    let mut candidates: Vec<(bool, &InstanceId)> = target
        .instances
        .iter()
        .filter(|i| !unavailable.contains(*i) && !view.health.is_leaving(i))
        .filter_map(|i| {
            let report = view.health.fresh_report(i, view.now)?;
            let needs_load = report.model.as_ref() != Some(&target.model);
            report.claim.is_none().then_some((needs_load, i))
        })
        .collect();
    candidates.sort_unstable();
    candidates.into_iter().map(|(_, i)| i.clone()).collect()
}

/// Orders to instances whose report differs from the state of the domain.
fn orders_for_members(domain: &Domain, view: &DomainView<'_>) -> Vec<(InstanceId, Order)> {
    let mut orders = Vec::new();
    for (id, group) in &domain.groups {
        let target = view.targets.iter().find(|t| t.service == group.service);
        for member in &group.members {
            let Some(report) = view.health.fresh_report(member, view.now) else {
                continue;
            };
            match (group.state, target) {
                (GroupState::Retiring { fence }, _) if !has_left(report, fence) => {
                    orders.push((member.clone(), Order::Release { fence }));
                }
                (GroupState::Active, Some(target)) if !is_member_of(report, id, group) => {
                    let order = Order::Assign {
                        group: id.clone(),
                        epoch: group.epoch,
                        members: group.members.clone(),
                        model: target.model.clone(),
                    };
                    orders.push((member.clone(), order));
                }
                _ => {}
            }
        }
    }
    orders.extend(release_orders(domain, view));
    orders
}

fn is_member_of(report: &HealthReport, id: &GroupId, group: &Group) -> bool {
    let claim = report.claim.as_ref();
    claim.is_some_and(|c| c.group == *id && c.epoch == group.epoch && c.members == group.members)
}

/// Release orders to instances that are on hold, or unassigned but report a group.
fn release_orders(domain: &Domain, view: &DomainView<'_>) -> Vec<(InstanceId, Order)> {
    let unavailable = domain.unavailable();
    view.listed
        .iter()
        .filter_map(|instance| {
            let report = view.health.fresh_report(instance, view.now)?;
            match domain.held.get(instance) {
                Some(fence) if !has_left(report, *fence) => Some((instance, *fence)),
                None if !unavailable.contains(instance) && report.claim.is_some() => {
                    Some((instance, domain.epoch))
                }
                _ => None,
            }
        })
        .map(|(instance, fence)| (instance.clone(), Order::Release { fence }))
        .collect()
}
