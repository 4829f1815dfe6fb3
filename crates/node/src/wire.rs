//! Conversions between domain types and the messages of the inner protocol.

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

/// Encodes the information on a node.
pub fn info_to_wire(info: NodeInfo) -> PeerInfo {
    let state = match info.state {
        NodeState::Alive => PeerState::Alive,
        NodeState::Suspect => PeerState::Suspect,
        NodeState::Dead => PeerState::Dead,
        NodeState::Left => PeerState::Left,
    };
    PeerInfo {
        node: info.node,
        address: info.address,
        data_centre: info.data_centre,
        incarnation: info.incarnation,
        state,
    }
}

/// Decodes the information on a node.
pub fn info_from_wire(info: PeerInfo) -> NodeInfo {
    let state = match info.state {
        PeerState::Alive => NodeState::Alive,
        PeerState::Suspect => NodeState::Suspect,
        PeerState::Dead => NodeState::Dead,
        PeerState::Left => NodeState::Left,
    };
    NodeInfo {
        node: info.node,
        address: info.address,
        data_centre: info.data_centre,
        incarnation: info.incarnation,
        state,
    }
}

/// Encodes the loss of an upstream.
pub fn loss_to_wire(loss: UpstreamLoss) -> PeerUpstreamLoss {
    PeerUpstreamLoss { digest: loss.digest, upstream: loss.upstream }
}

/// Decodes the loss of an upstream.
pub fn loss_from_wire(loss: PeerUpstreamLoss) -> UpstreamLoss {
    UpstreamLoss { digest: loss.digest, upstream: loss.upstream }
}

/// Encodes a health report of the given age.
pub fn report_to_wire(instance: &str, report: &HealthReport, age: Duration) -> PeerReport {
    let claim = report.claim.as_ref().map(|c| PeerClaim {
        group: c.group.clone(),
        epoch: c.epoch,
        members: c.members.clone(),
    });
    PeerReport {
        instance: instance.to_owned(),
        age_ms: ceil_millis(age),
        claim,
        fence: report.fence,
        model: report.model.clone(),
        ready: report.ready,
        leaving: report.leaving,
    }
}

/// Decodes a health report and its age.
pub fn report_from_wire(report: PeerReport) -> (HealthReport, Duration) {
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

/// Converts the report of an engine's instance.
pub fn report_from_engine(report: &MemberReport) -> HealthReport {
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

/// Whole milliseconds, rounded up so that an age is never understated.
pub fn ceil_millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_micros().div_ceil(1000)).unwrap_or(u32::MAX)
}

/// Units of 10 ms, rounded up so that an age is never understated.
pub fn ceil_centiseconds(age: Duration) -> Centiseconds {
    ceil_millis(age).div_ceil(10)
}

/// Decodes an age in units of 10 ms.
pub fn age_from_wire(age: Centiseconds) -> Duration {
    Duration::from_millis(10 * u64::from(age))
}

/// Encodes a probe run as its low 48 bits; runs are times in ms, which fit.
pub fn run_to_wire(run: Incarnation) -> ProbeRunId {
    let [_, _, low @ ..] = run.to_be_bytes();
    low
}
