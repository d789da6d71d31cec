//! Tests of traces, fitted lines and reports.

mod fit;
mod report;
mod trace;
