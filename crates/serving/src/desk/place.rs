//! Places at upstreams, and the wait for one.

use {
    super::{Desk, Job, MIN_RETRY_AFTER},
    crate::{
        attempts::{Attempts, Placement},
        directory::{Target, TargetKind},
        load::Verdict,
        queue::{WaitTerms, give_up_at},
        refusal::{Reason, Refusal},
        tables::{Place, Tables},
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::sleep_until,
    turmerictack_model::clock::Clock,
};

/// Time that must have gone by for a request to count as one that came back.
const RETURNED_AFTER: Duration = Duration::from_millis(100);

/// A place at an upstream; dropping it gives the place back.
pub(crate) struct Permit {
    tables: Arc<Tables>,
    clock: Arc<dyn Clock>,
    kind: TargetKind,
    pub(crate) target: Arc<Target>,
    verdict: Verdict,
    since: Instant,
}

impl Permit {
    /// Takes in that the first of the answer is there.
    pub(super) fn answered(&self) {
        let took = self.clock.now().saturating_duration_since(self.since);
        self.tables.placing.lock().timings.answered(&self.kind, took);
    }

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

impl Desk {
    /// Takes a place at an upstream, after a wait if need be.
    pub(crate) async fn place(&self, job: &Job, attempts: &Attempts) -> Result<Permit, Refusal> {
        let now = self.clock.now();
        let elapsed = job.elapsed_before();
        let returned = elapsed > RETURNED_AFTER;
        let first_came = job.request.arrived.checked_sub(elapsed).unwrap_or(job.request.arrived);
        let first_answer = self.tables.placing.lock().timings.first_answer(&job.kind);
        let terms = WaitTerms {
            urgency: job.urgency(),
            returned,
            on_time_until: first_came + job.route.objective.saturating_sub(first_answer),
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

    pub(super) fn placement(&self, job: &Job, permit: &Permit) -> Placement {
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
            since: self.clock.now(),
        }
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

fn attempts_refusal(attempts: &Attempts, reason: Reason, wait: Duration) -> Refusal {
    if attempts.may_have_run() { Refusal::unknown(reason) } else { Refusal::not_run(reason, wait) }
}
