//! Faults of a document.

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

/// Rejection of a document with at least one fault.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the document has {} fault(s)", faults.len())]
pub struct Rejection {
    /// Faults of the document, ordered by path.
    pub faults: Vec<Fault>,
}

/// Collection of the faults found so far.
#[derive(Debug, Default)]
pub(crate) struct Faults(Vec<Fault>);

impl Faults {
    pub(crate) fn add(&mut self, path: impl Into<String>, problem: impl Into<String>) {
        self.0.push(Fault {
            path: path.into(),
            problem: problem.into(),
        });
    }

    /// Adds a fault unless a number lies in a range, both ends included.
    pub(crate) fn check_range<T>(&mut self, path: impl Into<String>, found: T, low: T, high: T)
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

    /// Adds a fault if a number is above a ceiling of the platform.
    pub(crate) fn check_ceiling<T>(&mut self, path: impl Into<String>, found: T, ceiling: T)
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
    pub(crate) fn any_affects(&self, path: &str) -> bool {
        self.0.iter().any(|fault| encloses(path, &fault.path))
    }

    /// Adds the faults of `later`, except those of a value that already has a
    /// fault, or that lies inside such a value.
    pub(crate) fn extend_unless_known(&mut self, later: Self) {
        let known_count = self.0.len();
        for fault in later.0 {
            let covers = |earlier: &Fault| encloses(&earlier.path, &fault.path);
            if !self.0[..known_count].iter().any(covers) {
                self.0.push(fault);
            }
        }
    }

    /// Ends the collection.
    ///
    /// # Errors
    ///
    /// Returns a rejection if there is any fault.
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

/// Returns a key that sorts indices as numbers, so that `targets[10]` follows
/// `targets[9]`.
fn sort_key(path: &str) -> Vec<(u64, String)> {
    path.split(['.', '[', ']'])
        .map(|part| match part.parse() {
            Ok(index) => (index, String::new()),
            Err(_) => (0, part.to_owned()),
        })
        .collect()
}
