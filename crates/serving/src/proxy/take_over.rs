//! Take-over of a stream by another upstream.

use {
    super::{Proxy, RequestContext, outcome_of},
    crate::{
        attempts::Attempts,
        interfaces::{EventChunk, SendError},
        load::UpstreamOutcome,
        stream::ActiveStream,
    },
    std::sync::Arc,
    tokio::time::timeout,
    turmerictack_model::ids::EventPosition,
};

impl Proxy {
    /// Resumes a stream at another upstream and waits for the first events there; `None` if there is
    /// no upstream that sends any in time.
    pub(crate) async fn take_over(
        self: &Arc<Self>,
        context: &RequestContext,
        attempts: &mut Attempts,
        last_event: Option<EventPosition>,
    ) -> Option<(ActiveStream, EventChunk)> {
        while let Some(mut next) = self.resume(context, attempts, last_event).await {
            let upstream = Arc::clone(&next.permit.upstream);
            let outcome = match self.first_events(context, attempts, &mut next).await? {
                Ok(events) => return Some((next, events)),
                Err(Some(error)) => {
                    self.record_send_failure(context, attempts, &upstream, &error).await;
                    outcome_of(&error)
                }
                Err(None) => UpstreamOutcome::Stalled,
            };
            attempts.record_execution(&upstream.instance);
            next.permit.release(outcome);
        }
        None
    }

    /// Waits for the first events of a resumed stream; `Err(None)` if it stalls and may be tried
    /// elsewhere, `None` once the deadline has passed.
    async fn first_events(
        &self,
        context: &RequestContext,
        attempts: &Attempts,
        next: &mut ActiveStream,
    ) -> Option<Result<EventChunk, Option<SendError>>> {
        loop {
            let remaining = self.remaining_time(context, attempts);
            if remaining.is_zero() {
                return None;
            }
            let limit = remaining.min(context.max_event_gap());
            match timeout(limit, next.body.next_events()).await {
                Ok(Ok(Some(events))) => return Some(Ok(events)),
                // The upstream may have failed itself, so the stream can't be taken for complete.
                Ok(Ok(None)) => return Some(Err(Some(SendError::ConnectionLost))),
                Ok(Err(error)) => return Some(Err(Some(error))),
                Err(_) if attempts.can_fail_over() => return Some(Err(None)),
                Err(_) => {}
            }
        }
    }
}
