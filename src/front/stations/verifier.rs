//! The thread that checks passwords against their hashes, which takes milliseconds on purpose. One at a time; the loop
//! is woken when one is done.

use super::sessions::Conn;
use crate::net::{BackgroundThread, Poll, Token};
use argon2::{Argon2, PasswordHash, PasswordVerifier};
use std::io;

/// Passwords that may wait; more are turned down, and their stations come back.
const MOST_WAITING: usize = 256;

struct Job {
    conn: Conn,
    /// Tells this connection from another in its place.
    serial: u32,
    password: Vec<u8>,
    hash: String,
}

/// The loop's side of the thread.
pub struct Verifier(BackgroundThread<Job, (Conn, u32, bool)>);

impl Verifier {
    /// Starts the thread.
    pub fn start(poll: &mut Poll, owner: u8, slot: usize) -> io::Result<Verifier> {
        let work = |job: Job| Some((job.conn, job.serial, verify(&job.password, &job.hash)));
        BackgroundThread::start(poll, (owner, slot), "passwords", work).map(Verifier)
    }

    /// Whether the token is its own.
    pub fn is(&self, token: Token) -> bool {
        self.0.owns_token(token)
    }

    /// Hands a password over; false if too many wait.
    pub fn ask(&self, conn: Conn, serial: u32, password: Vec<u8>, hash: String) -> bool {
        let room = self.0.queued_jobs() < MOST_WAITING;
        if room {
            self.0.submit(Job { conn, serial, password, hash });
        }
        room
    }

    /// What is done by now.
    pub fn take(&mut self) -> Vec<(Conn, u32, bool)> {
        self.0.take_results()
    }
}

fn verify(password: &[u8], hash: &str) -> bool {
    PasswordHash::new(hash).is_ok_and(|hash| Argon2::default().verify_password(password, &hash).is_ok())
}

/// The hash of a password, as a users' file has it: argon2id with 4 MB and 3 passes, so that a check fits the smallest
/// dispatcher.
pub fn hash(password: &[u8], salt: &[u8]) -> Option<String> {
    use argon2::{Algorithm, Params, PasswordHasher, Version};
    let params = Params::new(4_096, 3, 1, None).ok()?;
    let argon2 = Argon2::new(Algorithm::Argon2id, Version::V0x13, params);
    argon2.hash_password_with_salt(password, salt).ok().map(|hash| hash.to_string())
}

#[cfg(test)]
mod tests;
