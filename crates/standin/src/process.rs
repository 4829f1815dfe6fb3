//! Child processes of a fleet, and their resource usage from `/proc`.

use {
    crate::error::StandinError,
    nix::{
        sys::signal::{Signal, kill},
        unistd::Pid,
    },
    serde::Serialize,
    std::{collections::BTreeSet, fs, path::PathBuf, process::Child, time::Duration},
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

/// Memory that the platform charges to a process, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldMemory {
    /// Anonymous memory.
    pub anonymous: u64,
    /// Bytes that have been received on its sockets and not yet read, also on connections that it
    /// has not accepted yet.
    pub unread: u64,
}

impl HeldMemory {
    /// Sum of both.
    pub fn total(&self) -> u64 {
        self.anonymous + self.unread
    }
}

/// Memory of a process as the platform charges it; zero if it does not exist.
pub fn held_memory(id: u32) -> HeldMemory {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let anonymous = status.lines().find_map(|l| l.strip_prefix("RssAnon:"));
    let kilobytes = anonymous.and_then(|r| r.split_whitespace().next()?.parse::<u64>().ok());
    HeldMemory { anonymous: kilobytes.unwrap_or(0) * 1024, unread: unread_bytes(id) }
}

/// Number of descriptors that a process has open.
pub fn open_descriptors(id: u32) -> usize {
    fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count)
}

/// State of a listening socket in `/proc/net/tcp`.
const LISTEN_STATE: &str = "0A";

/// Receive queues of a process's sockets, and of connections to its listeners.
fn unread_bytes(id: u32) -> u64 {
    let inodes = socket_inodes(id);
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let rows: Vec<Vec<&str>> =
        table.lines().skip(1).map(|l| l.split_whitespace().collect()).collect();
    let is_own = |row: &Vec<&str>| row.get(9).is_some_and(|inode| inodes.contains(*inode));
    let listeners: BTreeSet<&str> = rows
        .iter()
        .filter(|row| is_own(row) && row.get(3) == Some(&LISTEN_STATE))
        .filter_map(|row| row.get(1).copied())
        .collect();
    let queue = |row: &Vec<&str>| {
        let (_, received) = row.get(4)?.split_once(':')?;
        u64::from_str_radix(received, 16).ok()
    };
    rows.iter()
        // The queue of a listener counts connections.
        .filter(|row| row.get(3) != Some(&LISTEN_STATE))
        .filter(|row| is_own(row) || row.get(1).is_some_and(|local| listeners.contains(local)))
        .filter_map(queue)
        .sum()
}

fn socket_inodes(id: u32) -> BTreeSet<String> {
    let Ok(entries) = fs::read_dir(format!("/proc/{id}/fd")) else { return BTreeSet::new() };
    let links = entries.filter_map(|entry| fs::read_link(entry.ok()?.path()).ok());
    let inode = |link: PathBuf| {
        let text = link.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?;
        Some(text.to_owned())
    };
    links.filter_map(inode).collect()
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
