#!/usr/bin/env bash
# Runs a case of the stand-ins in a folder: run-case-3.sh CASE FOLDER.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
set -uo pipefail
name=$1
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
program=target/review-3/release/review_3
for file in "$program" target/release/nutmegspread; do
    if [[ ! -x $file ]]; then
        echo "$file is missing: run the build of deploy/system.toml and review/build-3.sh" >&2
        exit 2
    fi
done
# The nodes end with the program, which ends by itself after 115 s at the latest.
exec "$program" "$name" "$folder"
