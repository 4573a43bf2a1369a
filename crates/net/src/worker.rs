//! A thread beside the loop, for what would hold it up: one job after the other, and the loop is woken when one is done.

use super::{Interest, Poll, Token};
use std::io::{self, Read, Write};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};

/// The loop's side of the thread, which ends with it.
pub struct Worker<J, D> {
    jobs: Sender<J>,
    /// Jobs that the thread has not begun.
    waiting: Arc<AtomicUsize>,
    done: Receiver<D>,
    woken: UnixStream,
    token: Token,
}

impl<J: Send + 'static, D: Send + 'static> Worker<J, D> {
    /// Starts the thread, which wakes the loop under this token's owner and slot.
    pub fn start(
        poll: &mut Poll,
        (owner, slot): (u8, usize),
        name: &str,
        mut work: impl FnMut(J) -> Option<D> + Send + 'static,
    ) -> io::Result<Worker<J, D>> {
        let (woken, wake) = UnixStream::pair()?;
        woken.set_nonblocking(true)?;
        wake.set_nonblocking(true)?;
        let token = poll.token(owner, slot);
        poll.add(&woken, token, Interest { read: true, write: false })?;
        let (jobs, todo) = channel();
        let (tell, done) = channel();
        let waiting = Arc::new(AtomicUsize::new(0));
        let begun = waiting.clone();
        std::thread::Builder::new().name(name.to_string()).spawn(move || {
            for job in todo {
                begun.fetch_sub(1, Ordering::Relaxed);
                if let Some(done) = work(job) {
                    if tell.send(done).is_err() {
                        return;
                    }
                    // A full pair wakes the loop as well.
                    let _ = (&wake).write(&[0]);
                }
            }
        })?;
        Ok(Worker { jobs, waiting, done, woken, token })
    }

    /// Whether the token is its own.
    pub fn is(&self, token: Token) -> bool {
        self.token == token
    }

    /// Jobs that wait to be begun.
    pub fn waiting(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Hands a job over.
    pub fn ask(&self, job: J) {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        // The thread ends only after this side.
        let _ = self.jobs.send(job);
    }

    /// What is done by now.
    pub fn take(&mut self) -> Vec<D> {
        let mut bytes = [0; 64];
        while matches!(self.woken.read(&mut bytes), Ok(1..)) {}
        self.done.try_iter().collect()
    }
}
