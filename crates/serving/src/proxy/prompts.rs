//! Observations about prompts that crash engines.

use {
    super::{Proxy, RequestContext},
    crate::{attempts::Attempts, directory::Upstream, request::Request},
    turmerictack_model::digest::hash64,
    turmerictack_routing::prompt_quarantine::CrashKey,
};

impl Proxy {
    /// Whether the prompt of a request is quarantined.
    pub(super) fn is_prompt_quarantined(&self, request: &Request) -> bool {
        self.tables.prompt_quarantine.lock().is_quarantined(&request.prompt_parts)
    }

    /// Records that an upstream has answered a request beyond the first events.
    pub(crate) fn record_answer(&self, context: &RequestContext, attempts: &mut Attempts) {
        if attempts.is_answered() {
            return;
        }
        attempts.record_answer();
        let (now, parts) = (self.clock.now(), &context.request.prompt_parts);
        self.tables.update_prompt_quarantine(|q| q.record_answer(now, parts));
    }

    /// Records the prompt of a request whose connection was lost before it was answered, if the
    /// upstream has crashed.
    ///
    /// A connection may be lost for other reasons. After a crash the address refuses connections
    /// until the process is back.
    pub(super) async fn record_crash(&self, context: &RequestContext, upstream: &Upstream) {
        let parts = &context.request.prompt_parts;
        if parts.is_empty() {
            return;
        }
        let crash = crash_key(upstream);
        let is_known = self.tables.prompt_quarantine.lock().is_known(crash);
        if is_known || self.upstream_client.refuses_connections(&upstream.address).await {
            let now = self.clock.now();
            self.tables.update_prompt_quarantine(|q| q.record_crash(now, crash, parts));
        }
    }
}

fn crash_key(upstream: &Upstream) -> CrashKey {
    hash64(&[upstream.instance.as_bytes(), &upstream.started_ms.to_be_bytes()])
}
