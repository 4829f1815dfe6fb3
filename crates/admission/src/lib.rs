//! Admission control by rank and caller: decides which calls are served, queued or refused.

pub mod fair;
pub mod fifo;
pub mod policy;
pub mod queue;
