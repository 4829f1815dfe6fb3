//! Metrics, sent over UDP to a statsd server if one is configured.

use {
    crate::{error::NodeError, shared::Shared},
    cadence::{
        BufferedUdpMetricSink, Counted as _, Gauged as _, NopMetricSink, QueuingMetricSink,
        StatsdClient, Timed as _,
    },
    std::{net::UdpSocket, time::Duration},
    turmerictack_model::{ids::Address, outcome::Failure, rank::Rank},
    turmerictack_report::status::ServiceStatus,
    turmerictack_telemetry::registry::METRIC_PREFIX,
};

/// Opens a client for the address; without one, metrics are discarded.
///
/// # Errors
/// [`NodeError::Metrics`].
pub fn open(address: Option<&Address>) -> Result<StatsdClient, NodeError> {
    let Some(address) = address else {
        return Ok(StatsdClient::from_sink(METRIC_PREFIX, NopMetricSink));
    };
    let failed = || NodeError::Metrics { address: address.clone() };
    let socket = UdpSocket::bind("0.0.0.0:0").map_err(|_| failed())?;
    let sink = BufferedUdpMetricSink::from(address.as_str(), socket).map_err(|_| failed())?;
    Ok(StatsdClient::from_sink(METRIC_PREFIX, QueuingMetricSink::from(sink)))
}

/// Counts an answered call; `time_to_first_chunk` is measured from its acceptance.
pub fn record_answered(
    client: &StatsdClient,
    service: &str,
    time_to_first_chunk: Option<Duration>,
) {
    client.count_with_tags("calls.answered", 1).with_tag("service", service).send();
    if let Some(time_to_first_chunk) = time_to_first_chunk {
        client
            .time_with_tags("calls.first_token", time_to_first_chunk)
            .with_tag("service", service)
            .send();
    }
}

/// Counts a failed call.
pub fn record_failed(client: &StatsdClient, service: &str, failure: &Failure) {
    client
        .count_with_tags("calls.failed", 1)
        .with_tag("service", service)
        .with_tag("code", &failure.code.to_string())
        .with_tag("outcome", &failure.outcome.to_string())
        .send();
}

impl Shared {
    /// Reports gauges of the node's queues and upstreams.
    pub fn report_gauges(&self) {
        let client = &self.proxy.interfaces.metrics;
        let status = self.status();
        let _ = client.gauge("calls.in_flight", status.calls);
        let _ = client.gauge("settings.revision", status.revision);
        for (id, service) in &status.services {
            report_service(client, id, service);
        }
    }
}

fn report_service(client: &StatsdClient, id: &str, service: &ServiceStatus) {
    let gauge =
        |name, value: usize| client.gauge_with_tags(name, value as u64).with_tag("service", id);
    gauge("upstreams.open", service.upstreams.iter().filter(|u| u.open).count()).send();
    gauge("instances.stranded", service.stranded.len()).send();
    for rank in Rank::ALL {
        let waiting = service.waiting.get(&rank).copied().unwrap_or(0);
        gauge("calls.waiting", waiting).with_tag("rank", &rank.to_string()).send();
    }
}
