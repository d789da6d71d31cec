//! Stand-ins and scripts of the third review: a store, targets, callers and the
//! platform's supervisor, all on loopback addresses. Standard library only.

mod caller;
mod entry;
mod http;
mod pipelined;
mod record;
mod store;
mod target;

use std::path::PathBuf;
use std::process::ExitCode;

/// Exit status of a case that could not run.
const NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(directory)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: rig-3 CASE DIRECTORY");
        return ExitCode::from(NOT_RUN);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let directory = PathBuf::from(directory);
    let result = match case.as_str() {
        "pipelined" => pipelined::run(&directory, trouble),
        _ => Err(format!("unknown case {case}")),
    };
    match result {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(NOT_RUN)
        }
    }
}
