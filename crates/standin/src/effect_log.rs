//! The log of effects: one line each in a file that outlives its process, read by proofs.

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

/// One effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Effect {
    /// Time of day in ms since the Unix epoch.
    pub at_ms: u64,
    /// What happened.
    pub event: String,
    /// Details.
    pub fields: BTreeMap<String, String>,
}

impl Effect {
    /// A detail; empty when it is not there.
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

/// Log of one stand-in; without a file, effects are dropped.
#[derive(Clone, Debug, Default)]
pub struct EffectLog {
    file: Option<Arc<Mutex<File>>>,
}

impl EffectLog {
    /// Appends to a file.
    ///
    /// # Errors
    /// [`StandinError::Io`].
    pub fn open(path: &str) -> Result<Self, StandinError> {
        let file = File::options().create(true).append(true).open(path)?;
        Ok(Self { file: Some(Arc::new(Mutex::new(file))) })
    }

    /// Notes an effect before anyone can learn of it.
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

    /// Reads a log; a last line that its process could not finish is left out.
    pub fn read(path: &Path) -> Vec<Effect> {
        let text = fs::read_to_string(path).unwrap_or_default();
        text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
    }
}
