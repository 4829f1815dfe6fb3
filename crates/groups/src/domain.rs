//! Stored assignment of the instances of one fabric domain to groups.

use {
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
    turmerictack_model::ids::{Epoch, GroupId, InstanceId, ServiceId},
};

/// Prefix of the keys under which domains are stored on the platform.
pub const DOMAIN_PREFIX: &str = "domains/";

/// Life-cycle state of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "kebab-case")]
pub enum GroupState {
    /// Members are ordered to join the group.
    Active,
    /// Members are ordered to leave the group.
    Retiring {
        /// Fencing token of the order to leave.
        fence: Epoch,
    },
}

/// Replica group of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Service that the group runs.
    pub service: ServiceId,
    /// Epoch of the group, which is the fencing token of the orders to join it.
    pub epoch: Epoch,
    /// Members; the first one, the head, receives the calls.
    pub members: Vec<InstanceId>,
    /// Whether the group was ever able to serve, so its members have loaded the model.
    #[serde(default)]
    pub served: bool,
    /// Life-cycle state.
    #[serde(flatten)]
    pub state: GroupState,
}

/// Groups of a fabric domain, and its instances that may not be assigned yet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Domain {
    /// Highest epoch issued so far.
    pub epoch: Epoch,
    /// Groups by id.
    pub groups: BTreeMap<GroupId, Group>,
    /// Instances on hold: members of removed groups that have not acknowledged the order to leave,
    /// each with the fencing token that it has to acknowledge.
    pub held: BTreeMap<InstanceId, Epoch>,
}

impl Domain {
    /// Issues the next epoch.
    pub fn next_epoch(&mut self) -> Epoch {
        self.epoch += 1;
        self.epoch
    }

    /// Returns the instances that belong to a group or are on hold, and can't be assigned.
    pub fn unavailable(&self) -> BTreeSet<&InstanceId> {
        self.groups.values().flat_map(|g| &g.members).chain(self.held.keys()).collect()
    }

    /// Whether no instance is listed more than once, in groups or on hold.
    pub fn is_consistent(&self) -> bool {
        let entries =
            self.groups.values().map(|g| g.members.len()).sum::<usize>() + self.held.len();
        entries == self.unavailable().len()
    }
}

/// Key under which a domain is stored on the platform.
pub fn domain_key(domain: &str) -> String {
    format!("{DOMAIN_PREFIX}{domain}")
}
