//! Child processes of a fleet, and their resource usage from `/proc`.

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

/// Clock ticks per second of the times in `/proc/PID/stat` on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Usage {
    /// User and system CPU time since the start.
    #[serde(rename = "processor")]
    pub cpu_time: Duration,
    /// Resident set size in bytes.
    #[serde(rename = "resident")]
    pub resident_bytes: u64,
}

/// Resource usage of a process; zero if it does not exist.
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

/// A child process, killed when dropped.
#[derive(Debug)]
pub struct Process {
    pub(crate) child: Child,
    /// Address for callers.
    pub public_address: Address,
    /// Address for control requests: a stand-in's server without the relay, or a node's operator
    /// interface.
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

    /// Checks without blocking whether the process has exited; the inner option is its exit code,
    /// `None` if a signal ended it.
    pub fn poll_exit(&mut self) -> Option<Option<i32>> {
        self.child.try_wait().ok().flatten().map(|status| status.code())
    }

    /// Process id.
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
