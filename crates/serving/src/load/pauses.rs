//! Pauses that upstreams ask for.

use {
    super::LoadTracker,
    crate::directory::Upstream,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    turmerictack_model::ids::InstanceId,
};

/// Longest pause that an upstream may ask for.
const MAX_PAUSE: Duration = Duration::from_secs(3_600);

impl LoadTracker {
    /// End of the pause that this run of an upstream asked for.
    pub(super) fn paused_until(&self, upstream: &Upstream) -> Option<Instant> {
        let (started_ms, until) = self.by_key.get(&upstream.key)?.pause?;
        (started_ms == upstream.started_ms).then_some(until)
    }

    /// Sends an upstream no requests for a while, because it asked for that.
    pub fn pause(&mut self, now: Instant, upstream: &Upstream, pause: Duration) {
        let until = now + pause.min(MAX_PAUSE);
        let load = self.entry(now, upstream.key);
        let current = load.pause.filter(|(started_ms, _)| *started_ms == upstream.started_ms);
        let until = current.map_or(until, |(_, current)| current.max(until));
        load.pause = Some((upstream.started_ms, until));
    }

    /// Time at which the first of these upstreams takes requests again, if all of them have asked
    /// for a pause.
    pub fn earliest_resume(
        &self,
        now: Instant,
        upstreams: &[Arc<Upstream>],
        excluded: &[InstanceId],
    ) -> Option<Instant> {
        let mut earliest: Option<Instant> = None;
        for upstream in upstreams.iter().filter(|u| !excluded.contains(&u.instance)) {
            let until = self.paused_until(upstream).filter(|until| now < *until)?;
            earliest = Some(earliest.map_or(until, |at| at.min(until)));
        }
        earliest
    }
}
