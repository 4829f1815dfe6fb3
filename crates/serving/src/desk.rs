//! Carries a request from the front end to upstreams and its answer back.

use {
    crate::{
        attempts::{Attempts, Next, Placement},
        borders::{Answer, SendError, Upstreams},
        catalog::{Access, Account, Catalog, Route},
        directory::{Target, TargetKind},
        load::{FULL_PAUSE, UNREACHABLE_PAUSE, Verdict},
        queue::{WaitTerms, give_up_at},
        refusal::{Reason, Refusal, retry_after},
        request::{Dispatch, Head, Reply, Request},
        stream::{EventStream, Running},
        tables::{Place, Tables},
    },
    bytes::Bytes,
    cadence::{Counted as _, StatsdClient, Timed as _},
    http::StatusCode,
    rand::RngExt as _,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::{sleep_until, timeout},
    turmerictack_model::{
        clock::Clock,
        digest::{Digest, digest},
        ids::{DataCentre, EventPosition, InstanceId},
    },
    turmerictack_routing::quarantine::Strike,
    turmerictack_telemetry::logs,
};

/// Upstreams that a request may end before it is refused.
const MAX_STRIKES: usize = 3;

/// Time before a caller that met a node without configuration should come again.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Least time before a refused caller should come again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Time that must have gone by for a request to count as one that came back.
const RETURNED_AFTER: Duration = Duration::from_millis(100);

/// How often a request that waits for bytes checks whether its upstream stands still.
pub(crate) const STALL_CHECK: Duration = Duration::from_millis(150);

/// Engine priority of the most urgent rank, and the step to the next rank.
const PRIORITY_STEP: u8 = 2;

/// Last engine priority.
const LAST_PRIORITY: u8 = 9;

/// Serves requests.
pub struct Desk {
    /// Tables.
    pub tables: Arc<Tables>,
    /// The way to upstreams.
    pub upstreams: Arc<dyn Upstreams>,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Metrics.
    pub metrics: Arc<StatsdClient>,
    /// Data centre of this node.
    pub data_centre: DataCentre,
}

/// What was found out about a request before it is placed.
pub(crate) struct Job {
    pub(crate) request: Request,
    pub(crate) route: Route,
    pub(crate) account: Option<Account>,
    pub(crate) kind: TargetKind,
    pub(crate) deadline: Instant,
    digest: Option<Digest>,
}

/// A place at an upstream; dropping it gives the place back.
pub(crate) struct Permit {
    tables: Arc<Tables>,
    clock: Arc<dyn Clock>,
    kind: TargetKind,
    pub(crate) target: Arc<Target>,
    verdict: Verdict,
}

impl Permit {
    pub(crate) fn conclude(mut self, verdict: Verdict) {
        self.verdict = verdict;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.clock.now();
        self.tables.placing.lock().loads.give(now, self.target.key, self.verdict);
        self.tables.pump(now, &self.kind);
    }
}

/// What a send came to.
enum Sent {
    Answered(Answer),
    Failed(SendError),
    Stalled,
    Expired,
}

impl Desk {
    /// Serves a request.
    pub async fn serve(self: &Arc<Self>, request: Request) -> Reply {
        let job = match self.check(request) {
            Ok(job) => job,
            Err(refused) => {
                let (request, refusal) = *refused;
                self.note_refusal(&request, None, &refusal);
                return Reply::Refused(refusal);
            }
        };
        self.tables.repeats.lock().request(self.clock.now(), &job.kind.0);
        if job.route.is_repeatable() {
            return self.run(job).await;
        }
        // The caller's leaving must not break off work that can't be repeated.
        let desk = Arc::clone(self);
        match tokio::spawn(async move { desk.run(job).await }).await {
            Ok(reply) => reply,
            Err(_) => Reply::Refused(Refusal::unknown(Reason::UpstreamLost)),
        }
    }

    fn check(&self, request: Request) -> Result<Job, Box<(Request, Refusal)>> {
        let Some(catalog) = self.tables.catalog() else {
            let refusal = Refusal::not_run(Reason::NotConfigured, UNCONFIGURED_RETRY_AFTER);
            return Err(Box::new((request, refusal)));
        };
        match self.admit(&catalog, &request) {
            Ok((route, account, kind, digest)) => {
                let patience = request.patience.unwrap_or(route.timeout).min(route.timeout);
                let deadline = request.arrived + patience;
                Ok(Job { request, route, account, kind, deadline, digest })
            }
            Err(refusal) => Err(Box::new((request, refusal))),
        }
    }

    #[allow(clippy::type_complexity, reason = "the parts of a job, taken apart at once")]
    fn admit(
        &self,
        catalog: &Catalog,
        request: &Request,
    ) -> Result<(Route, Option<Account>, TargetKind, Option<Digest>), Refusal> {
        let route =
            catalog.route(&request.host, &request.path).ok_or(Refusal::invalid(Reason::NoRoute))?;
        let Access::Granted(account) = catalog.access(route, request.key.as_deref()) else {
            return Err(Refusal::invalid(Reason::UnknownKey));
        };
        let digest = self.known_digest(route, account.as_ref(), request);
        if let Some(digest) = &digest {
            let now = self.clock.now();
            if self.tables.quarantine.lock().strikes(now, digest) >= MAX_STRIKES {
                return Err(Refusal::not_run(Reason::Quarantined, MIN_RETRY_AFTER));
            }
        }
        let draw = self.tables.placing.lock().rng.random::<u32>();
        let service =
            route.service(draw).ok_or(Refusal::not_run(Reason::NoUpstream, MIN_RETRY_AFTER))?;
        let is_engine = catalog.services.get(service).is_some_and(|s| s.engine.is_some());
        let model = request.model.clone().filter(|_| is_engine);
        Ok((route.clone(), account, (service.clone(), model), digest))
    }

    /// Digest of a request, if any request has ended upstreams lately.
    fn known_digest(
        &self,
        route: &Route,
        account: Option<&Account>,
        request: &Request,
    ) -> Option<Digest> {
        let is_idle = self.tables.quarantine.lock().entries().next().is_none();
        (!is_idle).then(|| digest_of(route, account, request))
    }

    async fn run(self: &Arc<Self>, job: Job) -> Reply {
        let mut attempts = Attempts::new(job.route.is_repeatable(), job.route.max_attempts);
        let mut failure: Option<(Head, Bytes)> = None;
        loop {
            let permit = match self.place(&job, &attempts).await {
                Ok(permit) => permit,
                Err(refusal) => return self.give_up(&job, &attempts, failure, refusal),
            };
            attempts.sending(self.placement(&job, &permit));
            let target = Arc::clone(&permit.target);
            let sent = self.send(&job, &target, &attempts, job.request.resume_after).await;
            let next = match sent {
                Sent::Answered(answer) if answer.success && job.route.streams => {
                    match self.begin_stream(&job, answer, permit, &mut attempts).await {
                        Ok(reply) => return reply,
                        Err(next) => next,
                    }
                }
                Sent::Answered(answer) => {
                    match self.take_whole(&job, answer, permit, &mut attempts, &mut failure).await {
                        Ok(reply) => return reply,
                        Err(next) => next,
                    }
                }
                Sent::Failed(error) => {
                    self.note_failed_send(&job, &target, &error);
                    permit.conclude(verdict_of(&error));
                    attempts.failed(&target.instance, &error)
                }
                Sent::Stalled => {
                    permit.conclude(Verdict::Neutral);
                    self.after_stall(&mut attempts, &target)
                }
                Sent::Expired => {
                    permit.conclude(Verdict::Neutral);
                    attempts.ran(&target.instance);
                    Next::GiveUp(attempts.refusal(Reason::Deadline))
                }
            };
            match next {
                Next::AgainPaid => {}
                Next::Again if self.take_repeat(&job) => {}
                Next::Again => {
                    let refusal = attempts.refusal(Reason::RepeatBudget);
                    return self.give_up(&job, &attempts, failure, refusal);
                }
                Next::GiveUp(refusal) => return self.give_up(&job, &attempts, failure, refusal),
            }
        }
    }

    fn give_up(
        &self,
        job: &Job,
        attempts: &Attempts,
        failure: Option<(Head, Bytes)>,
        refusal: Refusal,
    ) -> Reply {
        if let Some((head, body)) = failure {
            self.note_served(job, attempts, head.status);
            return Reply::Whole { head, body };
        }
        let now = self.clock.now();
        let refusal = Refusal {
            retry_after: refusal
                .retry_after
                .map(|wanted| retry_after(wanted.max(MIN_RETRY_AFTER), now, job.deadline)),
            ..refusal
        };
        self.note_refusal(&job.request, Some((job, attempts)), &refusal);
        Reply::Refused(refusal)
    }

    /// Whether the budget of repeats allows one more send.
    pub(crate) fn take_repeat(&self, job: &Job) -> bool {
        let now = self.clock.now();
        let nodes = self.tables.members.lock().live_count(now);
        self.tables.repeats.lock().take(now, &job.kind.0, nodes)
    }

    /// Takes a place at an upstream, after a wait if need be.
    pub(crate) async fn place(&self, job: &Job, attempts: &Attempts) -> Result<Permit, Refusal> {
        let now = self.clock.now();
        let elapsed = job.elapsed_before();
        let returned = elapsed > RETURNED_AFTER;
        let first_came = job.request.arrived.checked_sub(elapsed).unwrap_or(job.request.arrived);
        let terms = WaitTerms {
            urgency: job.urgency(),
            returned,
            on_time_until: first_came + job.route.objective,
            give_up_at: give_up_at(now, job.deadline, returned),
        };
        let tried = attempts.tried();
        let placed = self.tables.place(now, &job.kind, terms, tried, &self.data_centre);
        let (ticket, granted) = match placed {
            Place::Granted(target) => return Ok(self.permit(job, target)),
            Place::Waiting(ticket, granted) => (ticket, granted),
            Place::TooLong(wait) => {
                return Err(attempts_refusal(attempts, Reason::PredictedWait, wait));
            }
            Place::None => {
                let reason =
                    if tried.is_empty() { Reason::QueueFull } else { Reason::UpstreamsRefused };
                return Err(attempts_refusal(attempts, reason, MIN_RETRY_AFTER));
            }
        };
        let waiting = Waiting { desk: self, kind: &job.kind, ticket };
        let granted = tokio::select! {
            granted = granted => granted.ok(),
            () = sleep_until(terms.give_up_at.into()) => None,
        };
        drop(waiting);
        match granted {
            Some(target) => Ok(self.permit(job, target)),
            None => {
                let wait = terms.give_up_at.saturating_duration_since(now);
                Err(attempts_refusal(attempts, Reason::QueueTimeout, wait))
            }
        }
    }

    fn placement(&self, job: &Job, permit: &Permit) -> Placement {
        Placement {
            instance: permit.target.instance.clone(),
            load: self.tables.placing.lock().loads.in_flight(permit.target.key),
            waited: self.clock.now().saturating_duration_since(job.request.arrived),
        }
    }

    fn permit(&self, job: &Job, target: Arc<Target>) -> Permit {
        Permit {
            tables: Arc::clone(&self.tables),
            clock: Arc::clone(&self.clock),
            kind: job.kind.clone(),
            target,
            verdict: Verdict::Neutral,
        }
    }

    /// Sends a request and waits for the head of its answer.
    async fn send(
        &self,
        job: &Job,
        target: &Target,
        attempts: &Attempts,
        resume_after: Option<EventPosition>,
    ) -> Sent {
        let dispatch = job.dispatch(resume_after);
        let mut sending = self.upstreams.send(&target.instance, &target.address, dispatch);
        let may_move = job.route.streams && job.route.is_repeatable();
        loop {
            let left = job.deadline.saturating_duration_since(self.clock.now());
            if left.is_zero() {
                return Sent::Expired;
            }
            match timeout(left.min(STALL_CHECK), &mut sending).await {
                Ok(Ok(answer)) => return Sent::Answered(answer),
                Ok(Err(error)) => return Sent::Failed(error),
                Err(_) if may_move && self.may_leave_stalled(job, target, attempts) => {
                    return Sent::Stalled;
                }
                Err(_) => {}
            }
        }
    }

    /// Whether a request should leave an upstream whose streams stand still; takes a repeat.
    ///
    /// Without another upstream or a repeat it is better to go on waiting.
    pub(crate) fn may_leave_stalled(
        &self,
        job: &Job,
        target: &Target,
        attempts: &Attempts,
    ) -> bool {
        let now = self.clock.now();
        let leaves = attempts.may_leave()
            && self.tables.should_leave(now, &job.kind, target, attempts.tried())
            && self.take_repeat(job);
        if leaves {
            let _ = self.metrics.count("streams.stalled", 1);
            logs::event("upstream_stalled")
                .with("request", &job.request.id)
                .with("upstream", &target.instance)
                .with("group", target.group.as_deref().unwrap_or("-"))
                .with("waited_ms", self.age_ms(job))
                .info();
        }
        leaves
    }

    fn after_stall(&self, attempts: &mut Attempts, target: &Target) -> Next {
        attempts.ran(&target.instance);
        Next::AgainPaid
    }

    /// Sends a stream that broke off to another upstream, from its last event on.
    pub(crate) async fn resume(
        &self,
        job: &Job,
        attempts: &mut Attempts,
        last: Option<EventPosition>,
        is_paid: bool,
    ) -> Option<Running> {
        let mut is_paid = is_paid;
        while attempts.may_resume() && (is_paid || self.take_repeat(job)) {
            is_paid = false;
            let permit = self.place(job, attempts).await.ok()?;
            attempts.sending(self.placement(job, &permit));
            let target = Arc::clone(&permit.target);
            match self.send(job, &target, attempts, last).await {
                Sent::Answered(answer) if answer.success => {
                    return Some(Running { permit, body: answer.body });
                }
                Sent::Answered(_) => {
                    permit.conclude(Verdict::Failed);
                    attempts.ran(&target.instance);
                }
                Sent::Failed(error) => {
                    self.note_failed_send(job, &target, &error);
                    permit.conclude(verdict_of(&error));
                    attempts.failed(&target.instance, &error);
                }
                Sent::Stalled => {
                    permit.conclude(Verdict::Neutral);
                    attempts.ran(&target.instance);
                    is_paid = true;
                }
                Sent::Expired => return None,
            }
        }
        None
    }

    /// Waits for the first event, before which the caller is told nothing.
    async fn begin_stream(
        self: &Arc<Self>,
        job: &Job,
        answer: Answer,
        permit: Permit,
        attempts: &mut Attempts,
    ) -> Result<Reply, Next> {
        let target = Arc::clone(&permit.target);
        let Answer { head, mut body, .. } = answer;
        loop {
            let left = job.deadline.saturating_duration_since(self.clock.now());
            if left.is_zero() {
                attempts.ran(&target.instance);
                return Err(Next::GiveUp(attempts.refusal(Reason::Deadline)));
            }
            match timeout(left.min(STALL_CHECK), body.events()).await {
                Ok(Ok(Some(first))) => {
                    let now = self.clock.now();
                    self.tables.placing.lock().loads.moved(now, target.key, None);
                    self.note_first_event(job, attempts, now);
                    let running = Running { permit, body };
                    let events = EventStream::begin(
                        Arc::clone(self),
                        job.clone_for_stream(),
                        attempts.clone(),
                        running,
                        first,
                    );
                    return Ok(Reply::Stream { head, events: Box::new(events) });
                }
                Ok(Ok(None)) => {
                    permit.conclude(Verdict::Served);
                    self.note_served(job, attempts, head.status);
                    return Ok(Reply::Whole { head, body: Bytes::new() });
                }
                Ok(Err(error)) => {
                    self.note_failed_send(job, &target, &error);
                    permit.conclude(verdict_of(&error));
                    return Err(attempts.failed(&target.instance, &error));
                }
                Err(_)
                    if job.route.is_repeatable()
                        && self.may_leave_stalled(job, &target, attempts) =>
                {
                    permit.conclude(Verdict::Neutral);
                    return Err(self.after_stall(attempts, &target));
                }
                Err(_) => {}
            }
        }
    }

    /// Reads a whole answer; a failure of the upstream is kept in case no other does better.
    async fn take_whole(
        &self,
        job: &Job,
        answer: Answer,
        permit: Permit,
        attempts: &mut Attempts,
        failure: &mut Option<(Head, Bytes)>,
    ) -> Result<Reply, Next> {
        let target = Arc::clone(&permit.target);
        let Answer { head, success, mut body } = answer;
        let left = job.deadline.saturating_duration_since(self.clock.now());
        let body = match timeout(left, body.rest()).await {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => {
                self.note_failed_send(job, &target, &error);
                permit.conclude(verdict_of(&error));
                return Err(attempts.failed(&target.instance, &error));
            }
            Err(_) => {
                attempts.ran(&target.instance);
                return Err(Next::GiveUp(attempts.refusal(Reason::Deadline)));
            }
        };
        let is_own_failure = head.status.is_server_error();
        permit.conclude(if is_own_failure { Verdict::Failed } else { Verdict::Served });
        if success || !is_own_failure || !job.route.is_repeatable() {
            self.note_served(job, attempts, head.status);
            return Ok(Reply::Whole { head, body });
        }
        *failure = Some((head, body));
        attempts.ran(&target.instance);
        let again = attempts.may_resume();
        Err(if again { Next::Again } else { Next::GiveUp(attempts.refusal(Reason::AttemptsUsed)) })
    }

    /// Remembers that an upstream broke off while it ran a request.
    pub(crate) fn strike(&self, job: &Job, target: &Target) {
        let digest = job
            .digest
            .clone()
            .unwrap_or_else(|| digest_of(&job.route, job.account.as_ref(), &job.request));
        let strike = Strike { digest, upstream: target.instance.clone() };
        self.tables.quarantine.lock().strike(self.clock.now(), strike);
    }

    pub(crate) fn note_failed_send(&self, job: &Job, target: &Target, error: &SendError) {
        if *error == SendError::Broken {
            self.strike(job, target);
        }
        if *error == SendError::NotSent {
            self.upstreams.forget(&target.instance);
        }
        if let Some(lost) = lost_instance(error) {
            let now = self.clock.now();
            self.tables.placing.lock().loads.heard_silent(now, [lost.clone()]);
        }
        let _ = self.metrics.count("sends.failed", 1);
        logs::event("send_failed")
            .with("request", &job.request.id)
            .with("upstream", &target.instance)
            .with("group", target.group.as_deref().unwrap_or("-"))
            .with("cause", error)
            .with("waited_ms", self.age_ms(job))
            .info();
    }

    fn note_first_event(&self, job: &Job, attempts: &mut Attempts, now: Instant) {
        let first = now.saturating_duration_since(job.request.arrived);
        attempts.began(first);
        let _ = self.metrics.time("requests.first_event", first);
    }

    pub(crate) fn note_served(&self, job: &Job, attempts: &Attempts, status: StatusCode) {
        let now = self.clock.now();
        let took = now.saturating_duration_since(job.request.arrived);
        let _ = self.metrics.time("requests.served", took);
        let mut event = logs::event("request_served")
            .with("request", &job.request.id)
            .with("route", &job.route.id)
            .with("status", status.as_u16())
            .with("sends", attempts.sends())
            .with("ms", took.as_millis());
        if let Some(first) = attempts.first_event() {
            event = event.with("first_ms", first.as_millis());
        }
        if let Some(placement) = attempts.placement() {
            event = event
                .with("upstream", &placement.instance)
                .with("load", placement.load)
                .with("placed_ms", placement.waited.as_millis());
        }
        event.info();
    }

    fn note_refusal(&self, request: &Request, job: Option<(&Job, &Attempts)>, refusal: &Refusal) {
        let reason = refusal.reason.to_string();
        let _ = self
            .metrics
            .count_with_tags("requests.refused", 1)
            .with_tag("reason", &reason)
            .try_send();
        let waited = self.clock.now().saturating_duration_since(request.arrived);
        let mut event = logs::event("request_refused")
            .with("request", &request.id)
            .with("reason", reason)
            .with("promise", refusal.promise)
            .with("waited_ms", waited.as_millis())
            .with("retry_after_ms", refusal.retry_after.map_or(0, |t| t.as_millis()));
        if let Some((job, attempts)) = job {
            event = event
                .with("route", &job.route.id)
                .with("sends", attempts.sends())
                .with("tried", attempts.tried().join(","));
        }
        event.info();
    }

    fn age_ms(&self, job: &Job) -> u128 {
        self.clock.now().saturating_duration_since(job.request.arrived).as_millis()
    }
}

/// Leaves the queue when a caller goes away while it waits.
struct Waiting<'a> {
    desk: &'a Desk,
    kind: &'a TargetKind,
    ticket: u64,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.desk.tables.withdraw(self.kind, self.ticket);
    }
}

impl Job {
    fn urgency(&self) -> u8 {
        self.account.as_ref().and_then(|a| a.urgency).unwrap_or(self.route.urgency)
    }

    /// Time since the caller asked first: one that comes back has less patience left than the
    /// route allows.
    fn elapsed_before(&self) -> Duration {
        let timeout = self.route.timeout;
        timeout.saturating_sub(self.request.patience.unwrap_or(timeout))
    }

    fn dispatch(&self, resume_after: Option<EventPosition>) -> Dispatch {
        let priority = self.urgency().saturating_mul(PRIORITY_STEP).min(LAST_PRIORITY);
        Dispatch {
            request: self.request.id.clone(),
            service: self.kind.0.clone(),
            account: self.account.as_ref().map(|a| a.id.clone()),
            deadline: self.deadline,
            priority: self.kind.1.as_ref().map(|_| priority),
            resume_after,
            reuse_connection: self.route.is_repeatable(),
            streams: self.route.streams,
            parcel: Arc::clone(&self.request.parcel),
        }
    }

    fn clone_for_stream(&self) -> Self {
        Self {
            request: self.request.clone(),
            route: self.route.clone(),
            account: self.account.clone(),
            kind: self.kind.clone(),
            deadline: self.deadline,
            digest: self.digest.clone(),
        }
    }
}

fn digest_of(route: &Route, account: Option<&Account>, request: &Request) -> Digest {
    let account = account.map_or("", |a| a.id.as_str());
    let parcel = &request.parcel;
    digest(&[route.id.as_bytes(), account.as_bytes(), parcel.target.as_bytes(), &parcel.body])
}

fn attempts_refusal(attempts: &Attempts, reason: Reason, wait: Duration) -> Refusal {
    if attempts.may_have_run() { Refusal::unknown(reason) } else { Refusal::not_run(reason, wait) }
}

/// What a failed send says about its upstream.
pub(crate) fn verdict_of(error: &SendError) -> Verdict {
    match error {
        SendError::NotSent | SendError::GroupBroken(_) | SendError::WrongInstance => {
            Verdict::Avoid(UNREACHABLE_PAUSE)
        }
        SendError::Full => Verdict::Avoid(FULL_PAUSE),
        SendError::Broken => Verdict::Failed,
        SendError::Garbled => Verdict::Neutral,
    }
}

/// Instances that a failed send names as lost.
fn lost_instance(error: &SendError) -> Option<&InstanceId> {
    match error {
        SendError::GroupBroken(lost) => lost.as_ref(),
        _ => None,
    }
}
