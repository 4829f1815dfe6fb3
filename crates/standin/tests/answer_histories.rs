//! Simulates random histories of streamed responses with lost connections, stalls, preemption,
//! late items of earlier attempts, items of other calls, duplicates and gaps. The caller must
//! receive one complete response, or a prefix of it and a failure.

mod common;

use {
    common::{assert_violation_found, seeds},
    rand::{RngExt as _, SeedableRng as _},
    rand_pcg::Pcg64Mcg,
    rstest::rstest,
    std::time::{Duration, Instant},
    turmerictack_routing::{
        budget::RetryBudget,
        dispatch::{Action, CallOptions, Dispatch, Event, MAX_ATTEMPTS, StreamItem},
    },
    turmerictack_standin::model_output,
};

const CHUNKS: u64 = 12;

/// Filters the items of a stream before dispatch sees them; a test uses a filter that defeats the
/// check of attempt numbers.
trait StreamFilter: Sync {
    fn apply(&self, item: StreamItem, _current_attempt: u64) -> StreamItem {
        item
    }
}

struct Strict;
impl StreamFilter for Strict {}

/// Relabels the items of every attempt as items of the current one.
struct AnyAttempt;
impl StreamFilter for AnyAttempt {
    fn apply(&self, item: StreamItem, current_attempt: u64) -> StreamItem {
        match item {
            StreamItem::Chunk { index, text, .. } => {
                StreamItem::Chunk { attempt: current_attempt, index, text }
            }
            StreamItem::End { chunks, finish_reason, .. } => {
                StreamItem::End { attempt: current_attempt, chunks, finish_reason }
            }
        }
    }
}

#[derive(Debug, Default, PartialEq)]
struct Received {
    text: String,
    ended: bool,
    failed: bool,
    failed_attempts: u32,
}

fn random_item(rng: &mut Pcg64Mcg, attempt: u64, prompt: &str, next_index: &mut u64) -> StreamItem {
    let (attempt, prompt) = match rng.random_range(0..20) {
        0 => (attempt.saturating_sub(1), prompt),
        1 => (attempt + 1000, "another call"),
        _ => (attempt, prompt),
    };
    let index = match rng.random_range(0..30) {
        0 => next_index.saturating_sub(1),
        1 => *next_index + 1,
        _ => *next_index,
    };
    *next_index = index + 1;
    if index >= CHUNKS {
        return StreamItem::End { attempt, chunks: index, finish_reason: "stop".to_owned() };
    }
    StreamItem::Chunk { attempt, index, text: model_output::chunk(prompt, index) }
}

fn history(seed: u64, filter: &dyn StreamFilter) -> Received {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let now = Instant::now();
    let requeue_wait = Duration::from_secs(1);
    let options =
        CallOptions { idempotent: true, needs_record: false, queue_deadline: now, requeue_wait };
    let mut dispatch = Dispatch::new(options);
    let mut budget = RetryBudget::new(10);
    let mut received = Received::default();
    let (mut attempt, mut next_index, mut was_preempted) = (0, 0, false);
    let mut action = dispatch.step(now, Event::Admitted("g".to_owned()), &mut budget);
    loop {
        let after_preemption = std::mem::take(&mut was_preempted);
        let event = match action {
            Action::Send { resume_from, .. } => {
                attempt += 1;
                dispatch.begin_attempt(attempt);
                dispatch.release_body(attempt);
                next_index = resume_from;
                Event::Accepted
            }
            Action::Requeue { .. } | Action::AwaitAdmission { .. } => {
                received.failed_attempts += u32::from(!after_preemption);
                Event::Admitted("g".to_owned())
            }
            Action::AwaitResponse | Action::Deliver { finish_reason: None, .. } => {
                if let Action::Deliver { texts, .. } = &action {
                    received.text.extend(texts.iter().map(String::as_str));
                }
                match rng.random_range(0..40) {
                    0 => Event::Lost,
                    1 => Event::Stalled,
                    2 => {
                        was_preempted = true;
                        Event::Preempted
                    }
                    _ => {
                        let count = rng.random_range(1..4);
                        let items = (0..count)
                            .map(|_| random_item(&mut rng, attempt, "prompt", &mut next_index))
                            .map(|item| filter.apply(item, attempt));
                        Event::StreamItems(items.collect())
                    }
                }
            }
            Action::Deliver { texts, finish_reason: Some(_) } => {
                received.text.extend(texts.iter().map(String::as_str));
                received.ended = true;
                return received;
            }
            Action::Fail(_) => {
                received.failed_attempts += 1;
                received.failed = true;
                return received;
            }
            Action::WriteRecord | Action::Respond | Action::Replay | Action::Nothing => {
                return received;
            }
        };
        action = dispatch.step(now, event, &mut budget);
    }
}

fn is_valid(received: &Received) -> bool {
    let expected = model_output::full_text("prompt", CHUNKS);
    let is_complete = received.ended && !received.failed && received.text == expected;
    let is_failed_prefix =
        received.failed && !received.ended && expected.starts_with(&received.text);
    is_complete || is_failed_prefix
}

#[rstest]
fn every_response_is_complete_or_reported_as_failed() {
    for seed in seeds() {
        let received = history(seed, &Strict);
        assert!(is_valid(&received), "seed {seed}: {received:?}");
    }
}

/// A response fails only after [`MAX_ATTEMPTS`] attempts have failed; preempted attempts don't
/// count.
#[rstest]
fn a_response_fails_only_after_every_attempt() {
    for seed in seeds() {
        let received = history(seed, &Strict);
        assert!(
            !received.failed || received.failed_attempts == MAX_ATTEMPTS,
            "seed {seed}: {received:?}"
        );
    }
}

#[rstest]
fn without_the_attempt_check_responses_are_mixed() {
    assert_violation_found(|s| !is_valid(&history(s, &AnyAttempt)));
}
