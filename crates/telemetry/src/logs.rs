//! One line of key=value pairs for each event.

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
        sync::Arc,
    },
    turmerictack_settings::node::LogLevel,
};

/// Why the log could not be opened.
#[derive(Debug, Display, Error, From)]
pub enum LogError {
    /// the log library: {0}
    Library(spdlog::Error),
    /// the thread that writes the log could not be started
    Thread(io::Error),
}

/// An open log; dropping it writes what is queued.
#[must_use]
pub struct Log {
    queue: LineQueue,
}

impl Drop for Log {
    fn drop(&mut self) {
        self.queue.flush_all();
    }
}

/// Opens the log of a process on a stream and makes it the default one.
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

/// One event, as it is put together.
#[derive(Debug)]
#[must_use]
pub struct Event(String);

/// Starts the line of an event.
pub fn event(name: &str) -> Event {
    Event(format!("event={name}"))
}

impl Event {
    /// Adds a pair; a value with spaces or quotes is quoted.
    pub fn with(mut self, key: &str, value: impl ToString) -> Self {
        let value = value.to_string();
        let plain = !value.is_empty() && !value.contains([' ', '"', '=', '\n']);
        let _ = if plain {
            write!(self.0, " {key}={value}")
        } else {
            write!(self.0, " {key}={value:?}")
        };
        self
    }

    /// Logs it as a failure of the node itself.
    pub fn error(self) {
        spdlog::error!("{}", self.0);
    }

    /// Logs it as a failure around the node.
    pub fn warn(self) {
        spdlog::warn!("{}", self.0);
    }

    /// Logs it as a change of state.
    pub fn info(self) {
        spdlog::info!("{}", self.0);
    }

    /// Logs it as one of many.
    pub fn debug(self) {
        spdlog::debug!("{}", self.0);
    }
}
