//! The open sessions with the calls of each, at most [`MAX_SESSIONS`] of [`MAX_CALLS_PER_SESSION`] functions.

use crate::{FunctionId, MAX_CALLS_PER_SESSION, MAX_SESSIONS, Micros, SessionId};
use std::collections::{BTreeMap, BTreeSet};

/// An open session.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenSession {
    pub started: Micros,
    last_call: Micros,
    /// Each function once, with the time of its first call from the start of the session.
    pub calls: Vec<(FunctionId, Micros)>,
}

/// All open sessions.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenSessions {
    by_id: BTreeMap<SessionId, OpenSession>,
    /// The sessions ordered by the time of their last call.
    by_last_call: BTreeSet<(Micros, SessionId)>,
}

impl OpenSessions {
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    pub fn get(&self, session: SessionId) -> Option<&OpenSession> {
        self.by_id.get(&session)
    }

    /// Records a call and opens the session if needed. Returns the session that was evicted to stay within the bound.
    pub fn record_call(
        &mut self,
        now: Micros,
        session: SessionId,
        function: FunctionId,
    ) -> Option<OpenSession> {
        let open = self.by_id.entry(session).or_insert_with(|| OpenSession {
            started: now,
            last_call: now,
            calls: Vec::new(),
        });
        self.by_last_call.remove(&(open.last_call, session));
        open.last_call = now.max(open.last_call);
        self.by_last_call.insert((open.last_call, session));
        if open.calls.len() < MAX_CALLS_PER_SESSION && !open.calls.iter().any(|(f, _)| *f == function) {
            open.calls.push((function, now.saturating_sub(open.started)));
        }
        if self.by_id.len() <= MAX_SESSIONS {
            return None;
        }
        let oldest = self.by_last_call.first().map(|(_, session)| *session)?;
        self.end(oldest)
    }

    /// Removes and returns one session whose last call was before `since`.
    pub fn end_idle(&mut self, since: Micros) -> Option<OpenSession> {
        let (_, session) = self.by_last_call.first().copied().filter(|(last_call, _)| *last_call < since)?;
        self.end(session)
    }

    /// Returns the last call of the session that has been idle longest.
    pub fn oldest_last_call(&self) -> Option<Micros> {
        self.by_last_call.first().map(|(last_call, _)| *last_call)
    }

    pub fn end(&mut self, session: SessionId) -> Option<OpenSession> {
        let open = self.by_id.remove(&session)?;
        self.by_last_call.remove(&(open.last_call, session));
        Some(open)
    }
}
