//! Tests of the message framing.

mod client;
mod server;
