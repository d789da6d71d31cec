//! Parsing and the canonical form.

use crate::fault::{Faults, Rejection};
use crate::model::Document;
use crate::{structure, validate};

/// Largest document in bytes. A document travels in one frame between entries
/// (4 MiB) and in one row of the platform's table.
const DOCUMENT_LIMIT: usize = 1024 * 1024;

impl Document {
    /// Parses and validates a document.
    ///
    /// # Errors
    ///
    /// Returns every fault with its path.
    pub fn parse(bytes: &[u8]) -> Result<Self, Rejection> {
        let mut faults = Faults::default();
        if bytes.len() > DOCUMENT_LIMIT {
            let problem = format!(
                "must be at most {DOCUMENT_LIMIT} bytes long, not {}",
                bytes.len()
            );
            faults.add("document", problem);
            faults.finish()?;
        }
        let (document, mut faults) = structure::read(bytes);
        let Some(document) = document else {
            faults.finish()?;
            return Err(Rejection { faults: Vec::new() });
        };
        let found = validate::examine(&document, &faults);
        faults.extend_unless_known(found);
        faults.finish()?;
        Ok(document)
    }

    /// The canonical JSON form: fields in a fixed order, every default shown.
    ///
    /// [`Document::parse`] turns it into an equal document.
    #[must_use]
    pub fn to_json(&self) -> String {
        // Serialization of the model can't fail: its map keys are strings and
        // its numbers are finite.
        serde_json::to_string(self).unwrap_or_default()
    }
}
