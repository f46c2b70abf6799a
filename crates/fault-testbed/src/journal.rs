//! What crossed in a trial, in order, with its time; written as JSON lines and read again.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]
#![expect(
    missing_docs,
    reason = "fields are documented as the module is reworked"
)]

use std::io::{self, BufRead, Write};
use std::sync::{Arc, Mutex};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// One thing that happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum What {
    /// A client has written a request to an ingress.
    Asked {
        request: u64,
        ingress: usize,
        customer: u64,
    },
    /// The client has the final answer, or none by its deadline.
    Final { request: u64, status: Option<u16> },
    /// The client could not reach the ingress at all: nothing was taken.
    Unreached { request: u64, ingress: usize },
    /// A request has arrived whole at a limit server.
    Attempt {
        request: u64,
        instance: usize,
        ingress: usize,
    },
    /// That attempt is over: its answer was written, or its connection ended.
    Over {
        request: u64,
        instance: usize,
        ingress: usize,
    },
    /// An ingress opened a connection to a limit server.
    Opened { instance: usize, ingress: usize },
    /// A limit server starts, cold, or is there from long ago.
    Life { instance: usize, cold: bool },
    /// A limit server is gone.
    Died { instance: usize },
    /// A cold limit server fell over.
    Fell { instance: usize },
    /// The list service was called.
    Call { ingress: usize, whole: bool },
    /// The list service answered; a status other than 200 turns the caller away.
    Listed {
        ingress: usize,
        whole: bool,
        status: u16,
        bytes: usize,
        rev: u64,
    },
    /// An ingress was told by a list that an instance drains or is gone.
    Told { ingress: usize, instance: usize },
    /// A process of an ingress was started, with a known list of this revision if it has one.
    Started { ingress: usize, known: Option<u64> },
    /// It answered `GET /healthz` with 200 for the first time.
    Ready { ingress: usize },
    /// A process was stopped, or goes on.
    Stopped { ingress: usize, on: bool },
    /// It was ended by the trial.
    Killed { ingress: usize },
    /// It ended by itself.
    Crashed { ingress: usize, status: String },
    /// A fault begins, or ends.
    Fault { name: String, on: bool },
    /// Datagrams that an ingress took in, and that came beyond what it takes in, in the last second.
    Mail {
        ingress: usize,
        taken: u64,
        dropped: u64,
    },
    /// The rig itself woke up late by so many milliseconds.
    Late { ms: u64 },
}

/// A line of the journal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Seconds since the trial began.
    pub at: f64,
    /// What happened.
    pub what: What,
}

/// The journal of a trial that is on.
#[derive(Clone)]
pub struct Journal {
    began: Instant,
    lines: Arc<Mutex<Vec<Line>>>,
}

impl Journal {
    /// Begins now.
    pub fn begin() -> Self {
        Journal {
            began: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Seconds since it began.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// Writes one line, with the time of the call: lines are in the order of their times.
    pub fn note(&self, what: What) {
        let mut lines = self
            .lines
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let at = self.now();
        lines.push(Line { at, what });
    }

    /// What a look at all lines so far gives.
    pub fn look<T>(&self, look: impl FnOnce(&[Line]) -> T) -> T {
        look(
            &self
                .lines
                .lock()
                .unwrap_or_else(std::sync::PoisonError::into_inner),
        )
    }

    /// All lines so far.
    pub fn lines(&self) -> Vec<Line> {
        self.lines
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .clone()
    }
}

/// Writes a journal as JSON lines.
///
/// # Errors
///
/// What the writer says.
pub fn write(lines: &[Line], mut to: impl Write) -> io::Result<()> {
    for line in lines {
        serde_json::to_writer(&mut to, line)?;
        to.write_all(b"\n")?;
    }
    to.flush()
}

/// Reads one again.
///
/// # Errors
///
/// The first line that is none, by its number.
pub fn read(from: impl BufRead) -> Result<Vec<Line>, String> {
    let line = |(i, line): (usize, io::Result<String>)| {
        let text = line.map_err(|e| format!("line {}: {e}", i + 1))?;
        serde_json::from_str(&text).map_err(|e| format!("line {}: {e}", i + 1))
    };
    from.lines().enumerate().map(line).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_written_is_read_again_and_a_torn_line_is_named() {
        let lines = vec![
            Line {
                at: 0.5,
                what: What::Asked {
                    request: 7,
                    ingress: 1,
                    customer: 9,
                },
            },
            Line {
                at: 0.75,
                what: What::Final {
                    request: 7,
                    status: Some(200),
                },
            },
        ];
        let mut text = Vec::new();
        write(&lines, &mut text).expect("written");
        assert_eq!(read(&text[..]).expect("read"), lines);
        let torn = read(&text[..text.len() - 9]).expect_err("torn");
        assert!(torn.starts_with("line 2: "), "{torn}");
    }
}
