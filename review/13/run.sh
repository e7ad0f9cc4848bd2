#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves the disruption out.
exec "$(dirname "$0")/../shared-3/run-case.sh" restarted-and-gone "$(dirname "$0")"
