//! Shared tables, each protected by a mutex with a fixed position in one lock order.

use std::{
    cell::RefCell,
    ops::{Deref, DerefMut},
    sync::{Mutex, MutexGuard},
};

/// Position of a table's lock in the lock order, which prevents deadlocks.
///
/// A thread that holds a lock may only take locks that are listed below it. No lock is held across
/// I/O or an `.await`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LockRank {
    /// Accepted services configuration.
    Settings,
    /// Objects of the store, as this node passes them on to others.
    Facts,
    /// Membership of the cluster of nodes.
    Members,
    /// Instances, their health reports and the replica groups.
    Groups,
    /// Load and health of upstreams, as observed by this node.
    Upstreams,
    /// Admission queues and fair shares, by rank and caller.
    Admission,
    /// Calls in progress.
    Calls,
    /// Requests that crashed upstreams.
    Quarantine,
    /// Crashes of upstreams, and what is quarantined because of them.
    Crashes,
    /// Retries sent in the last seconds, which the retry budget limits.
    RetryBudget,
    /// Direct paths to instances, as the dials of this node found them.
    Paths,
    /// Counters of the error budget burn report.
    Burn,
    /// Lifecycle state of the node, such as ready or draining.
    Lifecycle,
    /// HTTP connections.
    Connections,
    /// Memory and connections held for clients, which end with requests under any lock above.
    Clients,
    /// State shared by jobs of the worker pool.
    Jobs,
    /// Metrics of the process.
    Metrics,
}

thread_local! {
    static HELD_RANKS: RefCell<Vec<LockRank>> = const { RefCell::new(Vec::new()) };
}

/// Mutex with a position in the lock order; debug builds check the order on each lock.
///
/// A panic while the lock is held does not poison it.
#[derive(Debug)]
pub struct Table<T> {
    rank: LockRank,
    inner: Mutex<T>,
}

impl<T> Table<T> {
    /// Creates a table whose lock has the given rank.
    pub fn new(rank: LockRank, value: T) -> Self {
        Self { rank, inner: Mutex::new(value) }
    }

    /// Acquires the lock, blocking until it is available.
    ///
    /// # Panics
    /// In debug builds, if this thread holds a lock of the same rank or of one that is listed later
    /// in [`LockRank`].
    pub fn lock(&self) -> TableGuard<'_, T> {
        if cfg!(debug_assertions) {
            HELD_RANKS.with_borrow(|held| {
                let last = held.last();
                assert!(
                    last.is_none_or(|last| *last < self.rank),
                    "lock order violated: {:?} requested while {last:?} is held",
                    self.rank
                );
            });
        }
        let guard = self.inner.lock().unwrap_or_else(|e| e.into_inner());
        HELD_RANKS.with_borrow_mut(|held| held.push(self.rank));
        TableGuard { rank: self.rank, guard }
    }
}

/// Guard of a locked table; dropping it releases the lock.
#[derive(Debug)]
pub struct TableGuard<'a, T> {
    rank: LockRank,
    guard: MutexGuard<'a, T>,
}

impl<T> Drop for TableGuard<'_, T> {
    fn drop(&mut self) {
        HELD_RANKS.with_borrow_mut(|held| {
            if let Some(at) = held.iter().rposition(|r| *r == self.rank) {
                held.remove(at);
            }
        });
    }
}

impl<T> Deref for TableGuard<'_, T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.guard
    }
}

impl<T> DerefMut for TableGuard<'_, T> {
    fn deref_mut(&mut self) -> &mut T {
        &mut self.guard
    }
}
