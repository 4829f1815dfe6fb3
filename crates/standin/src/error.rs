//! Errors of the stand-ins and the test tools.

use {
    derive_more::{Error, From},
    displaydoc::Display,
    std::io,
};

/// Errors of the stand-ins and the test tools.
#[derive(Debug, Display, Error, From)]
pub enum StandinError {
    /// I/O error: {0}
    Io(io::Error),
    /// HTTP request failed: {0}
    Http(reqwest::Error),
    /// cannot build the programs
    Build,
    /// {name} did not start
    #[from(skip)]
    #[error(ignore)]
    NotStarted {
        /// Process or address.
        name: String,
    },
    /// unknown name {name:?}
    #[from(skip)]
    #[error(ignore)]
    UnknownName {
        /// Name that was not found or given.
        name: String,
    },
    /// {file}:{line}: expected {expected}
    #[from(skip)]
    #[error(ignore)]
    Syntax {
        /// Scenario file.
        file: String,
        /// Line, from 1.
        line: usize,
        /// What was expected there.
        expected: &'static str,
    },
    /// {file}:{line}: expected {expectation}, got {actual}
    #[from(skip)]
    #[error(ignore)]
    ExpectationFailed {
        /// Scenario file.
        file: String,
        /// Line, from 1.
        line: usize,
        /// What was expected.
        expectation: String,
        /// What was observed.
        actual: String,
    },
    /// cannot send signal: {0}
    Signal(nix::Error),
    /// invalid or missing response of a stand-in
    InvalidResponse,
}
