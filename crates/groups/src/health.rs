//! Health reports of instances, and the checks that decide whether an instance or a group may
//! receive calls.
//!
//! The age of a report is measured from the time its request was sent, not from the time the
//! response arrived, so a report delayed by a stalled connection does not appear fresh.

use {
    crate::error::NotServing,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    turmerictack_model::ids::{Epoch, GroupId, InstanceId},
};

/// Maximum age of the health reports on which a call is sent to an instance or a group.
pub const MAX_REPORT_AGE: Duration = Duration::from_millis(1500);

/// Group membership as reported by one of the members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Id of the group.
    pub group: GroupId,
    /// Epoch of the order by which the instance joined.
    pub epoch: Epoch,
    /// All members of the group; the first one, the head, receives its calls.
    pub members: Vec<InstanceId>,
}

/// State of an instance as reported by the instance itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthReport {
    /// Group that the instance belongs to, if any.
    pub claim: Option<Claim>,
    /// Highest fencing token that the instance has received.
    pub fence: Epoch,
    /// Model that the instance has loaded.
    pub model: Option<String>,
    /// Whether the instance can serve calls now.
    pub ready: bool,
    /// Whether the instance is about to be shut down.
    pub leaving: bool,
}

/// A health report together with the time its request was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedReport {
    /// Contents of the report.
    pub report: HealthReport,
    /// Time the request for the report was sent, by this node's clock.
    pub requested_at: Instant,
}

/// Latest health report of each listed instance that this node monitors.
#[derive(Clone, Debug, Default)]
pub struct HealthTable {
    reports: BTreeMap<InstanceId, ReceivedReport>,
    leaving: BTreeSet<InstanceId>,
    /// Highest fencing token that each instance has ever reported. An engine loses its own on a
    /// restart and may then accept an outdated order.
    max_fences: BTreeMap<InstanceId, Epoch>,
}

impl HealthTable {
    /// Stores a report unless a more recent one of the instance is known.
    pub fn record(&mut self, instance: &str, received: ReceivedReport) {
        let claimed = received.report.claim.as_ref().map_or(0, |c| c.epoch);
        let fence = self.max_fences.entry(instance.to_owned()).or_default();
        *fence = (*fence).max(received.report.fence).max(claimed);
        match self.reports.get_mut(instance) {
            Some(known) if known.requested_at > received.requested_at => {}
            Some(known) => *known = received,
            None => {
                self.reports.insert(instance.to_owned(), received);
            }
        }
    }

    /// Removes instances that the platform no longer lists, and replaces the set of instances that
    /// it lists as leaving.
    pub fn set_listed(&mut self, listed: &BTreeSet<InstanceId>, leaving: BTreeSet<InstanceId>) {
        self.reports.retain(|id, _| listed.contains(id));
        self.max_fences.retain(|id, _| listed.contains(id));
        self.leaving = leaving;
    }

    /// Returns the latest report of an instance, regardless of its age.
    pub fn get(&self, instance: &str) -> Option<&ReceivedReport> {
        self.reports.get(instance)
    }

    /// Iterates over the latest report of every instance, regardless of its age.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceId, &ReceivedReport)> {
        self.reports.iter()
    }

    /// Returns the report of an instance if it is not older than [`MAX_REPORT_AGE`].
    pub fn fresh_report(&self, instance: &str, now: Instant) -> Option<&HealthReport> {
        let received = self.reports.get(instance)?;
        let age = now.saturating_duration_since(received.requested_at);
        (age <= MAX_REPORT_AGE).then_some(&received.report)
    }

    /// Whether the platform's list or the instance itself says that it is about to be shut down.
    pub fn is_leaving(&self, instance: &str) -> bool {
        self.leaving.contains(instance)
            || self.reports.get(instance).is_some_and(|e| e.report.leaving)
    }

    /// Checks whether a call may be sent to a single instance.
    ///
    /// # Errors
    /// Returns the reason why the instance must not receive calls.
    pub fn check_instance(&self, instance: &str, now: Instant) -> Result<(), NotServing> {
        let id = || instance.to_owned();
        let report = self
            .fresh_report(instance, now)
            .ok_or_else(|| NotServing::StaleReport { instance: id() })?;
        if !report.ready || self.is_leaving(instance) {
            return Err(NotServing::NotReady { instance: id() });
        }
        Ok(())
    }

    /// Checks whether a call may be sent to a group: every member has a fresh report, is ready and
    /// reports the same group, epoch and members, and has never reported a later epoch or
    /// fencing token.
    ///
    /// # Errors
    /// Returns the reason why the group must not receive calls.
    pub fn check_group(&self, group: &str, epoch: Epoch, now: Instant) -> Result<(), NotServing> {
        let claims = |report: &HealthReport| {
            let claim = report.claim.as_ref()?;
            (claim.group == group && claim.epoch == epoch).then(|| claim.members.clone())
        };
        let members = self
            .reports
            .values()
            .find_map(|e| claims(&e.report))
            .ok_or_else(|| NotServing::UnknownGroup { group: group.to_owned() })?;
        for instance in &members {
            self.check_instance(instance, now)?;
            let same =
                self.fresh_report(instance, now).and_then(claims).is_some_and(|m| m == members);
            let superseded = self.max_fences.get(instance).is_some_and(|fence| *fence > epoch);
            if !same || superseded {
                return Err(NotServing::MembershipMismatch { instance: instance.clone() });
            }
        }
        Ok(())
    }

    /// Groups that may receive calls now, each as reported by its head.
    pub fn serving_groups(&self, now: Instant) -> Vec<Claim> {
        self.reports
            .iter()
            .filter_map(|(id, received)| {
                let claim = received.report.claim.as_ref()?;
                (claim.members.first() == Some(id)).then_some(claim)
            })
            .filter(|claim| self.check_group(&claim.group, claim.epoch, now).is_ok())
            .cloned()
            .collect()
    }
}
