//! Tests of the catalog, several entries in one process over loopback.

mod edit;
mod fixture;
mod propagation;
mod reads;
mod recovery;
mod standing;
mod statement;
