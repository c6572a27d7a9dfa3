#!/bin/sh
# Builds the stand-ins of the scripts of the second independent review.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
command -v cargo >/dev/null || { echo "build-2.sh: cargo is not installed" >&2; exit 2; }
exec cargo build --release --locked --offline \
    --manifest-path "$root/review/cases-2/Cargo.toml" --target-dir "$root/target/review-2"
