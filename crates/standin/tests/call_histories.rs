//! Random histories of keyed calls in virtual time: kills, pauses, lost answers, late writes and
//! operators that settle, over the decisions of the ledger and of dispatch.
//!
//! `TURMERICTACK_SEED=N` runs the one history of seed N and prints its trace.

mod common;

use {
    common::{assert_shown, seeds},
    rand::{RngExt as _, SeedableRng as _},
    rand_pcg::Pcg64Mcg,
    rstest::rstest,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    turmerictack_ledger::{
        record::{Record, RecordState, StoredResponse},
        record_writer::{
            LedgerResult, MAX_DELIVERY_TIME, MIN_SETTLE_AGE, RecordWrite, RecordWriter, Step,
            WriteResult,
        },
    },
    turmerictack_model::outcome::Outcome,
    turmerictack_routing::{
        budget::RetryBudget,
        dispatch::{Action, CallOptions, Dispatch, Event, RecordResult},
    },
};

const NODES: usize = 3;
const KEYS: u64 = 2;
const CALLS: usize = 6;

type CallNo = usize;
type Millis = u64;

/// What stands between a call and a second run; tests hand in permissive ones.
trait Guard: Sync {
    fn may_send(&self, entry: &RecordWriter, now: Instant) -> bool {
        now <= entry.send_deadline()
    }

    fn takes(&self, held: Option<&(u64, Record)>, write: &RecordWrite) -> bool {
        held.map(|(v, _)| *v) == write.expect
    }

    fn release(&self, dispatch: &mut Dispatch, attempt: u64) -> bool {
        dispatch.release_body(attempt)
    }

    fn outcome(&self, told: Outcome) -> Outcome {
        told
    }
}

struct Strict;
impl Guard for Strict {}

/// Writes take effect whatever the record's version is.
struct UnconditionalWrites;
impl Guard for UnconditionalWrites {
    fn takes(&self, _held: Option<&(u64, Record)>, _write: &RecordWrite) -> bool {
        true
    }
}

/// A record permits a send at any age.
struct NoAgeLimit;
impl Guard for NoAgeLimit {
    fn may_send(&self, _entry: &RecordWriter, _now: Instant) -> bool {
        true
    }
}

/// A call that got no answer is said not to have run.
struct SilenceIsNotRun;
impl Guard for SilenceIsNotRun {
    fn outcome(&self, _told: Outcome) -> Outcome {
        Outcome::NotRun
    }
}

/// A body goes whatever state the call is in.
struct NoTransition;
impl Guard for NoTransition {
    fn release(&self, dispatch: &mut Dispatch, attempt: u64) -> bool {
        dispatch.release_body(attempt);
        true
    }
}

#[derive(Clone, Debug)]
enum Message {
    Arrive(CallNo),
    StoreGets(CallNo, RecordWrite),
    StoreAnswers(CallNo, WriteResult),
    Connected(CallNo, u64),
    ServiceGets(CallNo, u64),
    Ends(CallNo, u64, Event),
    Kill(usize),
    Pause(usize, Millis),
    Settle(u64),
}

struct CallState {
    key: u64,
    node: usize,
    dispatch: Dispatch,
    entry: RecordWriter,
    goal: Goal,
    until: Instant,
    endings: u32,
    told: Option<Outcome>,
    dead: bool,
}

/// What the call's last write is for.
#[derive(Clone, Copy, PartialEq)]
enum Goal {
    Begin,
    Store,
    Release,
}

struct World<'a> {
    guard: &'a dyn Guard,
    rng: Pcg64Mcg,
    origin: Instant,
    now: Millis,
    queue: BTreeMap<(Millis, u64), Message>,
    sequence: u64,
    store: BTreeMap<u64, (u64, Record)>,
    version: u64,
    calls: Vec<CallState>,
    paused: [Millis; NODES],
    run: [u32; NODES],
    ran: Vec<(u64, CallNo)>,
    budget: RetryBudget,
    next_attempt: u64,
    trace: Vec<String>,
}

impl<'a> World<'a> {
    fn new(seed: u64, guard: &'a dyn Guard) -> Self {
        Self {
            guard,
            rng: Pcg64Mcg::seed_from_u64(seed),
            origin: Instant::now(),
            now: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            store: BTreeMap::new(),
            version: 0,
            calls: Vec::new(),
            paused: [0; NODES],
            run: [0; NODES],
            ran: Vec::new(),
            budget: RetryBudget::new(10),
            next_attempt: 0,
            trace: Vec::new(),
        }
    }

    fn instant(&self) -> Instant {
        self.origin + Duration::from_millis(self.now)
    }

    fn after(&mut self, delay: Millis, message: Message) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), message);
    }

    fn delay(&mut self) -> Millis {
        match self.rng.random_range(0..20) {
            0 => self.rng.random_range(0..1_200_000),
            1 => self.rng.random_range(0..12_000),
            _ => self.rng.random_range(0..50),
        }
    }

    /// Time that a released body is on its way: the connection gives up after its bound.
    fn flight(&mut self) -> Millis {
        self.delay().min(MAX_DELIVERY_TIME.as_millis() as Millis)
    }

    fn plan(&mut self) {
        for _ in 0..CALLS {
            let at = if self.rng.random_bool(0.7) {
                self.rng.random_range(0..200)
            } else {
                self.rng.random_range(0..3_000_000)
            };
            let call = self.calls.len();
            let (key, node) = (self.rng.random_range(0..KEYS), self.rng.random_range(0..NODES));
            let terms = CallOptions {
                idempotent: false,
                needs_record: true,
                queue_deadline: self.origin + Duration::from_millis(at + 1000),
                requeue_wait: Duration::from_secs(1),
            };
            self.calls.push(CallState {
                key,
                node,
                dispatch: Dispatch::new(terms),
                entry: RecordWriter::new(0, String::new(), String::new(), 0, self.origin),
                goal: Goal::Begin,
                until: self.origin,
                endings: 0,
                told: None,
                dead: false,
            });
            self.after(at, Message::Arrive(call));
        }
        for _ in 0..self.rng.random_range(0..4) {
            let (at, node) = (self.rng.random_range(0..1000), self.rng.random_range(0..NODES));
            let message = if self.rng.random_bool(0.5) {
                Message::Kill(node)
            } else {
                let length = self.rng.random_range(1..2_000_000);
                Message::Pause(node, length)
            };
            self.after(at, message);
        }
        for key in 0..KEYS {
            let at = self.rng.random_range(0..3_000_000);
            self.after(at, Message::Settle(key));
        }
    }

    fn run(&mut self) {
        self.plan();
        while let Some(((at, _), message)) = self.queue.pop_first() {
            self.now = at;
            self.trace.push(format!("{at} {message:?}"));
            self.take(message);
        }
    }

    /// Whether a message waits because its node is paused, or is lost because its node was killed.
    fn held_back(&mut self, call: CallNo, message: &Message) -> bool {
        if self.calls[call].dead {
            return true;
        }
        let until = self.paused[self.calls[call].node];
        if until > self.now {
            let wait = until - self.now;
            self.after(wait, message.clone());
            return true;
        }
        false
    }

    fn take(&mut self, message: Message) {
        match message.clone() {
            Message::Arrive(call) => {
                if !self.held_back(call, &message) {
                    self.arrive(call);
                }
            }
            Message::StoreGets(call, write) => self.store_gets(call, write),
            Message::StoreAnswers(call, result) => {
                if !self.held_back(call, &message) {
                    let step = self.calls[call].entry.on_write_result(result);
                    self.ledger_step(call, step);
                }
            }
            Message::Connected(call, attempt) => {
                if !self.held_back(call, &message) {
                    self.connected(call, attempt);
                }
            }
            Message::ServiceGets(call, attempt) => self.service_gets(call, attempt),
            Message::Ends(call, attempt, event) => {
                if !self.held_back(call, &message) && self.calls[call].dispatch.attempt() == attempt
                {
                    self.event(call, event);
                }
            }
            Message::Kill(node) => {
                self.run[node] += 1;
                for call in self.calls.iter_mut().filter(|c| c.node == node) {
                    call.dead |= call.endings == 0 && call.entry_begun();
                }
            }
            Message::Pause(node, length) => self.paused[node] = self.now + length,
            Message::Settle(key) => self.settle(key),
        }
    }

    fn arrive(&mut self, call: CallNo) {
        let nonce = self.rng.random::<u64>();
        let (now, wall) = (self.instant(), self.now);
        let state = &mut self.calls[call];
        let digest = format!("body of {}", state.key);
        state.entry = RecordWriter::new(nonce, digest, format!("n{}", state.node), wall, now);
        self.event(call, Event::Admitted("service".to_owned()));
    }

    fn event(&mut self, call: CallNo, event: Event) {
        let now = self.instant();
        let action = self.calls[call].dispatch.step(now, event, &mut self.budget);
        self.act(call, action);
    }

    fn act(&mut self, call: CallNo, action: Action) {
        match action {
            Action::WriteRecord => {
                let step = self.calls[call].entry.begin();
                self.ledger_step(call, step);
            }
            Action::Send { .. } => {
                self.next_attempt += 1;
                let attempt = self.next_attempt;
                self.calls[call].dispatch.begin_attempt(attempt);
                let delay = self.delay();
                if self.rng.random_bool(0.1) {
                    self.after(delay, Message::Ends(call, attempt, Event::NotSent));
                } else {
                    self.after(delay, Message::Connected(call, attempt));
                    let bound = 4000 + self.rng.random_range(0..2000);
                    self.after(bound, Message::Ends(call, attempt, Event::Stalled));
                }
            }
            Action::Requeue { .. } | Action::AwaitAdmission { .. } => {
                self.event(call, Event::Admitted("service".to_owned()));
            }
            Action::Respond => {
                self.calls[call].goal = Goal::Store;
                let reply = StoredResponse { status: 200, content_type: None, body: None };
                let step = self.calls[call].entry.store_response(reply);
                self.ledger_step(call, step);
            }
            Action::Replay => self.end(call, None),
            Action::Fail(failure) => {
                let told = self.guard.outcome(failure.outcome);
                let state = &mut self.calls[call];
                let unsent = failure.outcome == Outcome::NotRun && state.dispatch.has_record();
                if unsent {
                    state.goal = Goal::Release;
                    let step = state.entry.release();
                    self.ledger_step(call, step);
                }
                self.end(call, Some(told));
            }
            Action::AwaitResponse | Action::Deliver { .. } | Action::Nothing => {}
        }
    }

    fn end(&mut self, call: CallNo, told: Option<Outcome>) {
        self.calls[call].endings += 1;
        self.calls[call].told = told;
    }

    fn ledger_step(&mut self, call: CallNo, step: Step) {
        match step {
            Step::Write(write) => {
                let delay = self.delay();
                if self.rng.random_bool(0.1) {
                    self.after(delay, Message::StoreAnswers(call, WriteResult::NotApplied));
                } else if self.rng.random_bool(0.15) {
                    let late = self.delay();
                    self.after(late, Message::StoreGets(call, write));
                    self.after(2000, Message::StoreAnswers(call, WriteResult::Indeterminate));
                } else {
                    let result = self.store_write(call, &write);
                    self.after(delay, Message::StoreAnswers(call, result));
                }
            }
            Step::Complete(verdict) => self.decided(call, verdict),
        }
    }

    fn decided(&mut self, call: CallNo, verdict: LedgerResult) {
        let now = self.instant();
        let state = &mut self.calls[call];
        match state.goal {
            Goal::Store => return self.end(call, None),
            Goal::Release => return,
            Goal::Begin => state.until = now,
        }
        let found = match verdict {
            LedgerResult::Acquired | LedgerResult::Finished => RecordResult::Acquired,
            LedgerResult::Replay(_) => RecordResult::Replayed,
            LedgerResult::Blocked(_) => RecordResult::Blocked,
            LedgerResult::KeyReused => RecordResult::KeyReused,
            LedgerResult::Unavailable => {
                state.goal = Goal::Release;
                let step = state.entry.release();
                self.ledger_step(call, step);
                RecordResult::Unavailable
            }
        };
        self.event(call, Event::Recorded(found));
    }

    /// A write whose answer was lost takes effect at any later time.
    fn store_gets(&mut self, call: CallNo, write: RecordWrite) {
        let _ = self.store_write(call, &write);
    }

    fn store_write(&mut self, call: CallNo, write: &RecordWrite) -> WriteResult {
        let key = self.calls[call].key;
        let held = self.store.get(&key);
        if !self.guard.takes(held, write) {
            return WriteResult::Conflict(held.cloned());
        }
        self.version += 1;
        self.store.insert(key, (self.version, write.record.clone()));
        WriteResult::Written(self.version)
    }

    fn connected(&mut self, call: CallNo, attempt: u64) {
        let now = self.instant();
        let state = &mut self.calls[call];
        let permitted = self.guard.may_send(&state.entry, now);
        if permitted && self.guard.release(&mut state.dispatch, attempt) {
            let delay = self.flight();
            self.after(delay, Message::ServiceGets(call, attempt));
        } else {
            self.after(0, Message::Ends(call, attempt, Event::NotSent));
        }
    }

    fn service_gets(&mut self, call: CallNo, attempt: u64) {
        if self.rng.random_bool(0.1) {
            self.after(1, Message::Ends(call, attempt, Event::Lost));
            return;
        }
        self.ran.push((self.calls[call].key, call));
        let delay = self.delay();
        let event = if self.rng.random_bool(0.2) { Event::Lost } else { Event::ResponseReceived };
        self.after(delay, Message::Ends(call, attempt, event));
    }

    /// An operator settles an old open record as not run, having found that it did not run so far.
    fn settle(&mut self, key: u64) {
        let ran = self.ran.iter().any(|(k, _)| *k == key);
        let Some((version, record)) = self.store.get_mut(&key) else {
            return;
        };
        let old = self.now.saturating_sub(record.created_ms) >= MIN_SETTLE_AGE.as_millis() as u64;
        if record.state == RecordState::Open && old && !ran {
            self.version += 1;
            *version = self.version;
            record.state = RecordState::Unsent;
        }
    }

    /// What must always hold, as far as this history broke it.
    fn faults(&self) -> BTreeSet<&'static str> {
        let mut faults = BTreeSet::new();
        for key in 0..KEYS {
            if self.ran.iter().filter(|(k, _)| *k == key).count() > 1 {
                faults.insert("a key ran twice");
            }
        }
        for (number, call) in self.calls.iter().enumerate() {
            let ran = self.ran.iter().any(|(_, c)| *c == number);
            if ran && call.told == Some(Outcome::NotRun) {
                faults.insert("a call that ran was said not to have run");
            }
            if !call.dead && call.endings != 1 {
                faults.insert("a call has no end, or several");
            }
        }
        faults
    }
}

impl CallState {
    fn entry_begun(&self) -> bool {
        *self.dispatch.phase() != turmerictack_routing::dispatch::Phase::Queued
    }
}

fn history(seed: u64, guard: &dyn Guard) -> (BTreeSet<&'static str>, Vec<String>) {
    let mut world = World::new(seed, guard);
    world.run();
    (world.faults(), world.trace)
}

#[rstest]
fn no_history_breaks_a_promise() {
    println!("seeds {:?}", seeds());
    for seed in seeds() {
        let (faults, trace) = history(seed, &Strict);
        assert!(faults.is_empty(), "seed {seed}: {faults:?}\n{}", trace.join("\n"));
    }
}

/// Each protection matters: without it some history breaks the promise that it keeps.
#[rstest]
#[case::conditional_writes(&UnconditionalWrites, "a key ran twice")]
#[case::age_limit(&NoAgeLimit, "a key ran twice")]
#[case::one_transition(&NoTransition, "a key ran twice")]
#[case::unknown_is_said(&SilenceIsNotRun, "a call that ran was said not to have run")]
fn a_missing_protection_shows(#[case] guard: &dyn Guard, #[case] broken: &str) {
    assert_shown(|seed| history(seed, guard).0.contains(broken));
}
