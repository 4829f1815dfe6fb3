//! Requests that crash upstreams: evidence of crashes, and the quarantine.

use {
    super::{Proxy, RequestContext},
    crate::{
        attempts::Attempts,
        config::{Account, Route},
        directory::Upstream,
        request::Request,
    },
    std::{iter, sync::Arc, time::Duration},
    tokio::time::sleep,
    turmerictack_model::{
        digest::hash64,
        ids::{Address, PromptPartId, PromptParts},
    },
    turmerictack_routing::crash_records::{Suspect, UpstreamRun},
    turmerictack_telemetry::logs,
};

/// Pauses between the checks whether an upstream whose connection was lost refuses connections; the
/// last one is repeated while a loss is kept.
const CRASH_CHECK_DELAYS: [Duration; 3] =
    [Duration::from_millis(250), Duration::from_millis(750), Duration::from_secs(2)];

impl Proxy {
    /// Whether a request, or a part of its prompt, is quarantined.
    pub(super) fn is_quarantined(
        &self,
        route: &Route,
        account: Option<&Account>,
        request: &Request,
    ) -> bool {
        let has_quarantined_requests = {
            let crashes = self.tables.crashes.lock();
            if crashes.prompts.is_quarantined(&request.prompt_parts) {
                return true;
            }
            !crashes.requests.quarantined().is_empty()
        };
        has_quarantined_requests && {
            let parts = [request_part(route, account, request)].into();
            self.tables.crashes.lock().requests.is_quarantined(&parts)
        }
    }

    /// Records that an upstream has answered a prompt beyond the first events.
    pub(crate) fn record_answer(&self, context: &RequestContext, attempts: &mut Attempts) {
        if attempts.is_answered() {
            return;
        }
        attempts.record_answer();
        let (now, parts) = (self.clock.now(), &context.request.prompt_parts);
        self.tables.update_crashes(|crashes| crashes.prompts.record_answer(now, parts));
    }

    /// Records that an upstream has answered a request completely.
    pub(super) fn record_complete_answer(&self, context: &RequestContext) {
        if !self.tables.crashes.lock().requests.has_suspects() {
            return;
        }
        let part = context.request_part();
        self.tables.update_crashes(|crashes| crashes.record_answer(self.clock.now(), part));
    }

    /// Records that the connection to an upstream was lost during a request.
    ///
    /// It counts against the request only if the upstream has crashed, at once or soon after: its
    /// address then refuses connections until the process is back.
    pub(super) async fn record_upstream_loss(
        self: &Arc<Self>,
        context: &RequestContext,
        attempts: &Attempts,
        upstream: &Upstream,
    ) {
        let prompt = if attempts.is_answered() {
            PromptParts::new()
        } else {
            context.request.prompt_parts.clone()
        };
        let suspect = Suspect { prompt, request: context.request_part() };
        let run = run_of(upstream);
        let now = self.clock.now();
        let (is_first, is_known) = {
            let mut crashes = self.tables.crashes.lock();
            (crashes.record_loss(now, run.clone(), suspect), crashes.is_known_crash(&run))
        };
        if is_known {
            self.tables.update_crashes(|crashes| crashes.record_crash(now, &run));
        } else if !self.detect_crash(&run, &upstream.address).await && is_first {
            self.watch_for_crash(run, upstream.address.clone());
        }
    }

    /// Looks again whether an upstream has crashed that has lost a connection before.
    pub(super) async fn check_earlier_loss(&self, upstream: &Upstream) {
        let run = run_of(upstream);
        if self.tables.crashes.lock().has_loss(&run) {
            self.detect_crash(&run, &upstream.address).await;
        }
    }

    async fn detect_crash(&self, run: &UpstreamRun, address: &Address) -> bool {
        let has_crashed = self.upstream_client.refuses_connections(&run.upstream, address).await;
        if has_crashed {
            logs::event("upstream_crashed")
                .with("upstream", &run.upstream)
                .with("started_ms", run.started_ms)
                .info();
            self.tables.update_crashes(|crashes| crashes.record_crash(self.clock.now(), run));
        }
        has_crashed
    }

    /// Looks for a while whether an upstream crashes after it has lost a connection.
    fn watch_for_crash(self: &Arc<Self>, run: UpstreamRun, address: Address) {
        let proxy = Arc::clone(self);
        tokio::spawn(async move {
            let [.., last_delay] = CRASH_CHECK_DELAYS;
            for delay in CRASH_CHECK_DELAYS.into_iter().chain(iter::repeat(last_delay)) {
                sleep(delay).await;
                let is_open = proxy.tables.crashes.lock().has_loss(&run);
                if !is_open || proxy.detect_crash(&run, &address).await {
                    return;
                }
            }
        });
    }
}

/// Hash by which the quarantine identifies a whole request.
pub(super) fn request_part(
    route: &Route,
    account: Option<&Account>,
    request: &Request,
) -> PromptPartId {
    let account = account.map_or("", |a| a.id.as_str());
    let raw = &request.raw;
    hash64(&[route.id.as_bytes(), account.as_bytes(), raw.path_and_query.as_bytes(), &raw.body])
}

fn run_of(upstream: &Upstream) -> UpstreamRun {
    UpstreamRun { upstream: upstream.instance.clone(), started_ms: upstream.started_ms }
}
