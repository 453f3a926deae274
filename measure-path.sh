#!/usr/bin/env bash
# Measures what the path adds to a direct call: the stand-in service alone, then through a gateway and a sidecar.
#   ./measure-path.sh [RATE] [SECONDS] [ROUNDS] [SEED]
set -eu
cd "$(dirname "$0")"
base=${ACACIAFLOW_PORT_BASE:-21000}
export ACACIAFLOW_PORT_BASE=$base
output=$(mktemp)
./try.sh --keep >"$output" 2>&1 &
site=$!
trap 'kill -TERM "$site" 2>/dev/null; wait "$site" 2>/dev/null || true; rm -f "$output"' EXIT
for _ in $(seq 1 600); do
    grep -q '^store ' "$output" && break
    sleep 0.1
done
java -Xmx256m -jar standin/target/acaciaflow-standin-all.jar load \
    --targets "direct=127.0.0.1:$((base + 102)),path=127.0.0.1:$((base + 400))" \
    --rate "${1:-300}" --seconds "${2:-10}" --rounds "${3:-3}" --seed "${4:-1}"
