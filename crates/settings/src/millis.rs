//! Serde functions for durations in whole milliseconds.

use {
    serde::{Deserialize, Deserializer, Serializer},
    std::time::Duration,
};

/// Serializes a duration as whole milliseconds.
///
/// # Errors
/// Any error of the serializer.
pub fn serialize<S: Serializer>(value: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(u64::try_from(value.as_millis()).unwrap_or(u64::MAX))
}

/// Deserializes a duration from whole milliseconds.
///
/// # Errors
/// Any error of the deserializer.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    u64::deserialize(deserializer).map(Duration::from_millis)
}
