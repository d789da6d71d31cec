#!/usr/bin/env bash
# Builds what the scripts of this folder start. The stand-ins are Python programs that use only
# the standard library; the entry is built by the command of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --bin carobdrift
python3 -m py_compile review/lib/standins.py review/[0-9]*/case.py
