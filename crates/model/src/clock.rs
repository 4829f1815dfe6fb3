//! Monotonic and wall-clock time behind a trait, so that time can be controlled in tests.

use {
    nix::time::{ClockId, clock_gettime},
    std::{
        sync::Mutex,
        time::{Duration, Instant, SystemTime},
    },
};

/// Source of time for code whose behaviour depends on it.
pub trait Clock: Send + Sync {
    /// Current monotonic time, for deadlines and ages.
    fn now(&self) -> Instant;
    /// Current wall-clock time, for timestamps that other machines read.
    fn wall_time(&self) -> SystemTime;
}

/// Clock of the operating system.
///
/// Its monotonic time includes time spent suspended (`CLOCK_BOOTTIME`), so that information from
/// before a suspend does not appear recent after the resume.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    origin: Instant,
    boot_origin: Duration,
}

impl Default for SystemClock {
    fn default() -> Self {
        Self { origin: Instant::now(), boot_origin: time_since_boot().unwrap_or_default() }
    }
}

/// Time since boot, including time spent suspended; `None` if the system call fails.
fn time_since_boot() -> Option<Duration> {
    clock_gettime(ClockId::CLOCK_BOOTTIME).ok().map(Duration::from)
}

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        match time_since_boot() {
            Some(now) => self.origin + now.saturating_sub(self.boot_origin),
            None => Instant::now(),
        }
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Clock for tests; it changes only when [`ManualClock::advance`] is called.
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
    /// Moves the monotonic and the wall-clock time forward by `by`.
    pub fn advance(&self, by: Duration) {
        *self.elapsed.lock().unwrap_or_else(|e| e.into_inner()) += by;
    }

    /// Total time by which the clock was advanced.
    pub fn elapsed(&self) -> Duration {
        *self.elapsed.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.origin + self.elapsed()
    }

    fn wall_time(&self) -> SystemTime {
        self.wall_origin + self.elapsed()
    }
}

/// Converts a wall-clock time to milliseconds since the Unix epoch, the format of stored timestamps.
///
/// Times before the epoch give 0.
pub fn unix_millis(at: SystemTime) -> u64 {
    let since = at.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
