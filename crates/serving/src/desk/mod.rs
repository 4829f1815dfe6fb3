//! Carries a request from the front end to upstreams and its answer back.

mod job;
mod notes;
mod place;
mod send;

pub(crate) use self::{job::Job, place::Permit, send::verdict_of};

use {
    self::{job::digest_of, send::Sent},
    crate::{
        attempts::{Attempts, Next},
        borders::Upstreams,
        catalog::{Access, Account, Catalog, Route},
        directory::TargetKind,
        load::Verdict,
        refusal::{Reason, Refusal, retry_after},
        request::{Head, Reply, Request},
        tables::Tables,
    },
    bytes::Bytes,
    cadence::StatsdClient,
    rand::RngExt as _,
    std::{sync::Arc, time::Duration},
    turmerictack_model::{clock::Clock, digest::Digest, ids::DataCentre},
};

/// Upstreams that a request may end before it is refused.
const MAX_STRIKES: usize = 3;

/// Time before a caller that met a node without configuration should come again.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Least time before a refused caller should come again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// How often a request that waits for bytes checks whether its upstream stands still.
pub(crate) const STALL_CHECK: Duration = Duration::from_millis(150);

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
            if self.tables.quarantine.lock().loss_count(now, digest) >= MAX_STRIKES {
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
}
