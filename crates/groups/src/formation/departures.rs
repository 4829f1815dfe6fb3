//! Times at which members left their groups, recorded by every node.
//!
//! Without them, a node that becomes the leader would have to wait once more for the time in which
//! the head of a retiring group detects that a member is missing.

use {
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    turmerictack_model::ids::{GroupId, InstanceId},
};

/// Time for which a departure is kept; longer than the retirement of any group takes.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(60);

/// Departures of members from their groups, as observed by one node.
#[derive(Debug, Default)]
pub struct Departures {
    current: BTreeMap<InstanceId, (u64, GroupId)>,
    departed_at: BTreeMap<(GroupId, InstanceId), Instant>,
}

impl Departures {
    /// Records the group that an instance reports; `started` distinguishes runs of its process.
    pub fn observe(
        &mut self,
        now: Instant,
        id: &InstanceId,
        started: u64,
        group: Option<&GroupId>,
    ) {
        if let Some((run, current)) = self.current.get(id)
            && (*run != started || Some(current) != group)
        {
            self.departed_at.entry((current.clone(), id.clone())).or_insert(now);
            self.current.remove(id);
        }
        if let Some(group) = group {
            // A member that rejoined, for example by a delayed order, is not missing.
            self.departed_at.remove(&(group.clone(), id.clone()));
            self.current.insert(id.clone(), (started, group.clone()));
        }
    }

    /// Removes departures older than the retention time.
    pub fn expire(&mut self, now: Instant) {
        self.departed_at.retain(|_, at| now < *at + DEPARTURE_RETENTION);
    }

    /// Time since which each group has lacked a member.
    pub fn by_group(&self) -> BTreeMap<GroupId, Instant> {
        let mut earliest: BTreeMap<GroupId, Instant> = BTreeMap::new();
        for ((group, _), at) in &self.departed_at {
            let since = earliest.entry(group.clone()).or_insert(*at);
            *since = (*since).min(*at);
        }
        earliest
    }
}
