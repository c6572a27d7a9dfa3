#!/usr/bin/env bash
# Checks the formatting, lints the code and runs all tests except those listed in KNOWN-RED.txt.
set -euo pipefail
cd "$(dirname "$0")"
export INSTA_UPDATE=no INSTA_FORCE_PASS=0 CARGO_TERM_COLOR=never
cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
# Tests that fail because of a known fault are listed in KNOWN-RED.txt; only these are skipped.
red=$(sed -n 's/^- test \([a-z0-9_]*\)\.$/\1/p' KNOWN-RED.txt)
skips=()
for name in $red; do
    echo "passed over, see KNOWN-RED.txt: $name"
    skips+=(--skip "$name")
done
cargo test --workspace --locked -- "${skips[@]}"
