//! Alerts on fast burn of error budgets, and gauges.

use {
    crate::{logs, shared::Shared},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    tokio::time::sleep,
    turmerictack_report::alert::{Severity, severity},
};

/// Time between checks.
const PERIOD: Duration = Duration::from_secs(10);

/// Periodically reports gauges, and logs each change of a service's alert severity.
pub async fn run(shared: Arc<Shared>) {
    let mut last = BTreeMap::new();
    loop {
        sleep(PERIOD).await;
        let job_shared = Arc::clone(&shared);
        let result = shared.run_job(move || {
            job_shared.report_gauges();
            job_shared.burn()
        });
        let Some(snapshot) = result.await else { return };
        for row in snapshot.rows {
            let now = severity(&row);
            let key = (row.service.clone(), row.rank);
            let before = last.insert(key, now).unwrap_or(Severity::Ok);
            if before != now {
                logs::event("burn_alert")
                    .with("service", &row.service)
                    .with("rank", row.rank)
                    .with("severity", now)
                    .with("before", before)
                    .warn();
            }
        }
    }
}
