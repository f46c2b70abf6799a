//! The journal of a trial: every observed event with its time, stored as JSON lines.
//!
//! Input: events recorded by the proxies, fakes, clients and process supervision of a trial. Output: entries for the
//! checkers, the report and the file. Invariant: entries are in chronological order.

mod event;

use std::io::{self, BufRead, Write};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

pub use event::Event;

/// An event with its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Seconds since the trial began.
    #[serde(rename = "at")]
    pub at_seconds: f64,
    /// The event.
    #[serde(rename = "what")]
    pub event: Event,
}

/// Why a stored journal cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// Reading failed.
    #[error("line {line}: {source}")]
    Io {
        /// Number of the line, from 1.
        line: usize,
        /// The I/O error.
        source: io::Error,
    },
    /// The line is not a journal entry.
    #[error("line {line}: {source}")]
    Entry {
        /// Number of the line, from 1.
        line: usize,
        /// The error of the JSON parser.
        source: serde_json::Error,
    },
}

/// The journal of a running trial; clones share its entries.
#[derive(Clone)]
pub struct Journal {
    began: Instant,
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl Journal {
    /// An empty journal whose time starts now.
    pub fn begin() -> Self {
        Journal {
            began: Instant::now(),
            entries: Arc::default(),
        }
    }

    /// Seconds since it began.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// Appends an event with the current time. The time is read under the lock, so that entries are in chronological order.
    pub fn record(&self, event: Event) {
        let mut entries = self.lock();
        let at_seconds = self.now();
        entries.push(Entry { at_seconds, event });
    }

    /// Calls a function with all entries so far, without copying them; the journal is locked meanwhile.
    pub fn inspect<T>(&self, evaluate: impl FnOnce(&[Entry]) -> T) -> T {
        evaluate(&self.lock())
    }

    /// All entries so far.
    pub fn entries(&self) -> Vec<Entry> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes entries as JSON lines.
///
/// # Errors
///
/// Errors of the writer.
pub fn write(entries: &[Entry], mut to: impl Write) -> io::Result<()> {
    for entry in entries {
        serde_json::to_writer(&mut to, entry)?;
        to.write_all(b"\n")?;
    }
    to.flush()
}

/// Reads entries from JSON lines.
///
/// # Errors
///
/// The number of the first line that cannot be read, and the reason.
pub fn read(from: impl BufRead) -> Result<Vec<Entry>, ReadError> {
    let entry = |(index, text): (usize, io::Result<String>)| {
        let line = index + 1;
        let text = text.map_err(|source| ReadError::Io { line, source })?;
        serde_json::from_str(&text).map_err(|source| ReadError::Entry { line, source })
    };
    from.lines().enumerate().map(entry).collect()
}

#[cfg(test)]
mod tests;
