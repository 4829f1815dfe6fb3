//! Executes scenarios against a fleet of processes and checks expectations and invariants.

use {
    crate::{
        client::{CallResult, Caller},
        error::StandinError,
        fleet::Fleet,
        fleet_config::{caller_key, services_json},
        invariants::{CallRecord, Outage, RunRecord},
        relay::RelayMode,
        scenario::language::{Apply, Booking, Chat, Ending, Expectation, Statement, parse},
    },
    nix::sys::signal::Signal,
    rand::{RngExt as _, SeedableRng as _},
    rand_pcg::Pcg64Mcg,
    rocket::futures::future::join_all,
    std::{
        collections::BTreeMap,
        future::Future,
        process::Stdio,
        time::{Duration, Instant, SystemTime},
    },
    tokio::{process::Command, task::JoinHandle, time::sleep},
    turmerictack_model::{clock::unix_millis, digest::sha256_hex, ids::Revision},
};

/// Longest time to wait for a call that the scenario does not wait for itself.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Time between polls of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Floor of the urgent rank in percent in the first configuration of a race; each further one has
/// 1 more, so that all differ.
const RACE_FLOOR: u32 = 31;

/// Largest fraction by which a wait is lengthened at random.
const MAX_JITTER: f64 = 0.5;

struct ActiveCall {
    key: Option<String>,
    chat: Option<(String, u64)>,
    task: JoinHandle<CallResult>,
}

/// State of a running scenario.
struct ScenarioRun<'a> {
    file: &'a str,
    line: usize,
    fleet: Option<Fleet>,
    active_calls: BTreeMap<String, ActiveCall>,
    calls: BTreeMap<String, CallRecord>,
    outages: Vec<Outage>,
    leaving: BTreeMap<String, u64>,
    revisions: BTreeMap<String, Vec<Revision>>,
    rng: Pcg64Mcg,
}

fn now_ms() -> u64 {
    unix_millis(SystemTime::now())
}

/// Runs a scenario with waits drawn from the seed, then checks the invariants.
///
/// # Errors
/// [`StandinError::ExpectationFailed`] for the first expectation or invariant that does not hold,
/// [`StandinError::Syntax`], or another variant if a process cannot be started or reached.
pub async fn run(file: &str, text: &str, seed: u64) -> Result<(), StandinError> {
    let statements = parse(file, text)?;
    let mut run = ScenarioRun {
        file,
        line: 0,
        fleet: None,
        active_calls: BTreeMap::new(),
        calls: BTreeMap::new(),
        outages: Vec::new(),
        leaving: BTreeMap::new(),
        revisions: BTreeMap::new(),
        rng: Pcg64Mcg::seed_from_u64(seed),
    };
    let result = run.run_statements(statements).await;
    if result.is_err() {
        run.print_logs();
    }
    result
}

impl ScenarioRun<'_> {
    async fn run_statements(
        &mut self,
        statements: Vec<(usize, Statement)>,
    ) -> Result<(), StandinError> {
        for (line, statement) in statements {
            self.line = line;
            self.execute(statement).await?;
            self.record_revisions().await;
        }
        let ids: Vec<String> = self.active_calls.keys().cloned().collect();
        for id in ids {
            self.finish(&id, CALL_TIMEOUT).await?;
        }
        self.check_invariants().await
    }

    /// Prints the last 40 log lines of each node, to help find the cause of a failure.
    fn print_logs(&self) {
        let Some(fleet) = &self.fleet else { return };
        for name in fleet.nodes.keys() {
            let log = fleet.node_log(name).unwrap_or_default();
            let lines: Vec<&str> = log.lines().collect();
            eprintln!("--- {name}\n{}", lines[lines.len().saturating_sub(40)..].join("\n"));
        }
    }

    fn fleet(&mut self) -> Result<&mut Fleet, StandinError> {
        self.fleet.as_mut().ok_or_else(|| StandinError::UnknownName { name: "fleet".to_owned() })
    }

    fn expectation_failed(&self, expectation: &str, actual: impl ToString) -> StandinError {
        let (file, line) = (self.file.to_owned(), self.line);
        StandinError::ExpectationFailed {
            file,
            line,
            expectation: expectation.to_owned(),
            actual: actual.to_string(),
        }
    }

    async fn execute(&mut self, statement: Statement) -> Result<(), StandinError> {
        match statement {
            Statement::Fleet(config) => self.fleet = Some(Fleet::spawn(config).await?),
            Statement::AwaitOpen(service, count, time) => {
                if !self.fleet()?.await_open(&service, count, time).await {
                    return Err(self.expectation_failed(
                        "open upstreams on each running node",
                        format!("another number than {count} of {service}"),
                    ));
                }
            }
            Statement::Chat(chat) => self.chat(chat)?,
            Statement::Book(booking) => self.book(booking)?,
            Statement::Kill(name) => self.kill(&name)?,
            Statement::Pause(name) => {
                self.fleet()?.process_mut(&name)?.signal(Signal::SIGSTOP)?;
                self.outages.push(Outage { name, from_ms: now_ms(), until_ms: None });
            }
            Statement::Resume(name) => {
                self.fleet()?.process_mut(&name)?.signal(Signal::SIGCONT)?;
                self.end_outages(&name);
            }
            Statement::Start(name) => self.fleet()?.start_node(&name)?,
            Statement::Replace(name) => self.replace(&name).await?,
            Statement::SetRelayMode(target, mode) => self.set_relay_mode(&target, mode).await?,
            Statement::Fault(name, faults) => self.fleet()?.set_faults(&name, faults).await?,
            Statement::MarkLeaving(name) => {
                self.fleet()?.mark_leaving(&name).await?;
                self.leaving.insert(name, now_ms());
            }
            Statement::Drain(name) => self.fleet()?.drain(&name).await?,
            Statement::Apply(apply) => self.apply(apply).await?,
            Statement::Race(count, base) => self.race(count, base).await?,
            Statement::Wait(time) => {
                let jitter = self.rng.random_range(0.0..MAX_JITTER);
                sleep(time.mul_f64(1.0 + jitter)).await;
            }
            Statement::AwaitEnd(id, time) => self.finish_copies(&id, time).await?,
            Statement::Expect(expectation) => self.expect(expectation).await?,
        }
        Ok(())
    }

    fn chat(&mut self, chat: Chat) -> Result<(), StandinError> {
        let address = self.fleet()?.node(&chat.via)?.caller_address.clone();
        let caller = Caller::new(&caller_key("member"))?;
        let prompt = chat.prompt.unwrap_or_else(|| chat.id.clone());
        let chat_request = (prompt.clone(), chat.chunks);
        let task = async move {
            caller.chat(&address, "assistant", &prompt, chat.chunks, chat.rank).await
        };
        self.start(chat.id, None, Some(chat_request), task);
        Ok(())
    }

    fn book(&mut self, booking: Booking) -> Result<(), StandinError> {
        let nodes = match booking.via.as_str() {
            "all" => self.fleet()?.nodes.keys().cloned().collect(),
            name => vec![name.to_owned()],
        };
        for node in &nodes {
            let address = self.fleet()?.node(node)?.caller_address.clone();
            let caller = Caller::new(&caller_key("crew"))?;
            let id =
                if nodes.len() > 1 { format!("{}.{node}", booking.id) } else { booking.id.clone() };
            let key = booking.key.clone();
            let body = format!("crew for {key}");
            let task = async move { caller.book(&address, &key, &body).await };
            self.start(id, Some(booking.key.clone()), None, task);
        }
        Ok(())
    }

    fn start<F>(&mut self, id: String, key: Option<String>, chat: Option<(String, u64)>, task: F)
    where
        F: Future<Output = CallResult> + Send + 'static,
    {
        self.active_calls.insert(id, ActiveCall { key, chat, task: tokio::spawn(task) });
    }

    fn kill(&mut self, name: &str) -> Result<(), StandinError> {
        self.fleet()?.process_mut(name)?.signal(Signal::SIGKILL)?;
        let outage = Outage { name: name.to_owned(), from_ms: now_ms(), until_ms: None };
        self.outages.push(outage);
        if let Some(node) = self.fleet()?.nodes.get_mut(name) {
            node.process = None;
        }
        Ok(())
    }

    async fn replace(&mut self, name: &str) -> Result<(), StandinError> {
        let fleet = self.fleet()?;
        if name.starts_with("eng") {
            fleet.start_engine(name).await?;
        } else {
            fleet.start_service(name).await?;
        }
        self.end_outages(name);
        Ok(())
    }

    fn end_outages(&mut self, name: &str) {
        for outage in self.outages.iter_mut().filter(|o| o.name == name) {
            outage.until_ms.get_or_insert(now_ms());
        }
    }

    async fn set_relay_mode(&mut self, target: &str, mode: RelayMode) -> Result<(), StandinError> {
        let fleet = self.fleet()?;
        match target.split_once(':') {
            Some((node, "peers")) => fleet.node(node)?.peer_relay.set_mode(mode),
            Some((node, "platform")) => fleet.node(node)?.platform_relay.set_mode(mode),
            _ if target.starts_with("fabric-") => self.set_domain_relay_mode(target, mode).await?,
            _ => fleet.set_relay_mode(target, mode).await?,
        }
        Ok(())
    }

    /// Sets the relay mode of all engines of a domain, recorded as an outage unless it is open.
    async fn set_domain_relay_mode(
        &mut self,
        domain: &str,
        mode: RelayMode,
    ) -> Result<(), StandinError> {
        for engine in self.fleet()?.config.engines_in(domain) {
            self.fleet()?.set_relay_mode(&engine, mode).await?;
            if mode == RelayMode::Open {
                self.end_outages(&engine);
            } else {
                self.outages.push(Outage { name: engine, from_ms: now_ms(), until_ms: None });
            }
        }
        Ok(())
    }

    /// Submits different configurations with the same base concurrently; exactly one must be
    /// accepted (exit code 0) and the others rejected as stale (exit code 3).
    async fn race(&mut self, count: usize, base: u64) -> Result<(), StandinError> {
        let fleet = self.fleet.as_ref();
        let fleet = fleet.ok_or_else(|| StandinError::UnknownName { name: "fleet".to_owned() })?;
        let configs = (0..count).map(|n| services_json(&fleet.config, RACE_FLOOR + n as u32));
        let configs: Vec<String> = configs.collect();
        let codes = join_all(configs.iter().map(|text| fleet.apply(text, base))).await;
        let codes = codes.into_iter().collect::<Result<Vec<_>, _>>()?;
        let count_of = |code| codes.iter().filter(|c| **c == Some(code)).count();
        if (count_of(0), count_of(3)) != (1, count - 1) {
            return Err(self.expectation_failed(
                "one accepted configuration",
                format!("exit codes {codes:?}"),
            ));
        }
        Ok(())
    }

    /// Submits a configuration with `turmerictack apply`.
    async fn apply(&mut self, apply: Apply) -> Result<(), StandinError> {
        let fleet = self.fleet()?;
        let text = services_json(&fleet.config, apply.floor);
        let code = fleet.apply(&text, apply.base).await?;
        let expected = if apply.accepted { 0 } else { 3 };
        if code != Some(expected) {
            return Err(self
                .expectation_failed("the stated result of apply", format!("exit code {code:?}")));
        }
        Ok(())
    }

    /// Waits until all copies of a call have ended.
    async fn finish_copies(&mut self, id: &str, time: Duration) -> Result<(), StandinError> {
        let deadline = Instant::now() + time;
        let copies = format!("{id}.");
        let of_call = |name: &&String| *name == id || name.starts_with(&copies);
        let ids: Vec<String> = self.active_calls.keys().filter(of_call).cloned().collect();
        if ids.is_empty() {
            return Err(StandinError::UnknownName { name: id.to_owned() });
        }
        for id in ids {
            self.finish(&id, deadline.saturating_duration_since(Instant::now())).await?;
        }
        Ok(())
    }

    async fn finish(&mut self, id: &str, time: Duration) -> Result<(), StandinError> {
        let Some(mut active) = self.active_calls.remove(id) else {
            return Err(StandinError::UnknownName { name: id.to_owned() });
        };
        let Ok(result) = tokio::time::timeout(time, &mut active.task).await else {
            return Err(self.expectation_failed(
                "the call to end",
                format!("{id} still running at the time-out"),
            ));
        };
        let result = result.unwrap_or_default();
        let (key, chat) = (active.key, active.chat);
        let call = CallRecord { id: id.to_owned(), key, chat, result };
        self.calls.insert(id.to_owned(), call);
        Ok(())
    }

    async fn call_result(&mut self, id: &str) -> Result<CallResult, StandinError> {
        if self.active_calls.contains_key(id) {
            self.finish(id, CALL_TIMEOUT).await?;
        }
        let call = self.calls.get(id);
        let unknown = || StandinError::UnknownName { name: id.to_owned() };
        call.map(|c| c.result.clone()).ok_or_else(unknown)
    }

    async fn expect(&mut self, expectation: Expectation) -> Result<(), StandinError> {
        match expectation {
            Expectation::Ended(id, ending) => {
                let result = self.call_result(&id).await?;
                let holds = match ending {
                    Ending::Answered => result.is_answered(),
                    Ending::NotRun => result.is_not_run(),
                    Ending::Unknown => result.outcome.as_deref() == Some("unknown"),
                    Ending::Informed => result.is_answered() || result.outcome.is_some(),
                    Ending::ConnectionLost => result.status == 0,
                };
                if !holds {
                    return Err(self.expectation_failed(
                        &format!("{id} to end as {ending:?}"),
                        format!("{result:?}"),
                    ));
                }
            }
            Expectation::Same(a, b) => {
                let (a, b) = (self.call_result(&a).await?, self.call_result(&b).await?);
                if a.text != b.text || !a.is_answered() || !b.is_answered() {
                    return Err(self.expectation_failed(
                        "equal complete responses",
                        format!("{a:?} and {b:?}"),
                    ));
                }
            }
            Expectation::Executions(key, count) => {
                let actual = RunRecord::collect(self.fleet()?).await.executions(&key);
                if actual != count {
                    return Err(
                        self.expectation_failed(&format!("{count} executions of {key}"), actual)
                    );
                }
            }
            Expectation::Exit(node, code, time) => self.expect_exit(&node, code, time).await?,
            Expectation::Revision(revision, time) => self.expect_revision(revision, time).await?,
            Expectation::Quarantined(id) => {
                let result = self.call_result(&id).await?;
                if result.code.as_deref() != Some("quarantined") {
                    return Err(self.expectation_failed(
                        &format!("{id} to be quarantined"),
                        format!("{result:?}"),
                    ));
                }
            }
        }
        Ok(())
    }

    async fn expect_exit(
        &mut self,
        node: &str,
        code: i32,
        time: Duration,
    ) -> Result<(), StandinError> {
        let deadline = Instant::now() + time;
        loop {
            if let Some(actual) = self.fleet()?.process_mut(node)?.poll_exit() {
                self.fleet()?.node_mut(node)?.process = None;
                if actual == Some(code) {
                    return Ok(());
                }
                return Err(self.expectation_failed(
                    &format!("{node} to exit with code {code}"),
                    format!("exit code {actual:?}"),
                ));
            }
            if Instant::now() >= deadline {
                return Err(self.expectation_failed(
                    &format!("{node} to exit with code {code}"),
                    "a running process",
                ));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn expect_revision(&mut self, expected: u64, time: Duration) -> Result<(), StandinError> {
        let deadline = Instant::now() + time;
        loop {
            self.record_revisions().await;
            let nodes = self.fleet()?.running_nodes();
            let last = |n: &String| self.revisions.get(n).and_then(|r| r.last()).copied();
            let actual: Vec<Option<u64>> = nodes.iter().map(last).collect();
            if actual.iter().all(|r| *r >= Some(expected)) {
                return Ok(());
            }
            if Instant::now() >= deadline {
                let expectation = format!("at least revision {expected} on {nodes:?}");
                return Err(self.expectation_failed(&expectation, format!("{actual:?}")));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn record_revisions(&mut self) {
        let Some(fleet) = &self.fleet else { return };
        for name in fleet.running_nodes() {
            let response = tokio::time::timeout(Duration::from_secs(1), fleet.status(&name)).await;
            if let Ok(Ok(status)) = response {
                self.revisions.entry(name).or_default().push(status.revision);
            }
        }
    }

    async fn check_invariants(&mut self) -> Result<(), StandinError> {
        let Some(fleet) = &self.fleet else { return Ok(()) };
        let mut record = RunRecord::collect(fleet).await;
        record.calls = self.calls.values().cloned().collect();
        record.outages = self.outages.clone();
        record.leaving = self.leaving.clone();
        record.revisions = self.revisions.clone();
        let violations = record.violations();
        if violations.is_empty() {
            Ok(())
        } else {
            Err(self.expectation_failed("all invariants to hold", violations.join("; ")))
        }
    }
}

impl Fleet {
    /// Runs `turmerictack apply` with a services configuration and returns its exit code, `None` if
    /// a signal ended it.
    ///
    /// # Errors
    /// [`StandinError::Io`].
    pub async fn apply(&self, text: &str, base: u64) -> Result<Option<i32>, StandinError> {
        let path = self.scratch_file(&format!("services-{}.json", sha256_hex(text)));
        std::fs::write(&path, text)?;
        let status = Command::new(self.program("turmerictack"))
            .arg("apply")
            .arg("--platform")
            .arg(format!("http://{}", self.platform.public_address))
            .arg("--base")
            .arg(base.to_string())
            .arg(&path)
            .stdout(Stdio::null())
            .status()
            .await?;
        Ok(status.code())
    }
}
