//! Load balancing: the [`Picker`] interface, which chooses the upstream for a call, and its
//! policies.

mod affinity;
mod round_robin;

pub use {affinity::AffinityPicker, round_robin::RoundRobinPicker};

use crate::{UpstreamId, upstream_set::UpstreamState};

/// Properties of a call that affect the choice of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct PickContext<'a> {
    /// Hash of the start of the prompt, if the call has a prompt.
    pub prefix_hash: Option<u64>,
    /// Upstreams on which an attempt of the call failed, excluded from the choice.
    pub tried: &'a [UpstreamId],
    /// Whether an upstream was lost on this request before; suspect calls never share an upstream.
    pub suspect: bool,
}

impl PickContext<'_> {
    /// Whether the call may be sent to this upstream now.
    pub fn allows(&self, upstream: &UpstreamState) -> bool {
        upstream.has_capacity()
            && !(self.suspect && upstream.suspect_calls > 0)
            && !self.tried.contains(&upstream.id)
    }
}

/// Load-balancing policy.
pub trait Picker: Send {
    /// Index of the upstream to use; `None` if no upstream is allowed.
    fn pick(&mut self, upstreams: &[UpstreamState], context: &PickContext<'_>) -> Option<usize>;
}
