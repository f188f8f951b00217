#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
case=$(basename "$(dirname "$0")")
[ -x "build/review-2/case_10" ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec "build/review-2/case_10" "$PWD" "$PWD/review/10"
