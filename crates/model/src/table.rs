//! Shared tables: each behind a lock that has a place in one order.

use std::{
    cell::RefCell,
    ops::{Deref, DerefMut},
    sync::{Mutex, MutexGuard},
};

/// Lock order: a thread takes these locks only from the top of the list downwards.
///
/// No lock is held across I/O or an await.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LockRank {
    /// The accepted services text.
    Settings,
    /// Which nodes are alive.
    Members,
    /// Instances, evidence and replica groups.
    Groups,
    /// Load and health of upstreams as this node sees them.
    Upstreams,
    /// Queues and shares by rank and caller.
    Admission,
    /// Calls in flight.
    Calls,
    /// Requests that ended upstreams.
    Quarantine,
    /// Repeated sends of the last seconds.
    Repeats,
    /// Counters of the burn report.
    Burn,
    /// The state of the node itself: ready, draining.
    Lifecycle,
    /// Connections of the HTTP listeners.
    Connections,
    /// Jobs of the worker pool.
    Jobs,
    /// Counters and histograms of the process.
    Metrics,
}

thread_local! {
    static HELD: RefCell<Vec<LockRank>> = const { RefCell::new(Vec::new()) };
}

/// A table behind a lock with a rank; debug builds assert the order.
#[derive(Debug)]
pub struct Table<T> {
    rank: LockRank,
    inner: Mutex<T>,
}

impl<T> Table<T> {
    /// Puts a value behind a lock of this rank.
    pub fn new(rank: LockRank, value: T) -> Self {
        Self { rank, inner: Mutex::new(value) }
    }

    /// Takes the lock.
    ///
    /// # Panics
    /// In debug builds, when this thread holds a lock of the same or a lower place in the order.
    pub fn lock(&self) -> TableGuard<'_, T> {
        if cfg!(debug_assertions) {
            HELD.with_borrow(|held| {
                let last = held.last();
                assert!(
                    last.is_none_or(|last| *last < self.rank),
                    "lock order: {:?} taken while {last:?} is held",
                    self.rank
                );
            });
        }
        let guard = self.inner.lock().unwrap_or_else(|e| e.into_inner());
        HELD.with_borrow_mut(|held| held.push(self.rank));
        TableGuard { rank: self.rank, guard }
    }
}

/// Access to a locked table.
#[derive(Debug)]
pub struct TableGuard<'a, T> {
    rank: LockRank,
    guard: MutexGuard<'a, T>,
}

impl<T> Drop for TableGuard<'_, T> {
    fn drop(&mut self) {
        HELD.with_borrow_mut(|held| {
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
