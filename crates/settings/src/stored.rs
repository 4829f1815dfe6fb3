//! The services configuration as stored in the platform's object store.

use {
    serde::{Deserialize, Serialize},
    turmerictack_model::ids::{Nonce, Revision},
};

/// Object key of the services configuration.
pub const SETTINGS_KEY: &str = "settings/services";

/// Value of the object at [`SETTINGS_KEY`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredServices {
    /// Revision of the configuration.
    pub revision: Revision,
    /// Random number of the write, by which a writer recognizes its own write after a lost response.
    pub nonce: Nonce,
    /// Text of the configuration.
    pub text: String,
}
