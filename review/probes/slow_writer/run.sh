#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
timeout --signal=TERM --kill-after=3 115 python3 -B case.py
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
