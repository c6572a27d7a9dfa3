#!/usr/bin/env bash
# Builds the stand-ins and checks that the cases start, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/cases/Cargo.toml --target-dir target/review
