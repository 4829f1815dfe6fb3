//! The clock, passed in wherever time matters.

use {
    nix::time::{ClockId, clock_gettime},
    std::{
        sync::Mutex,
        time::{Duration, Instant, SystemTime},
    },
};

/// Source of time for decisions.
pub trait Clock: Send + Sync {
    /// Monotonic time.
    fn now(&self) -> Instant;
    /// Time of day, for records that other machines read.
    fn wall(&self) -> SystemTime;
}

/// The machine's clock; its monotonic time goes on while the machine is suspended, so that what
/// was believed before does not look fresh afterwards.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    origin: Instant,
    boot_origin: Duration,
}

impl Default for SystemClock {
    fn default() -> Self {
        Self { origin: Instant::now(), boot_origin: since_boot().unwrap_or_default() }
    }
}

/// Time since the machine was started, suspensions included.
fn since_boot() -> Option<Duration> {
    clock_gettime(ClockId::CLOCK_BOOTTIME).ok().map(Duration::from)
}

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        match since_boot() {
            Some(now) => self.origin + now.saturating_sub(self.boot_origin),
            None => Instant::now(),
        }
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that moves only when told to.
#[derive(Debug)]
pub struct ManualClock {
    origin: Instant,
    wall_origin: SystemTime,
    elapsed: Mutex<Duration>,
}

impl Default for ManualClock {
    fn default() -> Self {
        Self {
            origin: Instant::now(),
            wall_origin: SystemTime::UNIX_EPOCH,
            elapsed: Mutex::new(Duration::ZERO),
        }
    }
}

impl ManualClock {
    /// Moves the clock forward.
    pub fn advance(&self, by: Duration) {
        *self.elapsed.lock().unwrap_or_else(|e| e.into_inner()) += by;
    }

    /// Time passed since the clock was made.
    pub fn elapsed(&self) -> Duration {
        *self.elapsed.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.origin + self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        self.wall_origin + self.elapsed()
    }
}

/// Milliseconds since the Unix epoch, the form in which records hold a time of day.
pub fn unix_millis(at: SystemTime) -> u64 {
    let since = at.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
