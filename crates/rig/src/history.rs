//! The events that all processes write to standard error, merged by the time of reading, and the check that no process panicked and
//! that no dispatcher without faults was declared failed.

use serde_json::Value;
use std::fmt;
use std::io::{BufRead, BufReader, Read};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// An event of a process or of the test kit.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The time since the start of the history, in milliseconds.
    pub ms: u128,
    /// The process's name, or `rig` for the test kit.
    pub who: String,
    /// The event: the JSON of its line, or the line itself as a string.
    pub what: Value,
}

/// The merged history.
#[derive(Clone)]
pub struct History {
    started: Instant,
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl Default for History {
    fn default() -> History {
        History { started: Instant::now(), entries: Arc::default() }
    }
}

impl History {
    /// Appends an event.
    pub fn note(&self, who: &str, what: Value) {
        let entry = Entry { ms: self.started.elapsed().as_millis(), who: who.to_string(), what };
        self.entries.lock().expect("entries").push(entry);
    }

    /// Reads a process's output line by line on a thread of its own, and appends each line, until the output ends.
    pub fn follow(&self, who: &str, from: impl Read + Send + 'static) {
        let (history, who) = (self.clone(), who.to_string());
        std::thread::spawn(move || {
            for line in BufReader::new(from).lines().map_while(Result::ok) {
                // Printed at once: the test may be waiting for this process and never get to print the history.
                if line.contains("panicked at") {
                    eprintln!("{who}: {line}");
                }
                let what = serde_json::from_str(&line).unwrap_or(Value::String(line));
                history.note(&who, what);
            }
        });
    }

    /// Returns all events, in order of arrival.
    pub fn entries(&self) -> Vec<Entry> {
        self.entries.lock().expect("entries").clone()
    }

    /// Returns the number of events, of any process, whose JSON contains this text.
    pub fn count(&self, words: &str) -> usize {
        self.entries().iter().filter(|e| e.what.to_string().contains(words)).count()
    }
}

impl fmt::Display for History {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for Entry { ms, who, what } in self.entries() {
            let fields = what.get("fields").unwrap_or(&what);
            writeln!(f, "{ms:>7} ms {who:<6} {fields}")?;
        }
        Ok(())
    }
}

/// A violation found in a history.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unsound {
    /// A process panicked.
    #[error("{who} panicked, {text}: read its last events above")]
    Panicked {
        /// The process.
        who: String,
        /// The panic's message.
        text: String,
    },
    /// A dispatcher without faults was declared failed by another one without faults.
    #[error(
        "at {ms} ms {by} declared {whom} failed, though neither was faulty: read the events of {by} about {whom}"
    )]
    Accused {
        /// The time of the event, in milliseconds.
        ms: u128,
        /// The dispatcher that did so.
        by: String,
        /// The dispatcher that was declared failed.
        whom: String,
    },
}

/// Checks that no process panicked, and that no dispatcher without faults was declared failed by another one without faults.
/// `faulty` says which dispatchers had faults, by index; `name` gives their names in the history.
pub fn judge(history: &History, faulty: &[bool], name: impl Fn(usize) -> String) -> Result<(), Unsound> {
    let index_of = |who: &str| (0..faulty.len()).find(|n| name(*n) == who);
    for entry in history.entries() {
        let text = entry.what.to_string();
        if text.contains("panicked at") {
            return Err(Unsound::Panicked { who: entry.who, text });
        }
        let fields = &entry.what["fields"];
        let failed = fields["message"] == "a peer's state changed" && fields["state"] == "Failed";
        let whom = fields["peer"].as_str().and_then(index_of);
        if let (true, Some(whom), Some(by)) = (failed, whom, index_of(&entry.who))
            && !faulty[whom]
            && !faulty[by]
        {
            return Err(Unsound::Accused { ms: entry.ms, by: name(by), whom: name(whom) });
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
