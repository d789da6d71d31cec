//! Numbers with a unit.

use std::fmt;
use std::num::{ParseFloatError, ParseIntError};
use std::str::FromStr;
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Error of a text that is not a valid number.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ParseError {
    /// The text is not a whole number.
    #[error("not a whole number: {0}")]
    Integer(#[from] ParseIntError),
    /// The text is not a number.
    #[error("not a number: {0}")]
    Float(#[from] ParseFloatError),
    /// The number is negative, infinite or not a number.
    #[error("must be finite and not negative")]
    OutOfRange,
}

// The doc comments of the types in this module are descriptions in the JSON schema
// of the administration API.

macro_rules! counter {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            Serialize, Deserialize, JsonSchema,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                Ok(Self(text.parse()?))
            }
        }
    };
}

counter!(
    /// Version of a document; 0 means that the service has none.
    Version
);
counter!(
    /// Position in the change log of a cell.
    Revision
);
counter!(
    /// Random number drawn at the start of a process; tells apart two
    /// processes that use the same instance id.
    Incarnation
);
counter!(
    /// Number of the platform store's return from an older copy; 0 if it states none.
    Era
);
counter!(
    /// A duration in milliseconds.
    Millis
);
counter!(
    /// A size in bytes.
    ByteSize
);
counter!(
    /// A bandwidth in bits per second.
    BitRate
);

counter!(
    /// A rate in thousandths per second.
    Rate
);

impl Rate {
    /// Returns the rate closest to a number per second; `None` if the number is
    /// negative, infinite or not a number.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the number is not negative, and the cast saturates"
    )]
    pub fn from_per_second(number: f64) -> Option<Self> {
        (number.is_finite() && number >= 0.0).then(|| Self((number * 1000.0).round() as u64))
    }

    /// Returns the number per second.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "rates are far below 2^52 thousandths"
    )]
    pub fn per_second(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

impl Version {
    /// Version of a service that has no document.
    pub const NONE: Self = Self(0);

    /// Returns the next version.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Incarnation {
    /// Returns a random incarnation.
    #[must_use]
    pub fn random() -> Self {
        Self(rand::random())
    }
}

impl Millis {
    /// Returns the value as a [`Duration`].
    #[must_use]
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl From<Duration> for Millis {
    fn from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}

impl ByteSize {
    /// Returns the size as a `usize`, limited to `usize::MAX`.
    #[must_use]
    pub fn bytes(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

macro_rules! quantity {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize, JsonSchema,
        )]
        #[serde(try_from = "f64", into = "f64")]
        pub struct $name(f64);

        impl $name {
            /// Returns the number without its unit.
            #[must_use]
            pub fn get(self) -> f64 {
                self.0
            }
        }

        impl TryFrom<f64> for $name {
            type Error = ParseError;

            fn try_from(value: f64) -> Result<Self, ParseError> {
                if value.is_finite() && value >= 0.0 {
                    Ok(Self(value))
                } else {
                    Err(ParseError::OutOfRange)
                }
            }
        }

        impl From<$name> for f64 {
            fn from(quantity: $name) -> Self {
                quantity.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                Self::try_from(text.parse::<f64>()?)
            }
        }
    };
}

quantity!(
    /// A rate in events per second.
    PerSecond
);
quantity!(
    /// A share in percent; 100 is the whole.
    Percent
);

impl Percent {
    /// Returns the percentage as a fraction; 1.0 is the whole.
    #[must_use]
    pub fn fraction(self) -> f64 {
        self.0 / 100.0
    }
}
