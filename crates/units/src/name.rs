//! Validated string identifiers.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use schemars::JsonSchema;
use schemars::r#gen::SchemaGenerator;
use schemars::schema::{InstanceType, Schema, SchemaObject, StringValidation};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use thiserror::Error;

/// Error of an invalid identifier.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum NameError {
    /// The string is empty.
    #[error("must not be empty")]
    Empty,
    /// The string is too long.
    #[error("must be at most {limit} bytes long")]
    TooLong {
        /// Largest permitted length in bytes.
        limit: usize,
    },
    /// The string contains a character that is not permitted.
    #[error("must not contain {found:?}; permitted are a-z, 0-9 and {extra:?}")]
    Character {
        /// First character that is not permitted.
        found: char,
        /// Characters permitted in addition to lower-case letters and digits.
        extra: &'static str,
    },
}

fn validate(text: &str, limit: usize, extra: &'static str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > limit {
        return Err(NameError::TooLong { limit });
    }
    let permitted = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || extra.contains(c);
    match text.chars().find(|c| !permitted(*c)) {
        Some(found) => Err(NameError::Character { found, extra }),
        None => Ok(()),
    }
}

macro_rules! identifier {
    ($(#[$doc:meta])* $name:ident, $limit:expr, $extra:expr) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the identifier as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                validate(text, $limit, $extra)?;
                Ok(Self(text.into()))
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = String::deserialize(deserializer)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }

        impl JsonSchema for $name {
            fn schema_name() -> String {
                stringify!($name).to_owned()
            }

            fn json_schema(_: &mut SchemaGenerator) -> Schema {
                SchemaObject {
                    instance_type: Some(InstanceType::String.into()),
                    string: Some(Box::new(StringValidation {
                        max_length: u32::try_from($limit).ok(),
                        min_length: Some(1),
                        pattern: None,
                    })),
                    ..SchemaObject::default()
                }
                .into()
            }
        }
    };
}

/// Longest identifier that is valid as a DNS label, in bytes.
const MAX_LABEL_BYTES: usize = 63;

/// Longest id, in bytes.
const MAX_ID_BYTES: usize = 128;

identifier!(
    /// Name of a service, valid as a DNS label.
    Service, MAX_LABEL_BYTES, "-"
);
identifier!(
    /// Name of the team that owns a service.
    Team, MAX_LABEL_BYTES, "-"
);
identifier!(
    /// Id of a target, unique within its service.
    Target, MAX_ID_BYTES, "-._"
);
identifier!(
    /// Name of an availability zone.
    Zone, MAX_LABEL_BYTES, "-"
);
identifier!(
    /// Name of a region, which is a group of availability zones.
    Region, MAX_LABEL_BYTES, "-"
);
identifier!(
    /// Name of a cell, which is a group of entries that serve the same services.
    Cell, MAX_LABEL_BYTES, "-"
);
identifier!(
    /// Id of an instance of an entry.
    Instance, MAX_LABEL_BYTES, "-"
);
identifier!(
    /// Name of a request class, unique within its service.
    Class, MAX_LABEL_BYTES, "-"
);
identifier!(
    /// Id of an edit, chosen by the operator or issued by the API.
    EditId, MAX_ID_BYTES, "-._"
);

impl EditId {
    /// Returns a random id, for an edit whose operator did not choose one.
    #[must_use]
    pub fn random() -> Self {
        Self(format!("{:032x}", rand::random::<u128>()).into())
    }
}
