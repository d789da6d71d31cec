//! Faults of a document and their collection.

use std::fmt::{self, Display};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// One fault of a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Fault {
    /// Path of the faulty value, such as `targets[3].slots`.
    pub path: String,
    /// What is wrong with it.
    pub problem: String,
}

impl Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.problem)
    }
}

/// A document with at least one fault.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the document has {} fault(s)", faults.len())]
pub struct Rejection {
    /// All faults that were found, in the order of their paths.
    pub faults: Vec<Fault>,
}

/// Faults found so far.
#[derive(Debug, Default)]
pub(crate) struct Faults(Vec<Fault>);

impl Faults {
    pub(crate) fn add(&mut self, path: impl Into<String>, problem: impl Into<String>) {
        self.0.push(Fault {
            path: path.into(),
            problem: problem.into(),
        });
    }

    /// Requires a number to lie in a range, both ends included.
    pub(crate) fn range<T>(&mut self, path: impl Into<String>, found: T, low: T, high: T)
    where
        T: Copy + PartialOrd + Display,
    {
        if !(low..=high).contains(&found) {
            self.add(
                path,
                format!("must be between {low} and {high}, not {found}"),
            );
        }
    }

    /// Requires a number to be at most a ceiling of the platform.
    pub(crate) fn ceiling<T>(&mut self, path: impl Into<String>, found: T, ceiling: T)
    where
        T: Copy + PartialOrd + Display,
    {
        if found > ceiling {
            self.add(
                path,
                format!("must be at most {ceiling} on this platform, not {found}"),
            );
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether a fault concerns `path` or a value inside it.
    pub(crate) fn concern(&self, path: &str) -> bool {
        self.0.iter().any(|fault| encloses(path, &fault.path))
    }

    /// Adds the faults of `later`, except those at a value that already has
    /// one here or lies inside such a value.
    pub(crate) fn extend_unless_known(&mut self, later: Self) {
        let known = self.0.len();
        for fault in later.0 {
            let covered = |first: &Fault| encloses(&first.path, &fault.path);
            if !self.0[..known].iter().any(covered) {
                self.0.push(fault);
            }
        }
    }

    /// Ends the collection.
    ///
    /// # Errors
    ///
    /// Returns the rejection when there is any fault.
    pub(crate) fn finish(mut self) -> Result<(), Rejection> {
        if self.0.is_empty() {
            return Ok(());
        }
        self.0.sort_by_cached_key(|fault| sort_key(&fault.path));
        Err(Rejection { faults: self.0 })
    }
}

fn encloses(outer: &str, inner: &str) -> bool {
    inner
        .strip_prefix(outer)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
}

/// Sorts indices as numbers, so that `targets[10]` follows `targets[9]`.
fn sort_key(path: &str) -> Vec<(u64, String)> {
    path.split(['.', '[', ']'])
        .map(|part| match part.parse() {
            Ok(index) => (index, String::new()),
            Err(_) => (0, part.to_owned()),
        })
        .collect()
}
