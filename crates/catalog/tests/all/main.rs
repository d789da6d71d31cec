//! Tests of the catalog with several entries in one process, connected over
//! loopback.

mod edit;
mod fixture;
mod propagation;
mod reads;
mod recovery;
mod standing;
mod status;
