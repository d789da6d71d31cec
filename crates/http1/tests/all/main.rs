//! Tests of HTTP/1.1 connections.

mod budget;
mod client;
mod fixture;
mod fuzz;
mod server;
mod streaming;
