#!/bin/sh
# Builds the test rig of the second review, with its stand-ins, to target/review-2/rig.
# It needs the toolchain alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/rig review/rig-2/main.rs
