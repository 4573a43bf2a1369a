//! The machine: sessions end and are put to patterns, peers' summaries come in, and what a session will call is foretold.

use crate::sessions::{Open, Sessions};
use crate::{
    BadSummary, Function, Interval, MOST_CALLS, MOST_ORIGINS, MOST_PATTERNS, MOST_STEPS, Micros, Profile,
    Session, Summary, Terms,
};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Calls that tell too little to be a pattern.
const LEAST_CALLS: usize = 2;
/// A session belongs to a pattern if its calls are this much likelier there than anywhere, as a logarithm.
const BELONGS: f64 = 1.5;
/// What is left of a session is looked at again, and again, for patterns that ran side by side.
const SIDE_BY_SIDE: usize = 3;
/// Patterns are looked through for two that have become one after so many sessions.
const MERGE_EVERY: u32 = 32;
/// Functions whose chance anywhere is known.
const MOST_FUNCTIONS: usize = 4_096;
/// A function that was never seen counts as seen this often.
const UNSEEN: f64 = 0.5;
/// One session in so many belongs to no pattern that is known.
const NONE: f64 = 0.1;
/// A call is foretold if its chance is over this.
const FORETOLD: f64 = 0.05;

/// A call that is expected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call {
    /// Of which function.
    pub function: Function,
    /// The chance that it comes in this session.
    pub chance: Interval,
    /// In how long from now, in microseconds; 0 where it is overdue.
    pub after: Micros,
}

/// What a session is expected to do.
#[derive(Clone, Debug, PartialEq)]
pub struct Expected {
    /// The pattern that fits it best, and the chance that it is this one among all that are known and none.
    pub pattern: u64,
    /// See `pattern`.
    pub chance: f64,
    /// Its calls that have not come yet, soonest first.
    pub calls: Vec<Call>,
}

/// What is held, and what the last call cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Held {
    /// Sessions that go on.
    pub sessions: usize,
    /// Patterns of our own.
    pub patterns: usize,
    /// Functions in them.
    pub steps: usize,
    /// Functions whose chance anywhere is known.
    pub functions: usize,
    /// Peers heard.
    pub origins: usize,
    /// Comparisons of a call with a step that the last [`Patterns::called`] made.
    pub work: u64,
}

/// The patterns that one dispatcher knows.
#[derive(Clone, Debug)]
pub struct Patterns {
    terms: Terms,
    sessions: Sessions,
    own: Vec<Profile>,
    /// Of which of our own patterns this is what is left: two that became one.
    merged: BTreeMap<u64, u64>,
    /// Sessions that called a function, and the sum over all functions; both fade.
    anywhere: BTreeMap<Function, f32>,
    calls: f32,
    faded: Micros,
    ended: u32,
    next: u64,
    version: u64,
    heard: BTreeMap<Arc<str>, Summary>,
    /// Our own and others' as one, made anew when others were heard.
    known: Vec<Profile>,
    stale: bool,
    work: u64,
}

impl Patterns {
    /// Knowing nothing. `instance` is higher at each start of a dispatcher, so that others take its summaries for newer.
    pub fn new(terms: Terms, instance: u64) -> Patterns {
        Patterns {
            terms: Terms { gap: terms.gap.max(1), half: terms.half.max(1_000_000) },
            sessions: Sessions::default(),
            own: Vec::new(),
            merged: BTreeMap::new(),
            anywhere: BTreeMap::new(),
            calls: 0.0,
            faded: 0,
            ended: 0,
            next: 1,
            version: instance << 24,
            heard: BTreeMap::new(),
            known: Vec::new(),
            stale: false,
            work: 0,
        }
    }

    /// What is held, and what the last call cost.
    pub fn held(&self) -> Held {
        Held {
            sessions: self.sessions.len(),
            patterns: self.own.len(),
            steps: self.own.iter().map(|p| p.steps.len()).sum(),
            functions: self.anywhere.len(),
            origins: self.heard.len(),
            work: self.work,
        }
    }

    /// A session calls a function. The pattern of another session is told that had to be taken for over.
    pub fn called(&mut self, now: Micros, session: Session, function: Function) -> Option<u64> {
        self.work = 0;
        let gave_way = self.sessions.called(now, session, function)?;
        self.learn(now, &gave_way)
    }

    /// Ends one session that has been quiet for the gap: its pattern, or none if it has none. `None` if there is no such session.
    /// The host asks again until there is none, or as often as it has time for.
    pub fn sweep(&mut self, now: Micros) -> Option<Option<u64>> {
        self.work = 0;
        let open = self.sessions.over(now.saturating_sub(self.terms.gap))?;
        Some(self.learn(now, &open))
    }

    /// When there will next be something to sweep.
    pub fn due(&self) -> Option<Micros> {
        self.sessions.first().map(|last| last + self.terms.gap + 1)
    }

    /// A session is over: the connection closed. Its pattern, if it has one.
    pub fn ended(&mut self, now: Micros, session: Session) -> Option<u64> {
        self.work = 0;
        let open = self.sessions.end(session)?;
        self.learn(now, &open)
    }

    /// What is left of a pattern: itself, or the one that it became one with.
    pub fn now_called(&self, mut pattern: u64) -> u64 {
        while let Some(into) = self.merged.get(&pattern) {
            pattern = *into;
        }
        pattern
    }

    /// Our own patterns.
    pub fn own(&self) -> &[Profile] {
        &self.own
    }

    /// Our own and others' patterns as one.
    pub fn known(&mut self) -> &[Profile] {
        if self.stale {
            self.stale = false;
            self.known = self.own.clone();
            for profile in self.heard.values().flat_map(Summary::believed).collect::<Vec<Profile>>() {
                match self.known.iter_mut().find(|k| k.is_like(&profile)) {
                    Some(known) => known.absorb(&profile),
                    None => self.known.push(profile),
                }
            }
            self.known.sort_by(|a, b| b.weight.total_cmp(&a.weight).then(a.id.cmp(&b.id)));
            self.known.truncate(MOST_PATTERNS);
        }
        &self.known
    }

    /// What a session that goes on is expected to do, if that can be told.
    pub fn expected(&mut self, now: Micros, session: Session) -> Option<Expected> {
        let open = self.sessions.get(session)?.clone();
        self.known();
        let all: f64 = self.known.iter().map(|p| f64::from(p.weight)).sum::<f64>() + 1.0;
        let tells = |p: &Profile| {
            let share = f64::from(p.weight) / all;
            (p.tells(&open.calls, false, |f| self.chance_anywhere(f)) + share.max(1e-9).ln()).exp()
        };
        let odds: Vec<f64> = self.known.iter().map(tells).collect();
        let sum = odds.iter().sum::<f64>() + NONE;
        let best = (0..odds.len()).max_by(|a, b| odds[*a].total_cmp(&odds[*b]))?;
        let (pattern, chance) = (&self.known[best], odds[best] / sum);
        if !chance.is_finite() {
            return None;
        }
        let passed = now.saturating_sub(open.began) as f64 / 1e3;
        let mut calls: Vec<Call> = pattern
            .core()
            .filter(|s| !open.calls.iter().any(|(f, _)| *f == s.function))
            .map(|s| Call {
                function: s.function,
                chance: Interval::of(f64::from(s.weight), f64::from(pattern.weight)).times(chance),
                after: ((f64::from(s.at_ms) - passed).max(0.0) * 1e3) as Micros,
            })
            .filter(|c| c.chance.mean >= FORETOLD)
            .collect();
        calls.sort_by_key(|c| (c.after, c.function));
        Some(Expected { pattern: pattern.id, chance, calls })
    }

    // ---- Learning ----

    fn chance_anywhere(&self, function: Function) -> f64 {
        let seen = f64::from(self.anywhere.get(&function).copied().unwrap_or(0.0));
        ((seen + UNSEEN) / (f64::from(self.calls) + 2.0 * UNSEEN)).clamp(1e-4, 0.5)
    }

    fn fade(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.faded);
        if passed < self.terms.half / 64 {
            return;
        }
        self.faded = now;
        let factor = 0.5_f32.powf(passed as f32 / self.terms.half as f32);
        self.calls *= factor;
        self.anywhere.retain(|_, seen| {
            *seen *= factor;
            *seen > 0.01
        });
        self.own.iter_mut().for_each(|p| p.fade(factor));
        self.own.retain(|p| p.weight > 0.05);
        self.merged.retain(|_, into| self.own.iter().any(|p| p.id == *into));
    }

    /// The pattern that these calls belong to, and how much is told for it.
    fn best(&mut self, calls: &[(Function, Micros)]) -> Option<(usize, f64)> {
        let all: f64 = self.own.iter().map(|p| f64::from(p.weight)).sum::<f64>() + 1.0;
        let tells = |p: &Profile| {
            let share = f64::from(p.weight + 1.0) / all;
            p.tells(calls, true, |f| self.chance_anywhere(f)) + 0.5 * share.ln().max(-4.0)
        };
        let told: Vec<f64> = self.own.iter().map(tells).collect();
        self.work += (self.own.len() * calls.len().max(1) * MOST_STEPS) as u64;
        (0..told.len()).max_by(|a, b| told[*a].total_cmp(&told[*b])).map(|n| (n, told[n]))
    }

    fn learn(&mut self, now: Micros, open: &Open) -> Option<u64> {
        if open.calls.len() < LEAST_CALLS {
            return None;
        }
        self.fade(now);
        self.stale = true;
        self.calls += open.calls.len() as f32;
        for (function, _) in &open.calls {
            *self.anywhere.entry(*function).or_default() += 1.0;
        }
        while self.anywhere.len() > MOST_FUNCTIONS {
            let least = self.anywhere.iter().min_by(|a, b| a.1.total_cmp(b.1)).map(|(f, _)| *f);
            if let Some(function) = least {
                self.anywhere.remove(&function);
            }
        }
        let mut left = open.calls.clone();
        let mut first = None;
        for round in 0..SIDE_BY_SIDE {
            let best = self.best(&left).filter(|(_, told)| *told >= BELONGS);
            let Some((place, _)) = best else {
                if round == 0 {
                    first = Some(self.begin(&left));
                }
                break;
            };
            let profile = &mut self.own[place];
            let core: Vec<Function> = profile.core().map(|s| s.function).collect();
            profile.add(&left, 1.0);
            first = first.or(Some(profile.id));
            left.retain(|(f, _)| !core.contains(f));
            if left.len() < LEAST_CALLS + 1 {
                break;
            }
        }
        self.ended += 1;
        if self.ended.is_multiple_of(MERGE_EVERY) {
            self.merge_alike();
        }
        first.map(|id| self.now_called(id))
    }

    fn begin(&mut self, calls: &[(Function, Micros)]) -> u64 {
        let id = self.next;
        self.next += 1;
        if self.own.len() >= MOST_PATTERNS {
            let least =
                (0..self.own.len()).min_by(|a, b| self.own[*a].weight.total_cmp(&self.own[*b].weight));
            if let Some(place) = least {
                self.own.swap_remove(place);
            }
        }
        self.own.push(Profile::begin(id, calls));
        id
    }

    fn merge_alike(&mut self) {
        self.own.sort_by(|a, b| b.weight.total_cmp(&a.weight).then(a.id.cmp(&b.id)));
        let mut kept: Vec<Profile> = Vec::with_capacity(self.own.len());
        for profile in std::mem::take(&mut self.own) {
            self.work += (kept.len() * MOST_STEPS) as u64;
            match kept.iter_mut().find(|k| k.is_like(&profile)) {
                Some(known) => {
                    known.absorb(&profile);
                    self.merged.insert(profile.id, known.id);
                }
                None => kept.push(profile),
            }
        }
        self.own = kept;
        while self.merged.len() > 4 * MOST_PATTERNS {
            self.merged.pop_first();
        }
    }

    // ---- Others ----

    /// What others are told, under a number that rises each time.
    pub fn summary(&mut self) -> Summary {
        self.version += 1;
        let mut profiles = self.own.clone();
        profiles.sort_by(|a, b| b.weight.total_cmp(&a.weight).then(a.id.cmp(&b.id)));
        Summary { version: self.version, profiles }
    }

    /// What another tells. Danger: the bytes may be any; what is taken of them is bounded.
    pub fn heard(&mut self, from: &Arc<str>, bytes: &[u8]) -> Result<(), BadSummary> {
        let summary = Summary::read(bytes)?;
        self.join(from.clone(), summary);
        Ok(())
    }

    fn join(&mut self, from: Arc<str>, summary: Summary) {
        let joined = match self.heard.remove(&from) {
            Some(old) => old.join(summary),
            None => summary,
        };
        self.heard.insert(from, joined);
        while self.heard.len() > MOST_ORIGINS {
            self.heard.pop_last();
        }
        self.stale = true;
    }

    /// Takes all that another dispatcher has heard of others.
    pub fn merge(&mut self, others: &BTreeMap<Arc<str>, Summary>) {
        others.iter().for_each(|(from, summary)| self.join(from.clone(), summary.clone()));
    }

    /// What each other told last.
    pub fn origins(&self) -> &BTreeMap<Arc<str>, Summary> {
        &self.heard
    }

    /// Others that have gone are forgotten.
    pub fn keep(&mut self, members: impl Fn(&str) -> bool) {
        let before = self.heard.len();
        self.heard.retain(|from, _| members(from));
        self.stale |= self.heard.len() != before;
    }
}

/// The most comparisons that one call may cost: those of a session that ends, each of its calls with each step of each pattern, for each that
/// may have run side by side, and one look for patterns that are one.
pub(crate) const MOST_WORK: u64 = (SIDE_BY_SIDE * MOST_PATTERNS * MOST_CALLS * MOST_STEPS
    + MOST_PATTERNS * MOST_PATTERNS * MOST_STEPS) as u64;

impl Held {
    /// Whether all is within the bounds that the crate states.
    pub fn bounded(&self) -> bool {
        self.sessions <= crate::MOST_SESSIONS
            && self.patterns <= MOST_PATTERNS
            && self.steps <= MOST_PATTERNS * MOST_STEPS
            && self.functions <= MOST_FUNCTIONS
            && self.origins <= MOST_ORIGINS
            && self.work <= MOST_WORK
    }
}
