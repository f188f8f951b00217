#!/bin/bash
# Runs the test of one case: run_case.sh CASE-FOLDER PROGRAM. Exits with 1 if the rule was broken, 0 if it held and 2 if
# the case could not run. TROUBLE=0 leaves the disruption out.
set -u
case_folder=$(cd "$1" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
[ -x build/wingproxy ] || { echo "build/wingproxy is missing: build the project first" >&2; exit 2; }
bash review/build.sh || exit 2
run=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
[ -n "$run" ] || { echo "deploy/balancer.toml has no run" >&2; exit 2; }
# The fronts' $TMPDIR counts as memory on the platform, so it lies in memory here where the machine has such a folder.
folder=$(mktemp -d -p /dev/shm 2>/dev/null || mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 2 110 "build/review/$2" "$case_folder" "$folder" "$run"
code=$?
[ "$code" -le 2 ] || code=2
[ "$code" -ne 2 ] || tail -n 5 "$folder"/*.log >&2
exit "$code"
