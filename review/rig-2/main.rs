//! Test rig of the second review: stand-ins of the platform's store, of targets and of
//! callers, and control of the entries, which run as separate processes.
//!
//! Usage: `rig CASE RECORD`. Exit status: 0 if the rule held, 1 if it was broken, 2 if
//! the case could not run.

mod cases;
mod entry;
mod http;
mod record;
mod store;
mod target;

use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = arguments.as_slice() else {
        eprintln!("usage: rig CASE RECORD");
        return ExitCode::from(2);
    };
    let is_troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match record::Record::open(Path::new(record)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("can't write the record: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(format!("case={case} trouble={}", u8::from(is_troubled)));
    let result = cases::run(case, is_troubled, &record);
    let (status, text) = match result {
        Ok(broken) if broken.is_empty() => (0, "the rule held".to_owned()),
        Ok(broken) => (1, format!("broken: {}", broken.join("; "))),
        Err(error) => (2, format!("the case could not run: {error}")),
    };
    record.line(format!("result={status} {text}"));
    println!("{case}: {text}");
    ExitCode::from(status)
}
