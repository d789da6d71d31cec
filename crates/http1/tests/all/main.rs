//! Tests of the message framing.

mod client;
mod fixture;
mod server;
