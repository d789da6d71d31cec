//! Tests of the API over loopback HTTP, with a fake in place of the rest of
//! the entry.

mod addresses;
mod authorization;
mod components;
mod documents;
mod fixture;
mod openapi;
mod operations;
mod steering;
mod tokens;
