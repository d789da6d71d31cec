//! Callers that send further safe requests before the first one is answered.
//!
//! The first request of each caller takes some seconds of work; the others are
//! answered by their targets within milliseconds and wait for it at the entry.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::caller::{Answer, Request, exchange};
use crate::entry::{Entry, Machine, address};
use crate::record::Record;
use crate::store::Store;
use crate::target::Target;

/// Smallest machine of the pages' installations.
const MACHINE: Machine = Machine {
    memory_mb: 160,
    descriptors: 4_100,
};

/// Callers at one entry: those of one zone of the installation.
const CALLERS: usize = 370;

/// Requests that a caller sends without waiting.
const REQUESTS: usize = 16;

/// Time between two requests of a caller.
const PACE: Duration = Duration::from_millis(300);

/// Answers that a rule allows a machine to leave out.
const ALLOWED_LOST: usize = 3;

fn work(path: &str) -> (Duration, usize) {
    if path.starts_with("/report/") {
        (Duration::from_millis(5_000), 400)
    } else {
        (Duration::from_millis(2), 30_000)
    }
}

pub fn run(directory: &Path, trouble: bool) -> Result<bool, String> {
    let record = Arc::new(Record::open(directory)?);
    let scratch = std::env::temp_dir().join(format!("carobdrift-review-{}", std::process::id()));
    std::fs::create_dir_all(&scratch).map_err(|e| e.to_string())?;
    let result = run_in(&scratch, trouble, &record);
    let _ = std::fs::remove_dir_all(&scratch);
    result
}

fn run_in(scratch: &Path, trouble: bool, record: &Arc<Record>) -> Result<bool, String> {
    let store = Store::spawn().map_err(|e| e.to_string())?;
    store.put("op", "config", &desired_state());
    let mut targets = Vec::new();
    for number in 0..8 {
        let (report, page) = (format!("i-report-{number}"), format!("i-page-{number}"));
        let spawn =
            |id: &str, service: &str, slots| Target::spawn(&store, id, service, slots, work);
        targets.push(spawn(&report, "reports", 100).map_err(|e| e.to_string())?);
        targets.push(spawn(&page, "pages", 6).map_err(|e| e.to_string())?);
    }
    let entry = Entry::start(scratch, &store, 1, &[address(1)], MACHINE, record)?;
    thread::sleep(Duration::from_secs(2));
    record.say(format!(
        "{CALLERS} callers with {REQUESTS} requests each, ahead of the first answer: {trouble}"
    ));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let requests: Vec<Request> = (0..REQUESTS)
                .map(|number| request(caller, number))
                .collect();
            let front = entry.front;
            let thread = thread::Builder::new().stack_size(256 * 1024);
            thread.spawn(move || {
                let answers = exchange(front, &requests, trouble, PACE);
                (requests, answers)
            })
        })
        .collect::<Result<_, _>>()
        .map_err(|e| e.to_string())?;
    let mut lost = 0;
    let mut counts: std::collections::BTreeMap<String, usize> = Default::default();
    for caller in callers {
        let (requests, answers) = caller.join().map_err(|_| "a caller panicked".to_owned())?;
        for (request, answer) in requests.iter().zip(&answers) {
            let runs: u32 = targets
                .iter()
                .map(|target| target.runs(&request.attempt))
                .sum();
            record.line(format!(
                "{} {} {answer:?} runs={runs}",
                request.attempt, request.path
            ));
            *counts.entry(describe(answer)).or_default() += 1;
            if answer.is_err() && runs > 0 {
                lost += 1;
            }
        }
    }
    let (peak, kills, ends) = entry.usage();
    entry.stop();
    for (answer, count) in &counts {
        record.say(format!("{count:6} {answer}"));
    }
    record.say(format!(
        "peak memory {} MB of {}; ended for its memory {kills} times, by itself {ends} times; \
         passed on to a target and closed without an answer: {lost}",
        peak / 1_000_000,
        MACHINE.memory_mb
    ));
    Ok(lost > ALLOWED_LOST)
}

fn describe(answer: &Answer) -> String {
    match answer {
        Ok(status) => format!("status {status}"),
        Err(error) => format!("no answer: {error}"),
    }
}

fn request(caller: usize, number: usize) -> Request {
    let kind = if number == 0 { "report" } else { "page" };
    Request {
        attempt: format!("c{caller}-{number}"),
        path: format!("/{kind}/{caller}"),
        deadline_ms: 6_000,
    }
}

fn desired_state() -> String {
    let route = |name: &str, service: &str| {
        format!(
            "{{\"resourceKind\":\"routes\",\"metadata\":{{\"name\":\"{name}\"}},\"spec\":{{\
             \"host\":\"desk.example\",\"prefix\":\"/{name}/\",\"kind\":\"safe\",\"timeout\":\"6000ms\",\
             \"targetLatency\":\"5000ms\",\"priority\":1,\"service\":\"{service}\",\"maxAttempts\":2}}}}"
        )
    };
    let service = |name: &str| {
        format!(
            "{{\"resourceKind\":\"services\",\"metadata\":{{\"name\":\"{name}\"}},\"spec\":{{\
             \"healthPath\":\"/health\",\"maxConnections\":1120}}}}"
        )
    };
    format!(
        "{{\"version\":\"00000001\",\"resources\":[{},{},{},{},{{\"resourceKind\":\"limits\",\
         \"metadata\":{{\"name\":\"limits\"}},\"spec\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576,\
         \"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}}}]}}",
        route("report", "reports"),
        route("page", "pages"),
        service("reports"),
        service("pages"),
    )
}
