#!/usr/bin/env bash
# Runs the script of a case: run-case.sh NAME FOLDER. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/.." || exit 2
[ -x target/review/standin ] || { echo 'run review/build.sh first'; exit 2; }
REVIEW_PIDS=$(mktemp) || exit 2
export REVIEW_PIDS
finish() {
    while read -r pid; do kill -9 "$pid" 2>/dev/null; done < "$REVIEW_PIDS"
    rm -f "$REVIEW_PIDS"
}
trap finish EXIT
trap 'exit 2' TERM INT
timeout 118 target/review/standin "$1" "$2"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
