//! Derives the steps of the member's groups from its own observations and the reports of other members.

use crate::votes::Votes;
use crate::{
    AttemptOutcome, GroupState, MAX_MEMBERS, MAX_NAME_LEN, MAX_ZONES, Micros, Observations, Opinion, Reason,
    Report, STEP_SHARES_PER_MILLE, SafetyRules, TOP_STEP, Terms, WorkerState, ZoneReport,
};
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// Time between two evaluations.
const TICK_INTERVAL: Micros = 50_000;
/// A member that was not called for this long has stalled, and its observations and stored reports are
/// outdated.
const STALL_THRESHOLD: Micros = 700_000;
/// Reports are repeated to [`REPORT_FANOUT`] other members per [`REPORT_INTERVAL`], in turn; a changed report
/// goes to all at once.
const REPORT_FANOUT: usize = 8;
const REPORT_INTERVAL: Micros = 500_000;
/// Minimum lifetime of a received report; it is longer in a group that takes more turns to be notified.
const MIN_REPORT_TTL: Micros = 1_600_000;
/// Time between two trials, and the number of answers after which no more trials are sent.
const TRIAL_INTERVAL: Micros = 100_000;
const TRIAL_ANSWERS: u32 = 3;
/// Number of answers in a step that allow the next one.
const STEP_UP_ANSWERS: u64 = 4;
/// Minimum assumed peak rate of a zone, in thousandths of a request per second: its real peak may have been
/// forgotten.
const MIN_PEAK_MILLI_PER_S: u64 = 20_000;
/// Maximum lead of a reported epoch over this member's own that is taken over when the member itself changes
/// step. A larger lead is adopted only from at least half of the group.
const MAX_EPOCH_LEAD: u64 = 64;
/// The other zones can take redirected traffic while it fits within this percentage of their recent peak.
const HEADROOM_PERCENT: u64 = 125;
/// Lowest step for a zone that is slow, taken if the other zones can take the rest.
const MIN_SLOW_STEP: u8 = 2;

/// An operator's order on a zone; it takes precedence over all observations until it expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Send nothing to the zone.
    Leave,
    /// Do not limit traffic to the zone.
    Stay,
}

/// The caller's view of the fleet.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// This member's name.
    pub own_name: Arc<str>,
    /// The zone that this member runs in.
    pub home: Arc<str>,
    /// The other live members, and their home zones.
    pub others: Vec<(Arc<str>, Arc<str>)>,
    /// This member's share of the fleet's permitted traffic to a returning zone, in millionths.
    pub share: u64,
}

#[derive(Clone, Debug)]
struct ReceivedReport {
    at: Micros,
    zones: BTreeMap<Arc<str>, ZoneReport>,
}

/// The state of one zone, for operators.
#[derive(Clone, Debug)]
pub struct ZoneStatus {
    /// Name of the zone.
    pub zone: Arc<str>,
    /// Whether this member's home is this zone.
    pub inside: bool,
    /// State of this member's group.
    pub state: GroupState,
    /// This member's opinion.
    pub opinion: Opinion,
    /// The operator's order, and when it expires.
    pub order: Option<(Order, Micros)>,
    /// Recent peak rate of answers from the zone, summed over all members with a current report, in
    /// thousandths of an answer per second.
    pub peak: u64,
}

#[derive(Clone, Debug, Default)]
struct Gate {
    tokens: f64,
    at: Micros,
    /// The epoch in which it was last reset.
    epoch: u64,
}

/// The state of all zones at one member.
#[derive(Clone, Debug)]
pub struct Zones {
    terms: Terms,
    rules: SafetyRules,
    observations: Observations,
    states: BTreeMap<Arc<str>, GroupState>,
    reports: BTreeMap<Arc<str>, ReceivedReport>,
    orders: BTreeMap<Arc<str>, (Order, Micros)>,
    opinions: BTreeMap<Arc<str>, Opinion>,
    gates: BTreeMap<Arc<str>, Gate>,
    view: FleetView,
    listening_since: Micros,
    last_call: Micros,
    next_tick: Micros,
    next_report: Micros,
    /// The report last sent to all, without the parts that change all the time.
    last_sent: Vec<(Opinion, u64, u8, bool)>,
    /// Members that were live at the last evaluation, sorted, and the start of the next turn of reports.
    known_members: Vec<Arc<str>>,
    next_turn: usize,
    stalls: u64,
}

impl Zones {
    /// Creates the state of a member that starts now; no traffic is limited.
    pub fn new(terms: Terms, now: Micros) -> Zones {
        Zones {
            terms,
            rules: SafetyRules::default(),
            observations: Observations::default(),
            states: BTreeMap::new(),
            reports: BTreeMap::new(),
            orders: BTreeMap::new(),
            opinions: BTreeMap::new(),
            gates: BTreeMap::new(),
            view: FleetView::default(),
            listening_since: now,
            last_call: now,
            next_tick: now,
            next_report: now,
            last_sent: Vec::new(),
            known_members: Vec::new(),
            next_turn: 0,
            stalls: 0,
        }
    }

    /// Replaces the safety rules, to show in tests that checks can fail.
    pub fn with_rules(mut self, rules: SafetyRules) -> Zones {
        self.rules = rules;
        self
    }

    /// Sets the list of workers and their zones. Of more than [`MAX_ZONES`] zones the first by name are
    /// observed.
    pub fn set_workers(&mut self, list: &[(Arc<str>, Arc<str>)]) {
        self.observations.listed(list);
        let mut zones = self.observations.zones();
        zones.retain(|h| !h.is_empty() && h.len() <= MAX_NAME_LEN);
        zones.truncate(MAX_ZONES);
        self.states.retain(|zone, _| zones.contains(zone));
        self.gates.retain(|zone, _| zones.contains(zone));
        for zone in zones {
            self.states.entry(zone).or_default();
        }
    }

    /// Records an attempt sent to a worker.
    pub fn record_sent(&mut self, now: Micros, worker: &str) {
        self.detect_stall(now);
        self.observations.sent(now, worker);
    }

    /// Records the outcome of an attempt that was sent at `sent`.
    pub fn record_outcome(&mut self, now: Micros, worker: &str, sent: Micros, end: AttemptOutcome) {
        self.detect_stall(now);
        // An answer to an attempt sent before the zone was left says nothing about its present state.
        if self.observations.ended(now, worker, end, &self.terms)
            && let Some(state) = self.observations.zone(worker).and_then(|zone| self.states.get_mut(&zone))
            && sent >= if state.step == 0 { state.until } else { state.changed_at }
        {
            state.answers = state.answers.saturating_add(1);
        }
    }

    /// Sets or clears an operator's order; returns false if the zone is not known.
    pub fn set_order(&mut self, zone: &str, order: Option<(Order, Micros)>) -> bool {
        let Some((zone, _)) = self.states.get_key_value(zone) else { return false };
        match order {
            Some(order) => drop(self.orders.insert(zone.clone(), order)),
            None => drop(self.orders.remove(zone)),
        }
        true
    }

    /// Stores another member's report. Its content is not trusted: it counts as one vote, and what is stored
    /// of it is bounded.
    pub fn record_report(&mut self, now: Micros, from: &Arc<str>, report: Report) {
        self.detect_stall(now);
        if self.reports.len() >= MAX_MEMBERS && !self.reports.contains_key(from) {
            let oldest = self.reports.iter().min_by_key(|(_, h)| h.at).map(|(name, _)| name.clone());
            oldest.into_iter().for_each(|name| drop(self.reports.remove(&name)));
        }
        let zones = report.zones.into_iter().map(|w| (w.zone.clone(), w)).collect();
        self.reports.insert(from.clone(), ReceivedReport { at: now, zones });
    }

    /// Discards observations and stored reports after a stall: they describe the state before it.
    fn detect_stall(&mut self, now: Micros) {
        if now > self.last_call + STALL_THRESHOLD {
            self.stalls += 1;
            self.observations.forget(now);
            self.reports.clear();
            // Listen to others again before giving an opinion.
            self.listening_since = now;
        }
        self.last_call = self.last_call.max(now);
    }

    /// Returns the lifetime of a received report.
    fn report_ttl(&self) -> Micros {
        let turns = self.view.others.len().div_ceil(REPORT_FANOUT) as u64;
        MIN_REPORT_TTL + turns * REPORT_INTERVAL * 3 / 2
    }

    /// Returns whether this member has only just started and first collects the reports of others.
    fn is_listening(&self, now: Micros) -> bool {
        !self.view.others.is_empty() && now < self.listening_since + self.terms.max_age / 2
    }

    /// Returns when [`Zones::evaluate`] next has something to do.
    pub fn next_evaluation(&self) -> Micros {
        self.next_tick
    }

    /// Evaluates all zones; returns the reports to send and their receivers.
    pub fn evaluate(&mut self, now: Micros, view: &FleetView) -> Vec<(Arc<str>, Report)> {
        self.detect_stall(now);
        if now < self.next_tick {
            return Vec::new();
        }
        self.next_tick = now + TICK_INTERVAL;
        self.view = view.clone();
        let report_ttl = self.report_ttl();
        let up: std::collections::BTreeSet<&Arc<str>> = self.view.others.iter().map(|(n, _)| n).collect();
        self.reports.retain(|name, h| now < h.at + report_ttl && up.contains(name));
        self.orders.retain(|_, (_, until)| now < *until);
        self.update_opinions(now);
        let zones: Vec<Arc<str>> = self.states.keys().cloned().collect();
        let votes: Vec<(Votes, Votes)> = zones.iter().map(|zone| self.votes(now, zone)).collect();
        for (at, zone) in zones.iter().enumerate() {
            let usable = |n: usize| {
                n != at && !votes[n].0.must_leave() && self.states.get(&zones[n]).is_some_and(|p| p.step > 0)
            };
            let another_usable = (0..zones.len()).any(usable);
            self.decide(now, zone, votes[at], another_usable, &zones);
        }
        self.due_reports(now)
    }

    /// Updates this member's opinions from observations since the group's last change of step.
    fn update_opinions(&mut self, now: Micros) {
        let is_listening = self.is_listening(now);
        let since = |p: &GroupState| if p.step == TOP_STEP { 0 } else { p.changed_at };
        let zones: Vec<(Arc<str>, Micros)> =
            self.states.iter().map(|(zone, p)| (zone.clone(), since(p))).collect();
        let opinions = self.observations.opinions(now, &zones, &self.terms);
        let reported = |o: Opinion| if is_listening { Opinion::None } else { o };
        self.opinions =
            zones.into_iter().map(|(zone, _)| zone).zip(opinions.into_iter().map(reported)).collect();
    }

    /// Returns whether a member with this home belongs to this member's group for the zone.
    fn same_group(&self, zone: &str, home: &str) -> bool {
        (zone == home) == (zone == &*self.view.home)
    }

    /// Iterates over the other members that sent a report: whether each is of this member's group, and its
    /// entry for the zone.
    fn reported_words<'a>(
        &'a self,
        zone: &'a str,
    ) -> impl Iterator<Item = (bool, Option<&'a ZoneReport>)> + 'a {
        self.view.others.iter().filter_map(move |(name, home)| {
            let received = self.reports.get(name)?;
            Some((self.same_group(zone, home), received.zones.get(zone)))
        })
    }

    /// Returns the votes of this member's group on a zone, and those of all members on whether its workers
    /// are gone.
    fn votes(&self, now: Micros, zone: &str) -> (Votes, Votes) {
        let Some(state) = self.states.get(zone) else { return Default::default() };
        let own = self.opinions.get(zone).copied().unwrap_or_default();
        let (mut group, mut all) =
            (Votes { group: 1, ..Votes::default() }, Votes { group: 1, ..Votes::default() });
        group.add(own);
        all.add(own);
        if state.answers > 0 {
            group.members_with_answers = 1;
            group.answers = u64::from(state.answers);
        }
        for (same_group, word) in self.reported_words(zone) {
            all.group += 1;
            group.group += usize::from(same_group);
            let Some(word) = word else { continue };
            if same_group {
                group.add_report(word, state, self.rules);
            }
            let left = word.step < TOP_STEP && word.reason == Reason::Gone;
            let recent = u64::from(word.age_ms) * 1_000 < self.terms.max_age;
            all.add(match word.opinion {
                Opinion::None if left && recent => Opinion::Gone,
                opinion => opinion,
            });
        }
        let _ = now;
        (group, all)
    }

    /// Returns whether the other zones can take the traffic that would move away from this one.
    fn others_have_room(&mut self, now: Micros, zone: &str, zones: &[Arc<str>], step: u8) -> bool {
        let mut rate_and_peak = |zone: &str| {
            let (mut rate, mut peak) = self.observations.rate(now, zone);
            for word in self.reports.values().filter_map(|w| w.zones.get(zone)) {
                (rate, peak) = (rate.saturating_add(word.rate), peak.saturating_add(word.peak));
            }
            (u64::from(rate), u64::from(peak))
        };
        let moved = rate_and_peak(zone).0 * (1_000 - STEP_SHARES_PER_MILLE[usize::from(step)]) / 1_000;
        let others: Vec<(u64, u64)> =
            zones.iter().filter(|name| &***name != zone).map(|name| rate_and_peak(name)).collect();
        let headroom: u64 =
            others.iter().map(|(rate, peak)| (peak * HEADROOM_PERCENT / 100).saturating_sub(*rate)).sum();
        moved <= headroom
    }

    /// Takes the group's next step for a zone, if one is due.
    fn decide(
        &mut self,
        now: Micros,
        zone: &Arc<str>,
        votes: (Votes, Votes),
        another_usable: bool,
        zones: &[Arc<str>],
    ) {
        let (group, all) = votes;
        self.follow(now, zone, group);
        let is_listening = self.is_listening(now);
        let workers = self.worker_state(zone);
        let slow_step = (MIN_SLOW_STEP..TOP_STEP).find(|step| self.others_have_room(now, zone, zones, *step));
        let highest_epoch = |zones: &Zones, step: u8| {
            let same_step = |w: &&ZoneReport| w.step == step;
            let near = |e: &u64| {
                zones.states.get(zone).is_some_and(|p| *e <= p.epoch.saturating_add(MAX_EPOCH_LEAD))
            };
            let words =
                zones.reported_words(zone).filter(|(same_group, _)| *same_group).filter_map(|(_, w)| w);
            words.filter(same_step).map(|w| w.epoch).filter(near).max().unwrap_or(0)
        };
        let Some(state) = self.states.get(zone) else { return };
        let (step, until, reason) = (state.step, state.until, state.reason);
        let why =
            if all.workers_gone() || group.gone >= group.silent { Reason::Gone } else { Reason::Silent };
        let to = match step {
            _ if is_listening => None,
            TOP_STEP if another_usable && (group.must_leave() || all.workers_gone()) => Some((0, why)),
            TOP_STEP if another_usable && group.is_slow() => slow_step.map(|step| (step, Reason::Slow)),
            0 => {
                let own = self.opinions.get(zone).is_some_and(|o| o.is_failing());
                let trial_failed = now >= until && (own || group.failing() > 0);
                if trial_failed && let Some(state) = self.states.get_mut(zone) {
                    state.defer_return(now, &self.terms);
                }
                let group_size = 1 + self.members_at_same_step(zone);
                let enough = group.members_with_answers >= group_size.min(2) || !self.rules.require_answers;
                (!trial_failed && now >= until && enough).then_some((1, Reason::Returns))
            }
            // During a return, or for a slow zone, one step at a time.
            1..TOP_STEP if group.must_leave() => Some((step - 1, Reason::Worse)),
            1..TOP_STEP if group.is_slow() && reason != Reason::Slow => Some((step - 1, Reason::Worse)),
            1..TOP_STEP => {
                let required = STEP_UP_ANSWERS.min(1 + self.members_at_same_step(zone) as u64);
                let enough = (group.is_well() && group.answers >= required) || !self.rules.require_answers;
                let step_up_due = state.may_step_up(now, workers, &self.terms) && enough;
                step_up_due.then_some((step + 1, Reason::Returns))
            }
            _ => None,
        };
        let Some((next, reason)) = to else { return };
        let highest_epoch = highest_epoch(self, next);
        let Some(state) = self.states.get_mut(zone) else { return };
        if next > step {
            state.step_up(now, highest_epoch, &self.terms);
        } else {
            state.step_down(now, zone, next, reason, highest_epoch, &self.terms);
        }
    }

    /// Returns the number of other members of the group in the same epoch and step.
    fn members_at_same_step(&self, zone: &str) -> usize {
        let Some(state) = self.states.get(zone) else { return 0 };
        let at_same_step = |w: &ZoneReport| (w.epoch, w.step) == (state.epoch, state.step);
        self.reported_words(zone).filter(|(same_group, w)| *same_group && w.is_some_and(at_same_step)).count()
    }

    /// Adopts the epoch and step of half of the group if that epoch is later, or of most of it in the same
    /// epoch. A member that wakes from a stall, starts or was partitioned off is behind the others; no member
    /// goes back to a past epoch.
    fn follow(&mut self, now: Micros, zone: &Arc<str>, votes: Votes) {
        let Some(state) = self.states.get(zone) else { return };
        let (epoch, step) = (state.epoch, state.step);
        let no_recent_answers = !self.observations.answers(now, zone, &self.terms);
        // Epochs and steps of the others with their counts: few entries, however many members.
        let mut positions = BTreeMap::<(u64, u8), (usize, Reason)>::new();
        for (same_group, word) in self.reported_words(zone) {
            if let Some(w) = word.filter(|_| same_group) {
                positions.entry((w.epoch, w.step)).or_insert((0, w.reason)).0 += 1;
            }
        }
        let supported = |(position, backing): &(&(u64, u8), &(usize, Reason))| {
            let ((their, to), (backers, reason)) = (**position, **backing);
            // In a group of two the other member may lie. It is followed only where this member had no
            // answers itself, and never up from a zone that was left.
            let may_follow_one = no_recent_answers && (step > 0 || to == 0);
            let half = backers * 2 >= votes.group && (backers >= 2 || may_follow_one);
            let later = their > epoch || !self.rules.check_epochs;
            let split = their == epoch && to != step && (backers * 2 > votes.group || to > step);
            // A step up is adopted only from a returning group: others at a higher step may be on their way
            // down.
            let direction_ok = to <= step || reason == Reason::Returns;
            direction_ok && half && (later || split)
        };
        let to = positions
            .iter()
            .filter(supported)
            .max_by_key(|((epoch, step), (backers, _))| (*epoch, *backers, *step));
        let Some(to) = to.map(|((epoch, step), (_, reason))| (*epoch, *step, *reason)) else { return };
        if let Some(state) = self.states.get_mut(zone) {
            state.follow(now, zone, to, &self.terms);
        }
    }

    /// Returns whether the zone's workers are warm: members inside report that they never stopped. Unknown
    /// counts as cold.
    fn worker_state(&self, zone: &str) -> WorkerState {
        let inside = zone == &*self.view.home;
        let well = self.reported_words(zone).any(|(same_group, w)| {
            !same_group && !inside && w.is_some_and(|w| w.step == TOP_STEP && w.opinion == Opinion::Well)
        });
        if well { WorkerState::Warm } else { WorkerState::Cold }
    }

    /// Returns the reports to send: to all at once if the report changed, otherwise to new members and to the
    /// next in turn.
    fn due_reports(&mut self, now: Micros) -> Vec<(Arc<str>, Report)> {
        let report = self.report(now);
        let summary: Vec<(Opinion, u64, u8, bool)> =
            report.zones.iter().map(|w| (w.opinion, w.epoch, w.step, w.answers > 0)).collect();
        let names: Vec<Arc<str>> = self.view.others.iter().map(|(n, _)| n.clone()).collect();
        let mut to: Vec<Arc<str>> = Vec::new();
        if summary != self.last_sent {
            to = names.iter().take(MAX_MEMBERS).cloned().collect();
            self.last_sent = summary;
        } else {
            to.extend(names.iter().filter(|n| self.known_members.binary_search(n).is_err()).cloned());
            if now >= self.next_report {
                self.next_report = now + REPORT_INTERVAL;
                let turns = names.iter().cycle().skip(self.next_turn % names.len().max(1));
                to.extend(turns.take(REPORT_FANOUT.min(names.len())).cloned());
                self.next_turn = (self.next_turn + REPORT_FANOUT) % names.len().max(1);
            }
        }
        self.known_members = names;
        self.known_members.sort_unstable();
        to.sort_unstable();
        to.dedup();
        to.into_iter().map(|name| (name, report.clone())).collect()
    }

    fn report(&mut self, now: Micros) -> Report {
        let mut zones = Vec::new();
        for (zone, state) in &self.states {
            let (rate, peak) = self.observations.rate(now, zone);
            zones.push(ZoneReport {
                zone: zone.clone(),
                opinion: self.opinions.get(zone).copied().unwrap_or_default(),
                epoch: state.epoch,
                step: state.step,
                reason: state.reason,
                age_ms: state.age_ms(now),
                answers: state.answers,
                rate,
                peak,
            });
        }
        Report { zones }
    }

    /// Returns this member's rank among those of its group in this epoch: 0 sends the first trial.
    fn rank(&self, zone: &str, state: &GroupState) -> usize {
        let (epoch, step) = (state.epoch, state.step);
        let weight = |name: &str| {
            let mut hasher = SipHasher13::new();
            (zone, epoch, name).hash(&mut hasher);
            hasher.finish()
        };
        let own_weight = (weight(&self.view.own_name), &*self.view.own_name);
        let at_same_step = |name: &Arc<str>| {
            self.reports
                .get(name)
                .and_then(|h| h.zones.get(zone))
                .is_some_and(|w| (w.epoch, w.step) == (epoch, step))
        };
        let others =
            self.view.others.iter().filter(|(name, home)| self.same_group(zone, home) && at_same_step(name));
        others.filter(|(name, _)| (weight(name), &**name) > own_weight).count()
    }

    /// Returns whether this member may send a trial to a zone that was left: the owner first, the next in
    /// rank once the owner has reported an answer or has had its time.
    fn may_send_trial(&self, now: Micros, zone: &str, state: &GroupState) -> bool {
        if now < state.until || state.answers >= TRIAL_ANSWERS {
            return false;
        }
        let rank = self.rank(zone, state);
        let group_words =
            self.reported_words(zone).filter(|(same_group, _)| *same_group).filter_map(|(_, w)| w);
        let answered = group_words.filter(|w| w.epoch == state.epoch && w.step == 0 && w.answers > 0).count();
        let waited = now >= state.until + rank as u64 * 2 * self.terms.dwell;
        rank <= answered.min(1) || waited
    }

    /// Returns the number of requests that may go to a zone now; `None` if traffic to it is not limited.
    pub fn gate_allowance(&mut self, now: Micros, zone: &str) -> Option<u64> {
        match self.orders.get(zone) {
            Some((Order::Leave, until)) if now < *until => return Some(0),
            Some((Order::Stay, until)) if now < *until => return None,
            _ => {}
        }
        let state = self.states.get(zone).filter(|p| p.step < TOP_STEP)?.clone();
        let rate = if state.step == 0 {
            let may_try = self.may_send_trial(now, zone, &state);
            if may_try { 1e6 / TRIAL_INTERVAL as f64 } else { 0.0 }
        } else {
            let share =
                STEP_SHARES_PER_MILLE[usize::from(state.step)] as f64 / 1e3 * self.view.share as f64 / 1e6;
            self.fleet_peak(now, zone).max(MIN_PEAK_MILLI_PER_S) as f64 / 1e3 * share
        };
        // A step is judged by its first answers: a few members, different ones for each epoch, send one
        // request at once.
        let first = state.step > 0 && self.rank(zone, &state) < STEP_UP_ANSWERS as usize;
        let gate = self.gates.entry(zone.into()).or_default();
        if gate.epoch != state.epoch {
            (gate.epoch, gate.tokens) = (state.epoch, f64::from(u8::from(first)));
        }
        let elapsed = now.saturating_sub(gate.at).min(TRIAL_INTERVAL) as f64 / 1e6;
        gate.at = now;
        gate.tokens = if rate > 0.0 { (gate.tokens + rate * elapsed).min(1.0 + rate / 10.0) } else { 0.0 };
        Some(gate.tokens as u64)
    }

    /// Returns whether this member should send something to the zone within its gate even if other workers
    /// are nearer or warmer: a step is judged by answers, and an empty zone would otherwise get no requests
    /// while other workers are warm.
    pub fn needs_answers(&self, zone: &str) -> bool {
        let few = |p: &GroupState| p.step < TOP_STEP && p.answers < TRIAL_ANSWERS;
        !self.orders.contains_key(zone) && self.states.get(zone).is_some_and(few)
    }

    /// Records requests sent to the zone through its gate.
    pub fn record_gated(&mut self, zone: &str, count: u64) {
        if let Some(gate) = self.gates.get_mut(zone) {
            gate.tokens = (gate.tokens - count as f64).max(0.0);
        }
    }

    /// Returns the recent peak rate of answers from a zone, summed over all members, in thousandths of an
    /// answer per second.
    fn fleet_peak(&mut self, now: Micros, zone: &str) -> u64 {
        let own = u64::from(self.observations.rate(now, zone).1);
        let words = self.reports.values().filter_map(|h| h.zones.get(zone));
        words.fold(own, |sum, w| sum + u64::from(w.peak))
    }

    /// Iterates over the zones, and whether traffic to each is limited.
    pub fn names(&self) -> impl Iterator<Item = (&Arc<str>, bool)> {
        self.states.iter().map(|(zone, p)| (zone, p.step < TOP_STEP || self.orders.contains_key(zone)))
    }

    /// Returns the group's state for a zone.
    pub fn state(&self, zone: &str) -> Option<&GroupState> {
        self.states.get(zone)
    }

    /// Returns this member's last opinion of a zone.
    pub fn opinion(&self, zone: &str) -> Opinion {
        self.opinions.get(zone).copied().unwrap_or_default()
    }

    /// Returns the number of other members whose reports are stored.
    pub fn report_count(&self) -> usize {
        self.reports.len()
    }

    /// Returns how often this process stalled.
    pub fn stalls(&self) -> u64 {
        self.stalls
    }

    /// Returns the state of all zones.
    pub fn status(&mut self, now: Micros) -> Vec<ZoneStatus> {
        let zones: Vec<Arc<str>> = self.states.keys().cloned().collect();
        let of = |zone: Arc<str>| ZoneStatus {
            inside: *zone == *self.view.home,
            state: self.states.get(&zone).cloned().unwrap_or_default(),
            opinion: self.opinion(&zone),
            order: self.orders.get(&zone).copied(),
            peak: self.fleet_peak(now, &zone),
            zone,
        };
        zones.into_iter().map(of).collect()
    }
}
