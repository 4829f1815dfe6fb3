//! The record of a case: what was sent, answered and run.

use std::{
    fs::File,
    io::{BufWriter, Write as _},
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    start: Instant,
    out: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can't be written");
        Self { start: Instant::now(), out: Arc::new(Mutex::new(BufWriter::new(file))) }
    }

    pub fn line(&self, text: &str) {
        let ms = self.start.elapsed().as_millis();
        let mut out = self.out.lock().unwrap();
        let _ = writeln!(out, "{ms:>7} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{:>7} {text}", self.start.elapsed().as_millis());
        self.line(text);
        let _ = self.out.lock().unwrap().flush();
    }
}
