//! What nodes tell each other about paced upstreams.

use {
    super::{Bound, Counts, Pace, PaceReason, Paces, fall_window, fastest::FASTEST_WINDOW},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    turmerictack_model::ids::NodeId,
    turmerictack_protocol::heartbeat::{HeartbeatPace, UpstreamKey},
};

/// Time for which the end of a pace is reported, at least.
const MIN_END_NEWS_TIME: Duration = Duration::from_secs(1);

/// Counts that a peer last reported for an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerCounts {
    counts: Counts,
    fastest: Option<Duration>,
    received_at: Instant,
    is_waiting: bool,
}

impl PeerCounts {
    /// Whether requests wait at the peer, as far as it has told within `timeout`.
    pub(super) fn is_waiting(&self, now: Instant, timeout: Duration) -> bool {
        self.is_waiting && now < self.received_at + timeout
    }

    /// Whether the peer has told within `timeout` that no requests wait there.
    pub(super) fn is_idle(&self, now: Instant, timeout: Duration) -> bool {
        !self.is_waiting && now < self.received_at + timeout
    }

    /// Fastest response that the peer got lately.
    pub(super) fn fastest(&self, now: Instant) -> Option<Duration> {
        self.fastest.filter(|_| now < self.received_at + FASTEST_WINDOW)
    }
}

impl Counts {
    /// What was counted since `previous`; all of it if the peer has begun again.
    fn since(self, previous: Self) -> Self {
        let difference = || {
            Some(Self {
                raises: self.raises.checked_sub(previous.raises)?,
                late: self.late.checked_sub(previous.late)?,
                rejected: self.rejected.checked_sub(previous.rejected)?,
            })
        };
        difference().unwrap_or(self)
    }
}

impl Paces {
    /// Paces to report to peers: those in force, and those that ended lately.
    pub fn to_report(&self, now: Instant) -> Vec<HeartbeatPace> {
        let news_time = MIN_END_NEWS_TIME.max(self.round * 2);
        let mut reports = Vec::new();
        for (key, tracked) in &self.by_key {
            let report = HeartbeatPace {
                upstream: *key,
                run: tracked.run,
                bound: 0,
                raises: 0,
                late: 0,
                rejected: 0,
                fastest_ms: 0,
                is_listed: true,
                is_waiting: false,
                has_ended: true,
            };
            match &tracked.pace {
                Some(pace) => reports.push(pace.fill_in(now, report)),
                None if tracked.ended_at.is_some_and(|at| now < at + news_time) => {
                    reports.push(report);
                }
                None => {}
            }
        }
        reports
    }

    /// Applies what a peer reports; `in_flight` are the requests in flight, over all nodes.
    pub fn merge_peer(
        &mut self,
        now: Instant,
        node: &NodeId,
        reports: &[HeartbeatPace],
        in_flight: &BTreeMap<UpstreamKey, u32>,
    ) {
        let round = self.round;
        for report in reports {
            let key = report.upstream;
            let Some(tracked) = self.by_key.get_mut(&key) else { continue };
            if tracked.run != report.run {
                continue;
            }
            let in_flight = in_flight.get(&key).copied().unwrap_or(0);
            match &mut tracked.pace {
                Some(pace) if report.has_ended => pace.apply_end(now, round),
                Some(pace) => pace.apply(now, node, report, in_flight, round),
                None if !tracked.is_judged && report.is_listed && !report.has_ended => {
                    let bound = Bound::adopt(tracked.upstream.slots, report.bound.into());
                    self.begin_at(now, key, PaceReason::Learned, bound);
                }
                None => {}
            }
        }
        self.end_finished(now);
    }
}

impl Pace {
    fn fill_in(&self, now: Instant, report: HeartbeatPace) -> HeartbeatPace {
        let fastest_ms = self.fastest.get(now).map_or(0, |f| f.as_millis().max(1));
        HeartbeatPace {
            bound: u16::try_from(self.bound.current()).unwrap_or(u16::MAX),
            raises: self.own.raises,
            late: self.own.late,
            rejected: self.own.rejected,
            fastest_ms: u16::try_from(fastest_ms).unwrap_or(u16::MAX),
            is_listed: self.reason.is_listed(),
            is_waiting: self.is_waiting,
            has_ended: false,
            ..report
        }
    }

    /// Counts of a peer that is gone stay in the bound, and are kept in case it comes back.
    fn apply(
        &mut self,
        now: Instant,
        node: &NodeId,
        report: &HeartbeatPace,
        in_flight: u32,
        round: Duration,
    ) {
        let counts = Counts { raises: report.raises, late: report.late, rejected: report.rejected };
        // The bound of a peer, where this one comes from, contains the first counts of all.
        let first = if self.reason == PaceReason::Learned { counts } else { Counts::default() };
        let previous = self.peers.get(node).map_or(first, |p| p.counts);
        let new = counts.since(previous);
        self.bound.raise(new.raises.into(), in_flight);
        if new.late > 0 {
            self.bound.lower(now, new.late.into(), fall_window(round));
        }
        if new.rejected > 0 {
            self.bound.halve(now, in_flight, fall_window(round));
        }
        if new.late + new.rejected > 0 {
            self.troubled_at = Some(now);
        }
        let fastest = Duration::from_millis(report.fastest_ms.into());
        let latest = PeerCounts {
            counts,
            fastest: Some(fastest).filter(|f| !f.is_zero()),
            received_at: now,
            is_waiting: report.is_waiting,
        };
        self.peers.insert(node.clone(), latest);
    }

    /// A peer found that the slots bind; it has seen what this node has, unless there was trouble
    /// meanwhile.
    fn apply_end(&mut self, now: Instant, round: Duration) {
        let is_troubled = self.troubled_at.is_some_and(|at| now < at + fall_window(round) * 2);
        if self.reason.is_listed() && !is_troubled {
            self.bound.open();
        }
    }
}
