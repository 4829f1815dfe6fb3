//! The facts of a node by kind, and the answers to other nodes that follow them.

use {
    super::{ChangeSet, FactKind, RelayError, facts::Facts},
    std::time::Duration,
    tokio::{sync::Notify, time::timeout},
    turmerictack_model::{
        clock::Clock,
        store_version::StoreVersion,
        table::{LockRank, Table},
    },
};

/// Longest time for which a request may be held open.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Facts of one kind, with a notification of changes.
#[derive(Debug)]
struct Section {
    facts: Table<Facts>,
    changed: Notify,
}

impl Default for Section {
    fn default() -> Self {
        Self { facts: Table::new(LockRank::Facts, Facts::default()), changed: Notify::new() }
    }
}

/// Facts of a node by kind.
#[derive(Debug, Default)]
pub struct FactBoard {
    configuration: Section,
    instances: Section,
    evacuations: Section,
}

impl FactBoard {
    fn section(&self, kind: FactKind) -> &Section {
        match kind {
            FactKind::Configuration => &self.configuration,
            FactKind::Instances => &self.instances,
            FactKind::Evacuations => &self.evacuations,
        }
    }

    /// Reads or updates the facts of a kind.
    pub fn with<R>(&self, kind: FactKind, access: impl FnOnce(&mut Facts) -> R) -> R {
        access(&mut self.section(kind).facts.lock())
    }

    /// Wakes the requests that wait for changes of a kind.
    pub fn notify(&self, kind: FactKind) {
        self.section(kind).changed.notify_waiters();
    }

    /// Answers a request for the changes after a version; waits for the first one for up to `wait`,
    /// unless this node does not know the era of the version yet.
    ///
    /// # Errors
    /// [`RelayError::NotWatching`] or [`RelayError::HistoryTooShort`].
    pub async fn changes_since(
        &self,
        clock: &dyn Clock,
        kind: FactKind,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<ChangeSet, RelayError> {
        let arrived_at = clock.now();
        let read = || self.with(kind, |facts| facts.changes_since(clock.now(), arrived_at, after));
        let first_change = async {
            loop {
                let changed = self.section(kind).changed.notified();
                tokio::pin!(changed);
                // Registers for notifications before the facts are read, so that none is missed.
                changed.as_mut().enable();
                let set = read()?;
                if !set.changes.is_empty() || set.version.era < after.era {
                    return Ok(set);
                }
                changed.await;
            }
        };
        match timeout(wait.min(MAX_WAIT), first_change).await {
            Ok(answer) => answer,
            Err(_) => read(),
        }
    }
}
