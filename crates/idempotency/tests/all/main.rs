//! Tests of keys, claims and the ledger.

mod claims;
mod fixture;
mod ledger;
mod prefix;
mod table;
