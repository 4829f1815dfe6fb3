//! Bounded queue between the threads that log and the thread that writes the log.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{
            Receiver, RecvTimeoutError, Sender, SyncSender, TrySendError, channel, sync_channel,
        },
    },
    thread,
    time::Duration,
};

/// Capacity of the queue in lines; about 1 MB.
const MAX_QUEUED_LINES: usize = 4096;

/// Time for which [`LineQueue::flush_all`] waits for the writer thread, whose stream may be blocked.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

enum Item {
    Line(Vec<u8>),
    Flush(Sender<()>),
}

/// Queue of log lines that never blocks the caller: a full queue drops lines and counts them.
#[derive(Clone)]
pub struct LineQueue {
    sender: SyncSender<Item>,
    dropped: Arc<AtomicU64>,
}

impl LineQueue {
    /// Starts the thread that writes the queued lines to a stream.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub fn spawn(stream: Box<dyn Write + Send>) -> io::Result<Self> {
        Self::with_capacity(MAX_QUEUED_LINES, stream)
    }

    /// Like [`Self::spawn`], with a capacity of `lines`.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub fn with_capacity(lines: usize, stream: Box<dyn Write + Send>) -> io::Result<Self> {
        let (sender, receiver) = sync_channel(lines);
        let dropped = Arc::new(AtomicU64::new(0));
        let writer_dropped = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log-writer".to_owned())
            .spawn(move || write_lines(&receiver, &writer_dropped, stream))?;
        Ok(Self { sender, dropped })
    }

    /// Waits until all lines queued so far have been written.
    ///
    /// Once the flush is queued, the wait ends after 1 s at the latest.
    pub fn flush_all(&self) {
        let (acknowledge, flushed) = channel();
        if self.sender.send(Item::Flush(acknowledge)).is_ok() {
            // A blocked stream must not keep the process from exiting.
            let _: Result<(), RecvTimeoutError> = flushed.recv_timeout(FLUSH_TIMEOUT);
        }
    }

    /// Lines dropped since the writer thread last logged their number.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.sender.try_send(Item::Line(line.to_vec())) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(receiver: &Receiver<Item>, dropped: &AtomicU64, mut stream: Box<dyn Write + Send>) {
    while let Ok(item) = receiver.recv() {
        // Failures to write the log cannot be logged anywhere.
        let _ = match item {
            Item::Line(line) => stream.write_all(&line),
            Item::Flush(acknowledge) => {
                let flushed = stream.flush();
                let _ = acknowledge.send(());
                flushed
            }
        };
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            let _ = writeln!(stream, "level=warn event=log_lines_dropped count={count}");
        }
    }
}
