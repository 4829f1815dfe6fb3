//! Seeds and checks shared by the tests of random histories.

use std::{env, ops::Range};

/// Number of random histories that each test runs.
pub const HISTORIES: u64 = 10_000;

/// Seeds to run: `0..HISTORIES`, or only the value of `TURMERICTACK_SEED` if that is set.
pub fn seeds() -> Range<u64> {
    match env::var("TURMERICTACK_SEED").ok().and_then(|s| s.parse::<u64>().ok()) {
        Some(seed) => seed..seed + 1,
        None => 0..HISTORIES,
    }
}

/// Asserts that some history violates the invariant that a removed check protects, and prints the
/// first such seed.
pub fn assert_violation_found(is_violated: impl Fn(u64) -> bool) {
    let first = (0..HISTORIES).find(|seed| is_violated(*seed));
    println!("first seed with a violation: {first:?}");
    assert!(first.is_some());
}
