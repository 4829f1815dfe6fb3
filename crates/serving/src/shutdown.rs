//! Decides until when a node that shuts down may send a request to an upstream.
//!
//! A response has to be complete when the node ends its connections. While the load balancer still
//! sends requests, the duration of the response is estimated: a rejected client may be sent to the same
//! node again. Later requests come on connections that were opened before, and the other nodes can take
//! them, so even the longest response has to be in time.

use std::time::{Duration, Instant};

/// Time before the end of the connections at which requests that are still unanswered get a final
/// response.
const FINAL_RESPONSE_TIME: Duration = Duration::from_millis(200);

/// Schedule of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// Time from which on the load balancer sends no more requests.
    pub traffic_ends_at: Instant,
    /// Time at which the node ends all connections.
    pub connections_end_at: Instant,
}

impl Shutdown {
    /// Time at which every response has to be complete.
    pub fn response_deadline(&self) -> Instant {
        self.connections_end_at - FINAL_RESPONSE_TIME
    }

    /// Latest time at which a request may be sent, or `None` if it may not be sent any more.
    ///
    /// `expected_duration` is the time from the send to the end of the response; without it, the
    /// response is expected to take until the request's `deadline`.
    pub fn latest_send(
        &self,
        now: Instant,
        deadline: Instant,
        expected_duration: Option<Duration>,
    ) -> Option<Instant> {
        let latest = if deadline <= self.response_deadline() {
            deadline
        } else {
            self.response_deadline().checked_sub(expected_duration?)?.min(self.traffic_ends_at)
        };
        (now <= latest).then_some(latest)
    }
}
