//! Tests of HTTP/1.1 connections.

mod client;
mod fixture;
mod server;
mod streaming;
