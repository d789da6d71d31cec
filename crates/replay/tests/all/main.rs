//! Tests of fitted lines and reports.

mod fit;
mod report;
