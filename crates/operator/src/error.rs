//! Why a command failed, and its exit code.

use {
    derive_more::{Error, From},
    displaydoc::Display,
    std::{io, path::PathBuf, process::ExitCode},
    turmerictack_model::ids::{Address, Revision},
    turmerictack_platform::error::StoreError,
    turmerictack_report::chart::ChartError,
    turmerictack_settings::error::SettingsError,
};

/// Why a command failed.
#[derive(Debug, Display, Error, From)]
pub enum CommandError {
    /// no command is given; see --help
    NoCommand,
    /// {0} is missing; see --help
    #[from(skip)]
    #[error(ignore)]
    MissingArgument(&'static str),
    /// --settle needs one of --ran and --not-run
    MissingSettlement,
    /// cannot read {path:?}: {source}
    #[from(skip)]
    Read {
        /// File.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// cannot write {path:?}: {source}
    #[from(skip)]
    Write {
        /// File.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// {0}
    Settings(SettingsError),
    /// the text was made from revision {base}, but revision {current} is accepted
    #[from(skip)]
    StaleBase {
        /// Revision that the text was made from.
        base: Revision,
        /// Accepted revision.
        current: Revision,
    },
    /// the platform: {0}
    Platform(StoreError),
    /// the platform holds something that is not a services text or a record
    InvalidData,
    /// no services text is accepted yet
    NoConfiguration,
    /// node {node} is away or refuses the key
    #[from(skip)]
    #[error(ignore)]
    NodeUnreachable {
        /// Operators' address.
        node: Address,
    },
    /// revision {revision} is accepted, but not in force on {pending:?} within the time
    #[from(skip)]
    NotActive {
        /// Revision.
        revision: Revision,
        /// Nodes.
        pending: Vec<Address>,
    },
    /// there is no open record {0}
    #[from(skip)]
    #[error(ignore)]
    RecordNotFound(String),
    /// the record is younger than {0} s; its call may still be sent
    #[from(skip)]
    #[error(ignore)]
    RecordTooRecent(u64),
    /// the picture: {0}
    Chart(ChartError),
    /// the HTTP client or the async runtime could not be started
    Client,
}

/// Exit code for bad arguments and refused texts.
const EXIT_USAGE: u8 = 2;
/// Exit code for a stale base revision.
const EXIT_STALE: u8 = 3;
/// Exit code when the platform or a node is away.
pub const EXIT_UNREACHABLE: u8 = 4;

impl CommandError {
    /// Exit code: 2 for arguments and texts, 3 for a stale base, 4 when something is away, else 1.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::NoCommand
            | Self::MissingArgument(_)
            | Self::MissingSettlement
            | Self::Read { .. }
            | Self::Settings(_) => ExitCode::from(EXIT_USAGE),
            Self::StaleBase { .. } => ExitCode::from(EXIT_STALE),
            Self::Platform(_) | Self::NodeUnreachable { .. } | Self::NotActive { .. } => {
                ExitCode::from(EXIT_UNREACHABLE)
            }
            _ => ExitCode::FAILURE,
        }
    }
}
