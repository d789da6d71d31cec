//! Resource use of running processes.

use std::time::{Duration, Instant};

use carobdrift_test_support::fleet::{Entry, Fleet};

use super::Error;

/// Clock ticks (`USER_HZ`) per second, the unit of CPU time in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Cumulative counters of an entry and of the platform.
#[derive(Debug, Clone, Copy)]
struct Counters {
    cpu_seconds: f64,
    link_bytes: f64,
    link_frames: f64,
    platform_reads: f64,
    platform_writes: f64,
}

/// Resource use of an entry, and load of all entries on the platform.
#[derive(Debug, Clone, Copy)]
pub(super) struct Usage {
    /// Resident memory of the entry, in MB.
    pub(super) memory_mb: f64,
    /// CPU time of the entry, in percent of one core.
    pub(super) cpu_percent: f64,
    /// Data that the entry sends and receives on links, in KB per second.
    pub(super) link_kb_per_second: f64,
    /// Frames that the entry sends and receives on links, per second.
    pub(super) link_frames_per_second: f64,
    /// Reads of all entries from the platform, per second.
    pub(super) platform_reads_per_second: f64,
    /// Writes of all entries to the platform, per second.
    pub(super) platform_writes_per_second: f64,
}

/// Measures the resource use of one entry over `duration`.
pub(super) async fn measure(
    fleet: &Fleet,
    entry: &Entry,
    duration: Duration,
) -> Result<Usage, Error> {
    let before = read_counters(fleet, entry).await?;
    let start = Instant::now();
    tokio::time::sleep(duration).await;
    let after = read_counters(fleet, entry).await?;
    let seconds = start.elapsed().as_secs_f64();
    Ok(Usage {
        memory_mb: read_memory_mb(entry.process.pid())?,
        cpu_percent: (after.cpu_seconds - before.cpu_seconds) / seconds * 100.0,
        link_kb_per_second: (after.link_bytes - before.link_bytes) / seconds / 1000.0,
        link_frames_per_second: (after.link_frames - before.link_frames) / seconds,
        platform_reads_per_second: (after.platform_reads - before.platform_reads) / seconds,
        platform_writes_per_second: (after.platform_writes - before.platform_writes) / seconds,
    })
}

async fn read_counters(fleet: &Fleet, entry: &Entry) -> Result<Counters, Error> {
    let counts = fleet
        .platform
        .counts()
        .await
        .map_err(carobdrift_test_support::fleet::Error::from)?;
    let metrics = fleet.metrics(entry).await?;
    Ok(Counters {
        cpu_seconds: read_cpu_seconds(entry.process.pid())?,
        link_bytes: sum_series(&metrics, "carobdrift_link_bytes_total"),
        link_frames: sum_series(&metrics, "carobdrift_link_frames_total"),
        platform_reads: to_f64(counts.reads),
        platform_writes: to_f64(counts.writes),
    })
}

/// Returns the sum of all series of a metric, given the metrics of an entry as
/// text.
pub(super) fn sum_series(metrics: &str, name: &str) -> f64 {
    metrics
        .lines()
        .filter(|line| line.starts_with(name))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

fn read_cpu_seconds(pid: i32) -> Result<f64, Error> {
    const ERROR: Error = Error::Measurement("cannot read CPU time");
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).map_err(|_| ERROR)?;
    // The program name can contain spaces, so the fields are split after the
    // closing parenthesis around it.
    let (_, fields) = stat.rsplit_once(')').ok_or(ERROR)?;
    let ticks: f64 = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<f64>().ok())
        .sum();
    Ok(ticks / TICKS_PER_SECOND)
}

fn read_memory_mb(pid: i32) -> Result<f64, Error> {
    const ERROR: Error = Error::Measurement("cannot read resident memory");
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).map_err(|_| ERROR)?;
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .ok_or(ERROR)?;
    let kilobytes = line.split_whitespace().nth(1).ok_or(ERROR)?;
    Ok(kilobytes.parse::<f64>().map_err(|_| ERROR)? * 1024.0 / 1e6)
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
pub(super) fn to_f64(count: u64) -> f64 {
    count as f64
}
