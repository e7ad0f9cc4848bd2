#!/bin/sh
# Builds the stand-ins of the second review's scripts with the Rust compiler alone; they use no libraries.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[4-8]/*.rs; do
    [ -e "$source" ] || continue
    program=$(basename "$source" .rs)
    rustc --edition 2024 -O -A dead_code -o "target/review-2/$program" "$source"
done
