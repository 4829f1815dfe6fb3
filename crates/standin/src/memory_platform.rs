//! In-memory platform: versioned objects with conditional writes and watches, and an instance list.

use {
    async_trait::async_trait,
    std::{
        collections::BTreeMap,
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{sync::Notify, time::timeout},
    turmerictack_model::ids::Version,
    turmerictack_platform::{
        error::StoreError,
        instance::{Instance, InstanceList},
        store::{Changes, ExpectedState, Key, Object, ObjectStore},
    },
};

#[derive(Debug, Default)]
struct PlatformState {
    objects: BTreeMap<Key, Object>,
    previous: BTreeMap<Key, Object>,
    history: Vec<Object>,
    version: Version,
    instances: BTreeMap<String, Instance>,
}

/// In-memory object store and instance list, with a history of all writes.
#[derive(Debug, Default)]
pub struct MemoryPlatform {
    state: Mutex<PlatformState>,
    changed: Notify,
}

impl MemoryPlatform {
    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes an object if it is in the expected state, and returns its new version.
    ///
    /// # Errors
    /// [`StoreError::Conflict`] with the current object if it is in another state.
    pub fn write(
        &self,
        key: &str,
        value: String,
        expect: ExpectedState,
    ) -> Result<Version, StoreError> {
        let mut state = self.lock();
        check_expected(&state, key, expect)?;
        state.version += 1;
        let object = Object { key: key.to_owned(), version: state.version, value };
        if let Some(replaced) = state.objects.insert(key.to_owned(), object.clone()) {
            state.previous.insert(key.to_owned(), replaced);
        }
        state.history.push(object);
        self.changed.notify_waiters();
        Ok(state.version)
    }

    /// Removes an object if it is in the expected state.
    ///
    /// # Errors
    /// [`StoreError::Conflict`] with the current object if it is in another state.
    pub fn remove(&self, key: &str, expect: ExpectedState) -> Result<(), StoreError> {
        let mut state = self.lock();
        check_expected(&state, key, expect)?;
        state.objects.remove(key);
        Ok(())
    }

    /// Reads an object; `stale` returns the value before its last write, if there is one.
    pub fn read(&self, key: &str, stale: bool) -> Option<Object> {
        let state = self.lock();
        let previous = stale.then(|| state.previous.get(key)).flatten();
        previous.or_else(|| state.objects.get(key)).cloned()
    }

    /// Objects whose key starts with the prefix.
    pub fn list_objects(&self, prefix: &str) -> Vec<Object> {
        let state = self.lock();
        state.objects.values().filter(|o| o.key.starts_with(prefix)).cloned().collect()
    }

    /// Every applied write, in order.
    pub fn history(&self) -> Vec<Object> {
        self.lock().history.clone()
    }

    /// Adds an instance to the list or replaces it.
    pub fn put_instance(&self, instance: Instance) {
        self.lock().instances.insert(instance.id.clone(), instance);
    }

    /// Removes an instance from the list.
    pub fn remove_instance(&self, id: &str) {
        self.lock().instances.remove(id);
    }

    /// All listed instances.
    pub fn list_instances(&self) -> Vec<Instance> {
        self.lock().instances.values().cloned().collect()
    }

    /// Waits for objects with the prefix that changed after a version, at most for `wait`.
    pub async fn wait(&self, prefix: &str, after: Version, wait: Duration) -> Changes {
        let newer = || {
            let state = self.lock();
            let objects = state.objects.values();
            let objects = objects.filter(|o| o.key.starts_with(prefix) && o.version > after);
            Changes { objects: objects.cloned().collect(), version: state.version }
        };
        let changed = async {
            loop {
                let notified = self.changed.notified();
                let changes = newer();
                if !changes.objects.is_empty() {
                    return changes;
                }
                notified.await;
            }
        };
        timeout(wait, changed).await.unwrap_or_else(|_| newer())
    }
}

fn check_expected(
    state: &PlatformState,
    key: &str,
    expect: ExpectedState,
) -> Result<(), StoreError> {
    let current = state.objects.get(key);
    let holds = match expect {
        ExpectedState::Absent => current.is_none(),
        ExpectedState::Version(version) => current.is_some_and(|o| o.version == version),
    };
    if holds { Ok(()) } else { Err(StoreError::Conflict { current: current.cloned() }) }
}

#[async_trait]
impl ObjectStore for MemoryPlatform {
    async fn get(&self, key: &str) -> Result<Option<Object>, StoreError> {
        Ok(self.read(key, false))
    }

    async fn put(
        &self,
        key: &str,
        value: String,
        expect: ExpectedState,
    ) -> Result<Version, StoreError> {
        self.write(key, value, expect)
    }

    async fn delete(&self, key: &str, version: Version) -> Result<(), StoreError> {
        self.remove(key, ExpectedState::Version(version))
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Object>, StoreError> {
        Ok(self.list_objects(prefix))
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Version,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        Ok(self.wait(prefix, after, wait).await)
    }
}

#[async_trait]
impl InstanceList for MemoryPlatform {
    async fn instances(&self) -> Result<Vec<Instance>, StoreError> {
        Ok(self.list_instances())
    }
}
