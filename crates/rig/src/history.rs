//! What all processes said, merged by time, and what is judged over it.

use serde_json::Value;
use std::fmt;
use std::io::{BufRead, BufReader, Read};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// One event: of a process, or of the rig.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Since the beginning, in milliseconds.
    pub ms: u128,
    /// The process, or `rig`.
    pub who: String,
    /// What it said.
    pub what: Value,
}

/// The merged history.
#[derive(Clone)]
pub struct History {
    began: Instant,
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl Default for History {
    fn default() -> History {
        History { began: Instant::now(), entries: Arc::default() }
    }
}

impl History {
    /// Notes an event.
    pub fn note(&self, who: &str, what: Value) {
        let entry = Entry { ms: self.began.elapsed().as_millis(), who: who.to_string(), what };
        self.entries.lock().expect("entries").push(entry);
    }

    /// Follows what a process writes, line by line, to its end.
    pub fn follow(&self, who: &str, from: impl Read + Send + 'static) {
        let (history, who) = (self.clone(), who.to_string());
        std::thread::spawn(move || {
            for line in BufReader::new(from).lines().map_while(Result::ok) {
                // Seen at once: the test may wait for a word of a process that is gone.
                if line.contains("panicked at") {
                    eprintln!("{who}: {line}");
                }
                let what = serde_json::from_str(&line).unwrap_or(Value::String(line));
                history.note(&who, what);
            }
        });
    }

    /// All that was said, in order.
    pub fn entries(&self) -> Vec<Entry> {
        self.entries.lock().expect("entries").clone()
    }

    /// Events in which these words stand, of any process.
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

/// What a history must not hold.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unsound {
    /// A process panicked.
    #[error("{who} panicked, {text}: read its last events above")]
    Panicked {
        /// Which one.
        who: String,
        /// What it said.
        text: String,
    },
    /// One that was never faulty was held failed by one that was never faulty.
    #[error("at {ms} ms {by} held {whom} failed, and neither was faulty: read what {by} saw of {whom}")]
    Accused {
        /// When.
        ms: u128,
        /// Who did.
        by: String,
        /// Whom.
        whom: String,
    },
}

/// No panic of any process, and nobody that was never faulty was held failed by one that was never faulty.
pub fn judge(history: &History, faulty: &[bool], name: impl Fn(usize) -> String) -> Result<(), Unsound> {
    let of = |who: &str| (0..faulty.len()).find(|n| name(*n) == who);
    for entry in history.entries() {
        let text = entry.what.to_string();
        if text.contains("panicked at") {
            return Err(Unsound::Panicked { who: entry.who, text });
        }
        let fields = &entry.what["fields"];
        let failed = fields["message"] == "a peer's state changed" && fields["state"] == "Failed";
        let whom = fields["peer"].as_str().and_then(of);
        if let (true, Some(whom), Some(by)) = (failed, whom, of(&entry.who))
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
