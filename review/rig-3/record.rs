//! Record of a run: what was sent, answered and executed.

use std::fmt::Display;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Record file with times since its start.
pub struct Record {
    start: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn open(directory: &Path) -> Result<Self, String> {
        let file = File::create(directory.join("record.txt")).map_err(|e| e.to_string())?;
        Ok(Self {
            start: Instant::now(),
            file: Mutex::new(BufWriter::new(file)),
        })
    }

    /// Writes one line.
    pub fn line(&self, text: impl Display) {
        let seconds = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:9.3} {text}");
    }

    /// Writes one line to the record and to standard output.
    pub fn say(&self, text: impl Display) {
        println!("{text}");
        self.line(text);
        let _ = self.file.lock().unwrap().flush();
    }
}
