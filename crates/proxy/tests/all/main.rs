//! Tests of the data path over loopback, with stand-ins for the targets. The
//! records of the stand-ins show whether a request ran.

mod answers;
mod cancel;
mod fixture;
mod keys;
mod limits;
mod outcomes;
mod protocols;
mod silence;
mod speed;
mod standing;
mod stop;
