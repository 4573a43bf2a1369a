//! The records that clients, workers, name services and the run itself write during a soak. All times come from one clock. The
//! judge reads nothing else.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Instant;

/// A dispatcher, by its index.
pub type Dispatcher = usize;
/// Microseconds since the run began.
pub type Micros = u64;

/// The classes of requests, as the settings of a soak name them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// May run any number of times.
    Safe,
    /// Repeats with the same key are dropped within the repeat window.
    Keyed,
    /// May run at most once.
    Unsafe,
}

impl Class {
    /// All classes.
    pub const ALL: [Class; 3] = [Class::Safe, Class::Keyed, Class::Unsafe];

    /// Returns the name of the class in the settings.
    pub fn name(self) -> &'static str {
        match self {
            Class::Safe => "flow-read",
            Class::Keyed => "level-log",
            Class::Unsafe => "alert-send",
        }
    }

    /// Returns the class with this name.
    pub fn from_name(name: &str) -> Option<Class> {
        Class::ALL.into_iter().find(|class| class.name() == name)
    }
}

/// How a request ended for its client. The names are printed with violations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// Served with the body that a worker makes of this request.
    Served,
    /// Served with another body.
    ServedWrong,
    /// Refused: the request has not run, so a retry is safe.
    Refused,
    /// Answered with a failure.
    Failed,
    /// The connection ended without an answer.
    ConnectionEnded,
    /// No answer arrived until well after the client's timeout.
    NoAnswer,
    /// The client abandoned the request before an answer.
    Abandoned,
    /// The request was not accepted: there was no connection, or the connection was closed while the request was being sent and
    /// no other could be opened.
    NotAccepted,
}

/// A request as recorded by its client.
#[derive(Clone, Debug)]
pub struct Request {
    /// The dispatcher that the client was connected to.
    pub dispatcher: Dispatcher,
    /// The client's id for it.
    pub id: String,
    /// Its class.
    pub class: Class,
    /// When its last byte was written.
    pub sent_at: Micros,
    /// The client's timeout.
    pub timeout: Micros,
    /// How the request ended.
    pub end: RequestEnd,
    /// When the request ended.
    pub ended_at: Micros,
    /// When the client cancelled the request or closed its connection.
    pub abandoned_at: Option<Micros>,
    /// The number of answers received.
    pub answers: u32,
}

/// A line that a worker received.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The worker's id.
    pub worker: String,
    /// The dispatcher that sent it.
    pub dispatcher: Dispatcher,
    /// The id and class of the request; `None` for an order to load a function.
    pub request: Option<(String, Class)>,
    /// When the line was read.
    pub at: Micros,
    /// Whether the line was read as soon as it arrived. If not, it may have waited in the accept queue, and its time proves nothing.
    pub read_on_arrival: bool,
    /// The remaining time that the dispatcher stated, in milliseconds, from which the time of writing follows.
    pub stated_timeout_ms: Option<u64>,
    /// Whether the worker ran the request or may have run it.
    pub ran: bool,
    /// When the worker started, if it started cold.
    pub cold_since: Option<Micros>,
    /// The start that the list announces for the worker's process, in Unix milliseconds; 0 for long ago.
    pub started_ms: u64,
}

/// What an answer, or a process's configuration, told a process of a dispatcher about a process of a worker.
#[derive(Clone, Debug)]
pub struct Notice {
    /// The dispatcher that was told.
    pub dispatcher: Dispatcher,
    /// The dispatcher's process, counted from 0 over its restarts.
    pub process_number: usize,
    /// The worker.
    pub worker: String,
    /// The start of the worker's process, in Unix milliseconds; 0 for long ago.
    pub started_ms: u64,
    /// When the answer was delivered.
    pub at: Micros,
}

/// A change in the state of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEvent {
    /// Started.
    Started,
    /// Reported that it is ready.
    Ready,
    /// Stopped by SIGSTOP for this long.
    Paused(Micros),
    /// Sent SIGTERM.
    Terminated,
    /// Sent SIGKILL without a SIGTERM before it.
    Killed,
    /// Sent SIGKILL at the earliest time that a planned stop allows.
    KilledAtStop,
    /// Exited with this code; `None` if a signal ended it.
    Ended(Option<i32>),
}

/// A timed [`ProcessEvent`].
#[derive(Clone, Debug)]
pub struct ProcessRecord {
    /// The dispatcher.
    pub dispatcher: Dispatcher,
    /// The dispatcher's process, counted from 0 over its restarts.
    pub process_number: usize,
    /// When it happened.
    pub at: Micros,
    /// What happened.
    pub event: ProcessEvent,
}

/// All records of a run.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// Written by clients.
    pub requests: Vec<Request>,
    /// Written by workers.
    pub arrivals: Vec<Arrival>,
    /// Notices that a worker drains or was removed, written by name services.
    pub drain_notices: Vec<Notice>,
    /// First notices of starts, written by name services.
    pub start_notices: Vec<Notice>,
    /// Written by the run.
    pub processes: Vec<ProcessRecord>,
    /// Panics in the processes' standard error, and processes that never became ready.
    pub process_errors: Vec<String>,
    /// The number of injected faults, by kind.
    pub faults: BTreeMap<&'static str, u64>,
}

/// The shared store of records, with the clock of the run.
pub struct Recorder {
    started: Instant,
    records: Mutex<Records>,
}

impl Default for Recorder {
    fn default() -> Recorder {
        Recorder { started: Instant::now(), records: Mutex::default() }
    }
}

impl Recorder {
    /// Returns the time since the start of the run.
    pub fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    /// Adds to the records.
    pub fn write(&self, change: impl FnOnce(&mut Records)) {
        change(&mut self.records.lock().expect("the records"));
    }

    /// Counts an injected fault of this kind.
    pub fn fault(&self, kind: &'static str) {
        self.write(|r| *r.faults.entry(kind).or_default() += 1);
    }

    /// Returns a copy of all records so far.
    pub fn records(&self) -> Records {
        self.records.lock().expect("the records").clone()
    }
}
