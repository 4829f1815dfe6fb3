//! Prefix affinity by rendezvous hashing with bounded loads, or else the less loaded of two random
//! upstreams.

use {
    super::{PickContext, Picker},
    crate::upstream_set::UpstreamState,
    rand::{RngExt as _, SeedableRng as _},
    rand_pcg::Pcg64Mcg,
};

/// Ratio of the load to the mean up to which an upstream is preferred for its prefixes.
const LOAD_BOUND: f64 = 1.25;

/// Picks the upstream that most likely has the prefix of the prompt in its cache, unless its load
/// is too high; uses other data centres only if no upstream in the data centre of this node is
/// allowed.
#[derive(Debug)]
pub struct AffinityPicker {
    rng: Pcg64Mcg,
}

/// Candidates found by one pass over the upstreams.
#[derive(Default)]
struct Candidates {
    eligible: u32,
    /// First of two upstreams sampled at random.
    first: Option<usize>,
    /// Second of them.
    second: Option<usize>,
    /// Rendezvous weight and index of the preferred upstream.
    preferred: Option<(u64, usize)>,
}

impl AffinityPicker {
    /// A picker with a random number generator that starts from `seed`.
    pub fn new(seed: u64) -> Self {
        Self { rng: Pcg64Mcg::seed_from_u64(seed) }
    }

    fn candidates(
        &mut self,
        upstreams: &[UpstreamState],
        context: &PickContext<'_>,
        local: bool,
    ) -> Candidates {
        let bound = load_bound(upstreams);
        let mut candidates = Candidates::default();
        for (index, upstream) in upstreams.iter().enumerate() {
            if (local && !upstream.local) || !context.allows(upstream) {
                continue;
            }
            candidates.eligible += 1;
            self.sample(&mut candidates, index);
            let Some(prefix) = context.prefix_hash else { continue };
            let weight = splitmix64(prefix ^ upstream.name_hash);
            if upstream.in_flight < bound
                && candidates.preferred.is_none_or(|(best, _)| weight > best)
            {
                candidates.preferred = Some((weight, index));
            }
        }
        candidates
    }

    /// Reservoir sampling of two upstreams: each pair is equally likely.
    fn sample(&mut self, candidates: &mut Candidates, index: usize) {
        if candidates.first.is_none() {
            candidates.first = Some(index);
        } else if candidates.second.is_none() {
            candidates.second = Some(index);
        } else {
            match self.rng.random_range(0..candidates.eligible) {
                0 => candidates.first = Some(index),
                1 => candidates.second = Some(index),
                _ => {}
            }
        }
    }
}

/// Number of calls in flight from which an upstream is no longer preferred for its prefixes.
fn load_bound(upstreams: &[UpstreamState]) -> usize {
    let open = upstreams.iter().filter(|u| u.open);
    let (count, calls) = open.fold((0_usize, 0_usize), |(n, c), u| (n + 1, c + u.in_flight));
    let mean = (calls + 1) as f64 / count.max(1) as f64;
    (mean * LOAD_BOUND).ceil() as usize
}

/// Finalizer of the SplitMix64 generator, as a 64-bit hash.
fn splitmix64(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

fn load_ratio(upstream: &UpstreamState) -> f64 {
    upstream.in_flight as f64 / upstream.limit() as f64
}

impl Picker for AffinityPicker {
    fn pick(&mut self, upstreams: &[UpstreamState], context: &PickContext<'_>) -> Option<usize> {
        let mut candidates = self.candidates(upstreams, context, true);
        if candidates.eligible == 0 {
            candidates = self.candidates(upstreams, context, false);
        }
        if let Some((_, preferred)) = candidates.preferred {
            return Some(preferred);
        }
        match (candidates.first, candidates.second) {
            (Some(a), Some(b)) if load_ratio(&upstreams[b]) < load_ratio(&upstreams[a]) => Some(b),
            (first, _) => first,
        }
    }
}
