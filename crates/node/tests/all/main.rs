//! Tests of what an entry knows.

mod knowledge;
