//! Parsing and validation.

use std::fmt;

use thiserror::Error;

use crate::model::Document;

/// One fault of a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Path of the faulty value, such as `targets[3].slots`.
    pub path: String,
    /// What is wrong with it.
    pub problem: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.problem)
    }
}

/// A document with at least one fault.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the document has {} fault(s)", faults.len())]
pub struct Rejection {
    /// All faults that were found.
    pub faults: Vec<Fault>,
}

impl Document {
    /// Parses and validates a document.
    ///
    /// # Errors
    ///
    /// Returns every fault with its path.
    pub fn parse(bytes: &[u8]) -> Result<Self, Rejection> {
        let mut deserializer = serde_json::Deserializer::from_slice(bytes);
        serde_path_to_error::deserialize(&mut deserializer).map_err(|error| Rejection {
            faults: vec![Fault {
                path: error.path().to_string(),
                problem: error.inner().to_string(),
            }],
        })
    }
}
