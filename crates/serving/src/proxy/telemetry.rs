//! Logs and metrics of requests.

use {
    super::{Proxy, RequestContext},
    crate::{
        attempts::Attempts,
        config_state::KeyFreshness,
        directory::Upstream,
        in_flight::Stage,
        interfaces::SendError,
        rejection::{Reason, Rejection},
        request::Request,
        tables::format_parts,
    },
    cadence::{Counted as _, Timed as _},
    http::StatusCode,
    std::{sync::Arc, time::Instant},
    turmerictack_model::ids::InstanceId,
    turmerictack_telemetry::logs,
};

impl Proxy {
    pub(crate) async fn record_send_failure(
        self: &Arc<Self>,
        context: &RequestContext,
        attempts: &Attempts,
        upstream: &Upstream,
        error: &SendError,
    ) {
        match error {
            SendError::ConnectionLost => {
                self.record_upstream_loss(context, attempts, upstream).await;
            }
            SendError::NotSent => {
                self.check_earlier_loss(upstream).await;
                self.upstream_client.close_idle_connections(&upstream.instance);
            }
            _ => {}
        }
        if let Some(lost) = lost_instance(error) {
            let now = self.clock.now();
            self.tables.balancer.lock().loads.record_suspects(now, [lost.clone()]);
        }
        let _ = self.metrics.count("sends.failed", 1);
        logs::event("send_failed")
            .with("request", &context.request.id)
            .with("upstream", &upstream.instance)
            .with("group", upstream.group.as_deref().unwrap_or("-"))
            .with("cause", error)
            .with("answered", attempts.is_answered())
            .with("prompt_parts", format_parts(&context.request.prompt_parts))
            .with("elapsed_ms", self.elapsed_ms(context))
            .info();
    }

    pub(super) fn record_first_event(
        &self,
        context: &RequestContext,
        attempts: &mut Attempts,
        now: Instant,
    ) {
        let first = now.saturating_duration_since(context.request.received_at);
        attempts.record_first_event(first);
        let _ = self.metrics.time("requests.first_event", first);
    }

    pub(crate) fn record_served(
        &self,
        context: &RequestContext,
        attempts: &Attempts,
        status: StatusCode,
    ) {
        self.record_complete_answer(context);
        let now = self.clock.now();
        let elapsed = now.saturating_duration_since(context.request.received_at);
        let _ = self.metrics.time("requests.served", elapsed);
        let mut event = logs::event("request_served")
            .with("request", &context.request.id)
            .with("route", &context.route.id)
            .with("status", status.as_u16())
            .with("sends", attempts.sends())
            .with("duration_ms", elapsed.as_millis());
        if let Some(first) = attempts.first_event() {
            event = event.with("first_event_ms", first.as_millis());
        }
        if let Some(last_send) = attempts.last_send() {
            event = event
                .with("upstream", &last_send.instance)
                .with("in_flight", last_send.in_flight)
                .with("sent_after_ms", last_send.elapsed.as_millis())
                .with("prior_elapsed_ms", context.prior_elapsed().as_millis());
        }
        event.info();
    }

    /// Records that a request is not sent, or not sent again, since its client has left.
    pub(super) fn record_abandoned(&self, context: &RequestContext, attempts: &Attempts) {
        let _ = self.metrics.count("requests.abandoned", 1);
        logs::event("request_abandoned")
            .with("request", &context.request.id)
            .with("route", &context.route.id)
            .with("sends", attempts.sends())
            .with("elapsed_ms", self.elapsed_ms(context))
            .info();
    }

    pub(super) fn record_rejection(
        &self,
        request: &Request,
        context: Option<(&RequestContext, &Attempts)>,
        rejection: &Rejection,
    ) {
        let reason = rejection.reason.to_string();
        let _ = self
            .metrics
            .count_with_tags("requests.refused", 1)
            .with_tag("reason", &reason)
            .try_send();
        let elapsed = self.clock.now().saturating_duration_since(request.received_at);
        let mut event = logs::event("request_rejected")
            .with("request", &request.id)
            .with("reason", reason)
            .with("execution", rejection.execution)
            .with("elapsed_ms", elapsed.as_millis())
            .with("retry_after_ms", rejection.retry_after.map_or(0, |t| t.as_millis()));
        if rejection.reason == Reason::KeysOutdated
            && let KeyFreshness::Outdated { age } = self.tables.key_freshness(self.clock.now())
        {
            let age_ms = age.map_or("none".to_owned(), |age| age.as_millis().to_string());
            event = event.with("config_age_ms", age_ms);
        }
        if let Some((context, attempts)) = context {
            event = event
                .with("route", &context.route.id)
                .with("sends", attempts.sends())
                .with("failed_upstreams", attempts.failed_upstreams().join(","));
        }
        event.info();
    }

    /// Logs the requests that end incomplete because the node stops; returns how many there are.
    pub fn record_cut_requests(&self) -> usize {
        let now = self.clock.now();
        let in_flight = self.tables.in_flight.lock();
        for request in in_flight.iter() {
            let age = now.saturating_duration_since(request.received_at);
            logs::event("request_cut")
                .with("request", &request.request)
                .with("route", &request.route)
                .with("stage", request.stage)
                .with("head_sent", request.stage == Stage::Streaming)
                .with("last_event", request.last_event.unwrap_or(0))
                .with("upstream", request.upstream.as_deref().unwrap_or("-"))
                .with("elapsed_ms", age.as_millis())
                .warn();
        }
        in_flight.iter().count()
    }

    pub(super) fn elapsed_ms(&self, context: &RequestContext) -> u128 {
        self.clock.now().saturating_duration_since(context.request.received_at).as_millis()
    }
}

/// Instance that an upstream reported as lost from its group.
fn lost_instance(error: &SendError) -> Option<&InstanceId> {
    match error {
        SendError::GroupBroken(lost) => lost.as_ref(),
        _ => None,
    }
}
