//! What the nodes report to each other about limited upstreams.

use {
    super::{
        LimitChange, SendAllowances,
        limit::{Limit, Statement},
    },
    crate::directory::UpstreamRun,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    turmerictack_model::{ids::NodeId, rate::RequestRate},
    turmerictack_protocol::heartbeat::{HeartbeatLimit, HeartbeatStatement},
};

/// Time for which a statement is reported; the latest one that names a limit is reported for longer.
const REPORT_TIME: Duration = Duration::from_secs(10);

/// Sends and demand under a limit, as a peer last reported them.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerUse {
    pub(super) sends: usize,
    pub(super) demand: f64,
}

#[derive(Debug)]
pub(super) struct PeerReport {
    pub(super) received_at: Instant,
    pub(super) by_run: BTreeMap<UpstreamRun, PeerUse>,
}

impl SendAllowances {
    /// Applies what a peer reports; returns the changes of limits.
    pub fn merge_peer(
        &mut self,
        now: Instant,
        node: &NodeId,
        reports: &[HeartbeatLimit],
    ) -> Vec<LimitChange> {
        let mut changes = Vec::new();
        for report in reports {
            let run = (report.upstream, report.started_ms);
            let Some(statement) = decode_statement(now, report.statement) else { continue };
            if statement.rate.is_some() || self.has_statement(&run) {
                changes.extend(self.apply(now, run, statement));
            }
        }
        let by_run = reports.iter().map(|r| {
            let demand = f64::from(r.demand_thousandths) / 1_000.0;
            ((r.upstream, r.started_ms), PeerUse { sends: r.recent_sends.into(), demand })
        });
        let report = PeerReport { received_at: now, by_run: by_run.collect() };
        if report.by_run.is_empty() {
            self.peer_reports.remove(node);
        } else {
            self.peer_reports.insert(node.clone(), report);
        }
        if !changes.is_empty() {
            self.update(now);
        }
        changes
    }

    /// What to report to peers.
    pub fn to_report(&self, now: Instant) -> Vec<HeartbeatLimit> {
        let report = |(run, limit): (&UpstreamRun, &Limit)| {
            let statement = limit.own.filter(|own| is_reported(now, own, limit.latest));
            let may_become_sender =
                self.is_demand_recent() || limit.senders.contains_key(&self.own);
            let is_divided_by_demand = limit.stated_rate().is_some() && limit.cold(now).is_none();
            let demand = if is_divided_by_demand && may_become_sender {
                limit.demand.per_second(now)
            } else {
                0.0
            };
            let report = HeartbeatLimit {
                upstream: run.0,
                started_ms: run.1,
                statement: statement.map(|s| encode_statement(now, s)),
                recent_sends: u16::try_from(limit.count(now)).unwrap_or(u16::MAX),
                demand_thousandths: (demand * 1_000.0) as u32,
            };
            let is_empty = report.statement.is_none()
                && report.recent_sends == 0
                && report.demand_thousandths == 0;
            (!is_empty).then_some(report)
        };
        self.limits.iter().filter_map(report).collect()
    }
}

/// Whether a node reports what an upstream stated to it.
///
/// Peers need no statement that was followed by a different one, and few need to confirm the same one,
/// so that heartbeats stay small in large clusters.
fn is_reported(now: Instant, own: &Statement, latest: Option<Statement>) -> bool {
    let Some(latest) = latest else { return false };
    let is_latest = own.rate.is_some() && own.stated_at >= latest.stated_at;
    own.rate == latest.rate && (is_latest || now < own.stated_at + REPORT_TIME)
}

fn encode_statement(now: Instant, statement: Statement) -> HeartbeatStatement {
    let age = now.saturating_duration_since(statement.stated_at);
    HeartbeatStatement {
        rate_thousandths: statement.rate.map(RequestRate::thousandths),
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
    }
}

fn decode_statement(now: Instant, statement: Option<HeartbeatStatement>) -> Option<Statement> {
    let statement = statement?;
    let stated_at = now.checked_sub(Duration::from_millis(statement.age_ms.into()))?;
    Some(Statement {
        rate: statement.rate_thousandths.map(RequestRate::from_thousandths),
        stated_at,
    })
}
