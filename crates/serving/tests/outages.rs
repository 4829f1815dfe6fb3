//! What counts as an outage of the store: entries that are missing after one are kept for a while.

#![allow(clippy::unwrap_used, reason = "test helpers panic on failure, as tests do")]

use {
    rstest::rstest,
    std::time::{Duration, Instant},
    turmerictack_serving::relay::outage::{OutageDetector, RequestFailure},
};

/// Lifetime of an entry, which its instance writes three times in it.
const LIFETIME: Duration = Duration::from_millis(3_600);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A detector that the store answered at `now`.
fn connected(now: Instant, lifetime: Option<Duration>) -> OutageDetector {
    let mut detector = OutageDetector::new(lifetime);
    assert!(!detector.record_response(now));
    detector
}

/// Lets requests fail every 200 ms for a time, and returns whether the next response ends an outage.
fn ends_outage(detector: &mut OutageDetector, from: Instant, length: Duration) -> bool {
    let mut now = from;
    while now < from + length {
        detector.record_failure(now + ms(1), now, RequestFailure::Unavailable);
        now += ms(200);
    }
    detector.record_response(from + length)
}

/// Guards against watches that the store cuts off and that count as outages, which delays the removal
/// of instances beyond the drain time (DRAIN).
#[rstest]
fn watches_that_are_cut_off_are_no_outage(
    #[values(0, 20, 500, 2_000, 2_500)] waited_ms: u64,
    #[values(None, Some(LIFETIME))] lifetime: Option<Duration>,
) {
    let mut now = Instant::now();
    let mut detector = connected(now, lifetime);
    for _ in 0..20 {
        let sent_at = now;
        now += ms(waited_ms);
        let pause = detector.record_failure(now, sent_at, RequestFailure::ConnectionLost);
        assert!(!detector.is_steady(), "the next request has to tell at once");
        assert_eq!(pause, ms(100).saturating_sub(ms(waited_ms)), "requests are not sent in a loop");
        now += pause + ms(4);
        assert!(!detector.record_response(now));
        assert!(detector.is_steady());
    }
}

/// A store that rejects requests because of their rate is available (DRAIN).
#[rstest]
fn rate_limit_of_the_store_is_no_outage(
    #[values(None, Some(LIFETIME))] lifetime: Option<Duration>,
) {
    let start = Instant::now();
    let mut detector = connected(start, lifetime);
    let mut now = start;
    while now < start + LIFETIME * 2 {
        assert!(detector.record_failure(now, now, RequestFailure::RateLimited) >= ms(100));
        now += ms(400);
    }
    assert!(!detector.record_response(now));
}

#[rstest]
#[case::blip(ms(300), false)]
#[case::shorter_than_any_entry_lives(ms(2_200), false)]
#[case::long_enough(ms(2_400), true)]
#[case::long(ms(10_000), true)]
fn outage_counts_if_entries_of_live_instances_may_have_expired(
    #[case] length: Duration,
    #[case] counts: bool,
) {
    let now = Instant::now();
    let mut detector = connected(now, Some(LIFETIME));
    assert_eq!(ends_outage(&mut detector, now, length), counts);
    assert!(!detector.record_response(now + length + ms(1)), "it ends once");
}

/// Objects that are written by hand may be missing after an outage of any length.
#[rstest]
fn every_outage_counts_for_objects_that_do_not_expire() {
    let now = Instant::now();
    assert!(ends_outage(&mut connected(now, None), now, ms(300)));
}

/// A watch is cut off, and the requests after it fail too.
#[rstest]
fn connection_that_is_lost_at_the_start_of_an_outage_does_not_hide_it() {
    let now = Instant::now();
    let mut detector = connected(now, Some(LIFETIME));
    let cut_at = now + ms(500);
    detector.record_failure(cut_at, now, RequestFailure::ConnectionLost);
    let pause = detector.record_failure(cut_at, cut_at, RequestFailure::ConnectionLost);
    assert_eq!(pause, ms(100));
    assert_eq!(detector.failures(), 1);
    assert!(ends_outage(&mut detector, cut_at, ms(3_000)));
}

/// A store that hangs longer than entries live, and closes the connection when it is back.
#[rstest]
fn watch_that_is_cut_off_after_the_lifetime_of_entries_ends_an_outage() {
    let now = Instant::now();
    let mut detector = connected(now, Some(LIFETIME));
    detector.record_failure(now + LIFETIME, now, RequestFailure::ConnectionLost);
    assert!(detector.record_response(now + LIFETIME + ms(4)));
}

/// A node that followed others until just now has been in contact through them.
#[rstest]
fn contact_through_other_nodes_counts() {
    let start = Instant::now();
    let mut detector = connected(start, Some(LIFETIME));
    let now = start + LIFETIME * 10;
    detector.record_relayed(now - ms(800));
    detector.record_failure(now, now, RequestFailure::Unavailable);
    assert!(!detector.record_response(now + ms(100)));
}

#[rstest]
fn pauses_grow_with_each_failure() {
    let now = Instant::now();
    let mut detector = connected(now, Some(LIFETIME));
    let mut pause = || detector.record_failure(now, now, RequestFailure::Unavailable);
    let pauses = [pause(), pause(), pause(), pause(), pause()];
    assert_eq!(pauses, [100, 200, 400, 400, 400].map(ms));
}
