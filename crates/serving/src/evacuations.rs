//! Data centres that operators have evacuated: their upstreams get no requests.

use {
    std::{collections::BTreeMap, time::Instant},
    turmerictack_model::ids::DataCentre,
};

/// Evacuated data centres, and those taken back, as this node knows them.
#[derive(Debug, Default)]
pub struct Evacuations {
    evacuated: BTreeMap<DataCentre, Instant>,
    returned: BTreeMap<DataCentre, Instant>,
}

impl Evacuations {
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

    /// Evacuates a data centre; returns `false` if it was evacuated already.
    pub fn begin(&mut self, now: Instant, data_centre: &str) -> bool {
        self.returned.remove(data_centre);
        let is_new = !self.is_evacuated(data_centre);
        if is_new {
            self.evacuated.insert(data_centre.to_owned(), now);
        }
        is_new
    }

    /// Takes a data centre back; returns `false` if it was not evacuated.
    pub fn end(&mut self, now: Instant, data_centre: &str) -> bool {
        let was_evacuated = self.evacuated.remove(data_centre).is_some();
        if was_evacuated {
            self.returned.insert(data_centre.to_owned(), now);
        }
        was_evacuated
    }
}
