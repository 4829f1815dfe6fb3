//! The stored plan: which instances belong to which group.
//!
//! It is replaced by conditional writes only, so that two nodes never give one instance to two
//! groups; its epochs grow with each group and fence late orders.

use {
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
    turmerictack_model::ids::{Epoch, GroupId, InstanceId, ModelId, ServiceId},
};

/// A group as it was decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedGroup {
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Model that it runs.
    pub model: ModelId,
    /// Fencing number of its orders.
    pub epoch: Epoch,
    /// Members; the first one takes the requests.
    pub members: Vec<InstanceId>,
    /// Whether it is to be dissolved; set before the first order to leave, and never taken back,
    /// so that no node in charge brings back what another has begun to take apart.
    #[serde(default)]
    pub retiring: bool,
}

impl PlannedGroup {
    /// Member that takes the requests.
    pub fn head(&self) -> Option<&InstanceId> {
        self.members.first()
    }
}

/// All groups.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Groups by name.
    pub groups: BTreeMap<GroupId, PlannedGroup>,
    /// Highest epoch that was given out.
    pub last_epoch: Epoch,
    /// Models that hosts were to load, by instance; written before the order.
    #[serde(default)]
    pub loads: BTreeMap<InstanceId, ModelId>,
}

impl Plan {
    /// Adds a group with the next epoch and gives its name.
    pub fn add(
        &mut self,
        service: ServiceId,
        model: ModelId,
        members: Vec<InstanceId>,
    ) -> (GroupId, Epoch) {
        self.last_epoch += 1;
        let epoch = self.last_epoch;
        let name = format!("group-{epoch}");
        self.groups
            .insert(name.clone(), PlannedGroup { service, model, epoch, members, retiring: false });
        (name, epoch)
    }
}
