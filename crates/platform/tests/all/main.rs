//! Contract tests of the client against the stand-in of the platform.

mod fault;
mod fixture;
mod table;
