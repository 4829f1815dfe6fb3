//! Fixed-size pool of worker threads with a bounded queue.
//!
//! The decisions of a node, such as admission and routing, run here instead of on the threads of
//! the async runtime.

use {
    displaydoc::Display,
    futures::channel::oneshot,
    std::{
        collections::VecDeque,
        fmt,
        sync::{Arc, Condvar, Mutex, MutexGuard},
        thread::{Builder, JoinHandle},
    },
};

type Job = Box<dyn FnOnce() + Send>;

/// Reason why the pool did not run a job.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, derive_more::Error)]
pub enum PoolError {
    /// worker pool queue is full ({limit} jobs)
    Full {
        /// Capacity of the queue, in jobs.
        limit: usize,
    },
    /// worker pool is shut down
    Closed,
    /// could not start the worker threads
    Spawn,
}

#[derive(Default)]
struct Queue {
    jobs: VecDeque<Job>,
    closed: bool,
}

struct Shared {
    queue: Mutex<Queue>,
    job_available: Condvar,
    limit: usize,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn next_job(&self) -> Option<Job> {
        let mut queue = self.lock();
        loop {
            if let Some(job) = queue.jobs.pop_front() {
                return Some(job);
            }
            if queue.closed {
                return None;
            }
            queue = self.job_available.wait(queue).unwrap_or_else(|e| e.into_inner());
        }
    }
}

/// Pool of worker threads.
///
/// Dropping it runs the jobs that are still queued and joins the threads.
pub struct Pool {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl fmt::Debug for Pool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pool").field("threads", &self.threads.len()).finish_non_exhaustive()
    }
}

impl Pool {
    /// Starts `workers` threads (at least one) that share a queue of at most `limit` jobs.
    ///
    /// # Errors
    /// [`PoolError::Spawn`] if the operating system cannot start a thread.
    pub fn spawn(workers: usize, limit: usize) -> Result<Self, PoolError> {
        let shared = Arc::new(Shared {
            queue: Mutex::new(Queue::default()),
            job_available: Condvar::new(),
            limit,
        });
        let threads = (0..workers.max(1))
            .map(|n| {
                let shared = Arc::clone(&shared);
                Builder::new()
                    .name(format!("worker-{n}"))
                    .spawn(move || {
                        while let Some(job) = shared.next_job() {
                            job();
                        }
                    })
                    .map_err(|_| PoolError::Spawn)
            })
            .collect::<Result<_, _>>()?;
        Ok(Self { shared, threads })
    }

    /// Queues a job and returns without waiting for it.
    ///
    /// # Errors
    /// [`PoolError::Full`] or [`PoolError::Closed`]; the job is dropped without running.
    pub fn submit<F>(&self, job: F) -> Result<(), PoolError>
    where
        F: FnOnce() + Send + 'static,
    {
        self.enqueue(Box::new(job), self.shared.limit)
    }

    fn enqueue(&self, job: Job, limit: usize) -> Result<(), PoolError> {
        let mut queue = self.shared.lock();
        if queue.closed {
            return Err(PoolError::Closed);
        }
        if queue.jobs.len() >= limit {
            return Err(PoolError::Full { limit });
        }
        queue.jobs.push_back(job);
        drop(queue);
        self.shared.job_available.notify_one();
        Ok(())
    }

    /// Runs a job on a worker thread and awaits its result without blocking the calling thread.
    ///
    /// # Errors
    /// As [`Pool::submit`]; [`PoolError::Closed`] also if the job panicked.
    pub async fn run<F, T>(&self, job: F) -> Result<T, PoolError>
    where
        F: FnOnce() -> T + Send + 'static,
        T: Send + 'static,
    {
        self.run_with_limit(job, self.shared.limit).await
    }

    /// Like [`Pool::run`], but ignores the queue limit; for jobs whose number is bounded elsewhere.
    ///
    /// # Errors
    /// [`PoolError::Closed`] if the pool is shut down or the job panicked.
    pub async fn run_unbounded<F, T>(&self, job: F) -> Result<T, PoolError>
    where
        F: FnOnce() -> T + Send + 'static,
        T: Send + 'static,
    {
        self.run_with_limit(job, usize::MAX).await
    }

    async fn run_with_limit<F, T>(&self, job: F, limit: usize) -> Result<T, PoolError>
    where
        F: FnOnce() -> T + Send + 'static,
        T: Send + 'static,
    {
        let (tx, rx) = oneshot::channel();
        let job = move || {
            let _ = tx.send(job());
        };
        self.enqueue(Box::new(job), limit)?;
        rx.await.map_err(|_| PoolError::Closed)
    }
}

impl Drop for Pool {
    fn drop(&mut self) {
        self.shared.lock().closed = true;
        self.shared.job_available.notify_all();
        let current = std::thread::current().id();
        for thread in self.threads.drain(..) {
            if thread.thread().id() != current {
                let _ = thread.join();
            }
        }
    }
}
