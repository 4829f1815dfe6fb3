//! Rendezvous (highest random weight) hashing.
//!
//! When a candidate leaves, only the keys that it owned move.

use crate::digest::hash64;

/// Returns the `count` candidates with the highest weight for `key`, the highest first.
pub fn owners<'a, I>(key: &str, candidates: I, count: usize) -> Vec<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    let mut weighted: Vec<(u64, &str)> =
        candidates.into_iter().map(|c| (hash64(&[key.as_bytes(), c.as_bytes()]), c)).collect();
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted.truncate(count);
    weighted.into_iter().map(|(_, c)| c).collect()
}
