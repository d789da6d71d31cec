//! Checked string identifiers.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use schemars::JsonSchema;
use schemars::r#gen::SchemaGenerator;
use schemars::schema::{InstanceType, Schema, SchemaObject, StringValidation};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use thiserror::Error;

/// Why a string is not a valid identifier.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum NameError {
    /// The string has no characters.
    #[error("must not be empty")]
    Empty,
    /// The string is longer than the identifier permits, in bytes.
    #[error("must be at most {limit} bytes long")]
    TooLong {
        /// Largest permitted length in bytes.
        limit: usize,
    },
    /// The string holds a character outside of the permitted set.
    #[error("must not contain {found:?}; permitted are a-z, 0-9 and {extra:?}")]
    Character {
        /// First offending character.
        found: char,
        /// Characters permitted besides lower-case letters and digits.
        extra: &'static str,
    },
}

fn check(text: &str, limit: usize, extra: &'static str) -> Result<(), NameError> {
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
            /// The identifier as text.
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
                check(text, $limit, $extra)?;
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

/// Longest identifier that is also used as a DNS label, in bytes.
const LABEL_LIMIT: usize = 63;

/// Longest free-form identifier, in bytes.
const ID_LIMIT: usize = 128;

identifier!(
    /// Name of a service, valid as a DNS label.
    Service, LABEL_LIMIT, "-"
);
identifier!(
    /// Name of the team that owns a service.
    Team, LABEL_LIMIT, "-"
);
identifier!(
    /// Id of a target within its service.
    Target, ID_LIMIT, "-._"
);
identifier!(
    /// Name of an availability zone.
    Zone, LABEL_LIMIT, "-"
);
identifier!(
    /// Name of a region, a group of availability zones.
    Region, LABEL_LIMIT, "-"
);
identifier!(
    /// Name of a cell, a group of entries that share a set of services.
    Cell, LABEL_LIMIT, "-"
);
identifier!(
    /// Id of an entry instance.
    Instance, LABEL_LIMIT, "-"
);
identifier!(
    /// Name of a request class within a service.
    Class, LABEL_LIMIT, "-"
);
identifier!(
    /// Id of an edit, chosen by the operator or issued by the API.
    EditId, ID_LIMIT, "-._"
);

impl EditId {
    /// Draws a random id for an edit whose operator chose none.
    #[must_use]
    pub fn random() -> Self {
        Self(format!("{:032x}", rand::random::<u128>()).into())
    }
}
