//! Judges the records of a soak by the platform's rules. Pure: records in, breaks out.

use super::record::{Arrival, Class, Dispatcher, End, Micros, ProcessEvent, Records, Request};
use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// What the platform adds to every time limit on sockets.
const SLACK_US: Micros = 50_000;
/// What this machine may take to run a thread of ours: its records are late by as much.
const MACHINE_US: Micros = 100_000;
/// After the client's time an answer earns nothing, but is none that was lost, for this long.
const LATE_ANSWER_US: Micros = 500_000;
/// An attempt may begin this long after its client has left.
const LEFT_US: Micros = 100_000;
/// A restarted process is ready within this time.
const READY_US: Micros = 10_000_000;

/// A rule of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request has one final answer in its time.
    Lost,
    /// Nothing runs more often than its class allows, and nothing that was refused has run.
    Duplicate,
    /// Nothing is sent to a worker after the grace once it was told to drain or to be gone.
    Drain,
    /// A cold worker gets no more than its share.
    Failback,
    /// No attempt begins for a client that has left.
    Gone,
    /// No process ends but by our signals, or panics, or takes too long to be ready.
    Crash,
}

impl Rule {
    /// All of them.
    pub const ALL: [Rule; 6] =
        [Rule::Lost, Rule::Duplicate, Rule::Drain, Rule::Failback, Rule::Gone, Rule::Crash];
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::Lost => "lost",
            Rule::Duplicate => "duplicate",
            Rule::Drain => "drain",
            Rule::Failback => "failback",
            Rule::Gone => "gone",
            Rule::Crash => "crash",
        })
    }
}

/// A rule that was broken, and how.
#[derive(Clone, Debug)]
pub struct Break {
    /// The rule.
    pub rule: Rule,
    /// When.
    pub at: Micros,
    /// What was seen.
    pub what: String,
}

/// The figures of the settings that rules refer to.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// From the telling of a drain to the last send.
    pub drain_grace: Micros,
    /// How long a worker drops repeats of a key.
    pub repeat_window: Micros,
    /// The window in which a cold worker's requests are counted, and the multiple of its capacity that it bears.
    pub fall_window: Micros,
    /// See `fall_window`.
    pub fall_multiple: f64,
    /// What a cold worker bears at its start, as a share of its capacity, and when it is warm.
    pub cold_share: f64,
    /// See `cold_share`.
    pub warm_after: Micros,
}

/// All breaks of the rules, in the order of the rules.
pub fn judge(records: &Records, limits: Limits) -> Vec<Break> {
    let mut breaks = Vec::new();
    let arrivals = by_request(&records.arrivals);
    lost(records, &mut breaks);
    duplicate(records, &arrivals, limits, &mut breaks);
    drain(records, limits, &mut breaks);
    failback(records, limits, &mut breaks);
    gone(records, &arrivals, &mut breaks);
    crash(records, &mut breaks);
    breaks
}

fn by_request(arrivals: &[Arrival]) -> HashMap<&str, Vec<&Arrival>> {
    let mut all = HashMap::<&str, Vec<&Arrival>>::new();
    for arrival in arrivals {
        if let Some((id, _)) = &arrival.request {
            all.entry(id).or_default().push(arrival);
        }
    }
    all
}

/// Times at which a dispatcher was stopped, from and to.
fn pauses(records: &Records, dispatcher: Dispatcher) -> impl Iterator<Item = (Micros, Micros)> + '_ {
    records.processes.iter().filter_map(move |p| match p.event {
        ProcessEvent::Paused(time) if p.dispatcher == dispatcher => Some((p.at, p.at + time)),
        _ => None,
    })
}

/// How long a dispatcher was stopped between two moments, with what it needs to catch up.
fn paused(records: &Records, dispatcher: Dispatcher, from: Micros, to: Micros) -> Micros {
    let overlap = |(begin, end): (Micros, Micros)| (end + MACHINE_US).min(to).saturating_sub(begin.max(from));
    pauses(records, dispatcher).map(overlap).sum()
}

fn killed_between(records: &Records, dispatcher: Dispatcher, from: Micros, to: Micros) -> bool {
    let kill = |event| matches!(event, ProcessEvent::Killed);
    records
        .processes
        .iter()
        .any(|p| p.dispatcher == dispatcher && kill(p.event) && (from..=to).contains(&p.at))
}

fn lost(records: &Records, breaks: &mut Vec<Break>) {
    for request in &records.requests {
        let Some(what) = lost_why(records, request) else { continue };
        let Request { dispatcher, id, class, sent_at, .. } = request;
        let what = format!("n{dispatcher} {id} {} sent at {sent_at}: {what}", class.name());
        breaks.push(Break { rule: Rule::Lost, at: request.ended_at, what });
    }
}

fn lost_why(records: &Records, request: &Request) -> Option<String> {
    if request.answers > 1 {
        return Some("a second answer".to_string());
    }
    match request.end {
        End::Left | End::NotTaken => None,
        End::ServedWrong => Some("served with what no worker made for it".to_string()),
        End::ConnectionEnded | End::NoAnswer => {
            let to = request.ended_at + SLACK_US + MACHINE_US;
            let killed =
                killed_between(records, request.dispatcher, request.sent_at.saturating_sub(SLACK_US), to);
            (!killed).then(|| format!("{:?}", request.end))
        }
        End::Served | End::Refused | End::Failed => {
            let due = request.sent_at + request.waits + LATE_ANSWER_US + SLACK_US + MACHINE_US;
            let paused = paused(records, request.dispatcher, request.sent_at, request.ended_at);
            let late = request.ended_at.saturating_sub(due + paused);
            (late > 0).then(|| format!("answered {late} us later than a late answer may come"))
        }
    }
}

fn duplicate(
    records: &Records,
    arrivals: &HashMap<&str, Vec<&Arrival>>,
    limits: Limits,
    breaks: &mut Vec<Break>,
) {
    for request in &records.requests {
        let came = arrivals.get(request.id.as_str()).map_or(&[][..], Vec::as_slice);
        let ran: Vec<&Arrival> = came.iter().filter(|a| a.ran).copied().collect();
        let what = match request.class {
            Class::Safe => None,
            Class::Unsafe if ran.len() > 1 => Some(format!("ran {} times", ran.len())),
            Class::Unsafe if request.end == End::Refused && !ran.is_empty() => {
                Some("was refused and has run".to_string())
            }
            Class::Unsafe => None,
            Class::Keyed => {
                let first = ran.iter().map(|a| a.at).min().unwrap_or(0);
                let past = first + limits.repeat_window + SLACK_US + MACHINE_US;
                let late = came.iter().find(|a| a.timed && !ran.is_empty() && a.at > past);
                late.map(|a| format!("came again {} us after it may have run", a.at - first))
            }
        };
        if let Some(what) = what {
            let what = format!("n{} {} {}: {what}", request.dispatcher, request.id, request.class.name());
            breaks.push(Break { rule: Rule::Duplicate, at: request.ended_at, what });
        }
    }
}

/// When each process of each dispatcher was first told of each worker's drain.
fn first_told(records: &Records) -> HashMap<(Dispatcher, usize, &str), Micros> {
    let mut first = HashMap::new();
    for told in &records.told {
        let at = first.entry((told.dispatcher, told.life, told.worker.as_str())).or_insert(told.at);
        *at = told.at.min(*at);
    }
    first
}

/// Which process of each dispatcher served from when on.
fn lives(records: &Records) -> BTreeMap<Dispatcher, Vec<(Micros, usize)>> {
    let mut lives = BTreeMap::<Dispatcher, Vec<(Micros, usize)>>::new();
    for record in records.processes.iter().filter(|p| p.event == ProcessEvent::Started) {
        lives.entry(record.dispatcher).or_default().push((record.at, record.life));
    }
    lives
}

fn drain(records: &Records, limits: Limits, breaks: &mut Vec<Break>) {
    let (first, lives) = (first_told(records), lives(records));
    for arrival in records.arrivals.iter().filter(|a| a.timed) {
        let started = lives.get(&arrival.dispatcher).map_or(&[][..], Vec::as_slice);
        let Some((_, life)) = started.iter().rev().find(|(at, _)| *at <= arrival.at) else { continue };
        let Some(told) = first.get(&(arrival.dispatcher, *life, arrival.worker.as_str())) else { continue };
        let due = told.saturating_add(limits.drain_grace + SLACK_US);
        // What was sent before a worker's thread ran is recorded late by as much.
        if arrival.at > due + MACHINE_US {
            let kind = arrival.request.as_ref().map_or("an order".to_string(), |(id, _)| id.clone());
            let late = arrival.at - told;
            let what = format!(
                "n{} life {life} sent {kind} to {} {late} us after it was told at {told}",
                arrival.dispatcher, arrival.worker
            );
            breaks.push(Break { rule: Rule::Drain, at: arrival.at, what });
        }
    }
}

/// The most that a warm worker has carried in a window until some moment: what all know of a worker's capacity.
struct Carried {
    /// Moments at which the most grew, in order, and to how much.
    steps: Vec<(Micros, f64)>,
}

impl Carried {
    fn by_warm_workers(arrivals: &[&Arrival], window: Micros) -> Carried {
        let mut times = HashMap::<&str, Vec<Micros>>::new();
        for arrival in arrivals.iter().filter(|a| a.cold_since.is_none()) {
            times.entry(&arrival.worker).or_default().push(arrival.at);
        }
        let mut counts: Vec<(Micros, f64)> = Vec::new();
        for times in times.values_mut() {
            times.sort_unstable();
            let mut first = 0;
            for (last, at) in times.iter().enumerate() {
                while times[first] + window <= *at {
                    first += 1;
                }
                counts.push((*at, (last + 1 - first) as f64));
            }
        }
        counts.sort_unstable_by_key(|(at, _)| *at);
        let mut steps: Vec<(Micros, f64)> = Vec::new();
        for (at, count) in counts {
            if steps.last().is_none_or(|(_, most)| count > *most) {
                steps.push((at, count));
            }
        }
        Carried { steps }
    }

    fn until(&self, at: Micros) -> f64 {
        let index = self.steps.partition_point(|(moment, _)| *moment <= at);
        index.checked_sub(1).map_or(0.0, |last| self.steps[last].1)
    }
}

/// Requests that a cold worker got in a window, against what a warm one has carried in one.
fn failback(records: &Records, limits: Limits, breaks: &mut Vec<Break>) {
    let requests: Vec<&Arrival> = records.arrivals.iter().filter(|a| a.request.is_some()).collect();
    let carried = Carried::by_warm_workers(&requests, limits.fall_window);
    let mut cold = BTreeMap::<&str, Vec<&Arrival>>::new();
    for arrival in requests.iter().filter(|a| a.cold_since.is_some()) {
        cold.entry(&arrival.worker).or_default().push(arrival);
    }
    for (worker, arrivals) in cold {
        let mut first = 0;
        for (place, last) in arrivals.iter().enumerate() {
            while arrivals[first].at + limits.fall_window <= last.at {
                first += 1;
            }
            let age = last.at.saturating_sub(last.cold_since.unwrap_or_default());
            if age >= limits.warm_after {
                break;
            }
            let got = (place + 1 - first) as f64;
            let grown = (1.0 - limits.cold_share) * age as f64 / limits.warm_after as f64;
            let allowed = limits.fall_multiple * (limits.cold_share + grown) * carried.until(last.at);
            let roots = if allowed < 30.0 { 3.0 * allowed.sqrt() + 3.0 } else { 2.0 * allowed.sqrt() + 2.0 };
            if got > allowed + roots {
                let what = format!("{worker} got {got} in a window that allows {allowed:.1} + {roots:.1}");
                breaks.push(Break { rule: Rule::Failback, at: last.at, what });
                break;
            }
        }
    }
}

fn gone(records: &Records, arrivals: &HashMap<&str, Vec<&Arrival>>, breaks: &mut Vec<Break>) {
    for request in &records.requests {
        let Some(left) = request.left_at else { continue };
        let due = left + LEFT_US + SLACK_US + MACHINE_US;
        let came = arrivals.get(request.id.as_str()).map_or(&[][..], Vec::as_slice);
        for arrival in came.iter().filter(|a| a.timed && a.at > due) {
            let what = format!(
                "n{} {} sent at {} came to {} {} us after its client left at {left}; it waits {:?} ms of {} us",
                request.dispatcher,
                request.id,
                request.sent_at,
                arrival.worker,
                arrival.at - left,
                arrival.waits_ms,
                request.waits
            );
            breaks.push(Break { rule: Rule::Gone, at: arrival.at, what });
        }
    }
}

fn crash(records: &Records, breaks: &mut Vec<Break>) {
    for outcry in &records.outcries {
        breaks.push(Break { rule: Rule::Crash, at: 0, what: outcry.clone() });
    }
    let ours = |p: &&super::record::ProcessRecord| {
        matches!(p.event, ProcessEvent::Terminated | ProcessEvent::Killed | ProcessEvent::KilledAtStop)
    };
    for ended in &records.processes {
        let same = |p: &&super::record::ProcessRecord| {
            p.dispatcher == ended.dispatcher && p.life == ended.life && p.at <= ended.at
        };
        let what = match ended.event {
            ProcessEvent::Ended(code) => {
                let asked = records.processes.iter().filter(same).any(|p| ours(&p));
                (!asked || code.is_some_and(|c| c != 0)).then(|| format!("ended with {code:?}"))
            }
            ProcessEvent::Ready => {
                let started = records.processes.iter().filter(same);
                let started = started.filter(|p| p.event == ProcessEvent::Started).map(|p| p.at).max();
                let took = ended.at - started.unwrap_or(ended.at);
                let stopped = paused(records, ended.dispatcher, ended.at - took, ended.at);
                (took > READY_US + stopped).then(|| format!("was ready after {took} us"))
            }
            _ => None,
        };
        if let Some(what) = what {
            let what = format!("n{} life {}: {what}", ended.dispatcher, ended.life);
            breaks.push(Break { rule: Rule::Crash, at: ended.at, what });
        }
    }
}

#[cfg(test)]
mod tests;
