//! `status`, `drain` and `lift`: requests to nodes.

use {
    crate::{
        client::NodeClient,
        error::{CommandError, EXIT_REQUEST_FAILED},
        operation::NodeAccess,
    },
    std::{process::ExitCode, time::Duration},
    tokio::time::sleep,
    turmerictack_model::rank::Rank,
    turmerictack_report::status::{NodeStatus, ServiceStatus},
};

/// Interval between updates with `--watch`.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Prints the status of nodes; the exit code tells whether all of them responded.
pub async fn status(nodes: &NodeAccess, watch: bool, json: bool) -> Result<ExitCode, CommandError> {
    let client = NodeClient::new(nodes)?;
    loop {
        let mut failed = 0;
        for node in &nodes.addresses {
            let status: Result<NodeStatus, _> = client.get(node, "/status").await;
            match status {
                Ok(status) if json => {
                    let line = serde_json::to_string(&status);
                    println!("{}", line.map_err(|_| CommandError::InvalidData)?);
                }
                Ok(status) => print!("{}", render_node(&status)),
                Err(e) => {
                    eprintln!("turmerictack: {e}");
                    failed += 1;
                }
            }
        }
        if !watch {
            let code =
                if failed == 0 { ExitCode::SUCCESS } else { ExitCode::from(EXIT_REQUEST_FAILED) };
            return Ok(code);
        }
        sleep(WATCH_INTERVAL).await;
        println!();
    }
}

fn render_node(status: &NodeStatus) -> String {
    let mut out = format!(
        "{}: {}, revision {} ({}), {} calls, {} live peers{}\n",
        status.node,
        if status.ready { "ready" } else { "NOT ready" },
        status.revision,
        match status.confirmed_ms {
            Some(ms) => format!("confirmed {ms} ms ago"),
            None => "never confirmed".to_owned(),
        },
        status.calls,
        status.peers.iter().filter(|p| p.state == "alive").count(),
        if status.alone { ", ALONE" } else { "" },
    );
    for (id, service) in &status.services {
        out.push_str(&render_service(id, service));
    }
    for (digest, upstreams) in &status.quarantine {
        out.push_str(&format!(
            "  request {digest}: {upstreams} upstreams failed while running it\n"
        ));
    }
    out
}

fn render_service(id: &str, service: &ServiceStatus) -> String {
    let count = |rank: Rank| {
        let running = service.in_flight.get(&rank).unwrap_or(&0);
        let waiting = service.waiting.get(&rank).unwrap_or(&0);
        format!("{rank} {running}+{waiting}")
    };
    let state = match (&service.degraded_by, service.up) {
        (Some(cause), _) => format!("degraded by {cause}"),
        (None, true) => "up".to_owned(),
        (None, false) => "DOWN".to_owned(),
    };
    let open = service.upstreams.iter().filter(|u| u.open).count();
    format!(
        "  {id}: {state}, {open} upstreams open, capacity {}, running+waiting: {}; {} stranded\n",
        service.capacity,
        Rank::ALL.map(count).join(" "),
        service.stranded.len(),
    )
}

/// Starts draining nodes.
pub async fn drain(nodes: &NodeAccess) -> Result<(), CommandError> {
    let client = NodeClient::new(nodes)?;
    for node in &nodes.addresses {
        client.post(node, "/drain").await?;
        println!("{node} is draining");
    }
    Ok(())
}

/// Lifts the quarantine of a request on every node.
pub async fn lift(nodes: &NodeAccess, digest: &str) -> Result<(), CommandError> {
    let client = NodeClient::new(nodes)?;
    let path = format!("/quarantine/{digest}");
    for node in &nodes.addresses {
        let lifted = client.delete(node, &path).await?;
        println!("{node}: {}", lift_result(lifted));
    }
    Ok(())
}

fn lift_result(lifted: bool) -> &'static str {
    if lifted { "lifted" } else { "was not quarantined" }
}
