//! Tests of the data path over loopback, with stand-ins for the targets. The
//! records of the stand-ins show whether a request ran.

mod cancel;
mod drain;
mod fixture;
mod invalid;
mod keys;
mod latency;
mod limits;
mod outcomes;
mod protocols;
mod queued;
mod responses;
mod unresponsive;
