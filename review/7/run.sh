#!/usr/bin/env bash
# A worker departs, and all edge nodes are killed.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0
# leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.."
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
timeout -k 2 115 target/review-2/departed_worker review/7
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
