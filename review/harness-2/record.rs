//! The record of a case: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

struct Record {
    file: Mutex<File>,
    start: Instant,
}

static RECORD: OnceLock<Record> = OnceLock::new();

/// Starts the record in a file, which is replaced.
pub fn start(path: &Path) -> std::io::Result<()> {
    let file = Mutex::new(File::create(path)?);
    let start = Instant::now();
    let _ = RECORD.set(Record { file, start });
    Ok(())
}

/// Milliseconds since the start of the record.
pub fn now_ms() -> u64 {
    RECORD
        .get()
        .map_or(0, |record| record.start.elapsed().as_millis() as u64)
}

/// Adds a line to the record.
pub fn line(text: &str) {
    if let Some(record) = RECORD.get() {
        let at = record.start.elapsed();
        let mut file = record.file.lock().unwrap();
        let _ = writeln!(file, "{:>9.3} {text}", at.as_secs_f64());
    }
}

/// Adds a line to the record and prints it.
pub fn say(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
    line(text);
}
