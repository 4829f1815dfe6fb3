//! Errors of a node.

use {
    derive_more::{Error, From},
    displaydoc::Display,
    std::{io, path::PathBuf},
    turmerictack_model::{ids::Address, pool::PoolError},
    turmerictack_platform::error::StoreError,
    turmerictack_protocol::error::PeerError,
    turmerictack_settings::error::SettingsError,
    turmerictack_telemetry::logs::LogError,
    turmerictack_upstream::error::UpstreamError,
};

/// Errors of starting or running a node.
#[derive(Debug, Display, Error, From)]
pub enum NodeError {
    /// {0}
    Settings(SettingsError),
    /// cannot read {path:?}
    #[from(skip)]
    Read {
        /// File that could not be read.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// cannot start worker pool: {0}
    Pool(PoolError),
    /// cannot create platform client: {0}
    Platform(StoreError),
    /// cannot create upstream client: {0}
    Upstream(UpstreamError),
    /// cannot start peer listener: {0}
    PeerListener(PeerError),
    /// cannot start async runtime
    Runtime(io::Error),
    /// cannot listen on {address}
    #[from(skip)]
    #[error(ignore)]
    Bind {
        /// Address of the listener.
        address: Address,
    },
    /// cannot open log: {0}
    Log(LogError),
    /// cannot send metrics to {address}
    #[from(skip)]
    #[error(ignore)]
    Metrics {
        /// Address of the metrics server.
        address: Address,
    },
}
