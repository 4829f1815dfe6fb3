//! Bound on the requests in flight at one upstream, by additive increase and multiplicative decrease.

use std::time::{Duration, Instant};

/// Share of the slots that a bound starts with.
const INITIAL_SHARE: f64 = 0.25;

/// Factor on the bound for each late response.
const LATE_FACTOR: f64 = 0.9;

/// Smallest factor on the bound within a window, and the one for rejections.
///
/// Requests that were sent together are late or rejected together.
const WINDOW_FACTOR: f64 = 0.5;

/// Multiple of the requests in flight up to which the bound rises.
///
/// A bound that is not used says nothing about how the upstream would answer if it were. What is
/// known to be in flight falls behind while the bound rises.
const MAX_UNUSED_FACTOR: f64 = 4.0;

/// Time in which a bound falls at most by half, at least.
const MIN_FALL_WINDOW: Duration = Duration::from_millis(250);

/// Requests that an upstream may have in flight, over all nodes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bound {
    value: f64,
    slots: f64,
    /// Start of the window in which the bound last fell, and how far it may fall there.
    window: Option<(Instant, f64)>,
}

impl Bound {
    /// Starts at a share of the slots, or at what is in flight already.
    pub(super) fn new(slots: u32, in_flight: u32) -> Self {
        let slots = f64::from(slots.max(1));
        let initial = (slots * INITIAL_SHARE).max(f64::from(in_flight));
        Self { value: initial.clamp(1.0, slots), slots, window: None }
    }

    /// Starts at a bound that a peer has found.
    pub(super) fn adopt(slots: u32, bound: u32) -> Self {
        let slots = f64::from(slots.max(1));
        Self { value: f64::from(bound).clamp(1.0, slots), slots, window: None }
    }

    /// Largest number of requests in flight.
    pub(super) fn current(&self) -> u32 {
        self.value as u32
    }

    /// Whether the slots bind, and not this.
    pub(super) fn has_reached_slots(&self) -> bool {
        self.value >= self.slots
    }

    /// Rises to the slots at once.
    pub(super) fn open(&mut self) {
        self.value = self.slots;
    }

    /// Rises for responses in time, while it is used.
    pub(super) fn raise(&mut self, by: u32, in_flight: u32) {
        let highest = (f64::from(in_flight) * MAX_UNUSED_FACTOR).clamp(self.value, self.slots);
        self.value = (self.value + f64::from(by)).min(highest);
    }

    /// Falls for late responses.
    pub(super) fn lower(&mut self, now: Instant, late: u32, window: Duration) {
        let factor = LATE_FACTOR.powf(f64::from(late));
        let lowest = self.lowest(now, self.value, window);
        self.value = (self.value * factor).max(lowest);
    }

    /// Falls to a part of what was in flight at a rejection.
    pub(super) fn halve(&mut self, now: Instant, in_flight: u32, window: Duration) {
        let in_use = self.value.min(f64::from(in_flight));
        self.value = self.lowest(now, in_use, window).min(self.value);
    }

    /// How far the bound may fall in this window; one that begins now starts at `from`.
    fn lowest(&mut self, now: Instant, from: f64, window: Duration) -> f64 {
        match self.window {
            Some((since, lowest)) if now < since + window => lowest,
            _ => {
                let lowest = (from * WINDOW_FACTOR).max(1.0);
                self.window = Some((now, lowest));
                lowest
            }
        }
    }
}

/// Time in which a bound falls at most by half: what happens at once becomes known over a round of
/// heartbeats.
pub(super) fn fall_window(round: Duration) -> Duration {
    MIN_FALL_WINDOW.max(round)
}
