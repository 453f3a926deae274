#!/usr/bin/env bash
# Measures the latency that a gateway and a sidecar add: loads the stand-in service directly and through both.
#   ./measure-path.sh [RATE] [SECONDS] [ROUNDS] [SEED]
set -eu
cd "$(dirname "$0")"
port_base=${ACACIAFLOW_PORT_BASE:-21000}
export ACACIAFLOW_PORT_BASE=$port_base
output=$(mktemp)
./try.sh --keep >"$output" 2>&1 &
site_pid=$!
trap 'kill -TERM "$site_pid" 2>/dev/null; wait "$site_pid" 2>/dev/null || true; rm -f "$output"' EXIT
for _ in $(seq 1 600); do
    grep -q '^store ' "$output" && break
    sleep 0.1
done
java -Xmx256m -jar standin/target/acaciaflow-standin-all.jar load \
    --targets "direct=127.0.0.1:$((port_base + 102)),path=127.0.0.1:$((port_base + 400))" \
    --rate "${1:-300}" --seconds "${2:-10}" --rounds "${3:-3}" --seed "${4:-1}"
