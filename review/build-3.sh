#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They use the standard library alone, so that no network
# is needed. The nodes are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-ins-3/Cargo.toml \
    --target-dir target/review-3
