//! Tests of the retry budget, the concurrency limit, quarantine and the choice of an upstream.

use {
    rstest::rstest,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    turmerictack_routing::{
        budget::RetryBudget,
        limit::AdaptiveLimit,
        picker::{AffinityPicker, PickContext, Picker as _},
        quarantine::{Quarantine, UpstreamLoss},
        upstream_set::{AttemptResult, OpenUpstream, UpstreamSet},
    },
};

/// Initial balance of a retry budget, in retries.
const INITIAL_BALANCE: usize = 10;

/// Retries must stay within 10% of the new calls even if every call fails.
#[rstest]
fn retries_stay_within_a_tenth_of_new_calls() {
    let mut budget = RetryBudget::new(10);
    let retries = (0..10_000).filter(|_| {
        budget.deposit();
        budget.try_withdraw()
    });
    let retries = retries.count();
    println!("{retries} retries for 10000 new calls");
    assert!(retries <= INITIAL_BALANCE + 1_000);
}

#[rstest]
fn a_new_upstream_goes_through_slow_start() {
    let start = Instant::now();
    let limit = AdaptiveLimit::new(16, start);
    assert_eq!(limit.current(start), 4);
    assert_eq!(limit.current(start + Duration::from_secs(10)), 16);
}

#[rstest]
fn failures_lower_the_limit_and_successes_raise_it() {
    let start = Instant::now();
    let later = start + Duration::from_secs(60);
    let mut limit = AdaptiveLimit::new(16, start);
    (0..20).for_each(|_| limit.on_failure());
    assert_eq!(limit.current(later), 1);
    (0..400).for_each(|_| limit.on_success());
    assert_eq!(limit.current(later), 16);
}

fn eight_upstreams(now: Instant) -> UpstreamSet {
    let mut set = UpstreamSet::default();
    let open_upstream = |n| OpenUpstream { local: n < 4, requested_at: now };
    let open: BTreeMap<String, OpenUpstream> =
        (0..8).map(|n| (format!("g{n}"), open_upstream(n))).collect();
    set.set_open(now, &open, 16);
    set
}

#[rstest]
fn a_prefix_keeps_its_upstream_up_to_the_load_bound() {
    let now = Instant::now();
    let mut set = eight_upstreams(now);
    let mut picker = AffinityPicker::new(1);
    let context = PickContext { prefix_hash: Some(77), tried: &[], suspect: false };
    let first = picker.pick(set.upstreams(), &context).unwrap();
    assert!(set.upstreams()[first].local);
    assert_eq!(picker.pick(set.upstreams(), &context), Some(first));
    (0..4).for_each(|_| set.start_call(first, false));
    assert_ne!(picker.pick(set.upstreams(), &context), Some(first));
}

#[rstest]
fn suspect_calls_do_not_share_an_upstream() {
    let now = Instant::now();
    let mut set = eight_upstreams(now);
    let mut picker = AffinityPicker::new(1);
    let context = PickContext { prefix_hash: None, tried: &[], suspect: true };
    for _ in 0..8 {
        let index = picker.pick(set.upstreams(), &context).unwrap();
        assert_eq!(set.upstreams()[index].suspect_calls, 0);
        set.start_call(index, true);
    }
    assert_eq!(picker.pick(set.upstreams(), &context), None);
    let id = set.upstreams()[0].id.clone();
    set.end_call(now, &id, true, AttemptResult::Inconclusive);
    assert_eq!(picker.pick(set.upstreams(), &context), Some(0));
}

/// Guards against calls that keep going to a dead upstream, using up the retry budget, until the
/// health report that shows it as open has expired. A report requested before the failure must not
/// make the upstream eligible again.
#[rstest]
fn an_unreachable_upstream_needs_a_newer_health_report() {
    let now = Instant::now();
    let later = now + Duration::from_millis(300);
    let mut set = eight_upstreams(now);
    let id = set.upstreams()[0].id.clone();
    set.start_call(0, false);
    set.end_call(later, &id, false, AttemptResult::Unreachable);
    assert!(!set.upstreams()[0].has_capacity());
    assert!(set.upstreams()[1].has_capacity());
    let report = |set: &mut UpstreamSet, requested_at| {
        let open_upstream = OpenUpstream { local: true, requested_at };
        set.set_open(requested_at, &BTreeMap::from([(id.clone(), open_upstream)]), 16);
    };
    report(&mut set, later - Duration::from_millis(1));
    assert!(
        !set.upstreams()[0].has_capacity(),
        "a health report requested before the failure made the upstream eligible"
    );
    report(&mut set, later + Duration::from_millis(1));
    assert!(set.upstreams()[0].has_capacity());
}

#[rstest]
fn an_upstream_counts_once_and_a_loss_is_gossiped_four_times() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    let loss =
        |upstream: &str| UpstreamLoss { digest: "d".to_owned(), upstream: upstream.to_owned() };
    quarantine.record_loss(now, loss("g1"));
    quarantine.record_loss(now, loss("g1"));
    assert_eq!(quarantine.loss_count(now, "d"), 1);
    quarantine.record_loss(now, loss("g2"));
    assert_eq!(quarantine.loss_count(now, "d"), 2);
    let updates: Vec<usize> = (0..6).map(|_| quarantine.next_updates().len()).collect();
    assert_eq!(updates, [2, 2, 2, 2, 0, 0]);
    assert_eq!(quarantine.loss_count(now + Duration::from_secs(601), "d"), 0);
    assert!(quarantine.lift("d"));
}
