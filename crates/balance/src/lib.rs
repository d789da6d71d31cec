//! Choice of a target: policies, admission, budgets and health.
