//! Checks the records of a soak against the platform's rules. It is a pure function of the records and the settings' limits; its
//! tolerances cover the delays of the machine that runs the soak, so that a violation is a fault of a dispatcher.

use super::record::{Arrival, Class, Dispatcher, Micros, Notice, ProcessEvent, Records, Request, RequestEnd};
use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// The tolerance that the platform allows on every time limit at a socket.
const SLACK_US: Micros = 50_000;
/// How late a thread of the soak may run on a busy machine, by which its records may be late.
const SCHEDULING_DELAY_US: Micros = 100_000;
/// An answer within this time after the client's timeout is worthless to the client but does not count as lost.
const LATE_ANSWER_US: Micros = 500_000;
/// An attempt may begin this long after its client abandoned the request.
const ABANDONED_US: Micros = 100_000;
/// A dispatcher counts as told of a start this long after it, whether an answer has told it or not.
const MAX_TOLD_DELAY_US: Micros = 7_000_000;
/// A started process must be ready within this time.
const MAX_READY_US: Micros = 10_000_000;

/// A rule of the platform. Its displayed name is the argument of `--plant` and is printed with violations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request gets exactly one final answer, in time.
    Lost,
    /// No request runs more often than its class allows, and no refused request of the at-most-once class has run.
    Duplicate,
    /// Nothing is sent to a worker once the drain grace has passed since the dispatcher learned that it drains or was removed.
    Drain,
    /// A cold worker gets no more requests than its share.
    Failback,
    /// No attempt begins for a request that its client has abandoned.
    Gone,
    /// No process ends without a signal of the run, exits with an error, panics, or takes too long to be ready.
    Crash,
}

impl Rule {
    /// All rules.
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

/// A violation of a rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When it happened.
    pub at: Micros,
    /// What was observed.
    pub what: String,
}

/// The limits in the dispatchers' settings that the rules refer to. Times are in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct RuleLimits {
    /// The longest time from the notice of a drain to the last send.
    pub drain_grace: Micros,
    /// How long a worker drops repeats of the same key.
    pub repeat_window: Micros,
    /// The window in which a cold worker's requests are counted.
    pub overload_window: Micros,
    /// The multiple of its present capacity that a worker can bear within a window.
    pub overload_multiple: f64,
    /// The capacity of a cold worker at its start, as a share of its full capacity.
    pub cold_share: f64,
    /// The time from its start until a worker is warm.
    pub warm_after: Micros,
}

/// Returns all violations, in the order of the rules.
pub fn judge(records: &Records, limits: RuleLimits) -> Vec<Violation> {
    let mut violations = Vec::new();
    let arrivals = arrivals_by_request(&records.arrivals);
    check_lost(records, &mut violations);
    check_duplicate(records, &arrivals, limits, &mut violations);
    check_drain(records, limits, &mut violations);
    check_failback(records, limits, &mut violations);
    check_gone(records, &arrivals, &mut violations);
    check_crash(records, &mut violations);
    violations
}

fn arrivals_by_request(arrivals: &[Arrival]) -> HashMap<&str, Vec<&Arrival>> {
    let mut all = HashMap::<&str, Vec<&Arrival>>::new();
    for arrival in arrivals {
        if let Some((id, _)) = &arrival.request {
            all.entry(id).or_default().push(arrival);
        }
    }
    all
}

/// Returns the periods in which a dispatcher was stopped by SIGSTOP.
fn pauses(records: &Records, dispatcher: Dispatcher) -> impl Iterator<Item = (Micros, Micros)> + '_ {
    records.processes.iter().filter_map(move |p| match p.event {
        ProcessEvent::Paused(time) if p.dispatcher == dispatcher => Some((p.at, p.at + time)),
        _ => None,
    })
}

/// Returns how long a dispatcher was stopped within a period, plus the time to resume after each stop.
fn paused(records: &Records, dispatcher: Dispatcher, from: Micros, to: Micros) -> Micros {
    let overlap =
        |(begin, end): (Micros, Micros)| (end + SCHEDULING_DELAY_US).min(to).saturating_sub(begin.max(from));
    pauses(records, dispatcher).map(overlap).sum()
}

fn killed_between(records: &Records, dispatcher: Dispatcher, from: Micros, to: Micros) -> bool {
    let kill = |event| matches!(event, ProcessEvent::Killed);
    records
        .processes
        .iter()
        .any(|p| p.dispatcher == dispatcher && kill(p.event) && (from..=to).contains(&p.at))
}

fn check_lost(records: &Records, violations: &mut Vec<Violation>) {
    for request in &records.requests {
        let Some(what) = why_lost(records, request) else { continue };
        let Request { dispatcher, id, class, sent_at, .. } = request;
        let what = format!("n{dispatcher} {id} {} sent at {sent_at}: {what}", class.name());
        violations.push(Violation { rule: Rule::Lost, at: request.ended_at, what });
    }
}

fn why_lost(records: &Records, request: &Request) -> Option<String> {
    if request.answers > 1 {
        return Some("a second answer".to_string());
    }
    match request.end {
        RequestEnd::Abandoned | RequestEnd::NotAccepted => None,
        RequestEnd::ServedWrong => Some("served with a body that no worker made for it".to_string()),
        RequestEnd::ConnectionEnded | RequestEnd::NoAnswer => {
            let to = request.ended_at + SLACK_US + SCHEDULING_DELAY_US;
            let killed =
                killed_between(records, request.dispatcher, request.sent_at.saturating_sub(SLACK_US), to);
            (!killed).then(|| format!("{:?}", request.end))
        }
        RequestEnd::Served | RequestEnd::Refused | RequestEnd::Failed => {
            let due = request.sent_at + request.timeout + LATE_ANSWER_US + SLACK_US + SCHEDULING_DELAY_US;
            let paused = paused(records, request.dispatcher, request.sent_at, request.ended_at);
            let late = request.ended_at.saturating_sub(due + paused);
            (late > 0).then(|| format!("answered {late} us after the limit for late answers"))
        }
    }
}

fn check_duplicate(
    records: &Records,
    arrivals: &HashMap<&str, Vec<&Arrival>>,
    limits: RuleLimits,
    violations: &mut Vec<Violation>,
) {
    for request in &records.requests {
        let received = arrivals.get(request.id.as_str()).map_or(&[][..], Vec::as_slice);
        let ran: Vec<&Arrival> = received.iter().filter(|a| a.ran).copied().collect();
        let what = match request.class {
            Class::Safe => None,
            Class::Unsafe if ran.len() > 1 => Some(format!("ran {} times", ran.len())),
            Class::Unsafe if request.end == RequestEnd::Refused && !ran.is_empty() => {
                Some("was refused but has run".to_string())
            }
            Class::Unsafe => None,
            Class::Keyed => {
                let first = ran.iter().map(|a| a.at).min().unwrap_or(0);
                let window_end = first + limits.repeat_window + SLACK_US + SCHEDULING_DELAY_US;
                let late =
                    received.iter().find(|a| a.read_on_arrival && !ran.is_empty() && a.at > window_end);
                late.map(|a| format!("arrived again {} us after it may have run", a.at - first))
            }
        };
        if let Some(what) = what {
            let what = format!("n{} {} {}: {what}", request.dispatcher, request.id, request.class.name());
            violations.push(Violation { rule: Rule::Duplicate, at: request.ended_at, what });
        }
    }
}

/// A process of a dispatcher, and a process of a worker that it was told of: the worker's id and its start.
type Told<'a> = (Dispatcher, usize, &'a str, u64);

/// Returns when each process of each dispatcher first received each notice.
fn first_notices(notices: &[Notice]) -> HashMap<Told<'_>, Micros> {
    let mut first = HashMap::new();
    for notice in notices {
        let told = (notice.dispatcher, notice.process_number, notice.worker.as_str(), notice.started_ms);
        let at = first.entry(told).or_insert(notice.at);
        *at = notice.at.min(*at);
    }
    first
}

/// Returns the start time and number of each dispatcher's processes, in order.
fn process_starts(records: &Records) -> BTreeMap<Dispatcher, Vec<(Micros, usize)>> {
    let mut starts = BTreeMap::<Dispatcher, Vec<(Micros, usize)>>::new();
    for record in records.processes.iter().filter(|p| p.event == ProcessEvent::Started) {
        starts.entry(record.dispatcher).or_default().push((record.at, record.process_number));
    }
    starts
}

/// Returns the number of the dispatcher's process that ran when a line arrived.
fn sending_process(starts: &BTreeMap<Dispatcher, Vec<(Micros, usize)>>, arrival: &Arrival) -> Option<usize> {
    let started = starts.get(&arrival.dispatcher)?;
    started.iter().rev().find(|(at, _)| *at <= arrival.at).map(|(_, process_number)| *process_number)
}

fn check_drain(records: &Records, limits: RuleLimits, violations: &mut Vec<Violation>) {
    let (notices, starts) = (first_notices(&records.drain_notices), process_starts(records));
    for arrival in records.arrivals.iter().filter(|a| a.read_on_arrival) {
        let Some(process_number) = sending_process(&starts, arrival) else { continue };
        let told = (arrival.dispatcher, process_number, arrival.worker.as_str(), arrival.started_ms);
        let Some(notified_at) = notices.get(&told) else { continue };
        let due = notified_at.saturating_add(limits.drain_grace + SLACK_US);
        // A line is recorded late by as much as the worker's thread was delayed.
        if arrival.at > due + SCHEDULING_DELAY_US {
            let kind = arrival.request.as_ref().map_or("a load order".to_string(), |(id, _)| id.clone());
            let late = arrival.at - notified_at;
            let what = format!(
                "n{} process {process_number} sent {kind} to {} {late} us after the drain notice at {notified_at}",
                arrival.dispatcher, arrival.worker
            );
            violations.push(Violation { rule: Rule::Drain, at: arrival.at, what });
        }
    }
}

/// The largest number of requests that any warm worker has handled in a window so far: the estimate of a worker's capacity.
struct CapacityEstimate {
    /// The times at which the maximum grew, in order, and its new values.
    steps: Vec<(Micros, f64)>,
}

impl CapacityEstimate {
    fn from_warm_workers(arrivals: &[&Arrival], window: Micros) -> CapacityEstimate {
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
        CapacityEstimate { steps }
    }

    fn at(&self, at: Micros) -> f64 {
        let index = self.steps.partition_point(|(moment, _)| *moment <= at);
        index.checked_sub(1).map_or(0.0, |last| self.steps[last].1)
    }
}

/// Compares the requests of each cold worker's process in a window with the largest number that a warm worker has handled in one.
/// The tolerance of two or three square roots and a constant covers the random variation of counts. A window breaks the rule
/// if more than two thirds of it came from dispatchers that had been told of the start.
fn check_failback(records: &Records, limits: RuleLimits, violations: &mut Vec<Violation>) {
    let requests: Vec<&Arrival> = records.arrivals.iter().filter(|a| a.request.is_some()).collect();
    let capacity = CapacityEstimate::from_warm_workers(&requests, limits.overload_window);
    let (notices, starts) = (first_notices(&records.start_notices), process_starts(records));
    let was_told = |arrival: &Arrival| {
        let process_number = sending_process(&starts, arrival)?;
        let told = (arrival.dispatcher, process_number, arrival.worker.as_str(), arrival.started_ms);
        let at = notices.get(&told).copied().unwrap_or(Micros::MAX);
        let due = arrival.cold_since?.saturating_add(MAX_TOLD_DELAY_US);
        Some(at.min(due) <= arrival.at)
    };
    let mut cold = BTreeMap::<(&str, Micros), Vec<(&Arrival, bool)>>::new();
    for arrival in requests {
        let Some(cold_since) = arrival.cold_since else { continue };
        let told = was_told(arrival).unwrap_or(true);
        cold.entry((&arrival.worker, cold_since)).or_default().push((arrival, told));
    }
    for ((worker, cold_since), arrivals) in cold {
        let mut first = 0;
        for (index, (last, _)) in arrivals.iter().enumerate() {
            while arrivals[first].0.at + limits.overload_window <= last.at {
                first += 1;
            }
            let age = last.at.saturating_sub(cold_since);
            if age >= limits.warm_after {
                break;
            }
            let window = &arrivals[first..=index];
            let got = window.len() as f64;
            let told = window.iter().filter(|(_, told)| *told).count();
            let warmed_up = (1.0 - limits.cold_share) * age as f64 / limits.warm_after as f64;
            let allowed = limits.overload_multiple * (limits.cold_share + warmed_up) * capacity.at(last.at);
            let tolerance =
                if allowed < 30.0 { 3.0 * allowed.sqrt() + 3.0 } else { 2.0 * allowed.sqrt() + 2.0 };
            if got > allowed + tolerance && 3 * told > 2 * window.len() {
                let what = format!(
                    "{worker} got {got} requests, {told} of them of dispatchers that were told, in a window that allows {allowed:.1} + \
                     {tolerance:.1}, {} ms after its start",
                    age / 1_000
                );
                violations.push(Violation { rule: Rule::Failback, at: last.at, what });
                break;
            }
        }
    }
}

fn check_gone(records: &Records, arrivals: &HashMap<&str, Vec<&Arrival>>, violations: &mut Vec<Violation>) {
    for request in &records.requests {
        let Some(abandoned_at) = request.abandoned_at else { continue };
        let due = abandoned_at + ABANDONED_US + SLACK_US + SCHEDULING_DELAY_US;
        let received = arrivals.get(request.id.as_str()).map_or(&[][..], Vec::as_slice);
        for arrival in received.iter().filter(|a| a.read_on_arrival && a.at > due) {
            let what = format!(
                "n{} {} sent at {} reached {} {} us after its client abandoned it at {abandoned_at}; stated timeout {:?} ms of {} us",
                request.dispatcher,
                request.id,
                request.sent_at,
                arrival.worker,
                arrival.at - abandoned_at,
                arrival.stated_timeout_ms,
                request.timeout
            );
            violations.push(Violation { rule: Rule::Gone, at: arrival.at, what });
        }
    }
}

fn check_crash(records: &Records, violations: &mut Vec<Violation>) {
    for error in &records.process_errors {
        violations.push(Violation { rule: Rule::Crash, at: 0, what: error.clone() });
    }
    let by_the_run = |p: &&super::record::ProcessRecord| {
        matches!(p.event, ProcessEvent::Terminated | ProcessEvent::Killed | ProcessEvent::KilledAtStop)
    };
    for record in &records.processes {
        let same_process = |p: &&super::record::ProcessRecord| {
            p.dispatcher == record.dispatcher
                && p.process_number == record.process_number
                && p.at <= record.at
        };
        let what = match record.event {
            ProcessEvent::Ended(code) => {
                let signalled = records.processes.iter().filter(same_process).any(|p| by_the_run(&p));
                (!signalled || code.is_some_and(|c| c != 0)).then(|| format!("ended with {code:?}"))
            }
            ProcessEvent::Ready => {
                let started = records.processes.iter().filter(same_process);
                let started = started.filter(|p| p.event == ProcessEvent::Started).map(|p| p.at).max();
                let took = record.at - started.unwrap_or(record.at);
                let stopped = paused(records, record.dispatcher, record.at - took, record.at);
                (took > MAX_READY_US + stopped).then(|| format!("was ready after {took} us"))
            }
            _ => None,
        };
        if let Some(what) = what {
            let what = format!("n{} process {}: {what}", record.dispatcher, record.process_number);
            violations.push(Violation { rule: Rule::Crash, at: record.at, what });
        }
    }
}

#[cfg(test)]
mod tests;
