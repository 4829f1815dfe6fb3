//! The record of a run: what was sent, answered and run, with the time since its start.

use std::{
    fs::File,
    io::Write as _,
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    pub fn open(path: &Path) -> Self {
        let file = File::create(path).expect("the record");
        Self { file: Arc::new(Mutex::new(file)), started_at: Instant::now() }
    }

    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("the record");
        let _ = writeln!(file, "{:9.3} {text}", self.started_at.elapsed().as_secs_f64());
    }

    /// Writes to the record and to the output.
    pub fn tell(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
