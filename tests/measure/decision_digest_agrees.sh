#!/usr/bin/env bash
# Runs decision_digest twice with the same number of seeds; fails unless both runs print the same.
set -euo pipefail
digest=$1
seeds=$2
first=$("$digest" "$seeds")
second=$("$digest" "$seeds")
[ -n "$first" ]
echo "$first"
[ "$first" = "$second" ] || { echo "the second run differs:"; echo "$second"; exit 1; }
