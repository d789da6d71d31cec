//! Tests of the data path over loopback, with stand-ins as targets. What the
//! stand-ins recorded says whether a request ran.

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
