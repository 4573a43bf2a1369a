//! The group's steps, as one member works them out: from what it sees and what others report of what they see.

use crate::votes::Votes;
use crate::{
    End, MOST_MEMBERS, MOST_NAME, MOST_ZONES, Micros, Opinion, Pace, Place, Reason, Report, Rules, SHARES,
    Sight, TOP, Terms, ZoneWord,
};
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// Everything is looked at this often.
const TICK: Micros = 50_000;
/// One that was not called for so long has stood still: what it knows is of before.
const STALLED: Micros = 700_000;
/// Reports are told again to so many others in this time, in turn; one that changed, to all at once.
const TOLD: usize = 8;
const TELL_EVERY: Micros = 500_000;
/// A report counts for this long, and longer in a group that takes longer to be told.
const COUNTS: Micros = 1_600_000;
/// A trial in this time, and so many answers are enough.
const TRIAL_EVERY: Micros = 100_000;
const TRIALS: u32 = 3;
/// Answers of a step that allow the next one.
const ANSWERS: u64 = 4;
/// What a zone is held to bear at least, in thousandths of a request a second: nobody may know its peak any more.
const LEAST_PEAK: u64 = 20_000;
/// Epochs further ahead than this are believed only of a part of the group that could have moved it.
const MOST_AHEAD: u64 = 64;
/// Others can take what moves, if they have room for it at so many hundredths of their best of late.
const ROOM: u64 = 125;
/// What goes to a zone that is slow, if the others can take the rest.
const SLOW_STEP: u8 = 2;

/// An operator's word on a zone; it goes before all evidence until it is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Send nothing there.
    Leave,
    /// Hold nothing back.
    Stay,
}

/// What the host sees of the fleet.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Our own name.
    pub own: Arc<str>,
    /// The zone that we stand in.
    pub home: Arc<str>,
    /// The others that are up, and their zones.
    pub others: Vec<(Arc<str>, Arc<str>)>,
    /// Our share of what the whole fleet may send to a zone that returns, in millionths.
    pub share: u64,
}

#[derive(Clone, Debug)]
struct Heard {
    at: Micros,
    zones: BTreeMap<Arc<str>, ZoneWord>,
}

/// What is known of one zone, to be told to operators.
#[derive(Clone, Debug)]
pub struct Standing {
    /// Its name.
    pub zone: Arc<str>,
    /// Whether this member stands in it.
    pub inside: bool,
    /// The group's place.
    pub place: Place,
    /// What this member sees.
    pub opinion: Opinion,
    /// The operator's word, and until when.
    pub order: Option<(Order, Micros)>,
    /// Answers a second from there at best of late, of all that are heard, in thousandths.
    pub peak: u64,
}

#[derive(Clone, Debug, Default)]
struct Gate {
    tokens: f64,
    at: Micros,
    /// The epoch that it was last filled in.
    epoch: u64,
}

/// The machine.
#[derive(Clone, Debug)]
pub struct Zones {
    terms: Terms,
    rules: Rules,
    sight: Sight,
    places: BTreeMap<Arc<str>, Place>,
    heard: BTreeMap<Arc<str>, Heard>,
    orders: BTreeMap<Arc<str>, (Order, Micros)>,
    opinions: BTreeMap<Arc<str>, Opinion>,
    gates: BTreeMap<Arc<str>, Gate>,
    view: View,
    began: Micros,
    last: Micros,
    next_tick: Micros,
    next_tell: Micros,
    /// What was last told to all, without what changes all the time.
    told: Vec<(Opinion, u64, u8, bool)>,
    /// Others that were up when last looked, and who of them is told next.
    met: Vec<Arc<str>>,
    turn: usize,
    stalls: u64,
}

impl Zones {
    /// One that begins now, and holds nothing back.
    pub fn new(terms: Terms, now: Micros) -> Zones {
        Zones {
            terms,
            rules: Rules::default(),
            sight: Sight::default(),
            places: BTreeMap::new(),
            heard: BTreeMap::new(),
            orders: BTreeMap::new(),
            opinions: BTreeMap::new(),
            gates: BTreeMap::new(),
            view: View::default(),
            began: now,
            last: now,
            next_tick: now,
            next_tell: now,
            told: Vec::new(),
            met: Vec::new(),
            turn: 0,
            stalls: 0,
        }
    }

    /// With rules left out, to show that checks can fail.
    pub fn with_rules(mut self, rules: Rules) -> Zones {
        self.rules = rules;
        self
    }

    /// The workers there are, and their zones. Of more than [`MOST_ZONES`] zones the first by name are watched.
    pub fn listed(&mut self, list: &[(Arc<str>, Arc<str>)]) {
        self.sight.listed(list);
        let mut zones = self.sight.zones();
        zones.retain(|h| !h.is_empty() && h.len() <= MOST_NAME);
        zones.truncate(MOST_ZONES);
        self.places.retain(|zone, _| zones.contains(zone));
        self.gates.retain(|zone, _| zones.contains(zone));
        for zone in zones {
            self.places.entry(zone).or_default();
        }
    }

    /// Something was sent to a worker.
    pub fn sent(&mut self, now: Micros, worker: &str) {
        self.awake(now);
        self.sight.sent(now, worker);
    }

    /// What was sent then came to its end.
    pub fn ended(&mut self, now: Micros, worker: &str, sent: Micros, end: End) {
        self.awake(now);
        // Danger: an answer to what was sent before the zone was left tells nothing of it as it is.
        if self.sight.ended(now, worker, end, &self.terms)
            && let Some(place) = self.sight.zone(worker).and_then(|zone| self.places.get_mut(&zone))
            && sent >= if place.step == 0 { place.until } else { place.since }
        {
            place.good = place.good.saturating_add(1);
        }
    }

    /// An operator's word, until then.
    pub fn say(&mut self, zone: &str, order: Option<(Order, Micros)>) -> bool {
        let Some((zone, _)) = self.places.get_key_value(zone) else { return false };
        match order {
            Some(order) => drop(self.orders.insert(zone.clone(), order)),
            None => drop(self.orders.remove(zone)),
        }
        true
    }

    /// Another's report. Danger: it may say anything; it is one voice, and what is held of it is bounded.
    pub fn told(&mut self, now: Micros, from: &Arc<str>, report: Report) {
        self.awake(now);
        if self.heard.len() >= MOST_MEMBERS && !self.heard.contains_key(from) {
            let oldest = self.heard.iter().min_by_key(|(_, h)| h.at).map(|(name, _)| name.clone());
            oldest.into_iter().for_each(|name| drop(self.heard.remove(&name)));
        }
        let zones = report.zones.into_iter().map(|w| (w.zone.clone(), w)).collect();
        self.heard.insert(from.clone(), Heard { at: now, zones });
    }

    /// A process that stood still knows nothing of what is.
    fn awake(&mut self, now: Micros) {
        if now > self.last + STALLED {
            self.stalls += 1;
            self.sight.forget(now);
            self.heard.clear();
            // It listens anew before it says anything.
            self.began = now;
        }
        self.last = self.last.max(now);
    }

    /// How long a report counts.
    fn counts(&self) -> Micros {
        let turns = self.view.others.len().div_ceil(TOLD) as u64;
        COUNTS + turns * TELL_EVERY * 3 / 2
    }

    /// One that has only begun hears first what others know.
    fn listens(&self, now: Micros) -> bool {
        !self.view.others.is_empty() && now < self.began + self.terms.fresh / 2
    }

    /// When [`Zones::advance`] next has something to do.
    pub fn due(&self) -> Micros {
        self.next_tick
    }

    /// Looks at everything; what is to be told, and to whom.
    pub fn advance(&mut self, now: Micros, view: &View) -> Vec<(Arc<str>, Report)> {
        self.awake(now);
        if now < self.next_tick {
            return Vec::new();
        }
        self.next_tick = now + TICK;
        self.view = view.clone();
        let counts = self.counts();
        let up: std::collections::BTreeSet<&Arc<str>> = self.view.others.iter().map(|(n, _)| n).collect();
        self.heard.retain(|name, h| now < h.at + counts && up.contains(name));
        self.orders.retain(|_, (_, until)| now < *until);
        self.look(now);
        let zones: Vec<Arc<str>> = self.places.keys().cloned().collect();
        let votes: Vec<(Votes, Votes)> = zones.iter().map(|h| self.votes(now, h)).collect();
        for (at, zone) in zones.iter().enumerate() {
            let usable = |n: usize| {
                n != at && !votes[n].0.out() && self.places.get(&zones[n]).is_some_and(|p| p.step > 0)
            };
            let another = (0..zones.len()).any(usable);
            self.decide(now, zone, votes[at], another, &zones);
        }
        self.words(now)
    }

    /// What this member sees now, by what came since the group last moved.
    fn look(&mut self, now: Micros) {
        let listens = self.listens(now);
        let since = |p: &Place| if p.step == TOP { 0 } else { p.since };
        let zones: Vec<(Arc<str>, Micros)> =
            self.places.iter().map(|(zone, p)| (zone.clone(), since(p))).collect();
        let opinions = self.sight.opinions(now, &zones, &self.terms);
        let said = |o: Opinion| if listens { Opinion::None } else { o };
        self.opinions = zones.into_iter().map(|(zone, _)| zone).zip(opinions.into_iter().map(said)).collect();
    }

    /// Whether a member that stands there is of our group for this zone.
    fn alike(&self, zone: &str, home: &str) -> bool {
        (zone == home) == (zone == &*self.view.home)
    }

    /// Words on a zone by others that speak of zones: whether of our group, and the word.
    fn heard_of<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = (bool, Option<&'a ZoneWord>)> + 'a {
        self.view.others.iter().filter_map(move |(name, home)| {
            let heard = self.heard.get(name)?;
            Some((self.alike(zone, home), heard.zones.get(zone)))
        })
    }

    /// Votes of our group on a zone, and those of all on whether its workers are gone.
    fn votes(&self, now: Micros, zone: &str) -> (Votes, Votes) {
        let Some(place) = self.places.get(zone) else { return Default::default() };
        let own = self.opinions.get(zone).copied().unwrap_or_default();
        let (mut group, mut all) =
            (Votes { group: 1, ..Votes::default() }, Votes { group: 1, ..Votes::default() });
        group.add(own);
        all.add(own);
        if place.good > 0 {
            group.good = 1;
            group.answers = u64::from(place.good);
        }
        for (alike, word) in self.heard_of(zone) {
            all.group += 1;
            group.group += usize::from(alike);
            let Some(word) = word else { continue };
            if alike {
                group.hear(word, place, self.rules);
            }
            let left = word.step < TOP && word.reason == Reason::Gone;
            let lately = u64::from(word.age_ms) * 1_000 < self.terms.fresh;
            all.add(match word.opinion {
                Opinion::None if left && lately => Opinion::Gone,
                opinion => opinion,
            });
        }
        let _ = now;
        (group, all)
    }

    /// Whether the other zones could take what would no longer go to this one.
    fn room(&mut self, now: Micros, zone: &str, zones: &[Arc<str>], step: u8) -> bool {
        let mut of = |h: &str| {
            let (mut rate, mut peak) = self.sight.rate(now, h);
            for word in self.heard.values().filter_map(|w| w.zones.get(h)) {
                (rate, peak) = (rate.saturating_add(word.rate), peak.saturating_add(word.peak));
            }
            (u64::from(rate), u64::from(peak))
        };
        let moved = of(zone).0 * (1_000 - SHARES[usize::from(step)]) / 1_000;
        let others: Vec<(u64, u64)> = zones.iter().filter(|h| &***h != zone).map(|h| of(h)).collect();
        let room: u64 = others.iter().map(|(rate, peak)| (peak * ROOM / 100).saturating_sub(*rate)).sum();
        moved <= room
    }

    fn decide(
        &mut self,
        now: Micros,
        zone: &Arc<str>,
        votes: (Votes, Votes),
        another: bool,
        zones: &[Arc<str>],
    ) {
        let (group, all) = votes;
        self.follow(now, zone, group);
        let listens = self.listens(now);
        let pace = self.pace(zone);
        let slow_step = (SLOW_STEP..TOP).find(|step| self.room(now, zone, zones, *step));
        let past = |zones: &Zones, step: u8| {
            let same = |w: &&ZoneWord| w.step == step;
            let near =
                |e: &u64| zones.places.get(zone).is_some_and(|p| *e <= p.epoch.saturating_add(MOST_AHEAD));
            let words = zones.heard_of(zone).filter(|(alike, _)| *alike).filter_map(|(_, w)| w);
            words.filter(same).map(|w| w.epoch).filter(near).max().unwrap_or(0)
        };
        let Some(place) = self.places.get(zone) else { return };
        let (step, until, reason) = (place.step, place.until, place.reason);
        let why = if all.dead() || group.gone >= group.silent { Reason::Gone } else { Reason::Silent };
        let to = match step {
            _ if listens => None,
            TOP if another && (group.out() || all.dead()) => Some((0, why)),
            TOP if another && group.slowed() => slow_step.map(|step| (step, Reason::Slow)),
            0 => {
                let own = self.opinions.get(zone).is_some_and(|o| o.bad());
                let tried = now >= until && (own || group.bad() > 0);
                if tried && let Some(place) = self.places.get_mut(zone) {
                    place.put_off(now, &self.terms);
                }
                let alike = 1 + self.beside(zone);
                let enough = group.good >= alike.min(2) || !self.rules.evidence;
                (!tried && now >= until && enough).then_some((1, Reason::Returns))
            }
            // On the way back, or slow: one step at a time.
            1..TOP if group.out() => Some((step - 1, Reason::Worse)),
            1..TOP if group.slowed() && reason != Reason::Slow => Some((step - 1, Reason::Worse)),
            1..TOP => {
                let least = ANSWERS.min(1 + self.beside(zone) as u64);
                let enough = (group.fine() && group.answers >= least) || !self.rules.evidence;
                let rises = place.may_rise(now, pace, &self.terms) && enough;
                rises.then_some((step + 1, Reason::Returns))
            }
            _ => None,
        };
        let Some((next, reason)) = to else { return };
        let past = past(self, next);
        let Some(place) = self.places.get_mut(zone) else { return };
        if next > step {
            place.up(now, past, &self.terms);
        } else {
            place.down(now, zone, next, reason, past, &self.terms);
        }
    }

    /// Others of our group that stand where we stand.
    fn beside(&self, zone: &str) -> usize {
        let Some(place) = self.places.get(zone) else { return 0 };
        let stands = |w: &ZoneWord| (w.epoch, w.step) == (place.epoch, place.step);
        self.heard_of(zone).filter(|(alike, w)| *alike && w.is_some_and(stands)).count()
    }

    /// Stands where half of the group stands in a later epoch, or most of it in the same one. Danger: one that wakes, begins or was
    /// cut off finds itself behind; and nobody goes back to an epoch that is over.
    fn follow(&mut self, now: Micros, zone: &Arc<str>, votes: Votes) {
        let Some(place) = self.places.get(zone) else { return };
        let (epoch, step) = (place.epoch, place.step);
        let unseen = !self.sight.answers(now, zone, &self.terms);
        // Where others stand, and how many: few places, however many members.
        let mut stands = BTreeMap::<(u64, u8), (usize, Reason)>::new();
        for (alike, word) in self.heard_of(zone) {
            if let Some(w) = word.filter(|_| alike) {
                stands.entry((w.epoch, w.step)).or_insert((0, w.reason)).0 += 1;
            }
        }
        let most = |(at, backed): &(&(u64, u8), &(usize, Reason))| {
            let ((their, to), (backers, reason)) = (**at, **backed);
            // Danger: in a group of two the other may lie. It moves us only where we have seen nothing, and not to a zone that was left.
            let other = unseen && (step > 0 || to == 0);
            let half = backers * 2 >= votes.group && (backers >= 2 || other);
            let later = their > epoch || !self.rules.epochs;
            let split = their == epoch && to != step && (backers * 2 > votes.group || to > step);
            // Up goes who follows those that come back; others that stand higher may be on their way down.
            let way = to <= step || reason == Reason::Returns;
            way && half && (later || split)
        };
        let to =
            stands.iter().filter(most).max_by_key(|((epoch, step), (backers, _))| (*epoch, *backers, *step));
        let Some(to) = to.map(|((epoch, step), (_, reason))| (*epoch, *step, *reason)) else { return };
        if let Some(place) = self.places.get_mut(zone) {
            place.follow(now, zone, to, &self.terms);
        }
    }

    /// Those inside say that its workers ran all the time, or nobody knows.
    fn pace(&self, zone: &str) -> Pace {
        let inside = zone == &*self.view.home;
        let well = self.heard_of(zone).any(|(alike, w)| {
            !alike && !inside && w.is_some_and(|w| w.step == TOP && w.opinion == Opinion::Well)
        });
        if well { Pace::Warm } else { Pace::Cold }
    }

    /// What is to be told: at once to all if it changed, to who has come up, else in turn.
    fn words(&mut self, now: Micros) -> Vec<(Arc<str>, Report)> {
        let report = self.report(now);
        let told: Vec<(Opinion, u64, u8, bool)> =
            report.zones.iter().map(|w| (w.opinion, w.epoch, w.step, w.good > 0)).collect();
        let names: Vec<Arc<str>> = self.view.others.iter().map(|(n, _)| n.clone()).collect();
        let mut to: Vec<Arc<str>> = Vec::new();
        if told != self.told {
            to = names.iter().take(MOST_MEMBERS).cloned().collect();
            self.told = told;
        } else {
            to.extend(names.iter().filter(|n| self.met.binary_search(n).is_err()).cloned());
            if now >= self.next_tell {
                self.next_tell = now + TELL_EVERY;
                let turns = names.iter().cycle().skip(self.turn % names.len().max(1));
                to.extend(turns.take(TOLD.min(names.len())).cloned());
                self.turn = (self.turn + TOLD) % names.len().max(1);
            }
        }
        self.met = names;
        self.met.sort_unstable();
        to.sort_unstable();
        to.dedup();
        to.into_iter().map(|name| (name, report.clone())).collect()
    }

    fn report(&mut self, now: Micros) -> Report {
        let mut zones = Vec::new();
        for (zone, place) in &self.places {
            let (rate, peak) = self.sight.rate(now, zone);
            zones.push(ZoneWord {
                zone: zone.clone(),
                opinion: self.opinions.get(zone).copied().unwrap_or_default(),
                epoch: place.epoch,
                step: place.step,
                reason: place.reason,
                age_ms: place.age_ms(now),
                good: place.good,
                rate,
                peak,
            });
        }
        Report { zones }
    }

    /// Where this member stands among those of its group in this epoch: 0 tries first.
    fn rank(&self, zone: &str, place: &Place) -> usize {
        let (epoch, step) = (place.epoch, place.step);
        let weight = |name: &str| {
            let mut hasher = SipHasher13::new();
            (zone, epoch, name).hash(&mut hasher);
            hasher.finish()
        };
        let mine = (weight(&self.view.own), &*self.view.own);
        let waits = |name: &Arc<str>| {
            self.heard
                .get(name)
                .and_then(|h| h.zones.get(zone))
                .is_some_and(|w| (w.epoch, w.step) == (epoch, step))
        };
        let others = self.view.others.iter().filter(|(name, home)| self.alike(zone, home) && waits(name));
        others.filter(|(name, _)| (weight(name), &**name) > mine).count()
    }

    /// Whether this member may try a zone that was left: the owner first, who comes after it once it has told of an answer, or has
    /// had its time.
    fn may_try(&self, now: Micros, zone: &str, place: &Place) -> bool {
        if now < place.until || place.good >= TRIALS {
            return false;
        }
        let rank = self.rank(zone, place);
        let told = self.heard_of(zone).filter(|(alike, _)| *alike).filter_map(|(_, w)| w);
        let answered = told.filter(|w| w.epoch == place.epoch && w.step == 0 && w.good > 0).count();
        let waited = now >= place.until + rank as u64 * 2 * self.terms.dwell;
        rank <= answered.min(1) || waited
    }

    /// Requests that may go to a zone now; none where nothing is held back.
    pub fn gate(&mut self, now: Micros, zone: &str) -> Option<u64> {
        match self.orders.get(zone) {
            Some((Order::Leave, until)) if now < *until => return Some(0),
            Some((Order::Stay, until)) if now < *until => return None,
            _ => {}
        }
        let place = self.places.get(zone).filter(|p| p.step < TOP)?.clone();
        let rate = if place.step == 0 {
            let tries = self.may_try(now, zone, &place);
            if tries { 1e6 / TRIAL_EVERY as f64 } else { 0.0 }
        } else {
            let share = SHARES[usize::from(place.step)] as f64 / 1e3 * self.view.share as f64 / 1e6;
            self.peak(now, zone).max(LEAST_PEAK) as f64 / 1e3 * share
        };
        // A step is judged by its first answers: a few members, others each time, send one at once.
        let first = place.step > 0 && self.rank(zone, &place) < ANSWERS as usize;
        let gate = self.gates.entry(zone.into()).or_default();
        if gate.epoch != place.epoch {
            (gate.epoch, gate.tokens) = (place.epoch, f64::from(u8::from(first)));
        }
        let passed = now.saturating_sub(gate.at).min(TRIAL_EVERY) as f64 / 1e6;
        gate.at = now;
        gate.tokens = if rate > 0.0 { (gate.tokens + rate * passed).min(1.0 + rate / 10.0) } else { 0.0 };
        Some(gate.tokens as u64)
    }

    /// Whether this member should send something there by its gate, whatever else is nearer or warmer: a step is judged by answers, and
    /// nobody would try a zone that stands empty while others are warm.
    pub fn wants(&self, zone: &str) -> bool {
        let few = |p: &Place| p.step < TOP && p.good < TRIALS;
        !self.orders.contains_key(zone) && self.places.get(zone).is_some_and(few)
    }

    /// So many went there through the gate.
    pub fn entered(&mut self, zone: &str, count: u64) {
        if let Some(gate) = self.gates.get_mut(zone) {
            gate.tokens = (gate.tokens - count as f64).max(0.0);
        }
    }

    /// Answers a second that all had from a zone at best of late, in thousandths.
    fn peak(&mut self, now: Micros, zone: &str) -> u64 {
        let own = u64::from(self.sight.rate(now, zone).1);
        let words = self.heard.values().filter_map(|h| h.zones.get(zone));
        words.fold(own, |sum, w| sum + u64::from(w.peak))
    }

    /// The zones, whether any holds something back.
    pub fn names(&self) -> impl Iterator<Item = (&Arc<str>, bool)> {
        self.places.iter().map(|(zone, p)| (zone, p.step < TOP || self.orders.contains_key(zone)))
    }

    /// Where the group stands to a zone.
    pub fn place(&self, zone: &str) -> Option<&Place> {
        self.places.get(zone)
    }

    /// What this member last said of a zone.
    pub fn opinion(&self, zone: &str) -> Opinion {
        self.opinions.get(zone).copied().unwrap_or_default()
    }

    /// Others that speak of zones.
    pub fn heard(&self) -> usize {
        self.heard.len()
    }

    /// How often this process stood still.
    pub fn stalls(&self) -> u64 {
        self.stalls
    }

    /// All that is known, zone by zone.
    pub fn standings(&mut self, now: Micros) -> Vec<Standing> {
        let zones: Vec<Arc<str>> = self.places.keys().cloned().collect();
        let of = |zone: Arc<str>| Standing {
            inside: *zone == *self.view.home,
            place: self.places.get(&zone).cloned().unwrap_or_default(),
            opinion: self.opinion(&zone),
            order: self.orders.get(&zone).copied(),
            peak: self.peak(now, &zone),
            zone,
        };
        zones.into_iter().map(of).collect()
    }
}
