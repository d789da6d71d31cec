//! Tests of the trace parser, the line fit and the evaluation of reports.

mod fit;
mod report;
mod trace;
