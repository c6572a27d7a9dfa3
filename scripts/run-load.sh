#!/usr/bin/env bash
# Starts 7 nodes on loopback, runs the load command against the nodes and then stops them.
# Usage: scripts/run-load.sh DEPLOYMENT [flags of `nutmegspread load`]
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=$1
shift
case $deployment in
  guild) prefix=northwest domains=4 ;;
  kloofglas) prefix=gauteng domains=3 ;;
  *) echo "expected guild or kloofglas" >&2; exit 2 ;;
esac
binary=${NUTMEGSPREAD:-target/release/nutmegspread}
port=${FIRST_PORT:-7700}
folder=$(mktemp -d)
echo load-operator-token > "$folder/token"
pids=()
flags=()
stop_nodes() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  wait
  echo "logs and settings: $folder" >&2
}
trap stop_nodes EXIT
for number in 1 2 3 4 5 6 7; do
  cat > "$folder/node-$number.jsonc" <<SETTINGS
{
  "node": "node-$number",
  "domain": "$prefix-$(((number - 1) % domains + 1))",
  "caller_listen": "127.0.0.1:$((port + number))",
  "peer_listen": "127.0.0.1:$((port + 10 + number))",
  "operator_listen": "127.0.0.1:$((port + 20 + number))",
  "operator_token": "load-operator-token",
  "platform": { "address": "127.0.0.1:$port" },
  "log_level": "warn"
}
SETTINGS
  "$binary" serve --settings "$folder/node-$number.jsonc" \
    > "$folder/node-$number.log" 2> "$folder/node-$number.errors" &
  pids+=($!)
  flags+=(--node "127.0.0.1:$((port + number))" --pid $!)
done
"$binary" load --deployment "$deployment" "${flags[@]}" --platform "127.0.0.1:$port" \
  --operator "127.0.0.1:$((port + 21))" --token-file "$folder/token" "$@"
