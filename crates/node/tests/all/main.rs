//! Tests of what an entry knows.

mod replica;
