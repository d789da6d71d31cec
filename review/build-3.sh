#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O --crate-name rig_3 -o target/review-3/rig-3 review/rig-3/main.rs
