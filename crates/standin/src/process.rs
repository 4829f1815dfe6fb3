//! A process of a fleet, and what it used as the system's process table says.

use {
    crate::error::StandinError,
    nix::{
        sys::signal::{Signal, kill},
        unistd::Pid,
    },
    serde::Serialize,
    std::{fs, process::Child, time::Duration},
    turmerictack_model::ids::Address,
};

/// Ticks of the process table in a second on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// What a process used since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Usage {
    /// Processor time.
    #[serde(rename = "processor")]
    pub cpu_time: Duration,
    /// Resident memory in bytes.
    #[serde(rename = "resident")]
    pub resident_bytes: u64,
}

/// What a process used; zero when it is gone.
pub fn usage(id: u32) -> Usage {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields: Vec<&str> =
        stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let resident = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kilobytes = resident.and_then(|r| r.split_whitespace().next()?.parse::<u64>().ok());
    Usage {
        cpu_time: Duration::from_secs_f64((ticks(11) + ticks(12)) / TICKS_PER_SECOND),
        resident_bytes: kilobytes.unwrap_or(0) * 1024,
    }
}

/// A running process.
#[derive(Debug)]
pub struct Process {
    pub(crate) child: Child,
    /// Where callers of the process connect.
    pub public_address: Address,
    /// Where its orders go.
    pub control_address: Address,
}

impl Process {
    /// Sends a signal.
    ///
    /// # Errors
    /// [`StandinError::Signal`].
    pub fn signal(&self, signal: Signal) -> Result<(), StandinError> {
        let pid = i32::try_from(self.child.id()).map_err(|_| StandinError::InvalidResponse)?;
        Ok(kill(Pid::from_raw(pid), signal)?)
    }

    /// Whether the process ended, and with which code.
    pub fn poll_exit(&mut self) -> Option<Option<i32>> {
        self.child.try_wait().ok().flatten().map(|status| status.code())
    }

    /// Number of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
