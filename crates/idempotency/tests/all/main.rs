//! Tests of keys, claims and ledgers.

mod claims;
mod fixture;
mod ledger;
mod prefix;
mod table;
