//! The record of a case: what was sent, answered and run, a line each, with the time since the start in seconds.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

struct Record {
    file: Mutex<File>,
    start: Instant,
}

static RECORD: OnceLock<Record> = OnceLock::new();

/// Opens the record at `path`.
pub fn open(path: &str) -> std::io::Result<()> {
    let record = Record {
        file: Mutex::new(File::create(path)?),
        start: Instant::now(),
    };
    let _ = RECORD.set(record);
    Ok(())
}

/// Writes a line.
pub fn line(text: &str) {
    if let Some(record) = RECORD.get() {
        let at = record.start.elapsed().as_secs_f64();
        let mut file = record.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.4} {text}");
    }
}

/// Writes a line to the record and to standard output.
pub fn say(text: &str) {
    line(text);
    println!("{text}");
}
