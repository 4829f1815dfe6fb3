//! Faults that a stand-in injects on request.

use {
    serde::{Deserialize, Serialize},
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// Set of faults to inject.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Delay of each response in ms.
    pub slow_ms: u64,
    /// Apply the effect but send no response.
    pub lose_answer: bool,
    /// Exit on a request, before the effect.
    pub crash_before: bool,
    /// Exit right after the effect.
    pub crash_after: bool,
    /// Reads return the value before the last write.
    pub old_reads: bool,
    /// The instance reports that it is leaving.
    pub leaving: bool,
}

/// Faults that are active in a process, shared by its request handlers.
#[derive(Clone, Debug, Default)]
pub struct ActiveFaults(Arc<Mutex<Faults>>);

impl ActiveFaults {
    /// Current faults.
    pub fn get(&self) -> Faults {
        *self.lock()
    }

    /// Replaces the current faults.
    pub fn set(&self, faults: Faults) {
        *self.lock() = faults;
    }

    /// Waits for the delay of [`Faults::slow_ms`].
    pub async fn delay(&self) {
        let slow = Duration::from_millis(self.get().slow_ms);
        tokio::time::sleep(slow).await;
    }

    fn lock(&self) -> MutexGuard<'_, Faults> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Delay of a response that must be lost, longer than the time-out of any client.
pub const LOST_RESPONSE_DELAY: Duration = Duration::from_secs(120);
