//! A background thread for jobs that would block the event loop. It runs one job after the other, and wakes the loop after
//! each one that has a result. The queue of jobs is unbounded; [`BackgroundThread::queued_jobs`] tells its length.

use super::{Interest, Poll, Token};
use std::io::{self, Read, Write};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};

/// The loop's handle of the thread, which ends after the handle is dropped.
pub struct BackgroundThread<J, D> {
    jobs: Sender<J>,
    /// The number of jobs that the thread has not started.
    waiting: Arc<AtomicUsize>,
    results: Receiver<D>,
    wake_receiver: UnixStream,
    token: Token,
}

impl<J: Send + 'static, D: Send + 'static> BackgroundThread<J, D> {
    /// Starts the thread, which wakes the loop under this owner and slot. `work` returns `None` for a job without a result.
    pub fn start(
        poll: &mut Poll,
        (owner, slot): (u8, usize),
        name: &str,
        mut work: impl FnMut(J) -> Option<D> + Send + 'static,
    ) -> io::Result<BackgroundThread<J, D>> {
        let (wake_receiver, wake_sender) = UnixStream::pair()?;
        wake_receiver.set_nonblocking(true)?;
        wake_sender.set_nonblocking(true)?;
        let token = poll.token(owner, slot);
        poll.add(&wake_receiver, token, Interest { read: true, write: false })?;
        let (jobs, job_receiver) = channel();
        let (result_sender, results) = channel();
        let waiting = Arc::new(AtomicUsize::new(0));
        let waiting_in_thread = waiting.clone();
        std::thread::Builder::new().name(name.to_string()).spawn(move || {
            for job in job_receiver {
                waiting_in_thread.fetch_sub(1, Ordering::Relaxed);
                if let Some(result) = work(job) {
                    if result_sender.send(result).is_err() {
                        return;
                    }
                    // The write fails only if the socket is full, and then the loop is woken anyway.
                    let _ = (&wake_sender).write(&[0]);
                }
            }
        })?;
        Ok(BackgroundThread { jobs, waiting, results, wake_receiver, token })
    }

    /// Returns whether the token belongs to this thread.
    pub fn owns_token(&self, token: Token) -> bool {
        self.token == token
    }

    /// Returns the number of jobs that are not started.
    pub fn queued_jobs(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Queues a job.
    pub fn submit(&self, job: J) {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        // Sending fails only once the thread has ended, which is after this handle is dropped.
        let _ = self.jobs.send(job);
    }

    /// Returns the results that are available.
    pub fn take_results(&mut self) -> Vec<D> {
        let mut bytes = [0; 64];
        while matches!(self.wake_receiver.read(&mut bytes), Ok(1..)) {}
        self.results.try_iter().collect()
    }
}
