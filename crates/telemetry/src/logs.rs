//! Structured log: one line of `key=value` pairs for each event.

use {
    crate::queue::LineQueue,
    derive_more::{Error, From},
    displaydoc::Display,
    spdlog::{
        Level, LevelFilter, Logger,
        formatter::{PatternFormatter, pattern},
        sink::WriteSink,
    },
    std::{
        fmt::Write as _,
        io::{self, Write},
        panic,
        sync::Arc,
    },
    turmerictack_settings::node::LogLevel,
};

/// Failure to open the log.
#[derive(Debug, Display, Error, From)]
pub enum LogError {
    /// cannot set up the logger: {0}
    Library(spdlog::Error),
    /// cannot start the log writer thread
    Thread(io::Error),
}

/// Open log; dropping it flushes the queued lines.
#[must_use]
pub struct Log {
    queue: LineQueue,
}

impl Drop for Log {
    fn drop(&mut self) {
        self.queue.flush_all();
    }
}

/// Opens the log of the process on a stream and installs it as the default logger.
///
/// # Errors
/// Any [`LogError`].
pub fn open(level: LogLevel, stream: Box<dyn Write + Send>) -> Result<Log, LogError> {
    let format = PatternFormatter::new(pattern!(
        "at={year}-{month}-{day}T{hour}:{minute}:{second}.{millisecond} level={level} {payload}{eol}"
    ));
    let queue = LineQueue::spawn(stream)?;
    let sink = WriteSink::builder().target(queue.clone()).formatter(format).build()?;
    let filter = LevelFilter::MoreSevereEqual(match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    });
    let logger = Logger::builder().sink(Arc::new(sink)).level_filter(filter).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(Log { queue })
}

/// Logs each panic as an event, in addition to what is done about it otherwise.
pub fn log_panics() {
    let previous = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        let location = info.location().map(ToString::to_string).unwrap_or_default();
        let payload = info.payload();
        let text = payload.downcast_ref::<String>().map(String::as_str);
        let message = text.or_else(|| payload.downcast_ref::<&str>().copied()).unwrap_or_default();
        event("panicked").with("location", location).with("message", message).error();
        previous(info);
    }));
}

/// Builder for the log line of an event.
#[derive(Debug)]
#[must_use]
pub struct Event(String);

/// Starts the log line of an event.
pub fn event(name: &str) -> Event {
    Event(format!("event={name}"))
}

impl Event {
    /// Adds a key and its value, which is quoted if it is empty or contains spaces, quotes, line
    /// breaks or equals signs.
    pub fn with(mut self, key: &str, value: impl ToString) -> Self {
        let value = value.to_string();
        let needs_no_quotes = !value.is_empty() && !value.contains([' ', '"', '=', '\n']);
        let _ = if needs_no_quotes {
            write!(self.0, " {key}={value}")
        } else {
            write!(self.0, " {key}={value:?}")
        };
        self
    }

    /// Logs the event as a failure of this process.
    pub fn error(self) {
        spdlog::error!("{}", self.0);
    }

    /// Logs the event as a failure outside this process.
    pub fn warn(self) {
        spdlog::warn!("{}", self.0);
    }

    /// Logs the event as a change of state.
    pub fn info(self) {
        spdlog::info!("{}", self.0);
    }

    /// Logs the event as a frequent one, such as a single call.
    pub fn debug(self) {
        spdlog::debug!("{}", self.0);
    }
}
