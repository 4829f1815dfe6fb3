//! Restoration of the plan after the store came back from an older copy of itself.
//!
//! The copy may lack groups that exist, and hold groups that have been retired or whose retirement
//! has begun since. The reports of the instances tell which.

use {
    super::{EngineInstance, ModelsByService, Phase, member_phase},
    crate::plan::{EPOCH_BITS_PER_ERA, Plan, PlannedGroup},
    std::collections::{BTreeMap, BTreeSet},
    turmerictack_model::ids::{Epoch, Era, GroupId, InstanceId},
};

/// Members that report one group and epoch, by rank.
type ReportedMembers<'a> = BTreeMap<usize, Vec<(&'a InstanceId, &'a EngineInstance)>>;

impl Plan {
    /// Makes the plan of a new era from an earlier one.
    ///
    /// Complete groups that the plan lacks are adopted. Groups whose members don't all report them are
    /// retired, as they may have been in what the store lost. Later epochs are above `last_epoch`,
    /// those of this plan and those that instances report, and in the range of the era.
    pub fn restore(
        &self,
        era: Era,
        models: &ModelsByService,
        engines: &BTreeMap<InstanceId, EngineInstance>,
        last_epoch: Epoch,
    ) -> Self {
        let mut plan = self.clone();
        plan.era = era;
        let memberships = || engines.values().filter_map(|engine| engine.membership.as_ref());
        let first = era.saturating_mul(1 << EPOCH_BITS_PER_ERA);
        let end = first.saturating_add(1 << EPOCH_BITS_PER_ERA);
        // Higher ones were never given out.
        let reported =
            memberships().map(|m| m.epoch).filter(|epoch| *epoch < end).max().unwrap_or(0);
        plan.last_epoch = plan.last_epoch.max(reported).max(last_epoch).max(first);
        let adopted = adopted_groups(&plan, models, engines);
        let taken: BTreeSet<&InstanceId> = adopted.values().flat_map(|g| &g.members).collect();
        plan.groups = plan
            .groups
            .into_iter()
            .filter_map(|(id, group)| Some((id.clone(), confirm(&id, group, engines, &taken)?)))
            .collect();
        plan.groups.extend(adopted.clone());
        let planned: BTreeSet<&InstanceId> =
            plan.groups.values().flat_map(|g| &g.members).collect();
        plan.loads.retain(|id, _| !planned.contains(id));
        plan
    }
}

/// Returns a group of the copy as it is to go on: as it is if all its members report it, and retired
/// without those that have been found elsewhere if not; `None` if nothing is left of it.
fn confirm(
    id: &GroupId,
    mut group: PlannedGroup,
    engines: &BTreeMap<InstanceId, EngineInstance>,
    taken: &BTreeSet<&InstanceId>,
) -> Option<PlannedGroup> {
    let reports = |member: &InstanceId| {
        engines.get(member).is_some_and(|engine| member_phase(engine, id, &group).is_some())
    };
    let is_listed = |member: &InstanceId| engines.contains_key(member);
    if group.members.iter().all(reports) {
        return Some(group);
    }
    let is_over = group.members.iter().all(|member| is_listed(member) && !reports(member));
    group.members.retain(|member| !taken.contains(member));
    group.retiring = true;
    (!is_over && !group.members.is_empty()).then_some(group)
}

/// Complete groups that instances report and the plan lacks.
fn adopted_groups(
    plan: &Plan,
    models: &ModelsByService,
    engines: &BTreeMap<InstanceId, EngineInstance>,
) -> BTreeMap<GroupId, PlannedGroup> {
    let mut reported: BTreeMap<(&GroupId, Epoch), ReportedMembers<'_>> = BTreeMap::new();
    for (id, engine) in engines {
        // A higher epoch was never given out: it comes from another writer.
        if let Some(m) = &engine.membership
            && m.epoch <= plan.last_epoch
            && plan.groups.get(&m.group).is_none_or(|group| group.epoch != m.epoch)
        {
            let members = reported.entry((&m.group, m.epoch)).or_default();
            members.entry(m.rank).or_default().push((id, engine));
        }
    }
    let complete = reported.into_iter().filter_map(|((id, epoch), members)| {
        Some((id.clone(), complete_group(epoch, &members, models)?))
    });
    complete.collect()
}

/// The group that members make up if they are all there and able to serve one model.
fn complete_group(
    epoch: Epoch,
    members: &ReportedMembers<'_>,
    models: &ModelsByService,
) -> Option<PlannedGroup> {
    let one_per_rank: Vec<_> =
        members.values().filter_map(|m| <[_; 1]>::try_from(m.clone()).ok()).flatten().collect();
    let (_, head) = one_per_rank.first()?;
    let can_serve = |engine: &EngineInstance| {
        let phase = engine.membership.as_ref().map(|m| m.phase);
        engine.service == head.service
            && matches!(phase, Some(Phase::Ready | Phase::Open | Phase::Closing))
    };
    let (model, profile) = models
        .get(&head.service)?
        .iter()
        .find(|(model, _)| one_per_rank.iter().all(|(_, engine)| engine.models.contains(*model)))?;
    let is_complete = members.keys().copied().eq(0..profile.group_size)
        && one_per_rank.len() == profile.group_size
        && one_per_rank.iter().all(|(_, engine)| can_serve(engine));
    is_complete.then(|| PlannedGroup {
        service: head.service.clone(),
        model: model.clone(),
        epoch,
        members: one_per_rank.iter().map(|(id, _)| (*id).clone()).collect(),
        retiring: false,
    })
}
