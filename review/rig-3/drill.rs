//! Targets that leave shortly before the store returns from an older copy.
//!
//! Targets report that they drain, which the store confirms and all entries read. The
//! store is then away for a moment and returns from a copy that is some seconds old, in
//! which these targets are ready. They report again at their next heartbeat. Other
//! targets take their place before the next drill.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::caller::{Request, exchange};
use crate::entry::{Entry, Machine, address};
use crate::record::Record;
use crate::store::Store;
use crate::target::Target;

const MACHINE: Machine = Machine {
    memory_mb: 260,
    descriptors: 4_100,
};

/// Time after the confirmation from which no request may reach the target: `drain`.
const DRAIN: Duration = Duration::from_millis(2_000);

/// Entries of the installation.
const ENTRIES: u8 = 6;

/// Targets at the start.
const TARGETS: usize = 12;

/// Targets that leave in each drill.
const LEAVING: usize = 3;

/// Number of drills.
const DRILLS: usize = 5;

/// Time from the copy to the reports of the leaving targets.
const COPY_AGE: Duration = Duration::from_secs(1);

/// Time from the reports until the store is away.
const AWAY_AFTER: Duration = Duration::from_millis(2_200);

/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(500);

/// Time from the return until the targets report again; they do every 1500 ms.
const REPORT_AFTER: Duration = Duration::from_millis(1_400);

/// Time for which the targets serve after that.
const SERVING: Duration = Duration::from_millis(1_600);

/// Time from the end of the leaving targets to the next drill.
const SETTLING: Duration = Duration::from_millis(3_500);

/// Callers at each entry.
const CALLERS: usize = 12;

/// Time between two requests of a caller.
const PACE: Duration = Duration::from_millis(60);

fn work(_: &str) -> (Duration, usize) {
    (Duration::from_millis(40), 1_500)
}

pub fn run(directory: &Path, trouble: bool) -> Result<bool, String> {
    let record = Arc::new(Record::open(directory)?);
    let scratch = std::env::temp_dir().join(format!("carobdrift-review-{}", std::process::id()));
    std::fs::create_dir_all(&scratch).map_err(|e| e.to_string())?;
    let mut entries = Vec::new();
    let result = run_in(&scratch, trouble, &record, &mut entries);
    for entry in &entries {
        entry.stop();
    }
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&scratch);
    }
    result
}

fn run_in(
    scratch: &Path,
    trouble: bool,
    record: &Arc<Record>,
    entries: &mut Vec<Entry>,
) -> Result<bool, String> {
    let store = Store::spawn().map_err(|e| e.to_string())?;
    store.put("op", "config", DESIRED_STATE);
    let mut spawned = 0;
    let mut spawn = || {
        spawned += 1;
        let id = format!("i-{spawned:08x}");
        Target::spawn(&store, &id, "sheets", 2, work).map_err(|e| e.to_string())
    };
    let mut targets: VecDeque<Target> = (0..TARGETS).map(|_| spawn()).collect::<Result<_, _>>()?;
    let seeds = [address(1), address(2), address(3)];
    for number in 1..=ENTRIES {
        entries.push(Entry::start(
            scratch, &store, number, &seeds, MACHINE, record,
        )?);
    }
    thread::sleep(Duration::from_secs(4));
    let done = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..entries.len() * CALLERS)
        .map(|caller| {
            let front = entries[caller % entries.len()].front;
            let done = Arc::clone(&done);
            thread::spawn(move || call(front, caller, &done))
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    let mut confirmed = Vec::new();
    for _ in 0..DRILLS {
        let copy = store.copy();
        thread::sleep(COPY_AGE);
        let leaving: Vec<Target> = targets.drain(..LEAVING).collect();
        for target in &leaving {
            target.leave(&store);
            record.line(format!("{} reports that it drains; confirmed", target.id));
            confirmed.push((target.clone(), Instant::now()));
        }
        thread::sleep(AWAY_AFTER);
        if trouble {
            store.leave();
            record.line("the store is away");
        }
        thread::sleep(AWAY);
        if trouble {
            store.restore(copy);
            record.line("the store returns from the copy");
        }
        thread::sleep(REPORT_AFTER);
        for target in &leaving {
            target.register(&store);
        }
        record.line("the leaving targets report again");
        thread::sleep(SERVING);
        for target in &leaving {
            store.remove("servers", &target.id);
            targets.push_back(spawn()?);
        }
        thread::sleep(SETTLING);
    }
    done.store(true, Ordering::Relaxed);
    let mut sent = Vec::new();
    for caller in callers {
        sent.extend(caller.join().map_err(|_| "a caller panicked".to_owned())?);
    }
    let answered = sent
        .iter()
        .filter(|(.., status)| *status == Some(200))
        .count();
    record.say(format!(
        "{} requests sent, {answered} answered with 200",
        sent.len()
    ));
    if answered * 10 < sent.len() * 7 {
        return Err("too few requests were served".to_owned());
    }
    let mut late = 0;
    for (target, confirmed) in confirmed {
        for (attempt, arrived) in target.arrivals() {
            if arrived < confirmed {
                continue;
            }
            let Some((_, sent_at, _)) = sent.iter().find(|(other, ..)| *other == attempt) else {
                continue;
            };
            let sent_after = sent_at.saturating_duration_since(confirmed);
            record.line(format!(
                "{attempt} reached {} {} ms after the confirmation, sent {} ms after it",
                target.id,
                (arrived - confirmed).as_millis(),
                sent_after.as_millis()
            ));
            late += usize::from(sent_after > DRAIN);
        }
    }
    record.say(format!(
        "requests that reached a target, sent more than {} ms after the confirmation that it \
         drains: {late}",
        DRAIN.as_millis()
    ));
    Ok(late > 0)
}

/// Sends requests until `done`. Returns them with the times at which they were sent and
/// the statuses of their answers.
fn call(
    front: SocketAddr,
    caller: usize,
    done: &AtomicBool,
) -> Vec<(String, Instant, Option<u16>)> {
    let mut sent = Vec::new();
    while !done.load(Ordering::Relaxed) {
        let request = Request {
            attempt: format!(
                "e{}-c{caller}-{}",
                caller % usize::from(ENTRIES) + 1,
                sent.len()
            ),
            path: "/sheet/1".to_owned(),
            deadline_ms: 1_200,
        };
        thread::sleep(PACE);
        let at = Instant::now();
        let answers = exchange(front, std::slice::from_ref(&request), true, Duration::ZERO);
        let status = answers
            .first()
            .and_then(|answer| answer.as_ref().ok().copied());
        sent.push((request.attempt, at, status));
    }
    sent
}

const DESIRED_STATE: &str = r#"{"version":"00000001","resources":[
{"resourceKind":"routes","metadata":{"name":"sheet"},"spec":{"host":"desk.example","prefix":"/sheet/",
"kind":"safe","timeout":"1000ms","targetLatency":"250ms","priority":1,"service":"sheets","maxAttempts":2}},
{"resourceKind":"services","metadata":{"name":"sheets"},"spec":{"healthPath":"/health","maxConnections":260}},
{"resourceKind":"limits","metadata":{"name":"limits"},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,
"headerTimeout":"3000ms","idleTimeout":"15000ms"}}]}"#;
