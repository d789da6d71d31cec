//! Probes of targets within the measuring budget.
