#!/usr/bin/env bash
# Runs the case: 1 the rule was broken, 0 it held, 2 it could not run. TROUBLE=0: no disruption.
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 2; }
exec timeout -k 5 112 python3 -B "$(dirname "$0")/case.py"
