//! Bounded queue between the threads that log and the stream that the lines go to.

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

/// Lines that wait at most; about a megabyte.
const MAX_QUEUED_LINES: usize = 4096;

/// Time that [`LineQueue::flush_all`] waits for a stream that takes no bytes.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

enum Item {
    Line(Vec<u8>),
    Flush(Sender<()>),
}

/// Queue of lines; a full one drops lines and counts them instead of blocking.
#[derive(Clone)]
pub struct LineQueue {
    items: SyncSender<Item>,
    dropped: Arc<AtomicU64>,
}

impl LineQueue {
    /// Starts the thread that writes queued lines to a stream.
    ///
    /// # Errors
    /// The thread could not be started.
    pub fn spawn(stream: Box<dyn Write + Send>) -> io::Result<Self> {
        Self::with_capacity(MAX_QUEUED_LINES, stream)
    }

    /// Like [`Self::spawn`], with room for this many lines.
    ///
    /// # Errors
    /// The thread could not be started.
    pub fn with_capacity(lines: usize, stream: Box<dyn Write + Send>) -> io::Result<Self> {
        let (items, queued) = sync_channel(lines);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log-writer".to_owned())
            .spawn(move || write_lines(&queued, &counter, stream))?;
        Ok(Self { items, dropped })
    }

    /// Waits until every line queued so far was written.
    pub fn flush_all(&self) {
        let (done, flushed) = channel();
        if self.items.send(Item::Flush(done)).is_ok() {
            // A stream that takes no bytes must not hold up the end of the process.
            let _: Result<(), RecvTimeoutError> = flushed.recv_timeout(FLUSH_TIMEOUT);
        }
    }

    /// Lines dropped since the last report of it.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.items.try_send(Item::Line(line.to_vec())) {
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

fn write_lines(queued: &Receiver<Item>, dropped: &AtomicU64, mut stream: Box<dyn Write + Send>) {
    while let Ok(item) = queued.recv() {
        // A log that can't be written has nowhere to report it.
        let _ = match item {
            Item::Line(line) => stream.write_all(&line),
            Item::Flush(done) => {
                let flushed = stream.flush();
                let _ = done.send(());
                flushed
            }
        };
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let _ = writeln!(stream, "level=warn event=log_lines_dropped count={lost}");
        }
    }
}
