//! Statements of the scenario language and their parser.
//!
//! ```text
//! fleet nodes=3 groups=2 spares=1 domains=2 workers=2 fencing=off dedup=on first=20ms between=10ms
//! open assistant 2 within 20s
//! chat c1 via n1 rank urgent chunks 40
//! book b1 via n1 key k1            # "via all" sends one copy through each node
//! kill eng-1 | pause n1 | resume n1 | start n1 | replace eng-1
//! passage platform cut             # open, cut, silent-old, silent-all; also n1:peers,
//!                                  # n1:platform and fabric-1 for all of its engines
//! fault booking-1 lose-answer slow=2s   # or crash-before, crash-after, old-reads, leaving, none
//! leave eng-1 | drain n1 | wait 500ms | done c1 within 10s   # all copies of the call
//! apply floor=45 base=1 accepted   # or stale
//! race 4 base=1                    # four configurations at once, of which one is accepted
//! expect c1 answered               # or not-run, unknown, told, failed
//! expect same b1 b2 | expect executions k1 1 | expect exit n1 0 within 20s
//! expect revision 2 on all within 7s | expect quarantined p3
//! ```

use {
    crate::{error::StandinError, fault::Faults, fleet_config::FleetConfig, relay::RelayMode},
    std::time::Duration,
    turmerictack_model::rank::Rank,
    winnow::{
        ModalResult, Parser as _,
        ascii::{dec_uint, space0, space1},
        combinator::{alt, delimited, eof, opt, preceded, repeat, terminated},
        token::take_while,
    },
};

/// A statement of a scenario.
#[derive(Clone, Debug, PartialEq)]
pub enum Statement {
    /// Start a fleet with this configuration.
    Fleet(FleetConfig),
    /// Wait until every running node has this many open upstreams of a service, at most so long.
    AwaitOpen(String, usize, Duration),
    /// Start a chat completion call.
    Chat(Chat),
    /// Start a booking call.
    Book(Booking),
    /// Send SIGKILL to a process.
    Kill(String),
    /// Suspend a process with SIGSTOP.
    Pause(String),
    /// Continue a suspended process with SIGCONT.
    Resume(String),
    /// Start a node that is not running.
    Start(String),
    /// Restart an engine or booking service under the same instance name.
    Replace(String),
    /// Set the mode of the relay in front of a process, of a node's peer or platform connections,
    /// or of all engines of a fabric domain.
    SetRelayMode(String, RelayMode),
    /// Inject faults into a process.
    Fault(String, Faults),
    /// Mark an upstream as leaving in the platform's instance list.
    MarkLeaving(String),
    /// Begin to drain a node.
    Drain(String),
    /// Submit a services configuration.
    Apply(Apply),
    /// Submit this many configurations concurrently, all based on this revision.
    Race(usize, u64),
    /// Wait for this time, lengthened at random.
    Wait(Duration),
    /// Wait until a call has ended, at most so long.
    AwaitEnd(String, Duration),
    /// Check an expectation.
    Expect(Expectation),
}

/// A chat completion call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chat {
    /// Name of the call, which is also the prompt if none is given.
    pub id: String,
    /// Node that receives the call.
    pub via: String,
    /// Rank of the call.
    pub rank: Rank,
    /// Number of response chunks to request.
    pub chunks: u64,
    /// Prompt, if other than the name.
    pub prompt: Option<String>,
}

/// A booking call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Booking {
    /// Name of the call.
    pub id: String,
    /// Node that receives the call, or `all` to send a copy through each node.
    pub via: String,
    /// Idempotency key.
    pub key: String,
}

/// A services configuration to submit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Apply {
    /// Floor of the urgent rank in percent.
    pub floor: u32,
    /// Revision that the configuration is based on.
    pub base: u64,
    /// Whether it should be accepted; otherwise it should be rejected as stale.
    pub accepted: bool,
}

/// An expectation that a scenario states.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Expectation {
    /// A call ended in this way.
    Ended(String, Ending),
    /// Two calls succeeded with the same response.
    Same(String, String),
    /// The booking services executed an idempotency key this many times.
    Executions(String, usize),
    /// A node exits with this code within a time.
    Exit(String, i32, Duration),
    /// All running nodes apply at least this settings revision within a time.
    Revision(u64, Duration),
    /// A call was rejected because its request is in quarantine.
    Quarantined(String),
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The response is complete.
    Answered,
    /// The caller was told that the call was not executed.
    NotRun,
    /// The caller was told that the outcome is unknown.
    Unknown,
    /// The caller got a complete response or an explicit outcome.
    Informed,
    /// The connection failed before a response status arrived.
    ConnectionLost,
}

fn word<'a>(input: &mut &'a str) -> ModalResult<&'a str> {
    take_while(1.., |c: char| c.is_ascii_alphanumeric() || "-_.:*".contains(c)).parse_next(input)
}

fn name(input: &mut &str) -> ModalResult<String> {
    word.map(str::to_owned).parse_next(input)
}

fn argument<'a>(keyword: &'a str) -> impl FnMut(&mut &'a str) -> ModalResult<String> {
    move |input| preceded((space1, keyword, space1), name).parse_next(input)
}

fn duration(input: &mut &str) -> ModalResult<Duration> {
    let unit = alt(("ms".value(1), "s".value(1000)));
    (dec_uint::<_, u64, _>, unit).map(|(n, unit)| Duration::from_millis(n * unit)).parse_next(input)
}

fn within(input: &mut &str) -> ModalResult<Duration> {
    preceded((space1, "within", space1), duration).parse_next(input)
}

fn number(input: &mut &str) -> ModalResult<usize> {
    dec_uint::<_, u32, _>.map(|n| n as usize).parse_next(input)
}

fn on_off(input: &mut &str) -> ModalResult<bool> {
    alt(("on".value(true), "off".value(false))).parse_next(input)
}

type Setting = Box<dyn Fn(&mut FleetConfig)>;

fn setting(input: &mut &str) -> ModalResult<Setting> {
    let ms = |d: Duration| d.as_millis() as u64;
    alt((
        preceded("nodes=", number)
            .map(|n| Box::new(move |c: &mut FleetConfig| c.nodes = n) as Setting),
        preceded("groups=", number)
            .map(|n| Box::new(move |c: &mut FleetConfig| c.groups = n) as Setting),
        preceded("spares=", number)
            .map(|n| Box::new(move |c: &mut FleetConfig| c.spares = n) as Setting),
        preceded("domains=", number)
            .map(|n| Box::new(move |c: &mut FleetConfig| c.domains = n) as Setting),
        preceded("workers=", number)
            .map(|n| Box::new(move |c: &mut FleetConfig| c.booking_services = n) as Setting),
        preceded("fencing=", on_off)
            .map(|b| Box::new(move |c: &mut FleetConfig| c.fencing = b) as Setting),
        preceded("dedup=", on_off)
            .map(|b| Box::new(move |c: &mut FleetConfig| c.deduplicates = b) as Setting),
        preceded("first=", duration)
            .map(move |d| Box::new(move |c: &mut FleetConfig| c.first_token_ms = ms(d)) as Setting),
        preceded("between=", duration).map(move |d| {
            Box::new(move |c: &mut FleetConfig| c.between_tokens_ms = ms(d)) as Setting
        }),
    ))
    .parse_next(input)
}

fn fleet(input: &mut &str) -> ModalResult<Statement> {
    let settings = repeat(0.., preceded(space1, setting));
    let settings: Vec<Setting> = preceded("fleet", settings).parse_next(input)?;
    let mut config = FleetConfig::default();
    settings.iter().for_each(|set| set(&mut config));
    Ok(Statement::Fleet(config))
}

fn open(input: &mut &str) -> ModalResult<Statement> {
    (preceded(("open", space1), name), preceded(space1, number), within)
        .map(|(service, count, time)| Statement::AwaitOpen(service, count, time))
        .parse_next(input)
}

fn rank(input: &mut &str) -> ModalResult<Rank> {
    alt((
        "urgent".value(Rank::Urgent),
        "standard".value(Rank::Standard),
        "batch".value(Rank::Batch),
    ))
    .parse_next(input)
}

fn chat(input: &mut &str) -> ModalResult<Statement> {
    (
        preceded(("chat", space1), name),
        argument("via"),
        preceded((space1, "rank", space1), rank),
        preceded((space1, "chunks", space1), dec_uint),
        opt(argument("prompt")),
    )
        .map(|(id, via, rank, chunks, prompt)| {
            Statement::Chat(Chat { id, via, rank, chunks, prompt })
        })
        .parse_next(input)
}

fn book(input: &mut &str) -> ModalResult<Statement> {
    (preceded(("book", space1), name), argument("via"), argument("key"))
        .map(|(id, via, key)| Statement::Book(Booking { id, via, key }))
        .parse_next(input)
}

fn on_process(input: &mut &str) -> ModalResult<Statement> {
    let verb = alt(("kill", "pause", "resume", "start", "replace", "leave", "drain"));
    let (verb, target) = (terminated(verb, space1), name).parse_next(input)?;
    Ok(match verb {
        "kill" => Statement::Kill(target),
        "pause" => Statement::Pause(target),
        "resume" => Statement::Resume(target),
        "start" => Statement::Start(target),
        "replace" => Statement::Replace(target),
        "leave" => Statement::MarkLeaving(target),
        _ => Statement::Drain(target),
    })
}

fn relay_mode(input: &mut &str) -> ModalResult<Statement> {
    let relay_mode = alt((
        "open".value(RelayMode::Open),
        "cut".value(RelayMode::Cut),
        "silent-old".value(RelayMode::SilentOld),
        "silent-all".value(RelayMode::SilentAll),
    ));
    (preceded(("passage", space1), name), preceded(space1, relay_mode))
        .map(|(target, relay_mode)| Statement::SetRelayMode(target, relay_mode))
        .parse_next(input)
}

fn one_fault(faults: Faults) -> impl FnMut(&mut &str) -> ModalResult<Faults> {
    move |input| {
        alt((
            "none".value(Faults::default()),
            "lose-answer".value(Faults { lose_answer: true, ..faults }),
            "crash-before".value(Faults { crash_before: true, ..faults }),
            "crash-after".value(Faults { crash_after: true, ..faults }),
            "old-reads".value(Faults { old_reads: true, ..faults }),
            "leaving".value(Faults { leaving: true, ..faults }),
            preceded("slow=", duration).map(|d| Faults { slow_ms: d.as_millis() as u64, ..faults }),
        ))
        .parse_next(input)
    }
}

fn fault(input: &mut &str) -> ModalResult<Statement> {
    let target = preceded(("fault", space1), name).parse_next(input)?;
    let mut faults = preceded(space1, one_fault(Faults::default())).parse_next(input)?;
    while let Some(more) = opt(preceded(space1, one_fault(faults))).parse_next(input)? {
        faults = more;
    }
    Ok(Statement::Fault(target, faults))
}

fn apply(input: &mut &str) -> ModalResult<Statement> {
    let ending = alt(("accepted".value(true), "stale".value(false)));
    (preceded("apply floor=", dec_uint), preceded(" base=", dec_uint), preceded(space1, ending))
        .map(|(floor, base, accepted)| Statement::Apply(Apply { floor, base, accepted }))
        .parse_next(input)
}

fn race(input: &mut &str) -> ModalResult<Statement> {
    (preceded(("race", space1), number), preceded(" base=", dec_uint))
        .map(|(count, base)| Statement::Race(count, base))
        .parse_next(input)
}

fn wait(input: &mut &str) -> ModalResult<Statement> {
    preceded(("wait", space1), duration).map(Statement::Wait).parse_next(input)
}

fn done(input: &mut &str) -> ModalResult<Statement> {
    (preceded(("done", space1), name), within)
        .map(|(id, time)| Statement::AwaitEnd(id, time))
        .parse_next(input)
}

fn ending(input: &mut &str) -> ModalResult<Ending> {
    alt((
        "answered".value(Ending::Answered),
        "not-run".value(Ending::NotRun),
        "unknown".value(Ending::Unknown),
        "told".value(Ending::Informed),
        "failed".value(Ending::ConnectionLost),
    ))
    .parse_next(input)
}

fn expectation(input: &mut &str) -> ModalResult<Expectation> {
    alt((
        (preceded(("same", space1), name), preceded(space1, name))
            .map(|(a, b)| Expectation::Same(a, b)),
        (preceded(("executions", space1), name), preceded(space1, number))
            .map(|(key, count)| Expectation::Executions(key, count)),
        (preceded(("exit", space1), name), preceded(space1, dec_uint::<_, u8, _>), within)
            .map(|(node, code, time)| Expectation::Exit(node, code.into(), time)),
        (preceded(("revision", space1), dec_uint), preceded(" on all", within))
            .map(|(revision, time)| Expectation::Revision(revision, time)),
        preceded(("quarantined", space1), name).map(Expectation::Quarantined),
        (name, preceded(space1, ending)).map(|(id, ending)| Expectation::Ended(id, ending)),
    ))
    .parse_next(input)
}

fn expect(input: &mut &str) -> ModalResult<Statement> {
    preceded(("expect", space1), expectation).map(Statement::Expect).parse_next(input)
}

fn statement(input: &mut &str) -> ModalResult<Statement> {
    let on_fleet = alt((fleet, open, on_process, relay_mode, fault));
    let on_calls = alt((chat, book, done, expect));
    alt((on_fleet, on_calls, apply, race, wait)).parse_next(input)
}

/// Parses a scenario into statements with their line numbers, from 1.
///
/// # Errors
/// [`StandinError::Syntax`] at the first line that is not a statement.
pub fn parse(file: &str, text: &str) -> Result<Vec<(usize, Statement)>, StandinError> {
    let mut statements = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let code = line.split('#').next().unwrap_or_default().trim_end();
        if code.trim().is_empty() {
            continue;
        }
        let parsed = delimited(space0, statement, (space0, eof)).parse(code);
        let statement = parsed.map_err(|_| StandinError::Syntax {
            file: file.to_owned(),
            line: index + 1,
            expected: "a statement of the scenario language",
        })?;
        statements.push((index + 1, statement));
    }
    Ok(statements)
}
