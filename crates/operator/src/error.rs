//! Errors of commands and their exit codes.

use {
    derive_more::{Error, From},
    displaydoc::Display,
    std::{io, path::PathBuf, process::ExitCode},
    turmerictack_model::ids::{Address, Revision},
    turmerictack_platform::error::StoreError,
    turmerictack_report::chart::ChartError,
    turmerictack_settings::error::SettingsError,
};

/// Failure of a command.
#[derive(Debug, Display, Error, From)]
pub enum CommandError {
    /// no command is given; see --help
    NoCommand,
    /// {0} is missing; see --help
    #[from(skip)]
    #[error(ignore)]
    MissingArgument(&'static str),
    /// --settle requires either --ran or --not-run
    MissingSettlement,
    /// cannot read {path:?}: {source}
    #[from(skip)]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// I/O error.
        source: io::Error,
    },
    /// cannot write {path:?}: {source}
    #[from(skip)]
    Write {
        /// Path of the file.
        path: PathBuf,
        /// I/O error.
        source: io::Error,
    },
    /// {0}
    Settings(SettingsError),
    /// the file is based on revision {base}, but the current revision is {current}
    #[from(skip)]
    StaleBase {
        /// Revision that the file is based on.
        base: Revision,
        /// Current revision; 0 if there is none.
        current: Revision,
    },
    /// platform error: {0}
    Platform(StoreError),
    /// cannot decode or encode a services configuration, call record, status or report
    InvalidData,
    /// no services configuration has been applied yet
    NoConfiguration,
    /// node {node} is unreachable, rejected the request (wrong key?) or sent an invalid response
    #[from(skip)]
    #[error(ignore)]
    NodeRequestFailed {
        /// Operator address of the node.
        node: Address,
    },
    /// revision {revision} was accepted, but is not active on {pending:?} after the timeout
    #[from(skip)]
    NotActive {
        /// Accepted revision.
        revision: Revision,
        /// Operator addresses of the nodes on which it is not active.
        pending: Vec<Address>,
    },
    /// there is no record {0} of a call with unknown outcome
    #[from(skip)]
    #[error(ignore)]
    RecordNotFound(String),
    /// the record is less than {0} s old; its call may still be sent
    #[from(skip)]
    #[error(ignore)]
    RecordTooRecent(u64),
    /// {0}
    Chart(ChartError),
    /// the HTTP client or the async runtime could not be started
    Client,
}

/// Exit code for invalid arguments, unreadable files and invalid configurations.
const EXIT_USAGE: u8 = 2;
/// Exit code for a base revision that is not the current one.
const EXIT_STALE: u8 = 3;
/// Exit code if a request to the platform or a node failed, or a revision did not become active in
/// time.
pub const EXIT_REQUEST_FAILED: u8 = 4;

impl CommandError {
    /// Exit code: 2 for invalid input, 3 for a stale base revision, 4 if a request to the platform
    /// or a node failed or a revision did not become active in time, otherwise 1.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::NoCommand
            | Self::MissingArgument(_)
            | Self::MissingSettlement
            | Self::Read { .. }
            | Self::Settings(_) => ExitCode::from(EXIT_USAGE),
            Self::StaleBase { .. } => ExitCode::from(EXIT_STALE),
            Self::Platform(_) | Self::NodeRequestFailed { .. } | Self::NotActive { .. } => {
                ExitCode::from(EXIT_REQUEST_FAILED)
            }
            _ => ExitCode::FAILURE,
        }
    }
}
