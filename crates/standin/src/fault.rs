//! Faults that a stand-in can be ordered to show.

use {
    serde::{Deserialize, Serialize},
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// What a stand-in does wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Delay of each answer, in ms.
    pub slow_ms: u64,
    /// The effect takes place, but its answer never comes.
    pub lose_answer: bool,
    /// The process ends when it is asked, before the effect.
    pub crash_before: bool,
    /// The process ends right after the effect.
    pub crash_after: bool,
    /// Reads give what was there before the last change.
    pub old_reads: bool,
    /// The instance says that it is about to be stopped.
    pub leaving: bool,
}

/// Faults in force.
#[derive(Clone, Debug, Default)]
pub struct ActiveFaults(Arc<Mutex<Faults>>);

impl ActiveFaults {
    /// Faults in force now.
    pub fn get(&self) -> Faults {
        *self.lock()
    }

    /// Changes the faults.
    pub fn set(&self, faults: Faults) {
        *self.lock() = faults;
    }

    /// Waits as long as answers are to be late.
    pub async fn delay(&self) {
        let slow = Duration::from_millis(self.get().slow_ms);
        tokio::time::sleep(slow).await;
    }

    fn lock(&self) -> MutexGuard<'_, Faults> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Longer than any client waits: an answer after this time is lost.
pub const LOST_RESPONSE_DELAY: Duration = Duration::from_secs(120);
