//! Tests of HTTP/1.1 connections.

mod client;
mod fixture;
mod fuzz;
mod responses;
mod server;
mod streaming;
