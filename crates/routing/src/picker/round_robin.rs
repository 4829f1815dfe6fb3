//! Round-robin balancing, the baseline that benchmarks compare prefix affinity with.

use {
    super::{PickContext, Picker},
    crate::upstream_set::UpstreamState,
};

/// Picks the upstreams in turn, skipping those that the call may not use.
#[derive(Debug, Default)]
pub struct RoundRobinPicker {
    next: usize,
}

impl Picker for RoundRobinPicker {
    fn pick(&mut self, upstreams: &[UpstreamState], context: &PickContext<'_>) -> Option<usize> {
        let count = upstreams.len();
        let start = self.next;
        let index = (0..count)
            .map(|step| (start + step) % count)
            .find(|index| context.allows(&upstreams[*index]))?;
        self.next = index + 1;
        Some(index)
    }
}
