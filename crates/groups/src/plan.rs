//! Stored plan: assignment of instances to groups.
//!
//! The plan is replaced by conditional writes only, so two nodes can't assign one instance to two
//! groups. Each group gets a higher epoch than all before, which fences delayed orders.

use {
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
    turmerictack_model::ids::{Epoch, Era, GroupId, InstanceId, ModelId, ServiceId},
};

/// Number of low bits of an epoch that count the groups of one era of the store.
///
/// Each era has a range of epochs of its own, so that none that was given out in a later era than
/// the copy comes from is given out again, although nobody may remember it.
pub(crate) const EPOCH_BITS_PER_ERA: u32 = 20;

/// End of the epochs that nodes give out; eras have at most 32 bits.
const MAX_EPOCH: Epoch = 1 << (EPOCH_BITS_PER_ERA + u32::BITS);

/// Planned group of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedGroup {
    /// Service that the group belongs to.
    pub service: ServiceId,
    /// Model that the group runs.
    pub model: ModelId,
    /// Epoch of the group, the fencing token of its orders.
    pub epoch: Epoch,
    /// Members; the first one, the head, receives the requests.
    pub members: Vec<InstanceId>,
    /// Whether the group is being retired. It is set before the first order to leave and never
    /// reset, so that no leader restores a group that another one has begun to retire.
    #[serde(default)]
    pub retiring: bool,
}

impl PlannedGroup {
    /// Returns the head, the member that receives the requests.
    pub fn head(&self) -> Option<&InstanceId> {
        self.members.first()
    }
}

/// Assignment of instances to groups, and of loads to instances.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Groups by id.
    pub groups: BTreeMap<GroupId, PlannedGroup>,
    /// Highest epoch issued so far.
    pub last_epoch: Epoch,
    /// Models to load, by instance; stored before the loads are ordered.
    #[serde(default)]
    pub loads: BTreeMap<InstanceId, ModelId>,
    /// Era of the store in which the plan was written.
    #[serde(default, skip_serializing_if = "is_first_era")]
    pub era: Era,
}

/// Whether the store has stated no era.
fn is_first_era(era: &Era) -> bool {
    *era == 0
}

impl Plan {
    /// Whether nodes may have written the plan: no epoch is beyond those given out, and no instance is
    /// in two groups.
    pub fn is_consistent(&self) -> bool {
        let mut members = BTreeSet::new();
        let has_all = |group: &PlannedGroup| group.epoch <= self.last_epoch;
        self.last_epoch < MAX_EPOCH
            && self.groups.values().all(has_all)
            && self.groups.values().flat_map(|group| &group.members).all(|id| members.insert(id))
    }

    /// Adds a group with the next epoch; returns its id and epoch.
    pub fn add_group(
        &mut self,
        service: ServiceId,
        model: ModelId,
        members: Vec<InstanceId>,
    ) -> (GroupId, Epoch) {
        self.last_epoch += 1;
        let epoch = self.last_epoch;
        let id = format!("group-{epoch}");
        self.groups
            .insert(id.clone(), PlannedGroup { service, model, epoch, members, retiring: false });
        (id, epoch)
    }
}
