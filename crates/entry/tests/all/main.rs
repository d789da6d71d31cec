//! Tests of the settings of an entry.

mod settings;
