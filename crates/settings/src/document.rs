//! Parsed JSON document that keeps the position of each value.

use {
    crate::error::{Position, SettingsError, SettingsErrorKind},
    jsonc_parser::{
        CollectOptions, ParseOptions,
        ast::Value,
        common::{Range, Ranged},
        parse_to_ast,
    },
    serde::de::DeserializeOwned,
    serde_path_to_error::{Path, Segment},
};

/// Strict JSON, extended with comments and trailing commas.
const OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// Segment of the path to a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PathSegment {
    /// Field of an object.
    Field(String),
    /// Element of an array.
    Index(usize),
}

impl From<&str> for PathSegment {
    fn from(name: &str) -> Self {
        Self::Field(name.to_owned())
    }
}

impl From<usize> for PathSegment {
    fn from(index: usize) -> Self {
        Self::Index(index)
    }
}

/// Parsed JSON document.
#[derive(Debug)]
pub struct Document<'a> {
    file: &'a str,
    text: &'a str,
    root: Value<'a>,
}

impl<'a> Document<'a> {
    /// Parses a text; errors refer to it as `file`.
    ///
    /// # Errors
    /// The first syntax error, or an empty document.
    pub fn parse(file: &'a str, text: &'a str) -> Result<Self, SettingsError> {
        let syntax_error = |offset, kind| SettingsError {
            file: file.to_owned(),
            position: position_at(text, offset),
            kind,
        };
        let parsed = parse_to_ast(text, &CollectOptions::default(), &OPTIONS).map_err(|e| {
            syntax_error(e.range().start, SettingsErrorKind::Syntax(e.kind().to_string()))
        })?;
        let root = parsed.value.ok_or_else(|| syntax_error(0, SettingsErrorKind::Empty))?;
        Ok(Self { file, text, root })
    }

    /// Deserializes the document.
    ///
    /// # Errors
    /// The first unknown field, missing field or value of a wrong type.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, SettingsError> {
        let value = serde_json::Value::from(self.root.clone());
        serde_path_to_error::deserialize(value).map_err(|e| {
            let path = path_segments(e.path());
            self.error_at(&path, SettingsErrorKind::Schema(e.inner().to_string()))
        })
    }

    /// Creates an error at the position of the value at `path`, or of its innermost ancestor that
    /// exists.
    pub fn error_at(&self, path: &[PathSegment], kind: SettingsErrorKind) -> SettingsError {
        let offset = self.range_at(path).start;
        SettingsError { file: self.file.to_owned(), position: position_at(self.text, offset), kind }
    }

    fn range_at(&self, path: &[PathSegment]) -> Range {
        let mut range = self.root.range();
        let mut value = &self.root;
        for segment in path {
            let next = match (segment, value) {
                (PathSegment::Field(name), Value::Object(object)) => {
                    object.properties.iter().find(|p| p.name.as_str() == name).map(|p| {
                        range = p.range;
                        &p.value
                    })
                }
                (PathSegment::Index(index), Value::Array(array)) => {
                    array.elements.get(*index).inspect(|v| range = v.range())
                }
                _ => None,
            };
            match next {
                Some(next) => value = next,
                None => break,
            }
        }
        range
    }
}

fn path_segments(path: &Path) -> Vec<PathSegment> {
    path.iter()
        .filter_map(|segment| match segment {
            Segment::Map { key } => Some(PathSegment::Field(key.clone())),
            Segment::Seq { index } => Some(PathSegment::Index(*index)),
            Segment::Enum { .. } | Segment::Unknown => None,
        })
        .collect()
}

fn position_at(text: &str, offset: usize) -> Position {
    let before = text.get(..offset).unwrap_or(text);
    let line_start = before.rfind('\n').map_or(0, |at| at + 1);
    Position {
        line: before.matches('\n').count() + 1,
        column: before[line_start..].chars().count() + 1,
    }
}
