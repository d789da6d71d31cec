#!/bin/sh
# Runs the case; see claim.txt. Needs the builds of deploy/system.toml and review/build-2.sh.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/carobdrift ] && [ -x target/review-2/rig ] || {
    echo "target/release/carobdrift or target/review-2/rig is missing" >&2
    exit 2
}
exec target/review-2/rig narrow review/10/record.txt
