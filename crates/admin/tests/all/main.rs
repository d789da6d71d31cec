//! Tests of the API over loopback HTTP, most of them with a fake backend.

mod addresses;
mod authorization;
mod components;
mod documents;
mod fixture;
mod openapi;
mod operations;
mod steering;
mod tokens;
