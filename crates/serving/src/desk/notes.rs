//! What is logged, counted and remembered of requests.

use {
    super::{Desk, Job, job::digest_of},
    crate::{
        attempts::Attempts, borders::SendError, directory::Target, refusal::Refusal,
        request::Request,
    },
    cadence::{Counted as _, Timed as _},
    http::StatusCode,
    std::time::Instant,
    turmerictack_model::ids::InstanceId,
    turmerictack_routing::quarantine::UpstreamLoss,
    turmerictack_telemetry::logs,
};

impl Desk {
    /// Remembers that an upstream broke off while it ran a request.
    pub(crate) fn strike(&self, job: &Job, target: &Target) {
        let digest = job
            .digest
            .clone()
            .unwrap_or_else(|| digest_of(&job.route, job.account.as_ref(), &job.request));
        let strike = UpstreamLoss { digest, upstream: target.instance.clone() };
        self.tables.quarantine.lock().record_loss(self.clock.now(), strike);
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

    pub(super) fn note_first_event(&self, job: &Job, attempts: &mut Attempts, now: Instant) {
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
                .with("placed_ms", placement.waited.as_millis())
                .with("before_ms", job.elapsed_before().as_millis());
        }
        event.info();
    }

    pub(super) fn note_refusal(
        &self,
        request: &Request,
        job: Option<(&Job, &Attempts)>,
        refusal: &Refusal,
    ) {
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

    pub(super) fn age_ms(&self, job: &Job) -> u128 {
        self.clock.now().saturating_duration_since(job.request.arrived).as_millis()
    }
}

/// Instances that a failed send names as lost.
fn lost_instance(error: &SendError) -> Option<&InstanceId> {
    match error {
        SendError::GroupBroken(lost) => lost.as_ref(),
        _ => None,
    }
}
