//! When members were seen outside their groups, remembered by every node.
//!
//! A node that takes charge would otherwise wait anew until the head of a group that is being
//! dissolved must have noticed that a member is missing.

use {
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    turmerictack_model::ids::{GroupId, InstanceId},
};

/// Time after which a departure is forgotten; longer than any group takes to be dissolved.
const MEMORY: Duration = Duration::from_secs(60);

/// Departures of members, by what a node has read of instances.
#[derive(Debug, Default)]
pub struct Departures {
    last: BTreeMap<InstanceId, (u64, GroupId)>,
    since: BTreeMap<(GroupId, InstanceId), Instant>,
}

impl Departures {
    /// Takes the group that an instance says it belongs to; `started` tells its runs apart.
    pub fn observe(
        &mut self,
        now: Instant,
        id: &InstanceId,
        started: u64,
        group: Option<&GroupId>,
    ) {
        if let Some((run, last)) = self.last.get(id)
            && (*run != started || Some(last) != group)
        {
            self.since.entry((last.clone(), id.clone())).or_insert(now);
            self.last.remove(id);
        }
        if let Some(group) = group {
            // One that is back, for example by a late order, is not missing.
            self.since.remove(&(group.clone(), id.clone()));
            self.last.insert(id.clone(), (started, group.clone()));
        }
    }

    /// Forgets what is old.
    pub fn expire(&mut self, now: Instant) {
        self.since.retain(|_, at| now < *at + MEMORY);
    }

    /// Since when each group has lacked a member.
    pub fn by_group(&self) -> BTreeMap<GroupId, Instant> {
        let mut first: BTreeMap<GroupId, Instant> = BTreeMap::new();
        for ((group, _), at) in &self.since {
            let since = first.entry(group.clone()).or_insert(*at);
            *since = (*since).min(*at);
        }
        first
    }
}
