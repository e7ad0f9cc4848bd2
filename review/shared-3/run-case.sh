#!/usr/bin/env bash
# Runs a case of the rig: run-case.sh CASE FOLDER. Its record goes to FOLDER/record.txt.
set -uo pipefail
case=$1
record=$(cd "$2" && pwd)/record.txt
cd "$(dirname "$0")/../.."
program=target/release/kelplink
rig=target/review-3/release/rig
if [[ ! -x $program || ! -x $rig ]]; then
    echo "not built: run the build of the deploy file and review/build-3.sh"
    exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
export KELPLINK_PROGRAM=$PWD/$program
timeout --signal=KILL 115 "$rig" "$case" "$record" "$folder"
code=$?
if [[ -n ${KEEP_LOGS:-} ]]; then
    cp "$folder"/*.log "$KEEP_LOGS"/
fi
if [[ $code -gt 2 ]]; then
    exit 2
fi
exit "$code"
