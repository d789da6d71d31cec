#!/usr/bin/env bash
# Builds everything and runs a small installation on loopback; see --help.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --quiet --bins --package carobdrift --package carobdrift-test-support
exec "${CARGO_TARGET_DIR:-target}/debug/quickstart" "$@"
