//! Runs a scenario against a fleet of processes and judges it.

use {
    crate::{
        client::{Caller, Told},
        error::StandinError,
        fleet::Fleet,
        judge::{Absence, Account, Evidence},
        plan::{caller_key, services_text},
        relay::Passage,
        scenario::language::{Apply, Book, Chat, Claim, Ending, Statement, read},
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

/// Longest time that a call may take before the run counts it as without an end.
const CALL_BOUND: Duration = Duration::from_secs(60);

/// Time between looks at something that is awaited.
const LOOK: Duration = Duration::from_millis(40);

/// Urgent floor in percent of the first text of a race.
const RACE_FLOOR: u32 = 31;

/// Largest share that a wait is lengthened by, at random.
const JITTER: f64 = 0.5;

struct Running {
    key: Option<String>,
    chat: Option<(String, u64)>,
    task: JoinHandle<Told>,
}

/// A scenario that runs.
struct Run<'a> {
    file: &'a str,
    line: usize,
    fleet: Option<Fleet>,
    running: BTreeMap<String, Running>,
    accounts: BTreeMap<String, Account>,
    absences: Vec<Absence>,
    leaving: BTreeMap<String, u64>,
    revisions: BTreeMap<String, Vec<Revision>>,
    rng: Pcg64Mcg,
}

fn now_ms() -> u64 {
    unix_millis(SystemTime::now())
}

/// Runs a scenario and judges it; an error is the first claim or promise that did not hold.
///
/// # Errors
/// [`StandinError::Unmet`], [`StandinError::Syntax`] or a failure of the scaffolding.
pub async fn run(file: &str, text: &str, seed: u64) -> Result<(), StandinError> {
    let statements = read(file, text)?;
    let mut run = Run {
        file,
        line: 0,
        fleet: None,
        running: BTreeMap::new(),
        accounts: BTreeMap::new(),
        absences: Vec::new(),
        leaving: BTreeMap::new(),
        revisions: BTreeMap::new(),
        rng: Pcg64Mcg::seed_from_u64(seed),
    };
    let result = run.all(statements).await;
    if result.is_err() {
        run.print_logs();
    }
    result
}

impl Run<'_> {
    async fn all(&mut self, statements: Vec<(usize, Statement)>) -> Result<(), StandinError> {
        for (line, statement) in statements {
            self.line = line;
            self.one(statement).await?;
            self.note_revisions().await;
        }
        let ids: Vec<String> = self.running.keys().cloned().collect();
        for id in ids {
            self.finish(&id, CALL_BOUND).await?;
        }
        self.judge().await
    }

    /// Prints the end of each node's log, for whoever looks for the cause.
    fn print_logs(&self) {
        let Some(fleet) = &self.fleet else { return };
        for name in fleet.nodes.keys() {
            let log = fleet.node_log(name).unwrap_or_default();
            let lines: Vec<&str> = log.lines().collect();
            eprintln!("--- {name}\n{}", lines[lines.len().saturating_sub(40)..].join("\n"));
        }
    }

    fn fleet(&mut self) -> Result<&mut Fleet, StandinError> {
        self.fleet.as_mut().ok_or_else(|| StandinError::Unknown { name: "fleet".to_owned() })
    }

    fn unmet(&self, claim: &str, seen: impl ToString) -> StandinError {
        let (file, line) = (self.file.to_owned(), self.line);
        StandinError::Unmet { file, line, claim: claim.to_owned(), seen: seen.to_string() }
    }

    async fn one(&mut self, statement: Statement) -> Result<(), StandinError> {
        match statement {
            Statement::Fleet(plan) => self.fleet = Some(Fleet::spawn(plan).await?),
            Statement::Open(service, count, time) => {
                if !self.fleet()?.await_open(&service, count, time).await {
                    return Err(self.unmet("upstreams open", format!("not {count} of {service}")));
                }
            }
            Statement::Chat(chat) => self.chat(chat)?,
            Statement::Book(book) => self.book(book)?,
            Statement::Kill(name) => self.kill(&name)?,
            Statement::Pause(name) => {
                self.fleet()?.process_mut(&name)?.signal(Signal::SIGSTOP)?;
                self.absences.push(Absence { name, from_ms: now_ms(), until_ms: None });
            }
            Statement::Resume(name) => {
                self.fleet()?.process_mut(&name)?.signal(Signal::SIGCONT)?;
                self.returned(&name);
            }
            Statement::Start(name) => self.fleet()?.start_node(&name)?,
            Statement::Replace(name) => self.replace(&name).await?,
            Statement::Passage(target, passage) => self.passage(&target, passage).await?,
            Statement::Fault(name, faults) => self.fleet()?.fault(&name, faults).await?,
            Statement::Leave(name) => {
                self.fleet()?.list_leaving(&name).await?;
                self.leaving.insert(name, now_ms());
            }
            Statement::Drain(name) => self.fleet()?.drain(&name).await?,
            Statement::Apply(apply) => self.apply(apply).await?,
            Statement::Race(count, base) => self.race(count, base).await?,
            Statement::Wait(time) => {
                let jitter = self.rng.random_range(0.0..JITTER);
                sleep(time.mul_f64(1.0 + jitter)).await;
            }
            Statement::Done(id, time) => self.finish_copies(&id, time).await?,
            Statement::Expect(claim) => self.expect(claim).await?,
        }
        Ok(())
    }

    fn chat(&mut self, chat: Chat) -> Result<(), StandinError> {
        let address = self.fleet()?.node(&chat.via)?.callers.clone();
        let caller = Caller::open(&caller_key("member"))?;
        let prompt = chat.prompt.unwrap_or_else(|| chat.id.clone());
        let asked = (prompt.clone(), chat.chunks);
        let call = async move {
            caller.chat(&address, "assistant", &prompt, chat.chunks, chat.rank).await
        };
        self.start(chat.id, None, Some(asked), call);
        Ok(())
    }

    fn book(&mut self, book: Book) -> Result<(), StandinError> {
        let nodes = match book.via.as_str() {
            "all" => self.fleet()?.nodes.keys().cloned().collect(),
            one => vec![one.to_owned()],
        };
        for node in &nodes {
            let address = self.fleet()?.node(node)?.callers.clone();
            let caller = Caller::open(&caller_key("crew"))?;
            let id = if nodes.len() > 1 { format!("{}.{node}", book.id) } else { book.id.clone() };
            let key = book.key.clone();
            let body = format!("crew for {key}");
            let call = async move { caller.book(&address, &key, &body).await };
            self.start(id, Some(book.key.clone()), None, call);
        }
        Ok(())
    }

    fn start<F>(&mut self, id: String, key: Option<String>, chat: Option<(String, u64)>, call: F)
    where
        F: Future<Output = Told> + Send + 'static,
    {
        self.running.insert(id, Running { key, chat, task: tokio::spawn(call) });
    }

    fn kill(&mut self, name: &str) -> Result<(), StandinError> {
        self.fleet()?.process_mut(name)?.signal(Signal::SIGKILL)?;
        let absence = Absence { name: name.to_owned(), from_ms: now_ms(), until_ms: None };
        self.absences.push(absence);
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
        self.returned(name);
        Ok(())
    }

    fn returned(&mut self, name: &str) {
        for absence in self.absences.iter_mut().filter(|a| a.name == name) {
            absence.until_ms.get_or_insert(now_ms());
        }
    }

    async fn passage(&mut self, target: &str, passage: Passage) -> Result<(), StandinError> {
        let fleet = self.fleet()?;
        match target.split_once(':') {
            Some((node, "peers")) => fleet.node(node)?.peers.set(passage),
            Some((node, "platform")) => fleet.node(node)?.platform.set(passage),
            _ if target.starts_with("fabric-") => self.passage_to_domain(target, passage).await?,
            _ => fleet.passage(target, passage).await?,
        }
        Ok(())
    }

    /// Changes the passage to every engine of a domain; what is cut counts as away.
    async fn passage_to_domain(
        &mut self,
        domain: &str,
        passage: Passage,
    ) -> Result<(), StandinError> {
        for engine in self.fleet()?.plan.engines_of(domain) {
            self.fleet()?.passage(&engine, passage).await?;
            if passage == Passage::Open {
                self.returned(&engine);
            } else {
                self.absences.push(Absence { name: engine, from_ms: now_ms(), until_ms: None });
            }
        }
        Ok(())
    }

    /// Committee members accept different texts on one base at once; one of them must succeed.
    async fn race(&mut self, count: usize, base: u64) -> Result<(), StandinError> {
        let fleet = self.fleet.as_ref();
        let fleet = fleet.ok_or_else(|| StandinError::Unknown { name: "fleet".to_owned() })?;
        let texts = (0..count).map(|n| services_text(&fleet.plan, RACE_FLOOR + n as u32));
        let texts: Vec<String> = texts.collect();
        let codes = join_all(texts.iter().map(|text| fleet.apply(text, base))).await;
        let codes = codes.into_iter().collect::<Result<Vec<_>, _>>()?;
        let with = |code| codes.iter().filter(|c| **c == Some(code)).count();
        if (with(0), with(3)) != (1, count - 1) {
            return Err(self.unmet("one of them is accepted", format!("exit codes {codes:?}")));
        }
        Ok(())
    }

    /// Accepts a text with the operators' tool, as a committee member would.
    async fn apply(&mut self, apply: Apply) -> Result<(), StandinError> {
        let fleet = self.fleet()?;
        let text = services_text(&fleet.plan, apply.floor);
        let code = fleet.apply(&text, apply.base).await?;
        let expected = if apply.accepted { 0 } else { 3 };
        if code != Some(expected) {
            return Err(self.unmet("apply", format!("exit code {code:?}")));
        }
        Ok(())
    }

    /// Waits until a call has ended through every node that it was sent through.
    async fn finish_copies(&mut self, id: &str, time: Duration) -> Result<(), StandinError> {
        let until = Instant::now() + time;
        let copies = format!("{id}.");
        let of_call = |running: &&String| *running == id || running.starts_with(&copies);
        let ids: Vec<String> = self.running.keys().filter(of_call).cloned().collect();
        if ids.is_empty() {
            return Err(StandinError::Unknown { name: id.to_owned() });
        }
        for id in ids {
            self.finish(&id, until.saturating_duration_since(Instant::now())).await?;
        }
        Ok(())
    }

    async fn finish(&mut self, id: &str, time: Duration) -> Result<(), StandinError> {
        let Some(mut running) = self.running.remove(id) else {
            return Err(StandinError::Unknown { name: id.to_owned() });
        };
        let Ok(told) = tokio::time::timeout(time, &mut running.task).await else {
            return Err(self.unmet("a call ends", format!("{id} has not ended")));
        };
        let told = told.unwrap_or_default();
        let (key, chat) = (running.key, running.chat);
        let account = Account { id: id.to_owned(), key, chat, told };
        self.accounts.insert(id.to_owned(), account);
        Ok(())
    }

    async fn told(&mut self, id: &str) -> Result<Told, StandinError> {
        if self.running.contains_key(id) {
            self.finish(id, CALL_BOUND).await?;
        }
        let account = self.accounts.get(id);
        let unknown = || StandinError::Unknown { name: id.to_owned() };
        account.map(|a| a.told.clone()).ok_or_else(unknown)
    }

    async fn expect(&mut self, claim: Claim) -> Result<(), StandinError> {
        match claim {
            Claim::Ended(id, ending) => {
                let told = self.told(&id).await?;
                let held = match ending {
                    Ending::Answered => told.is_answered(),
                    Ending::NotRun => told.is_not_run(),
                    Ending::Unknown => told.outcome.as_deref() == Some("unknown"),
                    Ending::Told => told.is_answered() || told.outcome.is_some(),
                    Ending::Failed => told.status == 0,
                };
                if !held {
                    return Err(self.unmet(&format!("{id} {ending:?}"), format!("{told:?}")));
                }
            }
            Claim::Same(a, b) => {
                let (a, b) = (self.told(&a).await?, self.told(&b).await?);
                if a.text != b.text || !a.is_answered() || !b.is_answered() {
                    return Err(self.unmet("same answers", format!("{a:?} and {b:?}")));
                }
            }
            Claim::Executions(key, count) => {
                let seen = Evidence::of(self.fleet()?).await.executions(&key);
                if seen != count {
                    return Err(self.unmet(&format!("{key} ran {count} times"), seen));
                }
            }
            Claim::Exit(node, code, time) => self.expect_exit(&node, code, time).await?,
            Claim::Revision(revision, time) => self.expect_revision(revision, time).await?,
            Claim::Quarantined(id) => {
                let told = self.told(&id).await?;
                if told.code.as_deref() != Some("quarantined") {
                    return Err(self.unmet(&format!("{id} quarantined"), format!("{told:?}")));
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
        let until = Instant::now() + time;
        loop {
            if let Some(seen) = self.fleet()?.process_mut(node)?.ended() {
                self.fleet()?.node_mut(node)?.process = None;
                if seen == Some(code) {
                    return Ok(());
                }
                return Err(self.unmet(&format!("{node} exits {code}"), format!("{seen:?}")));
            }
            if Instant::now() >= until {
                return Err(self.unmet(&format!("{node} exits {code}"), "it still runs"));
            }
            sleep(LOOK).await;
        }
    }

    async fn expect_revision(&mut self, wanted: u64, time: Duration) -> Result<(), StandinError> {
        let until = Instant::now() + time;
        loop {
            self.note_revisions().await;
            let nodes = self.fleet()?.running_nodes();
            let last = |n: &String| self.revisions.get(n).and_then(|r| r.last()).copied();
            let seen: Vec<Option<u64>> = nodes.iter().map(last).collect();
            if seen.iter().all(|r| *r >= Some(wanted)) {
                return Ok(());
            }
            if Instant::now() >= until {
                let claim = format!("revision {wanted} in force on {nodes:?}");
                return Err(self.unmet(&claim, format!("{seen:?}")));
            }
            sleep(LOOK).await;
        }
    }

    async fn note_revisions(&mut self) {
        let Some(fleet) = &self.fleet else { return };
        for name in fleet.running_nodes() {
            let asked = tokio::time::timeout(Duration::from_secs(1), fleet.status(&name)).await;
            if let Ok(Ok(status)) = asked {
                self.revisions.entry(name).or_default().push(status.revision);
            }
        }
    }

    async fn judge(&mut self) -> Result<(), StandinError> {
        let Some(fleet) = &self.fleet else { return Ok(()) };
        let mut evidence = Evidence::of(fleet).await;
        evidence.accounts = self.accounts.values().cloned().collect();
        evidence.absences = self.absences.clone();
        evidence.leaving = self.leaving.clone();
        evidence.revisions = self.revisions.clone();
        let broken = evidence.broken();
        if broken.is_empty() { Ok(()) } else { Err(self.unmet("promises", broken.join("; "))) }
    }
}

impl Fleet {
    /// Runs `turmerictack apply` and gives its exit code.
    ///
    /// # Errors
    /// [`StandinError::Io`].
    pub async fn apply(&self, text: &str, base: u64) -> Result<Option<i32>, StandinError> {
        let path = self.scratch_file(&format!("services-{}.json", sha256_hex(text)));
        std::fs::write(&path, text)?;
        let status = Command::new(self.program("turmerictack"))
            .arg("apply")
            .arg("--platform")
            .arg(format!("http://{}", self.platform.public))
            .arg("--base")
            .arg(base.to_string())
            .arg(&path)
            .stdout(Stdio::null())
            .status()
            .await?;
        Ok(status.code())
    }
}
