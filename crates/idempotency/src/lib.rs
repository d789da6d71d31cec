//! At-most-once execution: keys, claims and the ledger that decides.
