//! What clients, workers and name services write down while a soak runs: the judge reads nothing else.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Instant;

/// A dispatcher, by its place.
pub type Dispatcher = usize;
/// Microseconds since the run began.
pub type Micros = u64;

/// The classes of requests, as the settings of a soak name them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// May be repeated at will.
    Safe,
    /// Is dropped by key when it comes again within the repeat window.
    Keyed,
    /// May run once at most.
    Unsafe,
}

impl Class {
    /// All of them.
    pub const ALL: [Class; 3] = [Class::Safe, Class::Keyed, Class::Unsafe];

    /// Its name in the settings.
    pub fn name(self) -> &'static str {
        match self {
            Class::Safe => "flow-read",
            Class::Keyed => "level-log",
            Class::Unsafe => "alert-send",
        }
    }

    /// The class of that name.
    pub fn named(name: &str) -> Option<Class> {
        Class::ALL.into_iter().find(|class| class.name() == name)
    }
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served with the body that a worker makes of this request.
    Served,
    /// Served with another body.
    ServedWrong,
    /// Refused: trying again is harmless.
    Refused,
    /// Failed.
    Failed,
    /// The connection ended without an answer.
    ConnectionEnded,
    /// No answer came for far longer than the client waits.
    NoAnswer,
    /// The client had left before.
    Left,
    /// It was never taken: no connection stood, or it crossed the end of one and found no other.
    NotTaken,
}

/// A request as its client saw it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Which dispatcher was asked.
    pub dispatcher: Dispatcher,
    /// The client's id for it.
    pub id: String,
    /// Its class.
    pub class: Class,
    /// When its last byte was written, and how long the client waits.
    pub sent_at: Micros,
    /// See `sent_at`.
    pub waits: Micros,
    /// How and when it ended.
    pub end: End,
    /// See `end`.
    pub ended_at: Micros,
    /// When the client took it back or closed its connection.
    pub left_at: Option<Micros>,
    /// Answers with its number that came.
    pub answers: u32,
}

/// A line that came to a worker.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The worker's id.
    pub worker: String,
    /// The dispatcher that sent it.
    pub dispatcher: Dispatcher,
    /// The request, if it is one; an order to load has none.
    pub request: Option<(String, Class)>,
    /// When it was read.
    pub at: Micros,
    /// It surely came then, and had not waited in the system's queue.
    pub timed: bool,
    /// How long the dispatcher said that it waits, in milliseconds, which tells when it wrote the line.
    pub waits_ms: Option<u64>,
    /// Whether the worker ran it, or may have.
    pub ran: bool,
    /// The worker had just started and was cold, and when it had started.
    pub cold_since: Option<Micros>,
}

/// An answer that told a dispatcher that a worker drains or is gone.
#[derive(Clone, Debug)]
pub struct Told {
    /// The dispatcher, and which of its processes, counted from 0.
    pub dispatcher: Dispatcher,
    /// See `dispatcher`.
    pub life: usize,
    /// The worker.
    pub worker: String,
    /// When the answer was delivered.
    pub at: Micros,
}

/// What became of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEvent {
    /// It is started.
    Started,
    /// It has said that it is ready.
    Ready,
    /// It is stopped by SIGSTOP for so long.
    Paused(Micros),
    /// It is sent SIGTERM.
    Terminated,
    /// It is sent SIGKILL without a warning.
    Killed,
    /// It is sent SIGKILL at the earliest that a planned stop allows.
    KilledAtStop,
    /// It has ended, and with this code.
    Ended(Option<i32>),
}

/// Something that became of a process.
#[derive(Clone, Debug)]
pub struct ProcessRecord {
    /// The dispatcher, and which of its processes.
    pub dispatcher: Dispatcher,
    /// See `dispatcher`.
    pub life: usize,
    /// When.
    pub at: Micros,
    /// What.
    pub event: ProcessEvent,
}

/// All that was recorded.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// By clients.
    pub requests: Vec<Request>,
    /// By workers.
    pub arrivals: Vec<Arrival>,
    /// By name services.
    pub told: Vec<Told>,
    /// By the run.
    pub processes: Vec<ProcessRecord>,
    /// What processes said that none may say, such as a panic.
    pub outcries: Vec<String>,
    /// Faults that were put in, by kind.
    pub faults: BTreeMap<&'static str, u64>,
}

/// Where all write, with one clock.
pub struct Recorder {
    began: Instant,
    records: Mutex<Records>,
}

impl Default for Recorder {
    fn default() -> Recorder {
        Recorder { began: Instant::now(), records: Mutex::default() }
    }
}

impl Recorder {
    /// The time now.
    pub fn now(&self) -> Micros {
        self.began.elapsed().as_micros() as Micros
    }

    /// Writes something down.
    pub fn write(&self, change: impl FnOnce(&mut Records)) {
        change(&mut self.records.lock().expect("the records"));
    }

    /// Counts a fault of this kind.
    pub fn fault(&self, kind: &'static str) {
        self.write(|r| *r.faults.entry(kind).or_default() += 1);
    }

    /// All that was written until now.
    pub fn records(&self) -> Records {
        self.records.lock().expect("the records").clone()
    }
}
