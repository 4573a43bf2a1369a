//! Sessions that go on: what each has called.

use crate::{Function, MOST_CALLS, MOST_SESSIONS, Micros, Session};
use std::collections::{BTreeMap, BTreeSet};

/// One that goes on.
#[derive(Clone, Debug, Default)]
pub(crate) struct Open {
    pub began: Micros,
    last: Micros,
    /// Each function once: when it was first called, from the beginning on.
    pub calls: Vec<(Function, Micros)>,
}

/// All that go on.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sessions {
    open: BTreeMap<Session, Open>,
    /// By when each last called.
    quiet: BTreeSet<(Micros, Session)>,
}

impl Sessions {
    pub fn len(&self) -> usize {
        self.open.len()
    }

    pub fn get(&self, session: Session) -> Option<&Open> {
        self.open.get(&session)
    }

    /// A call; a session that had to give way for it.
    pub fn called(&mut self, now: Micros, session: Session, function: Function) -> Option<Open> {
        let open =
            self.open.entry(session).or_insert_with(|| Open { began: now, last: now, calls: Vec::new() });
        self.quiet.remove(&(open.last, session));
        open.last = now.max(open.last);
        self.quiet.insert((open.last, session));
        if open.calls.len() < MOST_CALLS && !open.calls.iter().any(|(f, _)| *f == function) {
            open.calls.push((function, now.saturating_sub(open.began)));
        }
        if self.open.len() <= MOST_SESSIONS {
            return None;
        }
        let oldest = self.quiet.first().map(|(_, session)| *session)?;
        self.end(oldest)
    }

    /// One that has asked nothing since then.
    pub fn over(&mut self, since: Micros) -> Option<Open> {
        let (_, session) = self.quiet.first().copied().filter(|(last, _)| *last < since)?;
        self.end(session)
    }

    /// When the next one may be over, if nothing comes.
    pub fn first(&self) -> Option<Micros> {
        self.quiet.first().map(|(last, _)| *last)
    }

    pub fn end(&mut self, session: Session) -> Option<Open> {
        let open = self.open.remove(&session)?;
        self.quiet.remove(&(open.last, session));
        Some(open)
    }
}
