//! Requests in flight, which the log names if the node stops before they are complete.

use {
    crate::tables::Tables,
    displaydoc::Display,
    std::{collections::BTreeMap, sync::Arc, time::Instant},
    turmerictack_model::ids::{EventPosition, InstanceId, RequestId, RouteId},
};

/// Key of a request in [`RequestsInFlight`]; clients may send two with the same id.
type RequestKey = u64;

/// Progress of a request that has been routed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Stage {
    /// queued
    Queued,
    /// sent
    Sent,
    /// streaming
    Streaming,
}

/// A request in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestInFlight {
    /// Request id.
    pub request: RequestId,
    /// Route.
    pub route: RouteId,
    /// Time at which the request head arrived.
    pub received_at: Instant,
    /// Progress; the client has a response head if it is [`Stage::Streaming`].
    pub stage: Stage,
    /// Upstream of the latest send.
    pub upstream: Option<InstanceId>,
    /// Position of the last event passed on to the client.
    pub last_event: Option<EventPosition>,
}

/// Table of the requests in flight.
#[derive(Debug, Default)]
pub struct RequestsInFlight {
    next_key: RequestKey,
    requests: BTreeMap<RequestKey, RequestInFlight>,
}

impl RequestsInFlight {
    /// The requests, in order of arrival.
    pub fn iter(&self) -> impl Iterator<Item = &RequestInFlight> {
        self.requests.values()
    }
}

/// Entry of a request in the table, removed when dropped.
#[derive(Debug)]
pub(crate) struct InFlightEntry {
    tables: Arc<Tables>,
    key: RequestKey,
}

impl InFlightEntry {
    pub(crate) fn insert(tables: &Arc<Tables>, request: RequestInFlight) -> Self {
        let mut in_flight = tables.in_flight.lock();
        let key = in_flight.next_key;
        in_flight.next_key += 1;
        in_flight.requests.insert(key, request);
        Self { tables: Arc::clone(tables), key }
    }

    pub(crate) fn update(&self, update: impl FnOnce(&mut RequestInFlight)) {
        if let Some(request) = self.tables.in_flight.lock().requests.get_mut(&self.key) {
            update(request);
        }
    }
}

impl Drop for InFlightEntry {
    fn drop(&mut self) {
        self.tables.in_flight.lock().requests.remove(&self.key);
    }
}
