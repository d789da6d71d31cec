//! Tests of the limits over all entries, without a network.

#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "the numbers of a simulation are small"
)]

mod account;
mod bounds;
mod simulation;
mod start;
mod warmup;
