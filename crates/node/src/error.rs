//! Why a node did not start or ended badly.

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

/// Why a node did not start or ended badly.
#[derive(Debug, Display, Error, From)]
pub enum NodeError {
    /// {0}
    Settings(SettingsError),
    /// cannot read {path:?}
    #[from(skip)]
    Read {
        /// File.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// the worker pool: {0}
    Pool(PoolError),
    /// the platform client: {0}
    Platform(StoreError),
    /// the upstream client: {0}
    Upstream(UpstreamError),
    /// the peer link: {0}
    Link(PeerError),
    /// the async runtime could not be started
    Runtime(io::Error),
    /// cannot listen on {address}
    #[from(skip)]
    #[error(ignore)]
    Bind {
        /// Address.
        address: Address,
    },
    /// the log could not be opened: {0}
    Log(LogError),
    /// cannot send metrics to {address}
    #[from(skip)]
    #[error(ignore)]
    Metrics {
        /// Address.
        address: Address,
    },
}
