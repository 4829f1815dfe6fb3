//! Decisions on calls, run on the worker pool over the node's tables.

use {
    crate::{
        call::Call,
        tables::{Calls, InFlight, Tables, Target, pace},
        terms::{cost, prefix, request_digest, sample, treat, used},
    },
    rand::RngExt as _,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc::{self, UnboundedReceiver},
    turmerictack_admission::policy::{AdmissionRequest, EnqueueResult},
    turmerictack_model::{
        clock::Clock,
        ids::{AttemptId, CallId, ServiceId},
        outcome::{Failure, FailureCode},
        rank::Rank,
    },
    turmerictack_routing::{
        dispatch::{Action, CallOptions, Dispatch, Event, Phase},
        picker::PickContext,
        quarantine::UpstreamLoss,
        upstream_set::{AttemptResult, UpstreamState},
    },
    turmerictack_settings::{
        dependencies::down_dependency,
        services::{Service, ServiceKind, Services},
    },
};

/// Time after which a caller that met a full or draining node may try again.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Rest of a call that every open upstream failed, before it tries them again.
const REST: Duration = Duration::from_millis(300);

/// Decisions on calls.
pub struct Core {
    tables: Arc<Tables>,
    clock: Arc<dyn Clock>,
}

/// A call that was taken in.
#[derive(Debug)]
pub struct Ticket {
    /// Its number.
    pub id: CallId,
    /// What is to be done for it, one after the other.
    pub actions: UnboundedReceiver<Action>,
    /// Time at which its wait for admission is over.
    pub queue_until: Instant,
    /// Its rank.
    pub rank: Rank,
    /// Whether its calls may go over a connection that was used before.
    pub idempotent: bool,
    /// Longest silence of an upstream.
    pub silence: Duration,
}

/// An attempt that is to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Its number.
    pub id: AttemptId,
    /// Where it goes.
    pub target: Target,
}

/// What becomes of a wish to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// The attempt may open a connection.
    Go(Attempt),
    /// The upstream is no longer there.
    NoTarget(AttemptId),
    /// The call has moved on.
    Stale,
}

impl Core {
    /// Decisions over these tables.
    pub fn new(tables: Arc<Tables>, clock: Arc<dyn Clock>) -> Self {
        Self { tables, clock }
    }

    /// Takes a call in, or refuses it.
    ///
    /// # Errors
    /// The refusal; the call was not run.
    pub fn begin(&self, call: Call) -> Result<Ticket, Failure> {
        let refuse = |code| Failure::not_run(code);
        if self.tables.is_draining() {
            return Err(refuse(FailureCode::Draining).with_retry_after(RETRY_AFTER));
        }
        let services = self.tables.services().ok_or(refuse(FailureCode::NoUpstream))?;
        let service = services.service(&call.service).ok_or(refuse(FailureCode::NotFound))?.clone();
        self.check_dependencies(&services, &service)?;
        let digest = request_digest(&call);
        let suspect = self.check_quarantine(&services, &digest)?;
        let rank = call.rank.unwrap_or(service.default_rank);
        let policy = services.rank_policy(rank);
        let treatment = treat(&service, &call);
        let now = self.clock.now();
        let wait = call.deadline.unwrap_or(policy.queue_wait);
        let terms = CallOptions {
            idempotent: treatment.idempotent,
            needs_record: treatment.recorded,
            queue_deadline: now + wait,
            requeue_wait: policy.queue_wait,
        };
        let (actions_tx, actions) = mpsc::unbounded_channel();
        let preemptible = treatment.idempotent && service.kind == ServiceKind::Model;
        let call = Arc::new(call);
        let id = self.insert(InFlight {
            call: Arc::clone(&call),
            rank,
            dispatch: Dispatch::new(terms),
            digest,
            suspect,
            counted_suspect: false,
            send_until: None,
            since: now,
            first: None,
            last: None,
            attempt_base: (0, now),
            rest_until: now,
            actions: actions_tx,
        });
        let applicant = AdmissionRequest {
            call: id,
            caller: call.caller.clone(),
            weight: call.weight,
            rank,
            cost: cost(&call.payload),
            arrived_at: now,
            target_wait: policy.first_token,
            deadline: terms.queue_deadline,
            preemptible,
        };
        self.offer(&call.service, applicant)?;
        self.pump(&call.service);
        let silence = policy.stall_timeout;
        let queue_until = terms.queue_deadline;
        Ok(Ticket { id, actions, queue_until, rank, idempotent: treatment.idempotent, silence })
    }

    fn insert(&self, in_flight: InFlight) -> CallId {
        let mut calls = self.tables.calls.lock();
        let id = calls.next;
        calls.next += 1;
        calls.budget.deposit();
        calls.by_id.insert(id, in_flight);
        id
    }

    fn check_dependencies(&self, services: &Services, service: &Service) -> Result<(), Failure> {
        if service.depends_on.is_empty() {
            return Ok(());
        }
        let upstreams = self.tables.upstreams.lock();
        let is_up = |id: &str| upstreams.fleets.get(id).is_some_and(|f| f.is_up());
        match down_dependency(services, &service.id, &is_up) {
            Some(_) => {
                Err(Failure::not_run(FailureCode::DependencyDown).with_retry_after(RETRY_AFTER))
            }
            None => Ok(()),
        }
    }

    /// Whether a request ended an upstream before; refuses one that ended too many.
    fn check_quarantine(&self, services: &Services, digest: &str) -> Result<bool, Failure> {
        let strikes = self.tables.quarantine.lock().loss_count(self.clock.now(), digest);
        if strikes >= services.quarantine_after as usize {
            return Err(Failure::not_run(FailureCode::Quarantined));
        }
        Ok(strikes > 0)
    }

    fn offer(&self, service: &ServiceId, applicant: AdmissionRequest) -> Result<(), Failure> {
        let id = applicant.call;
        let offer = {
            let mut admission = self.tables.admission.lock();
            match admission.get_mut(service) {
                Some(queues) => queues.enqueue(self.clock.now(), applicant),
                None => EnqueueResult::Refused {
                    code: FailureCode::NoUpstream,
                    retry_after: RETRY_AFTER,
                },
            }
        };
        match offer {
            EnqueueResult::Queued { evicted } => {
                if let Some(evicted) = evicted {
                    let failure =
                        Failure::not_run(FailureCode::Overloaded).with_retry_after(RETRY_AFTER);
                    self.push(evicted, Event::Refused(failure));
                }
                Ok(())
            }
            EnqueueResult::Refused { code, retry_after } => {
                let failure = Failure::not_run(code).with_retry_after(retry_after);
                self.event(id, Event::Refused(failure));
                Err(failure)
            }
        }
    }

    /// Takes an event of one attempt; that of an attempt which is over changes nothing.
    pub fn attempt_event(&self, id: CallId, attempt: AttemptId, event: Event) -> Action {
        self.apply(id, Some(attempt), event)
    }

    /// Takes an event of a call and says what to do next.
    pub fn event(&self, id: CallId, event: Event) -> Action {
        self.apply(id, None, event)
    }

    fn apply(&self, id: CallId, attempt: Option<AttemptId>, event: Event) -> Action {
        let now = self.clock.now();
        let (action, settled) = {
            let mut calls = self.tables.calls.lock();
            let calls = &mut *calls;
            let Some(in_flight) = calls.by_id.get_mut(&id) else {
                return Action::Nothing;
            };
            if attempt.is_some_and(|a| a != in_flight.dispatch.attempt()) {
                return Action::Nothing;
            }
            let before = in_flight.dispatch.phase().clone();
            let held = in_flight.dispatch.upstream().cloned();
            let verdict = verdict_of(&event, in_flight);
            let action = in_flight.dispatch.step(now, event, &mut calls.budget);
            note_progress(in_flight, &action, now);
            let left = !matches!(before, Phase::Queued | Phase::Done)
                && matches!(in_flight.dispatch.phase(), Phase::Queued | Phase::Done);
            let suspect = std::mem::take(&mut in_flight.counted_suspect);
            let given = if left { held.map(|u| (u, suspect, verdict)) } else { None };
            if given.is_none() {
                in_flight.counted_suspect = suspect;
            }
            let strikes = in_flight.dispatch.take_lost_upstreams();
            in_flight.suspect |= !strikes.is_empty();
            let digest = in_flight.digest.clone();
            (action, (in_flight.call.service.clone(), given, strikes, digest))
        };
        let (service, given, strikes, digest) = settled;
        for upstream in strikes {
            let strike = UpstreamLoss { digest: digest.clone(), upstream };
            self.tables.quarantine.lock().record_loss(now, strike);
        }
        if let Some((upstream, suspect, verdict)) = given {
            let mut upstreams = self.tables.upstreams.lock();
            if let Some(fleet) = upstreams.fleets.get_mut(&service) {
                fleet.end_call(now, &upstream, suspect, verdict);
            }
        }
        self.settle(id, &service, &action);
        action
    }

    /// Tells admission what became of a call, and lets others in.
    fn settle(&self, id: CallId, service: &ServiceId, action: &Action) {
        let now = self.clock.now();
        match action {
            Action::Requeue { .. } => {
                if let Some(queues) = self.tables.admission.lock().get_mut(service) {
                    queues.requeue(now, id);
                }
            }
            Action::Deliver { finish_reason: Some(_), .. }
            | Action::Respond
            | Action::Replay
            | Action::Fail(_) => self.end(id, service, action),
            _ => return,
        }
        self.pump(service);
    }

    fn end(&self, id: CallId, service: &ServiceId, action: &Action) {
        let now = self.clock.now();
        let services = self.tables.services();
        let Some(in_flight) = self.tables.calls.lock().by_id.remove(&id) else {
            return;
        };
        if let Some(queues) = self.tables.admission.lock().get_mut(service)
            && !queues.cancel(id)
        {
            queues.finish(now, id, used(&in_flight));
        }
        let Some(services) = services else { return };
        if let Some(sample) = sample(&in_flight, action, services.rank_policy(in_flight.rank)) {
            self.tables.burn.lock().record(now, service, in_flight.rank, sample);
        }
    }

    /// Sends an event of another call's making to the task of a call.
    fn push(&self, id: CallId, event: Event) {
        let sender = self.tables.calls.lock().by_id.get(&id).map(|c| c.actions.clone());
        let action = self.event(id, event);
        if let Some(sender) = sender {
            let _ = sender.send(action);
        }
    }

    /// Serves waiting calls while there is room, and makes room for urgent ones.
    pub fn pump(&self, service: &str) {
        let now = self.clock.now();
        let mut blocked = Vec::new();
        let preempted = {
            let mut upstreams = self.tables.upstreams.lock();
            let mut admission = self.tables.admission.lock();
            let upstreams = &mut *upstreams;
            let Some(fleet) = upstreams.fleets.get_mut(service) else {
                return;
            };
            let Some(queues) = admission.get_mut(service) else {
                return;
            };
            queues.set_capacity(fleet.capacity());
            let mut calls = self.tables.calls.lock();
            for id in queues.admit(now) {
                let Some(in_flight) = calls.by_id.get_mut(&id) else {
                    queues.finish(now, id, 0);
                    continue;
                };
                if now < in_flight.rest_until {
                    blocked.push(id);
                    continue;
                }
                let wish = PickContext {
                    prefix_hash: prefix(&in_flight.call.payload),
                    tried: in_flight.dispatch.tried(),
                    suspect: in_flight.suspect,
                };
                match upstreams.picker.pick(fleet.upstreams(), &wish) {
                    Some(index) => {
                        fleet.start_call(index, in_flight.suspect);
                        in_flight.counted_suspect = in_flight.suspect;
                        let upstream = fleet.upstreams()[index].id.clone();
                        grant(&mut calls, id, upstream, now);
                    }
                    None if has_tried_all(fleet.upstreams(), in_flight) => {
                        in_flight.dispatch.clear_tried();
                        in_flight.rest_until = now + REST;
                        blocked.push(id);
                    }
                    None => blocked.push(id),
                }
            }
            for id in blocked {
                queues.requeue(now, id);
            }
            queues.preempt(now)
        };
        for id in preempted {
            self.push(id, Event::Preempted);
        }
    }

    /// Names the attempt that is about to be sent, with its target.
    pub fn attempt(&self, id: CallId) -> Next {
        let groups = self.tables.groups.lock();
        let mut calls = self.tables.calls.lock();
        let number = calls.rng.random::<u64>() >> 1;
        let now = self.clock.now();
        let Some(in_flight) = calls.by_id.get_mut(&id) else {
            return Next::Stale;
        };
        if *in_flight.dispatch.phase() != (Phase::Sending { body_released: false }) {
            return Next::Stale;
        }
        in_flight.dispatch.begin_attempt(number);
        in_flight.attempt_base = (in_flight.dispatch.delivered_chunks(), now);
        let target = in_flight.dispatch.upstream().and_then(|u| groups.targets.get(u));
        match target {
            Some(target) => Next::Go(Attempt { id: number, target: target.clone() }),
            None => Next::NoTarget(number),
        }
    }

    /// The last check before the body of an attempt goes.
    pub fn release(&self, id: CallId, attempt: AttemptId) -> bool {
        let groups = self.tables.groups.lock();
        let mut calls = self.tables.calls.lock();
        let now = self.clock.now();
        let Some(in_flight) = calls.by_id.get_mut(&id) else {
            return false;
        };
        let Some(upstream) = in_flight.dispatch.upstream() else {
            return false;
        };
        let serves = match groups.targets.get(upstream) {
            Some(Target { group: Some((group, epoch)), .. }) => {
                groups.evidence.check_group(group, *epoch, now).is_ok()
            }
            Some(Target { group: None, .. }) => {
                groups.evidence.check_instance(upstream, now).is_ok()
            }
            None => false,
        };
        let in_time = in_flight.send_until.is_none_or(|until| now <= until);
        serves && in_time && in_flight.dispatch.release_body(attempt)
    }

    /// Notes until when the record of a call permits a send.
    pub fn permit_until(&self, id: CallId, until: Instant) {
        if let Some(in_flight) = self.tables.calls.lock().by_id.get_mut(&id) {
            in_flight.send_until = Some(until);
        }
    }
}

/// Sends a call on its way; its task gets the action.
fn grant(calls: &mut Calls, id: CallId, upstream: String, now: Instant) {
    let Some(in_flight) = calls.by_id.get_mut(&id) else {
        return;
    };
    let action = in_flight.dispatch.step(now, Event::Admitted(upstream), &mut calls.budget);
    let _ = in_flight.actions.send(action);
}

fn has_tried_all(slots: &[UpstreamState], in_flight: &InFlight) -> bool {
    let tried = in_flight.dispatch.tried();
    slots.iter().filter(|s| s.open).all(|s| tried.contains(&s.id))
}

fn verdict_of(event: &Event, in_flight: &InFlight) -> AttemptResult {
    match event {
        Event::StreamItems(_) => AttemptResult::Succeeded { chunk_interval: pace(in_flight) },
        Event::ResponseReceived => AttemptResult::Succeeded { chunk_interval: None },
        Event::NotSent | Event::Lost => AttemptResult::Unreachable,
        Event::Rejected | Event::Stalled => AttemptResult::Failed,
        _ => AttemptResult::Inconclusive,
    }
}

fn note_progress(in_flight: &mut InFlight, action: &Action, now: Instant) {
    if let Action::Deliver { texts, .. } = action
        && !texts.is_empty()
    {
        in_flight.first.get_or_insert(now);
        in_flight.last = Some(now);
    }
}
