//! Why a stand-in or a tool could not do its work.

use {
    derive_more::{Error, From},
    displaydoc::Display,
    std::io,
};

/// Why a stand-in or a tool could not do its work.
#[derive(Debug, Display, Error, From)]
pub enum StandinError {
    /// input or output failed: {0}
    Io(io::Error),
    /// an HTTP call failed: {0}
    Http(reqwest::Error),
    /// the programs could not be built
    Build,
    /// {name} did not start
    #[from(skip)]
    #[error(ignore)]
    NotStarted {
        /// Process.
        name: String,
    },
    /// there is no process {name}
    #[from(skip)]
    #[error(ignore)]
    UnknownName {
        /// Process.
        name: String,
    },
    /// {file}:{line}: expected {expected}
    #[from(skip)]
    #[error(ignore)]
    Syntax {
        /// File.
        file: String,
        /// Line, from 1.
        line: usize,
        /// What was expected there.
        expected: &'static str,
    },
    /// {file}:{line}: {expectation}: got {actual}
    #[from(skip)]
    #[error(ignore)]
    ExpectationFailed {
        /// File.
        file: String,
        /// Line, from 1.
        line: usize,
        /// What was claimed.
        expectation: String,
        /// What was seen instead.
        actual: String,
    },
    /// a signal could not be sent
    Signal(nix::Error),
    /// the answer of a stand-in could not be read
    InvalidResponse,
}
