//! What a node knows of the objects of one kind, and the changes that it passes on.

use {
    super::{ChangeSet, EraStart, ObjectChange, RelayError, digest, digest_part},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    turmerictack_model::{ids::ObjectName, store_version::StoreVersion},
};

/// Maximum number of objects whose last changes are kept; a node that lags further behind reads the
/// store.
const MAX_CHANGES: usize = 4_096;

/// Maximum size of the names and values of these changes, in bytes; the answer to another node has to
/// fit into one message of 2 MiB.
const MAX_CHANGE_BYTES: usize = 3 * 512 * 1024;

/// Objects of one kind as a node knows them from the store or a relay.
#[derive(Debug, Default)]
pub struct Facts {
    versions: BTreeMap<ObjectName, StoreVersion>,
    digest: u64,
    version: StoreVersion,
    /// First contact with the current era; `None` if the store states none.
    era_start: Option<EraStart>,
    confirmed_at: Option<Instant>,
    outage_ended: Option<Instant>,
    /// Whether this node watches the store, so that others may ask it.
    is_watching: bool,
    /// Last change of each object since this node began to watch, up to [`MAX_CHANGES`].
    ///
    /// Earlier changes of an object are of no use to a node that gets the last one.
    changes: BTreeMap<(StoreVersion, ObjectName), ObjectChange>,
    /// Size of the names and values of `changes`, in bytes.
    change_bytes: usize,
    /// Version of the change that is kept of an object.
    logged: BTreeMap<ObjectName, StoreVersion>,
    /// Version after which `changes` are complete.
    complete_after: StoreVersion,
    /// Whether `changes` hold the last change of every object in the current era, so that a node of
    /// an earlier era can be answered.
    holds_era: bool,
}

impl Facts {
    /// Version up to which the known objects are complete; never decreases.
    pub fn version(&self) -> StoreVersion {
        self.version
    }

    /// Start of the read of the store, by this or another node, that last confirmed the version.
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at
    }

    /// End of the last outage of the store that this node knows of.
    pub fn outage_ended(&self) -> Option<Instant> {
        self.outage_ended
    }

    /// First contact with the current era; `None` if the store states no era.
    pub fn era_start(&self) -> Option<EraStart> {
        self.era_start
    }

    /// Sets whether this node watches the store for others.
    pub fn set_watching(&mut self, is_watching: bool) {
        if is_watching && !self.is_watching {
            self.clear_changes();
            self.complete_after = self.version;
            self.holds_era = false;
        }
        self.is_watching = is_watching;
    }

    /// Records a listing of all objects by the store; returns `false` if it is older than what is
    /// known, in which case it is ignored.
    ///
    /// The differences from the known objects are passed on as changes, so a relay that has lost the
    /// history of the store does not make others lose theirs. In a new era all objects differ: a
    /// version that was given out twice does not show whether its object is the same.
    pub fn record_listing(
        &mut self,
        now: Instant,
        version: StoreVersion,
        objects: Vec<ObjectChange>,
    ) -> bool {
        if version < self.version {
            return false;
        }
        let listed: BTreeMap<ObjectName, StoreVersion> =
            objects.iter().map(|o| (o.name.clone(), o.version)).collect();
        let is_new_era = version.era > self.version.era;
        if is_new_era {
            self.begin_era(now, version);
        }
        if self.is_watching && self.confirmed_at.is_some() {
            let vanished = self.versions.keys().filter(|name| !listed.contains_key(*name));
            let deletions =
                vanished.map(|name| ObjectChange { name: name.clone(), version, value: None });
            let mut differences: Vec<ObjectChange> = deletions.collect();
            let is_new = |o: &ObjectChange| self.versions.get(&o.name) != Some(&o.version);
            differences.extend(objects.into_iter().filter(is_new));
            differences.sort_by_key(|change| change.version);
            self.log(differences);
        }
        self.digest = digest(&listed);
        self.versions = listed;
        self.version = version;
        if self.confirmed_at.is_none() || is_new_era {
            self.complete_after = version;
        }
        true
    }

    /// Records what could be read of a listing; returns `false` if it is older than what is known, in
    /// which case it is ignored.
    ///
    /// Objects that it lacks are kept, since they may be among those that could not be read. Other
    /// nodes must not take this one's objects for all there are, so it stops watching for them.
    pub fn record_incomplete_listing(
        &mut self,
        now: Instant,
        version: StoreVersion,
        objects: &[ObjectChange],
    ) -> bool {
        if version < self.version {
            return false;
        }
        self.set_watching(false);
        if version.era > self.version.era {
            self.begin_era(now, version);
        }
        objects.iter().for_each(|object| self.apply(object));
        self.version = version;
        true
    }

    /// Whether an object is known.
    pub fn knows(&self, name: &str) -> bool {
        self.versions.contains_key(name)
    }

    /// Records changes after the known version that the store returned, complete up to `version`.
    pub fn record_changes(&mut self, version: StoreVersion, changes: Vec<ObjectChange>) {
        let mut known = Vec::new();
        for change in changes {
            // Other nodes have no use for the end of what none of them ever knew.
            if change.value.is_some() || self.versions.contains_key(&change.name) {
                self.apply(&change);
                known.push(change);
            }
        }
        if self.is_watching {
            self.log(known);
        }
        self.version = self.version.max(version);
    }

    /// Records that a read of the store that began at `started_at` was answered.
    pub fn record_read(&mut self, started_at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(started_at));
    }

    /// Records the end of an outage of the store.
    pub fn record_outage_end(&mut self, at: Instant) {
        self.outage_ended = self.outage_ended.max(Some(at));
    }

    /// Follows the answer of a relay to a request that was sent at `sent_at` and answered at `now`,
    /// and returns the changes that are new.
    ///
    /// # Errors
    /// [`RelayError::Behind`] if the relay knows less; nothing changes then.
    /// [`RelayError::Incomplete`] if the result is not what the relay knows; the store has to be
    /// listed then.
    pub fn follow_relay(
        &mut self,
        now: Instant,
        sent_at: Instant,
        set: ChangeSet,
    ) -> Result<Vec<ObjectChange>, RelayError> {
        if set.version < self.version {
            return Err(RelayError::Behind);
        }
        let known = self.version;
        let mut changes: Vec<ObjectChange> =
            set.changes.into_iter().filter(|change| change.version > known).collect();
        if set.version.era > known.era {
            let seen = StoreVersion { version: set.era_seen_at, ..set.version };
            self.begin_era(now, seen);
            changes.extend(self.missing_from(&changes, set.version));
        }
        for change in &changes {
            self.apply(change);
        }
        if self.digest != set.digest {
            return Err(RelayError::Incomplete);
        }
        self.version = set.version;
        if let Some(confirmed_at) = sent_at.checked_sub(set.confirmed_age) {
            self.record_read(confirmed_at);
        }
        if let Some(ended) = set.outage_age.and_then(|age| now.checked_sub(age)) {
            self.record_outage_end(ended);
        }
        Ok(changes)
    }

    /// Changes after a version, for a request that arrived at `arrived_at`.
    ///
    /// # Errors
    /// [`RelayError::NotWatching`] or [`RelayError::HistoryTooShort`].
    pub fn changes_since(
        &self,
        now: Instant,
        arrived_at: Instant,
        after: StoreVersion,
    ) -> Result<ChangeSet, RelayError> {
        let confirmed_at =
            self.confirmed_at.filter(|_| self.is_watching).ok_or(RelayError::NotWatching)?;
        let is_known = if after.era < self.version.era {
            self.holds_era
        } else {
            after >= self.complete_after
        };
        if !is_known {
            return Err(RelayError::HistoryTooShort);
        }
        let era_start = StoreVersion::start_of(self.version.era);
        let first = (after.next().max(era_start), ObjectName::new());
        let age = |at: Instant| now.saturating_duration_since(at);
        Ok(ChangeSet {
            version: self.version,
            changes: self.changes.range(first..).map(|(_, change)| change.clone()).collect(),
            digest: self.digest,
            confirmed_age: arrived_at.saturating_duration_since(confirmed_at),
            outage_age: self.outage_ended.map(age),
            era_seen_at: self.era_start.map_or(0, |start| start.version.version),
        })
    }

    /// Age of the last confirmation; `None` if there is none.
    pub fn confirmed_age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_duration_since(at))
    }

    /// Begins an era: what was known of the one before is of no use to nodes of this one, and entries
    /// that are missing may appear again as after an outage.
    fn begin_era(&mut self, now: Instant, seen: StoreVersion) {
        if self.era_start.is_none_or(|start| start.version.era < seen.era) {
            self.era_start = Some(EraStart { version: seen, seen_at: now });
        }
        self.clear_changes();
        self.holds_era = self.is_watching && self.confirmed_at.is_some();
        self.record_outage_end(now);
    }

    /// Deletions of the known objects that are not among all `changes` of a later era.
    fn missing_from(&self, changes: &[ObjectChange], version: StoreVersion) -> Vec<ObjectChange> {
        let present: BTreeSet<&ObjectName> = changes.iter().map(|change| &change.name).collect();
        let missing = self.versions.keys().filter(|name| !present.contains(name));
        missing.map(|name| ObjectChange { name: name.clone(), version, value: None }).collect()
    }

    fn apply(&mut self, change: &ObjectChange) {
        let replaced = match &change.value {
            Some(_) => self.versions.insert(change.name.clone(), change.version),
            None => self.versions.remove(&change.name),
        };
        if let Some(version) = replaced {
            self.digest ^= digest_part(&change.name, version);
        }
        if change.value.is_some() {
            self.digest ^= digest_part(&change.name, change.version);
        }
    }

    fn clear_changes(&mut self) {
        self.changes.clear();
        self.logged.clear();
        self.change_bytes = 0;
    }

    fn log(&mut self, changes: Vec<ObjectChange>) {
        for change in changes {
            let (name, version) = (change.name.clone(), change.version);
            if let Some(replaced) = self.logged.insert(name.clone(), version) {
                let replaced = self.changes.remove(&(replaced, name.clone()));
                self.change_bytes -= replaced.as_ref().map_or(0, ObjectChange::bytes);
            }
            self.change_bytes += change.bytes();
            self.changes.insert((version, name), change);
        }
        while self.changes.len() > MAX_CHANGES || self.change_bytes > MAX_CHANGE_BYTES {
            if let Some(((version, name), change)) = self.changes.pop_first() {
                self.change_bytes -= change.bytes();
                self.logged.remove(&name);
                self.complete_after = version;
                self.holds_era = false;
            }
        }
    }
}
