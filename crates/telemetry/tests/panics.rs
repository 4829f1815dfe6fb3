//! Log lines of panics.

#![allow(clippy::unwrap_used, reason = "test helpers panic on failure, as tests do")]

use {
    std::{
        io::{self, Write},
        sync::{Arc, Mutex},
        thread,
    },
    turmerictack_settings::node::LogLevel,
    turmerictack_telemetry::logs,
};

#[derive(Clone, Default)]
struct Capture(Arc<Mutex<Vec<u8>>>);

impl Write for Capture {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn panic_is_logged_with_its_place() {
    let capture = Capture::default();
    let log = logs::open(LogLevel::Info, Box::new(capture.clone())).unwrap();
    logs::log_panics();
    let number = 7;
    assert!(thread::spawn(move || panic!("no {number}")).join().is_err());
    assert!(thread::spawn(|| panic!("none")).join().is_err());
    drop(log);
    let text = String::from_utf8(capture.0.lock().unwrap().clone()).unwrap();
    let lines: Vec<&str> = text.lines().filter(|l| l.contains("event=panicked")).collect();
    let location = "location=crates/telemetry/tests/panics.rs:";
    assert!(lines.iter().all(|line| line.contains(location)), "{text}");
    assert!(lines[0].ends_with("message=\"no 7\"") && lines[1].ends_with("message=none"), "{text}");
}
