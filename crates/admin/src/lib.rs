//! The administration and discovery API.
