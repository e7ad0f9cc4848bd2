#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review 3 start, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
export CARGO_NET_OFFLINE=true
cargo build --release --locked --manifest-path review/shared-3/rig/Cargo.toml --target-dir target/review-3
