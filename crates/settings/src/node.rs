//! Settings of one node.

use {
    crate::{
        document::Document,
        error::{SettingsError, SettingsErrorKind},
        millis,
    },
    serde::{Deserialize, Serialize},
    std::{ops::RangeInclusive, time::Duration},
    turmerictack_model::ids::{Address, DataCentre, NodeId},
};

/// Settings of one node, read once at startup.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the node, unique in the deployment.
    pub node: NodeId,
    /// Data centre of the node.
    pub data_centre: DataCentre,
    /// Listen address for callers.
    pub caller_address: Address,
    /// Listen address for operators.
    pub operator_address: Address,
    /// Listen address for other nodes.
    pub peer_address: Address,
    /// Address at which other nodes reach this one; defaults to `peer_address`.
    #[serde(default)]
    pub peer_advertised: Option<Address>,
    /// Base URL of the platform.
    pub platform: String,
    /// Key that operators authenticate with.
    pub operator_key: String,
    /// Shared key that nodes authenticate to each other with.
    pub peer_key: String,
    /// Worker threads that decide on calls.
    #[serde(default = "default_workers")]
    pub workers: usize,
    /// Least severe level that is logged.
    #[serde(default)]
    pub log_level: LogLevel,
    /// UDP address that metrics are sent to; `None` disables them.
    #[serde(default)]
    pub metrics_address: Option<Address>,
    /// Time that the load balancer needs to notice that the node is not ready.
    #[serde(default = "default_balancer_wait", with = "millis", rename = "balancer_wait_ms")]
    pub balancer_wait: Duration,
    /// Concurrent connections of callers; further ones wait to be accepted.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Memory of the process in MB (1,048,576 bytes), half of which may be held for callers; a caller
    /// for whom there is no room is refused.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: usize,
    /// Seed of the node's random number generator; `None` takes one from the operating system.
    #[serde(default)]
    pub seed: Option<u64>,
}

/// Least severe level of events that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Failures of the node itself.
    Error,
    /// Also failures of upstreams, peers and the platform.
    Warn,
    /// Also changes of state.
    #[default]
    Info,
    /// Also individual calls.
    Debug,
}

/// Minimum length of the operator and peer keys in bytes.
const MIN_KEY_BYTES: usize = 16;

/// Upper limit of the `workers` setting.
const MAX_WORKERS: usize = 64;

/// Upper limit of the `connections` setting; each connection uses three file descriptors.
const MAX_CONNECTIONS: usize = 100_000;

fn default_workers() -> usize {
    4
}

fn default_connections() -> usize {
    1024
}

/// Range of the `memory_mb` setting; with less, the largest request would not fit.
const MEMORY_MB_RANGE: RangeInclusive<usize> = 64..=1024 * 1024;

/// Memory of a node in the sizes to design for.
fn default_memory_mb() -> usize {
    256
}

fn default_balancer_wait() -> Duration {
    Duration::from_secs(3)
}

impl NodeSettings {
    /// Parses and validates node settings; errors refer to the text as `file`.
    ///
    /// # Errors
    /// The first fault found.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let document = Document::parse(file, text)?;
        let settings: Self = document.decode()?;
        for (field, address) in [
            ("caller_address", &settings.caller_address),
            ("operator_address", &settings.operator_address),
            ("peer_address", &settings.peer_address),
        ] {
            if address.parse::<std::net::SocketAddr>().is_err() {
                let expected = "an IP address and a port, such as \"127.0.0.1:8080\"";
                let kind =
                    SettingsErrorKind::OutOfRange { field, value: address.clone(), expected };
                return Err(document.error_at(&[field.into()], kind));
            }
        }
        for (field, key) in
            [("operator_key", &settings.operator_key), ("peer_key", &settings.peer_key)]
        {
            if key.len() < MIN_KEY_BYTES {
                let value = format!("{} bytes long", key.len());
                let kind =
                    SettingsErrorKind::OutOfRange { field, value, expected: "at least 16 bytes" };
                return Err(document.error_at(&[field.into()], kind));
            }
        }
        if !(1..=MAX_WORKERS).contains(&settings.workers) {
            let value = settings.workers.to_string();
            let kind =
                SettingsErrorKind::OutOfRange { field: "workers", value, expected: "1 to 64" };
            return Err(document.error_at(&["workers".into()], kind));
        }
        if !(1..=MAX_CONNECTIONS).contains(&settings.connections) {
            let value = settings.connections.to_string();
            let kind = SettingsErrorKind::OutOfRange {
                field: "connections",
                value,
                expected: "1 to 100000",
            };
            return Err(document.error_at(&["connections".into()], kind));
        }
        if !MEMORY_MB_RANGE.contains(&settings.memory_mb) {
            let value = settings.memory_mb.to_string();
            let kind = SettingsErrorKind::OutOfRange {
                field: "memory_mb",
                value,
                expected: "64 to 1048576",
            };
            return Err(document.error_at(&["memory_mb".into()], kind));
        }
        Ok(settings)
    }
}
