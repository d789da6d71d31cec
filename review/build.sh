#!/usr/bin/env bash
# Builds what the scripts of this folder start. The stand-ins are Python programs that use only
# the standard library, so only the entry is compiled, by the command of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --bin carobdrift
for source in review/lib/standins.py review/[0-9]*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$source"
done
