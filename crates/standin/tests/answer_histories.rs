//! Random histories of streamed answers: cuts, silence, late pieces of older attempts, pieces of
//! other calls, repeats and gaps. The caller sees one whole answer, or learns that it is not.

mod common;

use {
    common::{assert_shown, seeds},
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

/// What the pieces of an answer pass; tests hand in permissive ones.
trait Check: Sync {
    fn admit(&self, piece: StreamItem, _current: u64) -> StreamItem {
        piece
    }
}

struct Strict;
impl Check for Strict {}

/// Pieces of any attempt count as the current one's.
struct AnyAttempt;
impl Check for AnyAttempt {
    fn admit(&self, piece: StreamItem, current: u64) -> StreamItem {
        match piece {
            StreamItem::Chunk { index, text, .. } => {
                StreamItem::Chunk { attempt: current, index, text }
            }
            StreamItem::End { chunks, finish_reason: reason, .. } => {
                StreamItem::End { attempt: current, chunks, finish_reason: reason }
            }
        }
    }
}

#[derive(Debug, Default, PartialEq)]
struct Seen {
    text: String,
    ended: bool,
    failed: bool,
    breaks: u32,
}

fn piece(rng: &mut Pcg64Mcg, attempt: u64, prompt: &str, next: &mut u64) -> StreamItem {
    let (attempt, prompt) = match rng.random_range(0..20) {
        0 => (attempt.saturating_sub(1), prompt),
        1 => (attempt + 1000, "another call"),
        _ => (attempt, prompt),
    };
    let index = match rng.random_range(0..30) {
        0 => next.saturating_sub(1),
        1 => *next + 1,
        _ => *next,
    };
    *next = index + 1;
    if index >= CHUNKS {
        return StreamItem::End { attempt, chunks: index, finish_reason: "stop".to_owned() };
    }
    StreamItem::Chunk { attempt, index, text: model_output::chunk(prompt, index) }
}

fn history(seed: u64, check: &dyn Check) -> Seen {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let now = Instant::now();
    let wait = Duration::from_secs(1);
    let terms = CallOptions {
        idempotent: true,
        needs_record: false,
        queue_deadline: now,
        requeue_wait: wait,
    };
    let mut dispatch = Dispatch::new(terms);
    let mut budget = RetryBudget::new(10);
    let mut seen = Seen::default();
    let (mut attempt, mut next, mut was_preempted) = (0, 0, false);
    let mut action = dispatch.step(now, Event::Admitted("g".to_owned()), &mut budget);
    loop {
        let preempted = std::mem::take(&mut was_preempted);
        let event = match action {
            Action::Send { resume_from, .. } => {
                attempt += 1;
                dispatch.begin_attempt(attempt);
                dispatch.release_body(attempt);
                next = resume_from;
                Event::Accepted
            }
            Action::Requeue { .. } | Action::AwaitAdmission { .. } => {
                seen.breaks += u32::from(!preempted);
                Event::Admitted("g".to_owned())
            }
            Action::AwaitResponse | Action::Deliver { finish_reason: None, .. } => {
                if let Action::Deliver { texts, .. } = &action {
                    seen.text.extend(texts.iter().map(String::as_str));
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
                        let pieces = (0..count)
                            .map(|_| piece(&mut rng, attempt, "prompt", &mut next))
                            .map(|p| check.admit(p, attempt));
                        Event::StreamItems(pieces.collect())
                    }
                }
            }
            Action::Deliver { texts, finish_reason: Some(_) } => {
                seen.text.extend(texts.iter().map(String::as_str));
                seen.ended = true;
                return seen;
            }
            Action::Fail(_) => {
                seen.breaks += 1;
                seen.failed = true;
                return seen;
            }
            Action::WriteRecord | Action::Respond | Action::Replay | Action::Nothing => {
                return seen;
            }
        };
        action = dispatch.step(now, event, &mut budget);
    }
}

fn is_true(seen: &Seen) -> bool {
    let whole = model_output::full_text("prompt", CHUNKS);
    let complete = seen.ended && !seen.failed && seen.text == whole;
    let broken_off = seen.failed && !seen.ended && whole.starts_with(&seen.text);
    complete || broken_off
}

#[rstest]
fn every_answer_is_whole_or_said_not_to_be() {
    for seed in seeds() {
        let seen = history(seed, &Strict);
        assert!(is_true(&seen), "seed {seed}: {seen:?}");
    }
}

/// An answer is given up only when every attempt that a call has was spent on it.
#[rstest]
fn an_answer_is_given_up_only_after_every_attempt() {
    for seed in seeds() {
        let seen = history(seed, &Strict);
        assert!(!seen.failed || seen.breaks == MAX_ATTEMPTS, "seed {seed}: {seen:?}");
    }
}

#[rstest]
fn without_the_attempt_check_answers_are_mixed() {
    assert_shown(|s| !is_true(&history(s, &AnyAttempt)));
}
