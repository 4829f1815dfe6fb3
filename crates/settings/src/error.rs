//! Errors in settings and in the services configuration.

use {
    derive_more::{Display, Error},
    displaydoc::Display as DisplayDoc,
    std::fmt,
};

/// Position in a text.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("line {line}, column {column}")]
pub struct Position {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
}

/// Kind of a fault in a text.
#[derive(Clone, Debug, DisplayDoc, PartialEq, Eq)]
pub enum SettingsErrorKind {
    /// invalid JSON: {0}
    Syntax(String),
    /// the document is empty
    Empty,
    /// {0}
    Schema(String),
    /// duplicate id {id:?} in {field:?}
    DuplicateId {
        /// Field whose elements must have unique ids.
        field: &'static str,
        /// Id that occurs more than once.
        id: String,
    },
    /// service {service:?} depends on {dependency:?}, which is not a service of this text
    UnknownDependency {
        /// Service with the dependency.
        service: String,
        /// Dependency that is not defined.
        dependency: String,
    },
    /// the dependencies of the services {0:?} form a cycle
    Cycle(Vec<String>),
    /// {field} is {value}, expected {expected}
    OutOfRange {
        /// Name of the field.
        field: &'static str,
        /// Value of the field.
        value: String,
        /// Description of the allowed values.
        expected: &'static str,
    },
    /// rank {0} is missing from "ranks"
    MissingRank(String),
    /// a {kind} service requires {field:?}
    MissingField {
        /// Kind of the service.
        kind: &'static str,
        /// Required field.
        field: &'static str,
    },
}

/// Fault in a text, with its position.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct SettingsError {
    /// Name of the file that holds the text, or another name for the text.
    pub file: String,
    /// Position of the fault.
    pub position: Position,
    /// Kind of the fault.
    #[error(not(source))]
    pub kind: SettingsErrorKind,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Position { line, column } = self.position;
        write!(f, "{}:{line}:{column}: {}", self.file, self.kind)
    }
}
