#!/bin/sh
# Case 8: a connection keeps the limit on heads from before the first configuration.
# Exits with 1 if DENIED was broken, 0 if it held, 2 if the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program="$root/target/review-2/release/review-cases-2"
if [ ! -x "$program" ]; then
    echo "run.sh: $program is missing; run review/build-2.sh first" >&2
    exit 2
fi
exec "$program" head-limit "$root" "$here"
