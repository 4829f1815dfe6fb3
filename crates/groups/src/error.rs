//! Reasons for which an instance or a group does not receive calls.

use {
    derive_more::Error,
    displaydoc::Display,
    turmerictack_model::ids::{GroupId, InstanceId},
};

/// Reason why calls must not be sent to an instance or a group.
#[derive(Clone, Debug, Display, PartialEq, Eq, Error)]
pub enum NotServing {
    /// no member reports group {group}
    UnknownGroup {
        /// Id of the group.
        group: GroupId,
    },
    /// no recent health report of instance {instance}
    StaleReport {
        /// Id of the instance.
        instance: InstanceId,
    },
    /// instance {instance} reports a different group, epoch or list of members, or a later fence
    MembershipMismatch {
        /// Id of the instance.
        instance: InstanceId,
    },
    /// instance {instance} is not ready or is leaving
    NotReady {
        /// Id of the instance.
        instance: InstanceId,
    },
}
