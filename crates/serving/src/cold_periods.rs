//! How long instances are cold, as their entries and the ends of evacuations say.

use {
    crate::{config::ColdStart, directory::Instance},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Instant,
    },
    turmerictack_model::{ids::InstanceId, rate::RequestRate},
};

/// Time for which an upstream is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdPeriod {
    /// End of the time.
    pub until: Instant,
    /// Requests that the upstream takes until then, from all nodes together.
    pub rate: RequestRate,
}

/// What the last change of an entry said.
#[derive(Clone, Copy, Debug)]
struct ColdEntry {
    changed_at: Instant,
    until: Instant,
}

/// What the entries of the listed instances say about cold starts.
#[derive(Debug, Default)]
pub(crate) struct ColdEntries {
    changed: BTreeSet<InstanceId>,
    entries: BTreeMap<InstanceId, ColdEntry>,
}

impl ColdEntries {
    /// Notes that an entry has changed. One that is only read again says nothing new.
    pub(crate) fn mark_changed(&mut self, id: InstanceId) {
        self.changed.insert(id);
    }

    /// Forgets an instance.
    pub(crate) fn remove(&mut self, id: &str) {
        self.changed.remove(id);
        self.entries.remove(id);
    }

    /// Applies the entries that have changed.
    pub(crate) fn apply_changes(
        &mut self,
        now: Instant,
        instances: &BTreeMap<InstanceId, Instance>,
    ) {
        for id in std::mem::take(&mut self.changed) {
            let Some(instance) = instances.get(&id) else { continue };
            let until = now + instance.cold_remaining;
            self.entries.insert(id, ColdEntry { changed_at: now, until });
        }
    }

    /// Time until which an instance is cold.
    ///
    /// After an evacuation of its data centre an instance counts as cold for the whole time of a
    /// start, unless its entry has changed since: it may have become cold unnoticed.
    pub(crate) fn cold_until(
        &self,
        id: &str,
        returned_at: Option<Instant>,
        cold_start: ColdStart,
    ) -> Option<Instant> {
        let entry = self.entries.get(id);
        let returned_at = returned_at.filter(|at| entry.is_none_or(|e| e.changed_at <= *at));
        let entry_until = entry.map(|e| e.until);
        entry_until.max(returned_at.map(|at| at + cold_start.duration))
    }
}
