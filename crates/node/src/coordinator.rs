//! Admission, routing and retry decisions for calls, run on the worker pool over the node's tables.

use {
    crate::{
        call::Call,
        call_policy::{
            call_sample, policy_for, prefix_hash, request_digest, token_cost, tokens_used,
        },
        tables::{Calls, InFlight, Tables, Target, chunk_interval},
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

/// Value of `retry-after` for calls rejected because the node is full or draining.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Pause of a call that has failed on every open upstream, before they are tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Makes the decisions for all calls of a node; performs no I/O.
pub struct CallCoordinator {
    tables: Arc<Tables>,
    clock: Arc<dyn Clock>,
}

/// A call that has been accepted and queued for admission.
#[derive(Debug)]
pub struct AcceptedCall {
    /// Id of the call.
    pub id: CallId,
    /// Actions for the call's task, in order.
    pub actions: UnboundedReceiver<Action>,
    /// Time at which the call stops waiting for admission.
    pub queue_deadline: Instant,
    /// Effective rank.
    pub rank: Rank,
    /// Whether the call may be sent over a reused connection and sent again after a failure.
    pub idempotent: bool,
    /// Longest time that an upstream may send nothing.
    pub stall_timeout: Duration,
}

/// An attempt that is about to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Id of the attempt.
    pub id: AttemptId,
    /// Upstream that it is sent to.
    pub target: Target,
}

/// Whether an attempt may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendDecision {
    /// The attempt may open a connection.
    Send(Attempt),
    /// The upstream is no longer open; the attempt was not sent.
    NoTarget(AttemptId),
    /// The call has left the sending phase in the meantime.
    Stale,
}

impl CallCoordinator {
    /// Creates a coordinator over these tables.
    pub fn new(tables: Arc<Tables>, clock: Arc<dyn Clock>) -> Self {
        Self { tables, clock }
    }

    /// Accepts a call and queues it for admission.
    ///
    /// # Errors
    /// The reason for the rejection; the call was not run.
    pub fn accept(&self, call: Call) -> Result<AcceptedCall, Failure> {
        let reject = |code| Failure::not_run(code);
        if self.tables.is_draining() {
            return Err(reject(FailureCode::Draining).with_retry_after(RETRY_AFTER));
        }
        let services = self.tables.services().ok_or(reject(FailureCode::NoUpstream))?;
        let service = services.service(&call.service).ok_or(reject(FailureCode::NotFound))?.clone();
        self.check_dependencies(&services, &service)?;
        let digest = request_digest(&call);
        let suspect = self.check_quarantine(&services, &digest)?;
        let rank = call.rank.unwrap_or(service.default_rank);
        let rank_policy = services.rank_policy(rank);
        let call_policy = policy_for(&service, &call);
        let now = self.clock.now();
        let wait = call.deadline.unwrap_or(rank_policy.queue_wait);
        let options = CallOptions {
            idempotent: call_policy.idempotent,
            needs_record: call_policy.needs_record,
            queue_deadline: now + wait,
            requeue_wait: rank_policy.queue_wait,
        };
        let (actions_tx, actions) = mpsc::unbounded_channel();
        let preemptible = call_policy.idempotent && service.kind == ServiceKind::Model;
        let call = Arc::new(call);
        let id = self.insert(InFlight {
            call: Arc::clone(&call),
            rank,
            dispatch: Dispatch::new(options),
            digest,
            suspect,
            counted_as_suspect: false,
            send_deadline: None,
            arrived_at: now,
            first_chunk_at: None,
            last_chunk_at: None,
            attempt_start: (0, now),
            paused_until: now,
            actions: actions_tx,
        });
        let request = AdmissionRequest {
            call: id,
            caller: call.caller.clone(),
            weight: call.weight,
            rank,
            cost: token_cost(&call.payload),
            arrived_at: now,
            target_wait: rank_policy.first_token,
            deadline: options.queue_deadline,
            preemptible,
        };
        self.enqueue(&call.service, request)?;
        self.dispatch_waiting(&call.service);
        let stall_timeout = rank_policy.stall_timeout;
        let queue_deadline = options.queue_deadline;
        Ok(AcceptedCall {
            id,
            actions,
            queue_deadline,
            rank,
            idempotent: call_policy.idempotent,
            stall_timeout,
        })
    }

    fn insert(&self, in_flight: InFlight) -> CallId {
        let mut calls = self.tables.calls.lock();
        let id = calls.next_id;
        calls.next_id += 1;
        calls.retry_budget.deposit();
        calls.by_id.insert(id, in_flight);
        id
    }

    fn check_dependencies(&self, services: &Services, service: &Service) -> Result<(), Failure> {
        if service.depends_on.is_empty() {
            return Ok(());
        }
        let upstreams = self.tables.upstreams.lock();
        let is_up = |id: &str| upstreams.by_service.get(id).is_some_and(|u| u.is_up());
        match down_dependency(services, &service.id, &is_up) {
            Some(_) => {
                Err(Failure::not_run(FailureCode::DependencyDown).with_retry_after(RETRY_AFTER))
            }
            None => Ok(()),
        }
    }

    /// Returns whether the request was in flight when an upstream was lost; rejects one that has
    /// reached the quarantine threshold.
    fn check_quarantine(&self, services: &Services, digest: &str) -> Result<bool, Failure> {
        let losses = self.tables.quarantine.lock().loss_count(self.clock.now(), digest);
        if losses >= services.quarantine_after as usize {
            return Err(Failure::not_run(FailureCode::Quarantined));
        }
        Ok(losses > 0)
    }

    fn enqueue(&self, service: &ServiceId, request: AdmissionRequest) -> Result<(), Failure> {
        let id = request.call;
        let result = {
            let mut admission = self.tables.admission.lock();
            match admission.get_mut(service) {
                Some(queues) => queues.enqueue(self.clock.now(), request),
                None => EnqueueResult::Refused {
                    code: FailureCode::NoUpstream,
                    retry_after: RETRY_AFTER,
                },
            }
        };
        match result {
            EnqueueResult::Queued { evicted } => {
                if let Some(evicted) = evicted {
                    let failure =
                        Failure::not_run(FailureCode::Overloaded).with_retry_after(RETRY_AFTER);
                    self.push_event(evicted, Event::Refused(failure));
                }
                Ok(())
            }
            EnqueueResult::Refused { code, retry_after } => {
                let failure = Failure::not_run(code).with_retry_after(retry_after);
                self.handle_event(id, Event::Refused(failure));
                Err(failure)
            }
        }
    }

    /// Applies an event of one attempt; events of attempts that have ended are ignored.
    pub fn handle_attempt_event(&self, id: CallId, attempt: AttemptId, event: Event) -> Action {
        self.apply(id, Some(attempt), event)
    }

    /// Applies an event of a call and returns the next action.
    pub fn handle_event(&self, id: CallId, event: Event) -> Action {
        self.apply(id, None, event)
    }

    fn apply(&self, id: CallId, attempt: Option<AttemptId>, event: Event) -> Action {
        let now = self.clock.now();
        let (action, effects) = {
            let mut calls = self.tables.calls.lock();
            let calls = &mut *calls;
            let Some(in_flight) = calls.by_id.get_mut(&id) else {
                return Action::Nothing;
            };
            if attempt.is_some_and(|a| a != in_flight.dispatch.attempt()) {
                return Action::Nothing;
            }
            let before = in_flight.dispatch.phase().clone();
            let upstream = in_flight.dispatch.upstream().cloned();
            let result = attempt_result(&event, in_flight);
            let action = in_flight.dispatch.step(now, event, &mut calls.retry_budget);
            record_progress(in_flight, &action, now);
            let left_upstream = !matches!(before, Phase::Queued | Phase::Done)
                && matches!(in_flight.dispatch.phase(), Phase::Queued | Phase::Done);
            let suspect = std::mem::take(&mut in_flight.counted_as_suspect);
            let released =
                if left_upstream { upstream.map(|u| (u, suspect, result)) } else { None };
            if released.is_none() {
                in_flight.counted_as_suspect = suspect;
            }
            let losses = in_flight.dispatch.take_lost_upstreams();
            in_flight.suspect |= !losses.is_empty();
            let digest = in_flight.digest.clone();
            (action, (in_flight.call.service.clone(), released, losses, digest))
        };
        let (service, released, losses, digest) = effects;
        for upstream in losses {
            let loss = UpstreamLoss { digest: digest.clone(), upstream };
            self.tables.quarantine.lock().record_loss(now, loss);
        }
        if let Some((upstream, suspect, result)) = released {
            let mut upstreams = self.tables.upstreams.lock();
            if let Some(upstream_set) = upstreams.by_service.get_mut(&service) {
                upstream_set.end_call(now, &upstream, suspect, result);
            }
        }
        self.update_admission(id, &service, &action);
        action
    }

    /// Updates the admission queues after an action, and admits waiting calls.
    fn update_admission(&self, id: CallId, service: &ServiceId, action: &Action) {
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
            | Action::Fail(_) => self.finish_call(id, service, action),
            _ => return,
        }
        self.dispatch_waiting(service);
    }

    fn finish_call(&self, id: CallId, service: &ServiceId, action: &Action) {
        let now = self.clock.now();
        let services = self.tables.services();
        let Some(in_flight) = self.tables.calls.lock().by_id.remove(&id) else {
            return;
        };
        if let Some(queues) = self.tables.admission.lock().get_mut(service)
            && !queues.cancel(id)
        {
            queues.finish(now, id, tokens_used(&in_flight));
        }
        let Some(services) = services else { return };
        if let Some(sample) = call_sample(&in_flight, action, services.rank_policy(in_flight.rank))
        {
            self.tables.burn.lock().record(now, service, in_flight.rank, sample);
        }
    }

    /// Applies an event caused by another call and sends the action to the call's task.
    fn push_event(&self, id: CallId, event: Event) {
        let sender = self.tables.calls.lock().by_id.get(&id).map(|c| c.actions.clone());
        let action = self.handle_event(id, event);
        if let Some(sender) = sender {
            let _ = sender.send(action);
        }
    }

    /// Admits waiting calls while there is capacity, and preempts calls for more urgent ones.
    pub fn dispatch_waiting(&self, service: &str) {
        let now = self.clock.now();
        let mut blocked = Vec::new();
        let preempted = {
            let mut upstreams = self.tables.upstreams.lock();
            let mut admission = self.tables.admission.lock();
            let upstreams = &mut *upstreams;
            let Some(upstream_set) = upstreams.by_service.get_mut(service) else {
                return;
            };
            let Some(queues) = admission.get_mut(service) else {
                return;
            };
            queues.set_capacity(upstream_set.capacity());
            let mut calls = self.tables.calls.lock();
            for id in queues.admit(now) {
                let Some(in_flight) = calls.by_id.get_mut(&id) else {
                    queues.finish(now, id, 0);
                    continue;
                };
                if now < in_flight.paused_until {
                    blocked.push(id);
                    continue;
                }
                let pick_context = PickContext {
                    prefix_hash: prefix_hash(&in_flight.call.payload),
                    tried: in_flight.dispatch.tried(),
                    suspect: in_flight.suspect,
                };
                match upstreams.picker.pick(upstream_set.upstreams(), &pick_context) {
                    Some(index) => {
                        upstream_set.start_call(index, in_flight.suspect);
                        in_flight.counted_as_suspect = in_flight.suspect;
                        let upstream = upstream_set.upstreams()[index].id.clone();
                        assign_upstream(&mut calls, id, upstream, now);
                    }
                    None if has_tried_all(upstream_set.upstreams(), in_flight) => {
                        in_flight.dispatch.clear_tried();
                        in_flight.paused_until = now + RETRY_PAUSE;
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
            self.push_event(id, Event::Preempted);
        }
    }

    /// Starts the next attempt of a call: assigns its id and looks up its target.
    pub fn begin_attempt(&self, id: CallId) -> SendDecision {
        let groups = self.tables.groups.lock();
        let mut calls = self.tables.calls.lock();
        let attempt_id = calls.rng.random::<u64>() >> 1;
        let now = self.clock.now();
        let Some(in_flight) = calls.by_id.get_mut(&id) else {
            return SendDecision::Stale;
        };
        if *in_flight.dispatch.phase() != (Phase::Sending { body_released: false }) {
            return SendDecision::Stale;
        }
        in_flight.dispatch.begin_attempt(attempt_id);
        in_flight.attempt_start = (in_flight.dispatch.delivered_chunks(), now);
        let target = in_flight.dispatch.upstream().and_then(|u| groups.targets.get(u));
        match target {
            Some(target) => SendDecision::Send(Attempt { id: attempt_id, target: target.clone() }),
            None => SendDecision::NoTarget(attempt_id),
        }
    }

    /// Final check before the body of an attempt is sent: the upstream still serves the call, the
    /// record still permits it, and the attempt is current.
    pub fn release_body(&self, id: CallId, attempt: AttemptId) -> bool {
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
                groups.health.check_group(group, *epoch, now).is_ok()
            }
            Some(Target { group: None, .. }) => groups.health.check_instance(upstream, now).is_ok(),
            None => false,
        };
        let in_time = in_flight.send_deadline.is_none_or(|deadline| now <= deadline);
        serves && in_time && in_flight.dispatch.release_body(attempt)
    }

    /// Sets the time until which the record of a call permits sending.
    pub fn set_send_deadline(&self, id: CallId, deadline: Instant) {
        if let Some(in_flight) = self.tables.calls.lock().by_id.get_mut(&id) {
            in_flight.send_deadline = Some(deadline);
        }
    }
}

/// Assigns an upstream to an admitted call and sends the action to its task.
fn assign_upstream(calls: &mut Calls, id: CallId, upstream: String, now: Instant) {
    let Some(in_flight) = calls.by_id.get_mut(&id) else {
        return;
    };
    let action = in_flight.dispatch.step(now, Event::Admitted(upstream), &mut calls.retry_budget);
    let _ = in_flight.actions.send(action);
}

fn has_tried_all(upstreams: &[UpstreamState], in_flight: &InFlight) -> bool {
    let tried = in_flight.dispatch.tried();
    upstreams.iter().filter(|u| u.open).all(|u| tried.contains(&u.id))
}

fn attempt_result(event: &Event, in_flight: &InFlight) -> AttemptResult {
    match event {
        Event::StreamItems(_) => {
            AttemptResult::Succeeded { chunk_interval: chunk_interval(in_flight) }
        }
        Event::ResponseReceived => AttemptResult::Succeeded { chunk_interval: None },
        Event::NotSent | Event::Lost => AttemptResult::Unreachable,
        Event::Rejected | Event::Stalled => AttemptResult::Failed,
        _ => AttemptResult::Inconclusive,
    }
}

fn record_progress(in_flight: &mut InFlight, action: &Action, now: Instant) {
    if let Action::Deliver { texts, .. } = action
        && !texts.is_empty()
    {
        in_flight.first_chunk_at.get_or_insert(now);
        in_flight.last_chunk_at = Some(now);
    }
}
