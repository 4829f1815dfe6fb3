//! The queue between the threads that log and a stream that takes no bytes.

use {
    rstest::rstest,
    std::{
        io::{self, Write},
        sync::{
            Arc, Mutex,
            mpsc::{Receiver, channel},
        },
    },
    turmerictack_telemetry::queue::LineQueue,
};

const ROOM: usize = 2;
const LINES: u64 = 10;

/// A stream that takes nothing until its gate is dropped.
struct Gated {
    gate: Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for Gated {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.gate.recv();
        self.written.lock().expect("the writer does not panic").write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[rstest]
fn a_stream_that_takes_nothing_blocks_no_caller_and_drops_are_told() {
    let (open, gate) = channel::<()>();
    let written = Arc::new(Mutex::new(Vec::new()));
    let stream = Gated { gate, written: Arc::clone(&written) };
    let mut queue = LineQueue::with_capacity(ROOM, Box::new(stream)).unwrap();
    for at in 0..LINES {
        queue.write_all(format!("line {at}\n").as_bytes()).unwrap();
    }
    // Besides the queued ones, the writer may hold one line.
    let kept = ROOM as u64 + 1;
    assert!(queue.dropped() >= LINES - kept, "{} dropped", queue.dropped());
    drop(open);
    queue.flush_all();
    let text = String::from_utf8(written.lock().unwrap().clone()).unwrap();
    assert!(text.starts_with("line 0\n"), "{text}");
    assert!(text.contains("event=log_lines_dropped count="), "{text}");
}
