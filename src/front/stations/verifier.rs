//! A thread that checks passwords against their hashes, one at a time; the hash function takes milliseconds by design,
//! which would block the event loop. The loop is woken when a result is ready. The queue is bounded.

use super::sessions::ConnId;
use crate::net::{BackgroundThread, Poll, Token};
use argon2::{Argon2, PasswordHash, PasswordVerifier};
use std::io;

/// Passwords that may wait to be checked; beyond, the connection is refused and the station connects again later.
const MAX_QUEUED: usize = 256;

struct Job {
    conn: ConnId,
    /// Distinguishes this connection from a later one with the same id.
    serial: u32,
    password: Vec<u8>,
    hash: String,
}

/// The event loop's handle of the thread.
pub struct Verifier(BackgroundThread<Job, (ConnId, u32, bool)>);

impl Verifier {
    /// Starts the thread.
    pub fn start(poll: &mut Poll, owner: u8, slot: usize) -> io::Result<Verifier> {
        let check = |job: Job| Some((job.conn, job.serial, verify(&job.password, &job.hash)));
        BackgroundThread::start(poll, (owner, slot), "passwords", check).map(Verifier)
    }

    /// Returns whether the token belongs to the thread's wake-up descriptor.
    pub fn owns(&self, token: Token) -> bool {
        self.0.owns_token(token)
    }

    /// Queues a password to be checked; returns false if the queue is full.
    pub fn submit(&self, conn: ConnId, serial: u32, password: Vec<u8>, hash: String) -> bool {
        let room = self.0.queued_jobs() < MAX_QUEUED;
        if room {
            self.0.submit(Job { conn, serial, password, hash });
        }
        room
    }

    /// Returns the finished checks.
    pub fn take_results(&mut self) -> Vec<(ConnId, u32, bool)> {
        self.0.take_results()
    }
}

fn verify(password: &[u8], hash: &str) -> bool {
    PasswordHash::new(hash).is_ok_and(|hash| Argon2::default().verify_password(password, &hash).is_ok())
}

/// Returns the hash of a password in the form that a users file holds: argon2id with 4 MB and 3 passes, so that a check
/// fits the memory of the smallest dispatcher.
pub fn hash(password: &[u8], salt: &[u8]) -> Option<String> {
    use argon2::{Algorithm, Params, PasswordHasher, Version};
    let params = Params::new(4_096, 3, 1, None).ok()?;
    let argon2 = Argon2::new(Algorithm::Argon2id, Version::V0x13, params);
    argon2.hash_password_with_salt(password, salt).ok().map(|hash| hash.to_string())
}

#[cfg(test)]
mod tests;
