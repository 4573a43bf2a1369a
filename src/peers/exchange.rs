//! The exchange over TCP: one member asks another for all that it knows of executors, at the address at which it is heard.
//!
//! One line each way, then the connection ends. Few connections, each bounded in bytes and time; what is asked for is made
//! once a second at the most, whoever asks, so that no peer can take the loop's time.

use crate::net::{Accepted, Connection, Listener, Malformed, Poll, PollEvent, ProtocolHandler, Ring, Token};
use slab::Slab;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// The largest word, in bytes.
pub const MOST_WORD: usize = 4 << 20;
/// The longest question.
const MOST_QUESTION: usize = 256;
/// Connections at a time: those that ask here, and those asked.
const MOST_CALLERS: usize = 8;
/// A whole exchange takes this long at the most.
const PATIENCE: u64 = 2_000_000;
/// A word is used for all that ask within this time.
const KEPT: u64 = 1_000_000;
const GREETING: &str = "ochreward exchange 1";

/// Reads one line.
#[derive(Default)]
struct Line {
    done: bool,
    /// Bytes that were looked through for its end.
    scanned: usize,
}

impl ProtocolHandler for Line {
    type Out = Vec<Vec<u8>>;

    fn on_received(&mut self, input: &mut Ring, out: &mut Vec<Vec<u8>>) -> Result<(), Malformed> {
        if self.done {
            input.consume(input.len());
            return Ok(());
        }
        let bytes = input.contiguous();
        match bytes.get(self.scanned..).and_then(|rest| rest.iter().position(|b| *b == b'\n')) {
            Some(end) => {
                out.push(bytes[..self.scanned + end].to_vec());
                self.done = true;
                input.consume(input.len());
            }
            None => self.scanned = input.len(),
        }
        Ok(())
    }
}

enum Role {
    /// It asks here; whether it has been answered.
    Caller { answered: bool },
    /// It was asked: this member.
    Asked(Arc<str>),
}

struct Connection {
    link: Connection<Line>,
    role: Role,
    since: u64,
}

/// What came of an exchange that was begun here.
pub type Outcome = (Arc<str>, Option<Vec<u8>>);

/// The connections.
pub struct Exchange {
    owner: u8,
    group: String,
    listener: Listener,
    connections: Slab<Connection>,
    /// Callers that wait for the word.
    waiting: Vec<Token>,
    word: Option<(u64, Vec<u8>)>,
    /// What came of those begun here.
    pub outcomes: Vec<Outcome>,
}

impl Exchange {
    /// Listens on the address.
    pub fn new(poll: &mut Poll, owner: u8, address: SocketAddr, group: &str) -> io::Result<Exchange> {
        let listener = Listener::bind(poll, owner, address)?;
        let (connections, waiting, outcomes) = (Slab::new(), Vec::new(), Vec::new());
        let group = group.replace(char::is_whitespace, "_");
        Ok(Exchange { owner, group, listener, connections, waiting, word: None, outcomes })
    }

    /// Asks a member, at its address; what comes of it is told in `outcomes`.
    pub fn ask(&mut self, poll: &mut Poll, now: u64, own: &str, member: &Arc<str>, to: SocketAddr) {
        let entry = self.connections.vacant_entry();
        let token = poll.token(self.owner, entry.key());
        let question = format!("{GREETING} {} {own}\n", self.group);
        let link = Connection::connect(poll, to, token, Line::default(), (MOST_WORD, MOST_QUESTION));
        let asked = link.ok().and_then(|mut link| link.io.queue(question.as_bytes()).then_some(link));
        if let Some(link) = asked {
            entry.insert(Connection { link, role: Role::Asked(member.clone()), since: now });
        } else {
            self.outcomes.push((member.clone(), None));
        }
    }

    /// Handles what happened to a descriptor.
    pub fn ready(&mut self, poll: &mut Poll, now: u64, ready: PollEvent) {
        if self.listener.owns_token(ready.token) {
            return self.accept(poll, now);
        }
        let slot = ready.token.slot as usize;
        let Some(c) = self.connections.get_mut(slot).filter(|c| c.link.io.token() == ready.token) else {
            return;
        };
        let mut lines = Vec::new();
        let result = c.link.handle_event(poll, ready, &mut lines);
        let line = lines.pop();
        let (ended, sent) = (c.link.io.read_closed, c.link.io.unsent_bytes() == 0);
        match c.role {
            Role::Asked(_) => {
                if line.is_some() || result.is_err() || ended {
                    self.close(slot, line);
                }
            }
            Role::Caller { answered } => {
                let greeted = line.as_deref().is_some_and(|l| self.greets(l));
                let over = result.is_err() || (ended && (sent || !answered));
                if greeted && result.is_ok() {
                    self.waiting.push(ready.token);
                } else if over || line.is_some() {
                    self.close(slot, None);
                }
            }
        }
    }

    /// Whether a question is one of this group.
    fn greets(&self, line: &[u8]) -> bool {
        let text = std::str::from_utf8(line).unwrap_or_default();
        let rest = text.strip_prefix(GREETING).and_then(|r| r.strip_prefix(' '));
        rest.and_then(|r| r.split_once(' '))
            .is_some_and(|(group, name)| group == self.group && !name.is_empty())
    }

    fn accept(&mut self, poll: &mut Poll, now: u64) {
        while let Accepted::Connection(fd) = self.listener.accept() {
            let callers =
                self.connections.iter().filter(|(_, c)| matches!(c.role, Role::Caller { .. })).count();
            // One too many is closed at once, and asks another.
            if callers >= MOST_CALLERS {
                continue;
            }
            let entry = self.connections.vacant_entry();
            let token = poll.token(self.owner, entry.key());
            if let Ok(link) =
                Connection::accepted(poll, fd, token, Line::default(), (MOST_QUESTION, MOST_WORD))
            {
                entry.insert(Connection { link, role: Role::Caller { answered: false }, since: now });
            }
        }
    }

    /// Whether somebody waits for the word, and it has to be made.
    pub fn wants_word(&mut self, poll: &Poll, now: u64) -> bool {
        let kept = self.word.take_if(|(at, _)| now >= *at + KEPT).is_none() && self.word.is_some();
        if kept && !self.waiting.is_empty() {
            self.answer(poll);
        }
        !self.waiting.is_empty()
    }

    /// The word, for all that wait.
    pub fn give(&mut self, poll: &Poll, now: u64, mut word: Vec<u8>) {
        word.push(b'\n');
        self.word = Some((now, word));
        self.answer(poll);
    }

    fn answer(&mut self, poll: &Poll) {
        let Some((_, word)) = &self.word else { return };
        for token in std::mem::take(&mut self.waiting) {
            let slot = token.slot as usize;
            let Some(c) = self.connections.get_mut(slot).filter(|c| c.link.io.token() == token) else {
                continue;
            };
            c.role = Role::Caller { answered: true };
            if !c.link.io.queue(word) || c.link.flush(poll).is_err() {
                self.connections.remove(slot);
            }
        }
    }

    /// Ends what takes too long.
    pub fn advance(&mut self, now: u64) {
        let late = |c: &Connection| now >= c.since + PATIENCE;
        let over: Vec<usize> =
            self.connections.iter().filter(|(_, c)| late(c)).map(|(slot, _)| slot).collect();
        over.into_iter().for_each(|slot| self.close(slot, None));
    }

    /// When `advance` next has something to do.
    pub fn due(&self) -> u64 {
        self.connections.iter().map(|(_, c)| c.since + PATIENCE).min().unwrap_or(u64::MAX)
    }

    fn close(&mut self, slot: usize, word: Option<Vec<u8>>) {
        let Some(gone) = self.connections.try_remove(slot) else { return };
        if let Role::Asked(member) = gone.role {
            self.outcomes.push((member, word));
        }
    }
}
