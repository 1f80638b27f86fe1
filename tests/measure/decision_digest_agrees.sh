#!/usr/bin/env bash
# Runs decision_digest twice with the same number of seeds. Fails unless both runs print the same
# hashes.
set -euo pipefail
digest=$1
seeds=$2
first=$("$digest" "$seeds")
second=$("$digest" "$seeds")
[ -n "$first" ]
echo "$first"
[ "$first" = "$second" ] || {
  echo "decision_digest printed different hashes in the second run:"
  echo "$second"
  exit 1
}
