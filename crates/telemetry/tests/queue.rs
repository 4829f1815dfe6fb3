//! A blocked log stream must not block the threads that log.

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

const CAPACITY: usize = 2;
const LINES: u64 = 10;

/// Stream whose writes block until the sender of `gate` is dropped.
struct BlockedStream {
    gate: Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockedStream {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.gate.recv();
        self.written.lock().expect("the writer thread panicked").write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[rstest]
fn blocked_stream_drops_lines_and_logs_their_number() {
    let (unblock, gate) = channel::<()>();
    let written = Arc::new(Mutex::new(Vec::new()));
    let stream = BlockedStream { gate, written: Arc::clone(&written) };
    let mut queue = LineQueue::with_capacity(CAPACITY, Box::new(stream)).unwrap();
    for number in 0..LINES {
        queue.write_all(format!("line {number}\n").as_bytes()).unwrap();
    }
    // Besides the queued lines, the writer thread may hold one.
    let accepted = CAPACITY as u64 + 1;
    assert!(queue.dropped() >= LINES - accepted, "{} dropped", queue.dropped());
    drop(unblock);
    queue.flush_all();
    let text = String::from_utf8(written.lock().unwrap().clone()).unwrap();
    assert!(text.starts_with("line 0\n"), "{text}");
    assert!(text.contains("event=log_lines_dropped count="), "{text}");
}
