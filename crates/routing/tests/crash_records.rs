//! Which lost connections count as crashes of their upstreams.

use {
    rstest::rstest,
    std::time::{Duration, Instant},
    turmerictack_routing::crash_records::{
        CrashRecords, EVIDENCE_TIMEOUT, RunState, Suspect, UpstreamRun,
    },
};

const REQUEST: u64 = 7;

fn run(upstream: usize) -> UpstreamRun {
    UpstreamRun { upstream: format!("u{upstream}"), started_ms: 1 }
}

fn suspect() -> Suspect {
    Suspect { prompt: [1].into(), request: REQUEST }
}

fn is_quarantined(records: &CrashRecords) -> bool {
    records.requests.is_quarantined(&[REQUEST].into())
}

/// Records in which three upstreams, a second apart, have lost the request.
fn after_losses(start: Instant) -> (CrashRecords, Instant) {
    let mut records = CrashRecords::default();
    let mut now = start;
    for upstream in 0..3 {
        now += Duration::from_secs(1);
        assert!(records.record_loss(now, run(upstream), suspect()));
        assert!(!records.record_loss(now, run(upstream), suspect()));
    }
    (records, now)
}

#[rstest]
#[case::restarted(RunState::Restarted, true)]
#[case::running(RunState::Running, false)]
#[case::leaving(RunState::Leaving, false)]
fn loss_counts_once_its_upstream_has_started_again(
    #[case] state: RunState,
    #[case] quarantined: bool,
) {
    let (mut records, now) = after_losses(Instant::now());
    assert!(!is_quarantined(&records));
    records.apply_states(now, |_| state);
    assert_eq!(is_quarantined(&records), quarantined);
}

#[rstest]
fn loss_without_evidence_is_forgotten() {
    let (mut records, now) = after_losses(Instant::now());
    let later = now + EVIDENCE_TIMEOUT;
    records.expire(later);
    records.apply_states(later, |_| RunState::Restarted);
    assert!(!is_quarantined(&records));
}

#[rstest]
fn crash_that_a_peer_has_recorded_counts_for_the_losses_kept_here() {
    let (mut peer, now) = after_losses(Instant::now());
    let (mut records, _) = after_losses(Instant::now());
    for upstream in 0..3 {
        peer.record_crash(now, &run(upstream));
    }
    let (prompts, requests) = (peer.prompts.next_updates(now), peer.requests.next_updates(now));
    assert!(records.apply(now, prompts, requests));
    assert!(is_quarantined(&records));
    assert!((0..3).all(|upstream| !records.has_loss(&run(upstream))));
}

/// Guards against a quarantine that a single further crash renews after its time.
#[rstest]
fn crash_after_the_end_of_a_quarantine_counts_as_the_first() {
    let (mut records, now) = after_losses(Instant::now());
    records.apply_states(now, |_| RunState::Restarted);
    assert!(is_quarantined(&records));
    let later = now + Duration::from_secs(601);
    records.expire(later);
    assert!(!is_quarantined(&records));
    records.record_loss(later, run(9), suspect());
    records.apply_states(later, |_| RunState::Restarted);
    assert!(!is_quarantined(&records));
}

/// A request that was lost long before the crash is not put down to it because others were lost since.
#[rstest]
fn losses_of_other_requests_do_not_renew_an_earlier_one() {
    let mut records = CrashRecords::default();
    let mut now = Instant::now();
    for upstream in 0..3 {
        records.record_loss(now, run(upstream), suspect());
    }
    for _ in 0..3 {
        now += EVIDENCE_TIMEOUT / 2;
        for upstream in 0..3 {
            let other = Suspect { prompt: [].into(), request: REQUEST + 1 };
            records.record_loss(now, run(upstream), other);
        }
        records.expire(now);
    }
    records.apply_states(now, |_| RunState::Restarted);
    assert!(!is_quarantined(&records));
    assert!(records.requests.is_quarantined(&[REQUEST + 1].into()));
}

/// Guards against nodes that restart and send a crashing request on, because other requests that were
/// lost in the same crashes are repeated to them instead.
#[rstest]
fn quarantined_request_is_the_first_that_restarted_nodes_learn_of() {
    let start = Instant::now();
    let mut records = CrashRecords::default();
    for upstream in 0..3 {
        let now = start + Duration::from_secs(upstream as u64);
        for other in 0..20 {
            let request = 1_000 * upstream as u64 + other;
            records.record_loss(now, run(upstream), Suspect { prompt: [].into(), request });
        }
        let crashing = Suspect { prompt: [].into(), request: u64::MAX };
        records.record_loss(now, run(upstream), crashing);
        records.record_crash(now, &run(upstream));
    }
    let mut now = start + Duration::from_secs(10);
    while !records.requests.next_updates(now).crashes.is_empty() {}
    let mut restarted = CrashRecords::default();
    for _ in 0..4 {
        now += Duration::from_secs(1);
        let updates = records.requests.next_updates(now);
        restarted.apply(now, Default::default(), updates);
    }
    assert!(restarted.requests.is_quarantined(&[u64::MAX].into()));
}
