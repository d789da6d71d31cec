//! Secrets, which are never printed.

use std::fmt;

use serde::{Serialize, Serializer};

/// Text that is printed and serialized in place of a secret.
const REDACTED: &str = "<redacted>";

/// Secret text; `Debug` and `Serialize` output a fixed text in its place.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Creates a secret from its text.
    #[must_use]
    pub fn new(text: String) -> Self {
        Self(text)
    }

    /// Returns the text of the secret.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(REDACTED)
    }
}

impl Serialize for Secret {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(REDACTED)
    }
}
