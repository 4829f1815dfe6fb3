//! Effect log: a file with one JSON line per effect, which survives the process and is read by the
//! checks.

use {
    crate::error::StandinError,
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        fs::{self, File},
        io::Write as _,
        path::Path,
        sync::{Arc, Mutex, PoisonError},
        time::SystemTime,
    },
    turmerictack_model::clock::unix_millis,
};

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Effect {
    /// Wall-clock time in ms since the Unix epoch.
    pub at_ms: u64,
    /// Name of the event.
    pub event: String,
    /// Fields of the event.
    pub fields: BTreeMap<String, String>,
}

impl Effect {
    /// Value of a field; empty if it is absent.
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

/// Writer of an effect log; discards effects if it has no file.
#[derive(Clone, Debug, Default)]
pub struct EffectLog {
    file: Option<Arc<Mutex<File>>>,
}

impl EffectLog {
    /// Opens a log file for appending.
    ///
    /// # Errors
    /// [`StandinError::Io`].
    pub fn open(path: &str) -> Result<Self, StandinError> {
        let file = File::options().create(true).append(true).open(path)?;
        Ok(Self { file: Some(Arc::new(Mutex::new(file))) })
    }

    /// Appends an effect. Call this before the effect is visible outside the process, so that a
    /// crash cannot hide it.
    pub fn record(&self, event: &str, fields: &[(&str, &str)]) {
        let Some(file) = &self.file else { return };
        let effect = Effect {
            at_ms: unix_millis(SystemTime::now()),
            event: event.to_owned(),
            fields: fields.iter().map(|(k, v)| ((*k).to_owned(), (*v).to_owned())).collect(),
        };
        let Ok(line) = serde_json::to_string(&effect) else { return };
        let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{line}");
    }

    /// Reads a log; skips lines that cannot be parsed, such as a last line cut off by a crash.
    pub fn read(path: &Path) -> Vec<Effect> {
        let text = fs::read_to_string(path).unwrap_or_default();
        text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
    }
}
