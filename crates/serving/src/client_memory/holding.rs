//! What a client's request or response holds, and how it compares with those of others.

use {
    super::{HolderId, SMALL_BYTES},
    std::{
        cmp::Reverse,
        time::{Duration, Instant},
    },
};

/// Time without progress after which a holding counts as stalled.
const STALL_TIME: Duration = Duration::from_secs(1);

/// Time for which a request waits for room, and a response that its upstream sends, which was run
/// for it and can't be refused any more.
const MAX_REQUEST_WAIT: Duration = Duration::from_secs(2);
const MAX_RESPONSE_WAIT: Duration = Duration::from_millis(1_500);

/// Pace below which a client counts as one that does not get on, in bytes per second; a request of
/// an ordinary client takes one round trip.
const SLOW_PACE: u64 = 4 * 1024;

/// What is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldingKind {
    /// Head of a request, with what its connection takes for the request.
    Head,
    /// Body of a request.
    Body,
    /// Body of a response.
    Response,
    /// Part of a response that its client does not read.
    Backlog,
}

#[derive(Debug)]
pub(super) struct Holding<S> {
    pub kind: HoldingKind,
    /// Memory taken, in bytes.
    pub held: usize,
    /// Memory that is counted elsewhere and released together with this, in bytes.
    pub linked: usize,
    /// Bytes received from the client, or sent to it.
    pub moved: usize,
    pub opened_at: Instant,
    pub last_progress: Instant,
    pub waiting_since: Option<Instant>,
    pub is_evicted: bool,
    /// Whether it has been received as a whole.
    pub is_complete: bool,
    /// `None` if it does not have to go, or has been told to.
    pub signal: Option<S>,
}

impl<S> Holding<S> {
    pub fn new(kind: HoldingKind, now: Instant, signal: Option<S>) -> Self {
        Self {
            kind,
            held: 0,
            linked: 0,
            moved: 0,
            opened_at: now,
            last_progress: now,
            waiting_since: None,
            is_evicted: false,
            is_complete: false,
            signal,
        }
    }

    pub fn max_wait(&self) -> Duration {
        match self.kind {
            HoldingKind::Response => MAX_RESPONSE_WAIT,
            HoldingKind::Head | HoldingKind::Body | HoldingKind::Backlog => MAX_REQUEST_WAIT,
        }
    }

    /// Whether it will be released, or can be told to go.
    pub fn makes_room(&self) -> bool {
        self.signal.is_some() || self.is_evicted || self.is_complete
    }

    /// Memory that is released with it.
    pub fn released(&self) -> usize {
        self.held + self.linked
    }

    pub fn is_large(&self) -> bool {
        self.released() > SMALL_BYTES
    }

    /// Bytes per second since it was opened; zero if it is stalled.
    fn pace(&self, now: Instant) -> u64 {
        // A client that waits for room is not read.
        let now = self.waiting_since.unwrap_or(now);
        if now.saturating_duration_since(self.last_progress) >= STALL_TIME {
            return 0;
        }
        let age_ms = now.saturating_duration_since(self.opened_at).as_millis().max(1) as u64;
        self.moved as u64 * 1_000 / age_ms
    }

    /// Order in which holdings go for memory.
    pub fn memory_rank(&self, now: Instant) -> (u64, Reverse<usize>) {
        (self.pace(now), Reverse(self.released()))
    }

    /// Order in which clients go for places.
    pub fn place_rank(&self, now: Instant) -> PlaceRank {
        let pace = self.pace(now);
        let class = match self.kind {
            HoldingKind::Head | HoldingKind::Body if pace == 0 => PlaceClass::StalledRequest,
            HoldingKind::Head | HoldingKind::Body if pace < SLOW_PACE => PlaceClass::SlowRequest,
            HoldingKind::Head | HoldingKind::Body => PlaceClass::Request,
            HoldingKind::Response | HoldingKind::Backlog if pace == 0 => PlaceClass::UnreadResponse,
            HoldingKind::Response | HoldingKind::Backlog => PlaceClass::SlowReader,
        };
        PlaceRank { class, pace, since: self.opened_at }
    }
}

/// Kinds of clients, in the order in which they go for places.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum PlaceClass {
    StalledRequest,
    /// A connection on which there has been no request.
    Unused,
    SlowRequest,
    /// A connection that is idle between requests.
    Idle,
    Request,
    UnreadResponse,
    SlowReader,
}

/// Position of a client in the order in which they go for places.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PlaceRank {
    class: PlaceClass,
    pace: u64,
    since: Instant,
}

impl PlaceRank {
    /// A connection without a request since `since`.
    pub fn idle(has_had_request: bool, since: Instant) -> Self {
        let class = if has_had_request { PlaceClass::Idle } else { PlaceClass::Unused };
        Self { class, pace: 0, since }
    }

    /// Whether the client uses its connection as ordinary ones do.
    pub fn is_sound(&self) -> bool {
        self.class >= PlaceClass::Idle
    }
}

/// A client that has to go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Victim {
    Holding(HolderId),
    Connection(HolderId),
}
