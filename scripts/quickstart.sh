#!/usr/bin/env bash
# Builds everything and runs two small installations on loopback: one with
# documents and an administration API, see --help, and one on the users' platform.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --quiet --bins --package carobdrift --package carobdrift-test-support \
  --package carobdrift-platform-stand-in --package carobdrift-platform-testing
programs="${CARGO_TARGET_DIR:-target}/debug"
"$programs/quickstart" "$@"
echo
echo "on the users' platform:"
exec "$programs/calm"
