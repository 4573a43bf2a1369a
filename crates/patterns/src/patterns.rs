//! The state of one dispatcher: assigns ended sessions to patterns, merges the summaries of peers, and predicts the calls
//! of open sessions. All tables are bounded, and so is the work of each call ([`MAX_WORK`]).

use crate::sessions::{OpenSession, OpenSessions};
use crate::{
    Config, FunctionId, Interval, MAX_CALLS_PER_SESSION, MAX_ORIGINS, MAX_PATTERNS, MAX_STEPS, Micros,
    Profile, SessionId, Summary, SummaryError,
};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The number of calls from which a session is assigned to a pattern; fewer say too little.
const MIN_CALLS: usize = 2;
/// The log-likelihood ratio from which a session is assigned to an existing pattern.
const MIN_LOG_LIKELIHOOD_RATIO: f64 = 1.5;
/// The maximum number of patterns that one session is assigned to. After each assignment the remaining calls are matched
/// again, since patterns may be interleaved in one session.
const MAX_PATTERNS_PER_SESSION: usize = 3;
/// Similar patterns are merged once in this many ended sessions.
const MERGE_INTERVAL_SESSIONS: u32 = 32;
/// The maximum number of functions whose overall probability is tracked.
const MAX_FUNCTIONS: usize = 4_096;
/// The count assumed for a function that was never called.
const UNSEEN_FUNCTION_COUNT: f64 = 0.5;
/// The odds that a session belongs to no known pattern.
const NO_PATTERN_ODDS: f64 = 0.1;
/// The probability from which a call is predicted.
const MIN_PREDICTED_CHANCE: f64 = 0.05;

/// A predicted call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PredictedCall {
    /// The function.
    pub function: FunctionId,
    /// The probability of the call in this session.
    pub chance: Interval,
    /// The expected time until the call in microseconds; 0 if it is overdue.
    pub after: Micros,
}

/// The prediction for an open session.
#[derive(Clone, Debug, PartialEq)]
pub struct Prediction {
    /// The best matching pattern.
    pub pattern: u64,
    /// The probability that the session belongs to `pattern`, among all known patterns and none.
    pub chance: f64,
    /// The calls that have not been made yet, soonest first.
    pub calls: Vec<PredictedCall>,
}

/// The sizes of the tables, and the work of the last call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Open sessions.
    pub sessions: usize,
    /// Local patterns.
    pub patterns: usize,
    /// Steps of the local patterns.
    pub steps: usize,
    /// Functions whose overall probability is tracked.
    pub functions: usize,
    /// Peers whose summaries are kept.
    pub origins: usize,
    /// An upper bound of the comparisons of a call with a step in the last [`Patterns::record_call`], [`Patterns::end_session`] or
    /// [`Patterns::end_idle_session`].
    pub work: u64,
}

/// The patterns of one dispatcher: its own (local) ones and those of its peers.
#[derive(Clone, Debug)]
pub struct Patterns {
    terms: Config,
    sessions: OpenSessions,
    local: Vec<Profile>,
    /// For each local pattern that was merged into another: the number of the other.
    merged_into: BTreeMap<u64, u64>,
    /// The decayed number of sessions that called each function.
    function_counts: BTreeMap<FunctionId, f32>,
    /// The decayed sum of `function_counts` as they were added.
    total_count: f32,
    last_decay: Micros,
    ended_sessions: u32,
    next_pattern: u64,
    version: u64,
    peer_summaries: BTreeMap<Arc<str>, Summary>,
    /// The local and the peers' patterns combined; rebuilt on demand when `combined_stale` is set.
    combined: Vec<Profile>,
    combined_stale: bool,
    work: u64,
}

impl Patterns {
    /// Returns an empty state. `instance` must increase with each start of a dispatcher, so that peers accept its new
    /// summaries in place of those from before the restart.
    pub fn new(terms: Config, instance: u64) -> Patterns {
        Patterns {
            terms: Config {
                idle_timeout: terms.idle_timeout.max(1),
                half_life: terms.half_life.max(1_000_000),
            },
            sessions: OpenSessions::default(),
            local: Vec::new(),
            merged_into: BTreeMap::new(),
            function_counts: BTreeMap::new(),
            total_count: 0.0,
            last_decay: 0,
            ended_sessions: 0,
            next_pattern: 1,
            version: instance << 24,
            peer_summaries: BTreeMap::new(),
            combined: Vec::new(),
            combined_stale: false,
            work: 0,
        }
    }

    /// Returns the sizes of the tables and the work of the last call.
    pub fn stats(&self) -> Stats {
        Stats {
            sessions: self.sessions.len(),
            patterns: self.local.len(),
            steps: self.local.iter().map(|p| p.steps.len()).sum(),
            functions: self.function_counts.len(),
            origins: self.peer_summaries.len(),
            work: self.work,
        }
    }

    /// Records a call of a session. If another session was evicted to make room, returns that session's pattern.
    pub fn record_call(&mut self, now: Micros, session: SessionId, function: FunctionId) -> Option<u64> {
        self.work = 0;
        let evicted = self.sessions.record_call(now, session, function)?;
        self.learn(now, &evicted)
    }

    /// Ends one session that has been idle for the timeout and returns its pattern, if it has one; `None` if there is no
    /// such session. The host calls this until it returns `None`, or as often as its time allows.
    pub fn end_idle_session(&mut self, now: Micros) -> Option<Option<u64>> {
        self.work = 0;
        let open = self.sessions.end_idle(now.saturating_sub(self.terms.idle_timeout))?;
        Some(self.learn(now, &open))
    }

    /// Returns when the next session will have reached the idle timeout.
    pub fn next_idle_timeout(&self) -> Option<Micros> {
        self.sessions.oldest_last_call().map(|last_call| last_call + self.terms.idle_timeout + 1)
    }

    /// Ends a session whose connection closed and returns its pattern, if it has one.
    pub fn end_session(&mut self, now: Micros, session: SessionId) -> Option<u64> {
        self.work = 0;
        let open = self.sessions.end(session)?;
        self.learn(now, &open)
    }

    /// Returns the pattern that a pattern was merged into, directly or through others, or the pattern itself.
    pub fn resolve_merged(&self, mut pattern: u64) -> u64 {
        while let Some(into) = self.merged_into.get(&pattern) {
            pattern = *into;
        }
        pattern
    }

    /// Returns the local patterns.
    pub fn local(&self) -> &[Profile] {
        &self.local
    }

    /// Returns the local patterns combined with those of the peers.
    pub fn combined(&mut self) -> &[Profile] {
        if self.combined_stale {
            self.combined_stale = false;
            self.combined = self.local.clone();
            let peer_profiles = self.peer_summaries.values().flat_map(Summary::capped_profiles);
            for profile in peer_profiles.collect::<Vec<Profile>>() {
                match self.combined.iter_mut().find(|known| known.is_similar(&profile)) {
                    Some(known) => known.merge(&profile),
                    None => self.combined.push(profile),
                }
            }
            self.combined.sort_by(|a, b| b.weight.total_cmp(&a.weight).then(a.id.cmp(&b.id)));
            self.combined.truncate(MAX_PATTERNS);
        }
        &self.combined
    }

    /// Predicts the remaining calls of an open session; `None` if there is no such session or no pattern to match.
    pub fn predict(&mut self, now: Micros, session: SessionId) -> Option<Prediction> {
        let open = self.sessions.get(session)?.clone();
        self.combined();
        let total_weight: f64 = self.combined.iter().map(|p| f64::from(p.weight)).sum::<f64>() + 1.0;
        let pattern_odds = |p: &Profile| {
            let share = f64::from(p.weight) / total_weight;
            let ratio = p.log_likelihood_ratio(&open.calls, false, |f| self.overall_chance(f));
            (ratio + share.max(1e-9).ln()).exp()
        };
        let odds: Vec<f64> = self.combined.iter().map(pattern_odds).collect();
        let sum = odds.iter().sum::<f64>() + NO_PATTERN_ODDS;
        let best = (0..odds.len()).max_by(|a, b| odds[*a].total_cmp(&odds[*b]))?;
        let (pattern, chance) = (&self.combined[best], odds[best] / sum);
        if !chance.is_finite() {
            return None;
        }
        let elapsed_ms = now.saturating_sub(open.started) as f64 / 1e3;
        let mut calls: Vec<PredictedCall> = pattern
            .core_steps()
            .filter(|s| !open.calls.iter().any(|(f, _)| *f == s.function))
            .map(|s| PredictedCall {
                function: s.function,
                chance: Interval::from_counts(f64::from(s.weight), f64::from(pattern.weight)).scaled(chance),
                after: ((f64::from(s.at_ms) - elapsed_ms).max(0.0) * 1e3) as Micros,
            })
            .filter(|c| c.chance.mean >= MIN_PREDICTED_CHANCE)
            .collect();
        calls.sort_by_key(|c| (c.after, c.function));
        Some(Prediction { pattern: pattern.id, chance, calls })
    }

    // ---- Learning ----

    fn overall_chance(&self, function: FunctionId) -> f64 {
        let count = f64::from(self.function_counts.get(&function).copied().unwrap_or(0.0));
        let total = f64::from(self.total_count) + 2.0 * UNSEEN_FUNCTION_COUNT;
        ((count + UNSEEN_FUNCTION_COUNT) / total).clamp(1e-4, 0.5)
    }

    fn decay(&mut self, now: Micros) {
        let elapsed = now.saturating_sub(self.last_decay);
        if elapsed < self.terms.half_life / 64 {
            return;
        }
        self.last_decay = now;
        let factor = 0.5_f32.powf(elapsed as f32 / self.terms.half_life as f32);
        self.total_count *= factor;
        self.function_counts.retain(|_, count| {
            *count *= factor;
            *count > 0.01
        });
        self.local.iter_mut().for_each(|p| p.decay(factor));
        self.local.retain(|p| p.weight > 0.05);
        self.merged_into.retain(|_, into| self.local.iter().any(|p| p.id == *into));
    }

    /// Returns the index of the local pattern that matches the calls best, and its score.
    fn best_match(&mut self, calls: &[(FunctionId, Micros)]) -> Option<(usize, f64)> {
        let total_weight: f64 = self.local.iter().map(|p| f64::from(p.weight)).sum::<f64>() + 1.0;
        let score = |p: &Profile| {
            let share = f64::from(p.weight + 1.0) / total_weight;
            let ratio = p.log_likelihood_ratio(calls, true, |f| self.overall_chance(f));
            ratio + 0.5 * share.ln().max(-4.0)
        };
        let scores: Vec<f64> = self.local.iter().map(score).collect();
        self.work += (self.local.len() * calls.len().max(1) * MAX_STEPS) as u64;
        (0..scores.len()).max_by(|a, b| scores[*a].total_cmp(&scores[*b])).map(|index| (index, scores[index]))
    }

    /// Assigns an ended session to its patterns, or to a new one, and returns the first of them.
    fn learn(&mut self, now: Micros, open: &OpenSession) -> Option<u64> {
        if open.calls.len() < MIN_CALLS {
            return None;
        }
        self.decay(now);
        self.combined_stale = true;
        self.total_count += open.calls.len() as f32;
        for (function, _) in &open.calls {
            *self.function_counts.entry(*function).or_default() += 1.0;
        }
        while self.function_counts.len() > MAX_FUNCTIONS {
            let rarest = self.function_counts.iter().min_by(|a, b| a.1.total_cmp(b.1)).map(|(f, _)| *f);
            if let Some(function) = rarest {
                self.function_counts.remove(&function);
            }
        }
        let mut remaining = open.calls.clone();
        let mut first = None;
        for round in 0..MAX_PATTERNS_PER_SESSION {
            let best = self.best_match(&remaining).filter(|(_, score)| *score >= MIN_LOG_LIKELIHOOD_RATIO);
            let Some((index, _)) = best else {
                if round == 0 {
                    first = Some(self.add_pattern(&remaining));
                }
                break;
            };
            let profile = &mut self.local[index];
            let core: Vec<FunctionId> = profile.core_steps().map(|s| s.function).collect();
            profile.add(&remaining, 1.0);
            first = first.or(Some(profile.id));
            remaining.retain(|(f, _)| !core.contains(f));
            if remaining.len() < MIN_CALLS + 1 {
                break;
            }
        }
        self.ended_sessions += 1;
        if self.ended_sessions.is_multiple_of(MERGE_INTERVAL_SESSIONS) {
            self.merge_similar();
        }
        first.map(|id| self.resolve_merged(id))
    }

    fn add_pattern(&mut self, calls: &[(FunctionId, Micros)]) -> u64 {
        let id = self.next_pattern;
        self.next_pattern += 1;
        if self.local.len() >= MAX_PATTERNS {
            let lightest =
                (0..self.local.len()).min_by(|a, b| self.local[*a].weight.total_cmp(&self.local[*b].weight));
            if let Some(index) = lightest {
                self.local.swap_remove(index);
            }
        }
        self.local.push(Profile::new(id, calls));
        id
    }

    /// Merges local patterns that have become similar.
    fn merge_similar(&mut self) {
        self.local.sort_by(|a, b| b.weight.total_cmp(&a.weight).then(a.id.cmp(&b.id)));
        let mut kept: Vec<Profile> = Vec::with_capacity(self.local.len());
        for profile in std::mem::take(&mut self.local) {
            self.work += (kept.len() * MAX_STEPS) as u64;
            match kept.iter_mut().find(|k| k.is_similar(&profile)) {
                Some(known) => {
                    known.merge(&profile);
                    self.merged_into.insert(profile.id, known.id);
                }
                None => kept.push(profile),
            }
        }
        self.local = kept;
        while self.merged_into.len() > 4 * MAX_PATTERNS {
            self.merged_into.pop_first();
        }
    }

    // ---- Peers ----

    /// Returns the summary of the local patterns to send to peers, with a version that increases each time.
    pub fn summary(&mut self) -> Summary {
        self.version += 1;
        let mut profiles = self.local.clone();
        profiles.sort_by(|a, b| b.weight.total_cmp(&a.weight).then(a.id.cmp(&b.id)));
        Summary { version: self.version, profiles }
    }

    /// Decodes and merges the summary of a peer. The bytes are untrusted; what is kept of them is bounded.
    pub fn receive_summary(&mut self, from: &Arc<str>, bytes: &[u8]) -> Result<(), SummaryError> {
        let summary = Summary::decode(bytes)?;
        self.join(from.clone(), summary);
        Ok(())
    }

    fn join(&mut self, from: Arc<str>, summary: Summary) {
        let joined = match self.peer_summaries.remove(&from) {
            Some(old) => old.join(summary),
            None => summary,
        };
        self.peer_summaries.insert(from, joined);
        while self.peer_summaries.len() > MAX_ORIGINS {
            self.peer_summaries.pop_last();
        }
        self.combined_stale = true;
    }

    /// Merges all summaries that another dispatcher has received.
    pub fn merge(&mut self, others: &BTreeMap<Arc<str>, Summary>) {
        others.iter().for_each(|(from, summary)| self.join(from.clone(), summary.clone()));
    }

    /// Returns the latest summary of each peer.
    pub fn peer_summaries(&self) -> &BTreeMap<Arc<str>, Summary> {
        &self.peer_summaries
    }

    /// Removes the summaries of peers that are no longer members.
    pub fn retain_members(&mut self, is_member: impl Fn(&str) -> bool) {
        let before = self.peer_summaries.len();
        self.peer_summaries.retain(|from, _| is_member(from));
        self.combined_stale |= self.peer_summaries.len() != before;
    }
}

/// The maximum number of comparisons in one call: for an ended session, each of its calls with each step of each pattern,
/// once per pattern assigned, and one pass that merges similar patterns.
pub(crate) const MAX_WORK: u64 = (MAX_PATTERNS_PER_SESSION * MAX_PATTERNS * MAX_CALLS_PER_SESSION * MAX_STEPS
    + MAX_PATTERNS * MAX_PATTERNS * MAX_STEPS) as u64;

impl Stats {
    /// Returns whether all sizes and the work are within the bounds that the crate states.
    pub fn within_bounds(&self) -> bool {
        self.sessions <= crate::MAX_SESSIONS
            && self.patterns <= MAX_PATTERNS
            && self.steps <= MAX_PATTERNS * MAX_STEPS
            && self.functions <= MAX_FUNCTIONS
            && self.origins <= MAX_ORIGINS
            && self.work <= MAX_WORK
    }
}
