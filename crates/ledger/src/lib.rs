//! At-most-once calls: the platform stores one record per caller and idempotency key.

pub mod record;
pub mod record_writer;
