//! Tests of HTTP/1.1 connections.

mod budget;
mod callers;
mod client;
mod drain;
mod fixture;
mod fuzz;
mod reference;
mod responses;
mod server;
mod streaming;
mod uploads;
