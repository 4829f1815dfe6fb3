//! Between the types of decisions and those of the inner protocol.

use {
    std::time::Duration,
    turmerictack_groups::health::{Claim, HealthReport},
    turmerictack_membership::gossip::{NodeInfo, NodeState},
    turmerictack_model::ids::Incarnation,
    turmerictack_protocol::message::{
        Centiseconds, PeerClaim, PeerInfo, PeerReport, PeerState, PeerUpstreamLoss, ProbeRunId,
    },
    turmerictack_routing::quarantine::UpstreamLoss,
    turmerictack_upstream::engine::MemberReport,
};

/// News as it travels.
pub fn news_out(news: NodeInfo) -> PeerInfo {
    let state = match news.state {
        NodeState::Alive => PeerState::Alive,
        NodeState::Suspect => PeerState::Suspect,
        NodeState::Dead => PeerState::Dead,
        NodeState::Left => PeerState::Left,
    };
    PeerInfo {
        node: news.node,
        address: news.address,
        data_centre: news.data_centre,
        incarnation: news.incarnation,
        state,
    }
}

/// News as decisions know it.
pub fn news_in(news: PeerInfo) -> NodeInfo {
    let state = match news.state {
        PeerState::Alive => NodeState::Alive,
        PeerState::Suspect => NodeState::Suspect,
        PeerState::Dead => NodeState::Dead,
        PeerState::Left => NodeState::Left,
    };
    NodeInfo {
        node: news.node,
        address: news.address,
        data_centre: news.data_centre,
        incarnation: news.incarnation,
        state,
    }
}

/// A strike as it travels.
pub fn strike_out(strike: UpstreamLoss) -> PeerUpstreamLoss {
    PeerUpstreamLoss { digest: strike.digest, upstream: strike.upstream }
}

/// A strike as decisions know it.
pub fn strike_in(strike: PeerUpstreamLoss) -> UpstreamLoss {
    UpstreamLoss { digest: strike.digest, upstream: strike.upstream }
}

/// A report as it travels.
pub fn report_out(instance: &str, report: &HealthReport, age: Duration) -> PeerReport {
    let claim = report.claim.as_ref().map(|c| PeerClaim {
        group: c.group.clone(),
        epoch: c.epoch,
        members: c.members.clone(),
    });
    PeerReport {
        instance: instance.to_owned(),
        age_ms: millis(age),
        claim,
        fence: report.fence,
        model: report.model.clone(),
        ready: report.ready,
        leaving: report.leaving,
    }
}

/// A report as decisions know it, with its age.
pub fn report_in(report: PeerReport) -> (HealthReport, Duration) {
    let claim = report.claim.map(|c| Claim { group: c.group, epoch: c.epoch, members: c.members });
    let age = Duration::from_millis(report.age_ms.into());
    let report = HealthReport {
        claim,
        fence: report.fence,
        model: report.model,
        ready: report.ready,
        leaving: report.leaving,
    };
    (report, age)
}

/// What an instance said of itself, as decisions know it.
pub fn member_in(report: &MemberReport) -> HealthReport {
    let claim = report.membership.as_ref().map(|m| Claim {
        group: m.group.clone(),
        epoch: m.epoch,
        members: m.members.clone(),
    });
    HealthReport {
        claim,
        fence: report.fence,
        model: report.model.clone(),
        ready: report.ready,
        leaving: report.leaving,
    }
}

/// Whole milliseconds, rounded up so that an age never looks younger.
pub fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_micros().div_ceil(1000)).unwrap_or(u32::MAX)
}

/// Units of 10 ms, rounded up so that an age never looks younger.
pub fn centiseconds(age: Duration) -> Centiseconds {
    millis(age).div_ceil(10)
}

/// An age that travelled in units of 10 ms.
pub fn age_in(age: Centiseconds) -> Duration {
    Duration::from_millis(10 * u64::from(age))
}

/// A run as it travels; its number is a time in ms, which 48 bits hold.
pub fn run_out(run: Incarnation) -> ProbeRunId {
    let [_, _, low @ ..] = run.to_be_bytes();
    low
}
