//! Parsing of documents, and their canonical form.

use crate::fault::{Faults, Rejection};
use crate::model::Document;
use crate::{structure, validate};

/// Largest document. A document is sent in one frame between entries (4 MiB) and
/// stored in one row of the platform's table.
const MAX_DOCUMENT_BYTES: usize = 1024 * 1024;

impl Document {
    /// Parses and validates a document.
    ///
    /// # Errors
    ///
    /// Returns every fault of the document, with the path of the faulty value.
    pub fn parse(bytes: &[u8]) -> Result<Self, Rejection> {
        let mut faults = Faults::default();
        if bytes.len() > MAX_DOCUMENT_BYTES {
            let problem = format!(
                "must be at most {MAX_DOCUMENT_BYTES} bytes long, not {}",
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
        let later = validate::check(&document, &faults);
        faults.extend_unless_known(later);
        faults.finish()?;
        Ok(document)
    }

    /// Returns the canonical JSON form, with the fields in a fixed order and every
    /// default filled in.
    ///
    /// [`Document::parse`] turns this form into an equal document.
    #[must_use]
    pub fn to_json(&self) -> String {
        // Serialization of the model can't fail: its map keys are strings and
        // its numbers are finite.
        serde_json::to_string(self).unwrap_or_default()
    }
}
