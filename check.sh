#!/usr/bin/env bash
# Formatter, linter and all tests; the same verdict on every run.
set -euo pipefail
cd "$(dirname "$0")"
export INSTA_UPDATE=no INSTA_FORCE_PASS=0 CARGO_TERM_COLOR=never
cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
cargo test --workspace --locked
