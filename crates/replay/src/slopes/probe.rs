//! Figures of running processes.

use std::time::{Duration, Instant};

use carobdrift_test_support::fleet::{Entry, Fleet};

use super::Error;

/// Kernel clock ticks per second, which `/proc` counts processor time in.
const TICKS_PER_SECOND: f64 = 100.0;

/// What an entry and the platform have used so far.
#[derive(Debug, Clone, Copy)]
struct Totals {
    processor_seconds: f64,
    link_bytes: f64,
    link_frames: f64,
    platform_reads: f64,
    platform_writes: f64,
}

/// What an entry uses, and what all entries together ask of the platform.
#[derive(Debug, Clone, Copy)]
pub(super) struct Usage {
    /// Resident memory of the entry in MB.
    pub(super) memory_mb: f64,
    /// Share of one core that the entry uses, in percent.
    pub(super) processor_percent: f64,
    /// Bytes that the entry sends and receives on links, in KB per second.
    pub(super) link_kilobytes: f64,
    /// Frames that the entry sends and receives on links, per second.
    pub(super) link_frames: f64,
    /// Reads of all entries from the platform, per second.
    pub(super) platform_reads: f64,
    /// Writes of all entries to the platform, per second.
    pub(super) platform_writes: f64,
}

/// Watches one entry for a while.
pub(super) async fn observe(
    fleet: &Fleet,
    entry: &Entry,
    length: Duration,
) -> Result<Usage, Error> {
    let before = totals(fleet, entry).await?;
    let start = Instant::now();
    tokio::time::sleep(length).await;
    let after = totals(fleet, entry).await?;
    let seconds = start.elapsed().as_secs_f64();
    Ok(Usage {
        memory_mb: memory_mb(entry.process.pid())?,
        processor_percent: (after.processor_seconds - before.processor_seconds) / seconds * 100.0,
        link_kilobytes: (after.link_bytes - before.link_bytes) / seconds / 1000.0,
        link_frames: (after.link_frames - before.link_frames) / seconds,
        platform_reads: (after.platform_reads - before.platform_reads) / seconds,
        platform_writes: (after.platform_writes - before.platform_writes) / seconds,
    })
}

async fn totals(fleet: &Fleet, entry: &Entry) -> Result<Totals, Error> {
    let counts = fleet
        .platform
        .counts()
        .await
        .map_err(carobdrift_test_support::fleet::Error::from)?;
    let metrics = fleet.metrics(entry).await?;
    Ok(Totals {
        processor_seconds: processor_seconds(entry.process.pid())?,
        link_bytes: sum(&metrics, "carobdrift_link_bytes_total"),
        link_frames: sum(&metrics, "carobdrift_link_frames_total"),
        platform_reads: number(counts.reads),
        platform_writes: number(counts.writes),
    })
}

/// Sum of all series of a metric.
pub(super) fn sum(metrics: &str, name: &str) -> f64 {
    metrics
        .lines()
        .filter(|line| line.starts_with(name))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

fn processor_seconds(pid: i32) -> Result<f64, Error> {
    const FAILED: Error = Error::Measurement("processor time");
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).map_err(|_| FAILED)?;
    // The program's name may hold blanks; the fields follow its parenthesis.
    let (_, fields) = stat.rsplit_once(')').ok_or(FAILED)?;
    let ticks: f64 = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<f64>().ok())
        .sum();
    Ok(ticks / TICKS_PER_SECOND)
}

fn memory_mb(pid: i32) -> Result<f64, Error> {
    const FAILED: Error = Error::Measurement("resident memory");
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).map_err(|_| FAILED)?;
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .ok_or(FAILED)?;
    let kilobytes = line.split_whitespace().nth(1).ok_or(FAILED)?;
    Ok(kilobytes.parse::<f64>().map_err(|_| FAILED)? * 1024.0 / 1e6)
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
pub(super) fn number(count: u64) -> f64 {
    count as f64
}
