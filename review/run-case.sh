#!/usr/bin/env bash
# Runs a case from its folder: run-case.sh FOLDER CASE. See cases/src/main.rs for the exit status.
cd "$(dirname "$0")/.." || exit 2
for program in target/release/nutmegspread target/review/release/review_cases; do
    if [ ! -x "$program" ]; then
        echo "$program is missing: run the build of deploy/system.toml and review/build.sh" >&2
        exit 2
    fi
done
exec target/review/release/review_cases "$2" "$1/record.txt"
