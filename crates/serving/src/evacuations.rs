//! Data centres that operators have evacuated: their upstreams get no requests.

use {
    crate::tables::Tables,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Instant,
    },
    turmerictack_model::ids::DataCentre,
};

/// Evacuated data centres, and those taken back, as this node knows them.
#[derive(Debug, Default)]
pub struct Evacuations {
    evacuated: BTreeMap<DataCentre, Instant>,
    returned: BTreeMap<DataCentre, Instant>,
    /// Evacuations whose entry is missing, each with the time at which that counts.
    ends: BTreeMap<DataCentre, Instant>,
    /// Whether evacuations are requested in this deployment, but have not been read yet.
    is_unread: bool,
}

impl Evacuations {
    /// Evacuations of a deployment in which they are requested, before the first read.
    pub fn unread() -> Self {
        Self { is_unread: true, ..Self::default() }
    }

    /// Whether it is unknown which data centres are evacuated, so that no upstream may be used.
    pub fn is_unread(&self) -> bool {
        self.is_unread
    }

    /// Evacuated data centres, each with the time at which this node learned of it.
    pub fn evacuated(&self) -> &BTreeMap<DataCentre, Instant> {
        &self.evacuated
    }

    /// Whether the upstreams of a data centre get no requests.
    pub fn is_evacuated(&self, data_centre: &str) -> bool {
        self.evacuated.contains_key(data_centre)
    }

    /// Time at which this node learned that a data centre was taken back; `None` if it is evacuated
    /// or never was.
    pub fn returned_at(&self, data_centre: &str) -> Option<Instant> {
        self.returned.get(data_centre).copied()
    }

    /// Evacuates a data centre, and cancels the scheduled end of its evacuation; returns `false` if
    /// it was evacuated already.
    pub fn begin(&mut self, now: Instant, data_centre: &str) -> bool {
        self.ends.remove(data_centre);
        self.returned.remove(data_centre);
        let is_new = !self.is_evacuated(data_centre);
        if is_new {
            self.evacuated.insert(data_centre.to_owned(), now);
        }
        is_new
    }

    /// Takes a data centre back; returns `false` if it was not evacuated.
    pub fn end(&mut self, now: Instant, data_centre: &str) -> bool {
        self.ends.remove(data_centre);
        let was_evacuated = self.evacuated.remove(data_centre).is_some();
        if was_evacuated {
            self.returned.insert(data_centre.to_owned(), now);
        }
        was_evacuated
    }

    /// Schedules the end of an evacuation; one that is scheduled already keeps its time.
    pub fn schedule_end(&mut self, data_centre: &str, at: Instant) {
        if self.is_evacuated(data_centre) {
            self.ends.entry(data_centre.to_owned()).or_insert(at);
        }
    }

    /// Applies a listing of all evacuated data centres; the evacuations missing from it are scheduled
    /// to end at `end_at`. Returns the data centres that are newly evacuated.
    pub fn replace_all(
        &mut self,
        now: Instant,
        listed: &BTreeSet<DataCentre>,
        end_at: Instant,
    ) -> Vec<DataCentre> {
        let missing = self.evacuated.keys().filter(|name| !listed.contains(*name));
        for data_centre in missing.cloned().collect::<Vec<_>>() {
            self.schedule_end(&data_centre, end_at);
        }
        self.extend(now, listed)
    }

    /// Applies a listing that may lack evacuated data centres; those missing from it stay evacuated.
    /// Returns the data centres that are newly evacuated.
    pub fn extend(&mut self, now: Instant, listed: &BTreeSet<DataCentre>) -> Vec<DataCentre> {
        self.is_unread = false;
        listed.iter().filter(|name| self.begin(now, name)).cloned().collect()
    }

    /// Time at which the next scheduled end is due.
    pub fn next_end(&self) -> Option<Instant> {
        self.ends.values().min().copied()
    }

    /// Takes back the data centres whose evacuation is due to end, and returns them.
    pub fn end_due(&mut self, now: Instant) -> Vec<DataCentre> {
        let is_due = |at: &Instant| now >= *at;
        let due = self.ends.iter().filter(|(_, at)| is_due(at)).map(|(name, _)| name.clone());
        due.collect::<Vec<_>>().into_iter().filter(|name| self.end(now, name)).collect()
    }
}

impl Tables {
    /// Starts without knowing which data centres are evacuated, if `is_requested`: no upstream is
    /// used before the first read.
    pub fn with_evacuations(self, is_requested: bool) -> Self {
        if is_requested {
            *self.directory.lock().evacuations_mut() = Evacuations::unread();
        }
        self
    }

    /// Whether the upstreams of a data centre get no requests.
    pub fn is_evacuated(&self, data_centre: &str) -> bool {
        self.directory.lock().evacuations().is_evacuated(data_centre)
    }

    /// Changes the evacuations and rebuilds the pools in one step, so that no evacuated upstream is
    /// chosen in between.
    pub fn update_evacuations<R>(
        &self,
        now: Instant,
        update: impl FnOnce(&mut Evacuations) -> R,
    ) -> R {
        self.rebuild_upstreams_after(now, |directory| update(directory.evacuations_mut()))
    }

    /// Removes the queued requests whose pools have lost all upstreams to evacuations, which tells
    /// the waiting tasks to refuse them.
    ///
    /// A response that has begun can't be refused any more, and waits for an upstream.
    pub(crate) fn refuse_evacuated(&self) {
        let directory = self.directory.lock();
        let mut queues = self.queues.lock();
        for (_, queue) in queues.iter_mut().filter(|(pool, _)| directory.is_pool_evacuated(pool)) {
            queue.retain(|params| params.is_resumption);
        }
    }
}
