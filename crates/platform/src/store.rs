//! Interface to the object store.

use {
    crate::error::StoreError,
    async_trait::async_trait,
    serde::{Deserialize, Serialize},
    std::time::Duration,
    turmerictack_model::ids::Version,
};

/// Key of an object.
pub type Key = String;

/// Versioned object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Key.
    pub key: Key,
    /// Version of the last change; versions increase across all objects of the store.
    pub version: Version,
    /// Value, a text of at most 1 MB.
    pub value: String,
}

/// Precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpectedState {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(Version),
}

/// Result of a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Current state of the changed objects.
    pub objects: Vec<Object>,
    /// Version to pass to the next watch.
    pub version: Version,
}

/// Client for the object store of the platform.
#[async_trait]
pub trait ObjectStore: Send + Sync {
    /// Reads an object.
    async fn get(&self, key: &str) -> Result<Option<Object>, StoreError>;

    /// Writes an object if it is in the expected state and returns its new version.
    async fn put(
        &self,
        key: &str,
        value: String,
        expected: ExpectedState,
    ) -> Result<Version, StoreError>;

    /// Deletes an object if it has the given version.
    async fn delete(&self, key: &str, version: Version) -> Result<(), StoreError>;

    /// Lists the objects whose keys start with `prefix`, ordered by key.
    async fn list(&self, prefix: &str) -> Result<Vec<Object>, StoreError>;

    /// Waits for up to `wait` until an object whose key starts with `prefix` has a version above
    /// `after`.
    async fn watch(
        &self,
        prefix: &str,
        after: Version,
        wait: Duration,
    ) -> Result<Changes, StoreError>;
}
