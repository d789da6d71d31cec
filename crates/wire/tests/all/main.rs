//! Tests of the frame codec.

mod codec;
