//! Control of one fabric domain: which change and which orders come next.
//!
//! Any node may run this at any time. Every change is a conditional update of the domain's object,
//! and every order carries a fencing number from it, so that two controllers do no harm.

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

/// Silence from which a member counts as dead.
pub const DEAD_AFTER: Duration = Duration::from_millis(2500);

/// Oldest copy of the domain that a controller plans from, so that one which lost its duty, or was
/// paused, stops giving orders that are long over.
pub const MAX_COPY_AGE: Duration = Duration::from_secs(5);

/// Time that members of a group have to join it, or to come back to it after an order that was
/// long over took them away.
const JOIN_GRACE: Duration = Duration::from_secs(5);

/// Time that members of a new group have to load its model.
const LOAD_GRACE: Duration = Duration::from_secs(300);

/// Groups of a service that the domain keeps up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Want {
    /// Service.
    pub service: ServiceId,
    /// Groups in this domain.
    pub groups: usize,
    /// Instances of a group.
    pub size: usize,
    /// Model that its members load.
    pub model: String,
    /// Instances of the domain that may serve it.
    pub instances: BTreeSet<InstanceId>,
}

/// What a controller sees.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// Time.
    pub now: Instant,
    /// Name of the domain.
    pub domain: &'a FabricDomain,
    /// What is wanted, the most urgent service first.
    pub wants: &'a [Want],
    /// Every instance that the platform lists in the domain.
    pub listed: &'a BTreeSet<InstanceId>,
    /// ReceivedReport of the instances.
    pub evidence: &'a HealthTable,
    /// Groups that may be formed now, by the weight store's rate.
    pub loads: usize,
}

/// An order to an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Join a group.
    Assign {
        /// Group.
        group: GroupId,
        /// Its epoch.
        epoch: Epoch,
        /// Its members.
        members: Vec<InstanceId>,
        /// Model to load.
        model: String,
    },
    /// Leave any group of an older epoch.
    Release {
        /// Fencing number.
        fence: Epoch,
    },
}

/// What a controller wants done.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// The domain as it should be; written before any order that follows from it.
    pub change: Option<Domain>,
    /// Orders that follow from the domain as it is.
    pub orders: Vec<(InstanceId, Order)>,
    /// Groups that the change forms.
    pub formed: usize,
    /// Whether the copy of the domain is older than what instances say, and must be read again.
    pub outdated: bool,
}

/// One node's controller of one domain; what it remembers only delays, never permits.
#[derive(Clone, Debug)]
pub struct Controller {
    window: Duration,
    acknowledged: BTreeMap<(InstanceId, Epoch), Instant>,
    watched: BTreeMap<(GroupId, Epoch), Watched>,
}

/// What a controller saw of a group.
#[derive(Clone, Copy, Debug)]
struct Watched {
    /// When it was first seen.
    since: Instant,
    /// When it was last seen to serve.
    served: Option<Instant>,
}

impl Watched {
    /// Whether members may still be on their way to the group.
    fn is_joining(&self, now: Instant) -> bool {
        let last = self.served.unwrap_or(self.since);
        now.saturating_duration_since(last) < JOIN_GRACE
    }

    /// Whether members may still be loading.
    fn is_loading(&self, now: Instant) -> bool {
        self.served.is_none() && now.saturating_duration_since(self.since) < LOAD_GRACE
    }
}

impl Default for Controller {
    fn default() -> Self {
        Self::new(MAX_REPORT_AGE)
    }
}

impl Controller {
    /// A controller that has seen nothing; members are assigned again `window` after they left.
    pub fn new(window: Duration) -> Self {
        Self { window, acknowledged: BTreeMap::new(), watched: BTreeMap::new() }
    }

    /// Plans the next change and orders from the domain as the platform holds it.
    pub fn plan(&mut self, domain: &Domain, view: &View<'_>) -> Plan {
        if is_outdated(domain, view) {
            return Plan { outdated: true, ..Plan::default() };
        }
        self.note_acknowledgements(domain, view);
        self.note_groups(domain, view);
        let mut next = domain.clone();
        self.mark_served(&mut next);
        self.retire(&mut next, view);
        self.clear_retired(&mut next, view);
        self.clear_held(&mut next, view);
        let formed = form(&mut next, view);
        Plan {
            change: (next != *domain).then_some(next),
            orders: orders(domain, view),
            formed,
            outdated: false,
        }
    }

    /// Notes when each member of a retired group was first seen to have left it.
    fn note_acknowledgements(&mut self, domain: &Domain, view: &View<'_>) {
        let owed = owed_acknowledgements(domain);
        self.acknowledged.retain(|key, _| owed.contains(key));
        for (instance, fence) in owed {
            let left =
                view.evidence.fresh_report(&instance, view.now).is_some_and(|r| has_left(r, fence));
            if left {
                self.acknowledged.entry((instance, fence)).or_insert(view.now);
            }
        }
    }

    fn note_groups(&mut self, domain: &Domain, view: &View<'_>) {
        let current: BTreeSet<_> =
            domain.groups.iter().map(|(id, g)| (id.clone(), g.epoch)).collect();
        self.watched.retain(|key, _| current.contains(key));
        for key in current {
            let serves = view.evidence.check_group(&key.0, key.1, view.now).is_ok();
            let new = Watched { since: view.now, served: None };
            let watched = self.watched.entry(key).or_insert(new);
            if serves {
                watched.served = Some(view.now);
            }
        }
    }

    /// Writes down which groups have served, for whoever takes over the domain.
    fn mark_served(&self, next: &mut Domain) {
        for ((id, _), watched) in &self.watched {
            if let Some(group) = next.groups.get_mut(id) {
                group.served |= watched.served.is_some();
            }
        }
    }

    /// Whether a member left long enough ago that no evidence of its old group is fresh anywhere.
    fn is_clear(&self, instance: &InstanceId, fence: Epoch, now: Instant) -> bool {
        let since = self.acknowledged.get(&(instance.clone(), fence));
        since.is_some_and(|since| now.saturating_duration_since(*since) > self.window)
    }

    /// Retires groups that lost a member or are no longer wanted.
    ///
    /// A controller that hears of no instance at all is cut off itself, or the domain is dark; in
    /// neither case can anything be formed, so it retires nothing.
    fn retire(&self, next: &mut Domain, view: &View<'_>) {
        if !view.listed.iter().any(|i| view.evidence.fresh_report(i, view.now).is_some()) {
            return;
        }
        let mut kept: BTreeMap<&ServiceId, usize> = BTreeMap::new();
        let mut doomed = Vec::new();
        for (id, group) in next.groups.iter().filter(|(_, g)| g.state == GroupState::Active) {
            let want = view.wants.iter().find(|w| w.service == group.service);
            let count = kept.entry(&group.service).or_default();
            let wanted = want.is_some_and(|w| *count < w.groups && w.size == group.members.len());
            let lost = self.watched.get(&(id.clone(), group.epoch)).is_some_and(|watched| {
                let is_lost = |m| is_lost(m, id, group, want, view, *watched);
                group.members.iter().any(is_lost)
            });
            if wanted && !lost {
                *count += 1;
            } else {
                doomed.push(id.clone());
            }
        }
        for id in doomed {
            let fence = next.next_epoch();
            if let Some(group) = next.groups.get_mut(&id) {
                group.state = GroupState::Retiring { fence };
            }
        }
    }

    /// Removes retired groups once each member has left, or is held until it says so.
    fn clear_retired(&self, next: &mut Domain, view: &View<'_>) {
        let retired: Vec<(GroupId, Epoch)> = next
            .groups
            .iter()
            .filter_map(|(id, group)| match group.state {
                GroupState::Retiring { fence } => Some((id.clone(), fence)),
                GroupState::Active => None,
            })
            .collect();
        for (id, fence) in retired {
            let Some(group) = next.groups.get(&id) else {
                continue;
            };
            let mut held = BTreeMap::new();
            let mut waiting = false;
            for member in &group.members {
                if self.is_clear(member, fence, view.now) || is_replaced(member, view) {
                    continue;
                }
                // Whoever is held is free again once it was seen to have left for long enough.
                match view.evidence.fresh_report(member, view.now) {
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

    fn clear_held(&self, next: &mut Domain, view: &View<'_>) {
        next.held.retain(|instance, fence| {
            !self.is_clear(instance, *fence, view.now) && !is_replaced(instance, view)
        });
    }
}

/// Whether an instance has seen an epoch that the copy of the domain has not.
fn is_outdated(domain: &Domain, view: &View<'_>) -> bool {
    let fresh = view.listed.iter().filter_map(|i| view.evidence.fresh_report(i, view.now));
    let seen = fresh.map(|r| r.claim.as_ref().map_or(0, |c| c.epoch).max(r.fence));
    seen.max().is_some_and(|epoch| epoch > domain.epoch)
}

/// Whether an instance belongs to no group and will obey no order older than the fence.
fn has_left(report: &HealthReport, fence: Epoch) -> bool {
    report.claim.is_none() && report.fence >= fence
}

fn owed_acknowledgements(domain: &Domain) -> BTreeSet<(InstanceId, Epoch)> {
    let retired = domain.groups.values().filter_map(|g| match g.state {
        GroupState::Retiring { fence } => Some((g, fence)),
        GroupState::Active => None,
    });
    let members = retired.flat_map(|(g, fence)| g.members.iter().map(move |m| (m.clone(), fence)));
    members.chain(domain.held.iter().map(|(i, f)| (i.clone(), *f))).collect()
}

/// Whether the platform no longer lists an instance.
fn is_replaced(instance: &InstanceId, view: &View<'_>) -> bool {
    !view.listed.contains(instance)
}

fn is_silent(instance: &InstanceId, view: &View<'_>) -> bool {
    let evidence = view.evidence.get(instance);
    evidence.is_none_or(|e| view.now.saturating_duration_since(e.asked_at) > DEAD_AFTER)
}

/// Whether a group lost a member: gone, leaving, dead, in no or another group, or not able to serve.
fn is_lost(
    member: &InstanceId,
    id: &GroupId,
    group: &Group,
    want: Option<&Want>,
    view: &View<'_>,
    watched: Watched,
) -> bool {
    let listed = want.is_some_and(|w| w.instances.contains(member));
    if !listed || view.evidence.is_leaving(member) {
        return true;
    }
    match view.evidence.fresh_report(member, view.now) {
        Some(report) if !is_in(report, id, group) => !watched.is_joining(view.now),
        Some(report) => !report.ready && (group.served || !watched.is_loading(view.now)),
        None if watched.served.is_none() && watched.is_joining(view.now) => false,
        None => is_silent(member, view),
    }
}

/// Forms groups from instances that belong to none.
fn form(next: &mut Domain, view: &View<'_>) -> usize {
    let mut formed = 0;
    for want in view.wants {
        loop {
            let active = next
                .groups
                .values()
                .filter(|g| g.service == want.service && g.state == GroupState::Active)
                .count();
            if active >= want.groups || formed >= view.loads {
                break;
            }
            let members = spare(next, want, view);
            if members.len() < want.size {
                break;
            }
            let epoch = next.next_epoch();
            let id = format!("{}-{}-{epoch}", want.service, view.domain);
            let members = members.into_iter().take(want.size).collect();
            let service = want.service.clone();
            let group = Group { service, epoch, members, served: false, state: GroupState::Active };
            next.groups.insert(id, group);
            formed += 1;
        }
    }
    formed
}

/// Instances that are free, alive and in no group by their own word; those with the model first.
fn spare(next: &Domain, want: &Want, view: &View<'_>) -> Vec<InstanceId> {
    let taken = next.taken();
    let mut spare: Vec<(bool, &InstanceId)> = want
        .instances
        .iter()
        .filter(|i| !taken.contains(*i) && !view.evidence.is_leaving(i))
        .filter_map(|i| {
            let report = view.evidence.fresh_report(i, view.now)?;
            let cold = report.model.as_ref() != Some(&want.model);
            report.claim.is_none().then_some((cold, i))
        })
        .collect();
    spare.sort_unstable();
    spare.into_iter().map(|(_, i)| i.clone()).collect()
}

/// Orders to members whose report differs from the domain.
fn orders(domain: &Domain, view: &View<'_>) -> Vec<(InstanceId, Order)> {
    let mut orders = Vec::new();
    for (id, group) in &domain.groups {
        let want = view.wants.iter().find(|w| w.service == group.service);
        for member in &group.members {
            let Some(report) = view.evidence.fresh_report(member, view.now) else {
                continue;
            };
            match (group.state, want) {
                (GroupState::Retiring { fence }, _) if !has_left(report, fence) => {
                    orders.push((member.clone(), Order::Release { fence }));
                }
                (GroupState::Active, Some(want)) if !is_in(report, id, group) => {
                    let order = Order::Assign {
                        group: id.clone(),
                        epoch: group.epoch,
                        members: group.members.clone(),
                        model: want.model.clone(),
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

fn is_in(report: &HealthReport, id: &GroupId, group: &Group) -> bool {
    let claim = report.claim.as_ref();
    claim.is_some_and(|c| c.group == *id && c.epoch == group.epoch && c.members == group.members)
}

/// Orders to instances that are held, or free but say that they belong to a group.
fn release_orders(domain: &Domain, view: &View<'_>) -> Vec<(InstanceId, Order)> {
    let taken = domain.taken();
    view.listed
        .iter()
        .filter_map(|instance| {
            let report = view.evidence.fresh_report(instance, view.now)?;
            match domain.held.get(instance) {
                Some(fence) if !has_left(report, *fence) => Some((instance, *fence)),
                None if !taken.contains(instance) && report.claim.is_some() => {
                    Some((instance, domain.epoch))
                }
                _ => None,
            }
        })
        .map(|(instance, fence)| (instance.clone(), Order::Release { fence }))
        .collect()
}
