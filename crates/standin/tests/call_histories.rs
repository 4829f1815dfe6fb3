//! Simulates random histories of calls with idempotency keys in virtual time, with killed and
//! paused nodes, lost responses, delayed writes and records settled by operators. The ledger and
//! the dispatcher under test make the decisions.
//!
//! `TURMERICTACK_SEED=N` runs only the history of seed N; a failure prints its trace.

mod common;

use {
    common::{assert_violation_found, seeds},
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

type CallIndex = usize;
type Millis = u64;

/// Checks that keep a call from being executed twice, or from being reported as not run although it
/// was executed; tests replace them with permissive ones.
trait SafetyChecks: Sync {
    fn may_send(&self, record_writer: &RecordWriter, now: Instant) -> bool {
        now <= record_writer.send_deadline()
    }

    fn accepts_write(&self, current: Option<&(u64, Record)>, write: &RecordWrite) -> bool {
        current.map(|(v, _)| *v) == write.expect
    }

    fn release_body(&self, dispatch: &mut Dispatch, attempt: u64) -> bool {
        dispatch.release_body(attempt)
    }

    fn reported_outcome(&self, outcome: Outcome) -> Outcome {
        outcome
    }
}

struct Strict;
impl SafetyChecks for Strict {}

/// Writes are applied without comparing the version of the record.
struct UnconditionalWrites;
impl SafetyChecks for UnconditionalWrites {
    fn accepts_write(&self, _current: Option<&(u64, Record)>, _write: &RecordWrite) -> bool {
        true
    }
}

/// A record permits sending at any age.
struct NoSendDeadline;
impl SafetyChecks for NoSendDeadline {
    fn may_send(&self, _record_writer: &RecordWriter, _now: Instant) -> bool {
        true
    }
}

/// Every failed call is reported as not run, even if its outcome is unknown.
struct UnknownReportedAsNotRun;
impl SafetyChecks for UnknownReportedAsNotRun {
    fn reported_outcome(&self, _outcome: Outcome) -> Outcome {
        Outcome::NotRun
    }
}

/// The request body is sent in any phase of the call.
struct UnconditionalRelease;
impl SafetyChecks for UnconditionalRelease {
    fn release_body(&self, dispatch: &mut Dispatch, attempt: u64) -> bool {
        dispatch.release_body(attempt);
        true
    }
}

#[derive(Clone, Debug)]
enum Message {
    Arrive(CallIndex),
    WriteReachesStore(CallIndex, RecordWrite),
    StoreResponds(CallIndex, WriteResult),
    Connected(CallIndex, u64),
    RequestReachesService(CallIndex, u64),
    AttemptEvent(CallIndex, u64, Event),
    Kill(usize),
    Pause(usize, Millis),
    Settle(u64),
}

struct CallState {
    key: u64,
    node: usize,
    dispatch: Dispatch,
    record_writer: RecordWriter,
    write_purpose: WritePurpose,
    begin_finished_at: Instant,
    completions: u32,
    reported: Option<Outcome>,
    is_killed: bool,
}

/// Purpose of the last record write of a call.
#[derive(Clone, Copy, PartialEq)]
enum WritePurpose {
    Begin,
    StoreResponse,
    Release,
}

struct Simulation<'a> {
    checks: &'a dyn SafetyChecks,
    rng: Pcg64Mcg,
    origin: Instant,
    now: Millis,
    queue: BTreeMap<(Millis, u64), Message>,
    sequence: u64,
    store: BTreeMap<u64, (u64, Record)>,
    version: u64,
    calls: Vec<CallState>,
    paused_until: [Millis; NODES],
    restarts: [u32; NODES],
    executions: Vec<(u64, CallIndex)>,
    budget: RetryBudget,
    next_attempt: u64,
    trace: Vec<String>,
}

impl<'a> Simulation<'a> {
    fn new(seed: u64, checks: &'a dyn SafetyChecks) -> Self {
        Self {
            checks,
            rng: Pcg64Mcg::seed_from_u64(seed),
            origin: Instant::now(),
            now: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            store: BTreeMap::new(),
            version: 0,
            calls: Vec::new(),
            paused_until: [0; NODES],
            restarts: [0; NODES],
            executions: Vec::new(),
            budget: RetryBudget::new(10),
            next_attempt: 0,
            trace: Vec::new(),
        }
    }

    fn instant(&self) -> Instant {
        self.origin + Duration::from_millis(self.now)
    }

    fn schedule(&mut self, delay: Millis, message: Message) {
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

    /// Delay until a released body reaches the service. It is at most [`MAX_DELIVERY_TIME`], after
    /// which the connection is aborted.
    fn delivery_delay(&mut self) -> Millis {
        self.delay().min(MAX_DELIVERY_TIME.as_millis() as Millis)
    }

    fn schedule_history(&mut self) {
        for _ in 0..CALLS {
            let at = if self.rng.random_bool(0.7) {
                self.rng.random_range(0..200)
            } else {
                self.rng.random_range(0..3_000_000)
            };
            let call = self.calls.len();
            let (key, node) = (self.rng.random_range(0..KEYS), self.rng.random_range(0..NODES));
            let options = CallOptions {
                idempotent: false,
                needs_record: true,
                queue_deadline: self.origin + Duration::from_millis(at + 1000),
                requeue_wait: Duration::from_secs(1),
            };
            self.calls.push(CallState {
                key,
                node,
                dispatch: Dispatch::new(options),
                record_writer: RecordWriter::new(0, String::new(), String::new(), 0, self.origin),
                write_purpose: WritePurpose::Begin,
                begin_finished_at: self.origin,
                completions: 0,
                reported: None,
                is_killed: false,
            });
            self.schedule(at, Message::Arrive(call));
        }
        for _ in 0..self.rng.random_range(0..4) {
            let (at, node) = (self.rng.random_range(0..1000), self.rng.random_range(0..NODES));
            let message = if self.rng.random_bool(0.5) {
                Message::Kill(node)
            } else {
                let duration = self.rng.random_range(1..2_000_000);
                Message::Pause(node, duration)
            };
            self.schedule(at, message);
        }
        for key in 0..KEYS {
            let at = self.rng.random_range(0..3_000_000);
            self.schedule(at, Message::Settle(key));
        }
    }

    fn run(&mut self) {
        self.schedule_history();
        while let Some(((at, _), message)) = self.queue.pop_first() {
            self.now = at;
            self.trace.push(format!("{at} {message:?}"));
            self.handle(message);
        }
    }

    /// Drops a message to a call whose node was killed, and reschedules one to a paused node for
    /// the end of the pause; `true` if the message must not be handled now.
    fn defer_or_drop(&mut self, call: CallIndex, message: &Message) -> bool {
        if self.calls[call].is_killed {
            return true;
        }
        let until = self.paused_until[self.calls[call].node];
        if until > self.now {
            let wait = until - self.now;
            self.schedule(wait, message.clone());
            return true;
        }
        false
    }

    fn handle(&mut self, message: Message) {
        match message.clone() {
            Message::Arrive(call) => {
                if !self.defer_or_drop(call, &message) {
                    self.on_arrival(call);
                }
            }
            Message::WriteReachesStore(call, write) => self.apply_delayed_write(call, write),
            Message::StoreResponds(call, result) => {
                if !self.defer_or_drop(call, &message) {
                    let step = self.calls[call].record_writer.on_write_result(result);
                    self.handle_ledger_step(call, step);
                }
            }
            Message::Connected(call, attempt) => {
                if !self.defer_or_drop(call, &message) {
                    self.on_connected(call, attempt);
                }
            }
            Message::RequestReachesService(call, attempt) => self.execute_request(call, attempt),
            Message::AttemptEvent(call, attempt, event) => {
                if !self.defer_or_drop(call, &message)
                    && self.calls[call].dispatch.attempt() == attempt
                {
                    self.handle_event(call, event);
                }
            }
            Message::Kill(node) => {
                self.restarts[node] += 1;
                for call in self.calls.iter_mut().filter(|c| c.node == node) {
                    call.is_killed |= call.completions == 0 && call.is_admitted();
                }
            }
            Message::Pause(node, duration) => self.paused_until[node] = self.now + duration,
            Message::Settle(key) => self.settle(key),
        }
    }

    fn on_arrival(&mut self, call: CallIndex) {
        let nonce = self.rng.random::<u64>();
        let (now, wall) = (self.instant(), self.now);
        let state = &mut self.calls[call];
        let digest = format!("body of {}", state.key);
        state.record_writer =
            RecordWriter::new(nonce, digest, format!("n{}", state.node), wall, now);
        self.handle_event(call, Event::Admitted("service".to_owned()));
    }

    fn handle_event(&mut self, call: CallIndex, event: Event) {
        let now = self.instant();
        let action = self.calls[call].dispatch.step(now, event, &mut self.budget);
        self.perform(call, action);
    }

    fn perform(&mut self, call: CallIndex, action: Action) {
        match action {
            Action::WriteRecord => {
                let step = self.calls[call].record_writer.begin();
                self.handle_ledger_step(call, step);
            }
            Action::Send { .. } => {
                self.next_attempt += 1;
                let attempt = self.next_attempt;
                self.calls[call].dispatch.begin_attempt(attempt);
                let delay = self.delay();
                if self.rng.random_bool(0.1) {
                    self.schedule(delay, Message::AttemptEvent(call, attempt, Event::NotSent));
                } else {
                    self.schedule(delay, Message::Connected(call, attempt));
                    let stall_delay = 4000 + self.rng.random_range(0..2000);
                    self.schedule(
                        stall_delay,
                        Message::AttemptEvent(call, attempt, Event::Stalled),
                    );
                }
            }
            Action::Requeue { .. } | Action::AwaitAdmission { .. } => {
                self.handle_event(call, Event::Admitted("service".to_owned()));
            }
            Action::Respond => {
                self.calls[call].write_purpose = WritePurpose::StoreResponse;
                let response = StoredResponse { status: 200, content_type: None, body: None };
                let step = self.calls[call].record_writer.store_response(response);
                self.handle_ledger_step(call, step);
            }
            Action::Replay => self.complete(call, None),
            Action::Fail(failure) => {
                let reported = self.checks.reported_outcome(failure.outcome);
                let state = &mut self.calls[call];
                let is_not_run = failure.outcome == Outcome::NotRun && state.dispatch.has_record();
                if is_not_run {
                    state.write_purpose = WritePurpose::Release;
                    let step = state.record_writer.release();
                    self.handle_ledger_step(call, step);
                }
                self.complete(call, Some(reported));
            }
            Action::AwaitResponse | Action::Deliver { .. } | Action::Nothing => {}
        }
    }

    fn complete(&mut self, call: CallIndex, reported: Option<Outcome>) {
        self.calls[call].completions += 1;
        self.calls[call].reported = reported;
    }

    fn handle_ledger_step(&mut self, call: CallIndex, step: Step) {
        match step {
            Step::Write(write) => {
                let delay = self.delay();
                if self.rng.random_bool(0.1) {
                    self.schedule(delay, Message::StoreResponds(call, WriteResult::NotApplied));
                } else if self.rng.random_bool(0.15) {
                    let write_delay = self.delay();
                    self.schedule(write_delay, Message::WriteReachesStore(call, write));
                    self.schedule(2000, Message::StoreResponds(call, WriteResult::Indeterminate));
                } else {
                    let result = self.store_write(call, &write);
                    self.schedule(delay, Message::StoreResponds(call, result));
                }
            }
            Step::Complete(result) => self.handle_ledger_result(call, result),
        }
    }

    fn handle_ledger_result(&mut self, call: CallIndex, result: LedgerResult) {
        let now = self.instant();
        let state = &mut self.calls[call];
        match state.write_purpose {
            WritePurpose::StoreResponse => return self.complete(call, None),
            WritePurpose::Release => return,
            WritePurpose::Begin => state.begin_finished_at = now,
        }
        let record_result = match result {
            LedgerResult::Acquired | LedgerResult::Finished => RecordResult::Acquired,
            LedgerResult::Replay(_) => RecordResult::Replayed,
            LedgerResult::Blocked(_) => RecordResult::Blocked,
            LedgerResult::KeyReused => RecordResult::KeyReused,
            LedgerResult::Unavailable => {
                state.write_purpose = WritePurpose::Release;
                let step = state.record_writer.release();
                self.handle_ledger_step(call, step);
                RecordResult::Unavailable
            }
        };
        self.handle_event(call, Event::Recorded(record_result));
    }

    /// Applies a delayed write, whose response was lost; it may arrive after later writes.
    fn apply_delayed_write(&mut self, call: CallIndex, write: RecordWrite) {
        let _ = self.store_write(call, &write);
    }

    fn store_write(&mut self, call: CallIndex, write: &RecordWrite) -> WriteResult {
        let key = self.calls[call].key;
        let current = self.store.get(&key);
        if !self.checks.accepts_write(current, write) {
            return WriteResult::Conflict(current.cloned());
        }
        self.version += 1;
        self.store.insert(key, (self.version, write.record.clone()));
        WriteResult::Written(self.version)
    }

    fn on_connected(&mut self, call: CallIndex, attempt: u64) {
        let now = self.instant();
        let state = &mut self.calls[call];
        let is_permitted = self.checks.may_send(&state.record_writer, now);
        if is_permitted && self.checks.release_body(&mut state.dispatch, attempt) {
            let delay = self.delivery_delay();
            self.schedule(delay, Message::RequestReachesService(call, attempt));
        } else {
            self.schedule(0, Message::AttemptEvent(call, attempt, Event::NotSent));
        }
    }

    fn execute_request(&mut self, call: CallIndex, attempt: u64) {
        if self.rng.random_bool(0.1) {
            self.schedule(1, Message::AttemptEvent(call, attempt, Event::Lost));
            return;
        }
        self.executions.push((self.calls[call].key, call));
        let delay = self.delay();
        let event = if self.rng.random_bool(0.2) { Event::Lost } else { Event::ResponseReceived };
        self.schedule(delay, Message::AttemptEvent(call, attempt, event));
    }

    /// Settles an open record of at least [`MIN_SETTLE_AGE`] as not run, as an operator does after
    /// finding that the service has not executed the call so far.
    fn settle(&mut self, key: u64) {
        let was_executed = self.executions.iter().any(|(k, _)| *k == key);
        let Some((version, record)) = self.store.get_mut(&key) else {
            return;
        };
        let is_old_enough =
            self.now.saturating_sub(record.created_ms) >= MIN_SETTLE_AGE.as_millis() as u64;
        if record.state == RecordState::Open && is_old_enough && !was_executed {
            self.version += 1;
            *version = self.version;
            record.state = RecordState::Unsent;
        }
    }

    /// Returns the invariants that this history violated.
    fn violations(&self) -> BTreeSet<&'static str> {
        let mut violations = BTreeSet::new();
        for key in 0..KEYS {
            if self.executions.iter().filter(|(k, _)| *k == key).count() > 1 {
                violations.insert("a key was executed twice");
            }
        }
        for (index, call) in self.calls.iter().enumerate() {
            let was_executed = self.executions.iter().any(|(_, c)| *c == index);
            if was_executed && call.reported == Some(Outcome::NotRun) {
                violations.insert("an executed call was reported as not run");
            }
            if !call.is_killed && call.completions != 1 {
                violations.insert("a call did not complete exactly once");
            }
        }
        violations
    }
}

impl CallState {
    fn is_admitted(&self) -> bool {
        *self.dispatch.phase() != turmerictack_routing::dispatch::Phase::Queued
    }
}

fn history(seed: u64, checks: &dyn SafetyChecks) -> (BTreeSet<&'static str>, Vec<String>) {
    let mut simulation = Simulation::new(seed, checks);
    simulation.run();
    (simulation.violations(), simulation.trace)
}

#[rstest]
fn histories_violate_no_invariant() {
    println!("seeds {:?}", seeds());
    for seed in seeds() {
        let (violations, trace) = history(seed, &Strict);
        assert!(violations.is_empty(), "seed {seed}: {violations:?}\n{}", trace.join("\n"));
    }
}

/// Without any one of the checks, some history violates the invariant that the check protects.
#[rstest]
#[case::conditional_writes(&UnconditionalWrites, "a key was executed twice")]
#[case::send_deadline(&NoSendDeadline, "a key was executed twice")]
#[case::release_in_one_phase(&UnconditionalRelease, "a key was executed twice")]
#[case::unknown_outcome(&UnknownReportedAsNotRun, "an executed call was reported as not run")]
fn removing_a_check_violates_its_invariant(
    #[case] checks: &dyn SafetyChecks,
    #[case] violation: &str,
) {
    assert_violation_found(|seed| history(seed, checks).0.contains(violation));
}
