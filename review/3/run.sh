#!/bin/sh
# Runs the case once; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, with
# 0 if it held, and with 2 if the case could not run. Needs the build of the deploy file and
# review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
rig=target/review/release/review-rig
[ -x "$rig" ] || { echo "run review/build.sh first"; exit 2; }
"$rig" crashing-request review/3/record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
