#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
program="$folder/../../target/review-2/last_of_a_kind"
[ -x "$program" ] || exit 2
"$program" "$folder/../.." "$folder/record.txt"
case $? in
    0) exit 0 ;;
    1) exit 1 ;;
    *) exit 2 ;;
esac
