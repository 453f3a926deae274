#!/usr/bin/env bash
# Builds if needed, runs a cut-down copy of both sites on this machine and sends a request of every kind.
#   ./try.sh         sends the requests, prints each answer with its way, stops everything
#   ./try.sh --keep  leaves everything running until SIGTERM
set -eu
here=$(cd "$(dirname "$0")" && pwd)
cd "$here"
keep=${1:-}
run="$here/.run/try-$$"
base=${ACACIAFLOW_PORT_BASE:-21000}
store=127.0.0.1:$((base + 1))
hosts=127.0.0.1:$((base + 2))
pids=()

stop_all() {
    trap - EXIT TERM INT
    # Gateways first, then sidecars, then the stand-ins: each waits for the work that it still has.
    for ((index = ${#pids[@]} - 1; index >= 0; index--)); do
        kill -TERM "${pids[index]}" 2>/dev/null || true
    done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}
trap stop_all EXIT
trap 'stop_all; exit 0' TERM INT

if [ ! -f target/acaciaflow.jar ] || [ ! -f standin/target/acaciaflow-standin-all.jar ]; then
    mvn -q -B package -DskipTests
fi
mkdir -p "$run"

start() { # NAME COMMAND...
    local name=$1
    shift
    "$@" >"$run/$name.log" 2>&1 &
    pids+=($!)
    echo "$name $!" >>"$run/pids"
}

standin() { java -Xmx256m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -jar standin/target/acaciaflow-standin-all.jar "$@"; }

# name, pool, data centre, kind of backend server
backends=(
    "loom-1 loom-models chapinero engine"
    "loom-2 loom-models usaquen engine"
    "register-1 register-app chapinero service"
    "pond-1 pond-assistant savelugu engine"
    "pond-2 pond-assistant tolon engine"
    "works-1 works-orders savelugu service"
)
arguments=()
for index in "${!backends[@]}"; do
    read -r name pool centre kind <<<"${backends[index]}"
    arguments+=("--$kind" "$name=127.0.0.1:$((base + 100 + index))" --host "127.0.0.1:$((base + 200 + index))=$centre")
done
start standins java -Xmx256m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -jar standin/target/acaciaflow-standin-all.jar \
    standins --store "$store" --host-list "$hosts" "${arguments[@]}"

for index in "${!backends[@]}"; do
    read -r name pool centre kind <<<"${backends[index]}"
    cat >"$run/$name.ini" <<INI
[sidecar]
links = 127.0.0.1:$((base + 200 + index))
operators = 127.0.0.1:$((base + 300 + index))
data-centre = $centre
pool = $pool

[backend]
address = 127.0.0.1:$((base + 100 + index))
probe-path = /health
kind = $([ "$kind" = engine ] && echo model-engine || echo plain-service)
capacity = 16

[platform]
store = $store
INI
    start "sidecar-$name" ./acaciaflow sidecar --settings "$run/$name.ini"
done

gateways=()
for index in 0 1; do
    centre=$([ "$index" = 0 ] && echo chapinero || echo savelugu)
    gateways+=("127.0.0.1:$((base + 400 + index))")
    cat >"$run/gateway-$index.ini" <<INI
[gateway]
callers = ${gateways[index]}
operators = 127.0.0.1:$((base + 500 + index))
data-centre = $centre

[platform]
store = $store
host-list = $hosts
INI
    start "gateway-$index" ./acaciaflow gateway --settings "$run/gateway-$index.ini"
done

await_url() { # URL
    for _ in $(seq 1 150); do
        curl -fs -o /dev/null --max-time 1 "$1" && return 0
        sleep 0.1
    done
    echo "no answer from $1; logs are in $run" >&2
    return 1
}

await_url "http://$hosts/hosts"
./acaciaflow deployment apply --store "$store" examples/two-sites.json
for index in "${!backends[@]}"; do await_url "http://127.0.0.1:$((base + 300 + index))/ready"; done
for index in 0 1; do await_url "http://127.0.0.1:$((base + 500 + index))/ready"; done
for index in 0 1; do
    for _ in $(seq 1 100); do
        serving=$(curl -fs "http://127.0.0.1:$((base + 500 + index))/status" | grep -o '"availability":"Serving"' | wc -l)
        [ "$serving" -eq "${#backends[@]}" ] && break
        sleep 0.1
    done
done

if [ "$keep" = --keep ]; then
    for gateway in "${gateways[@]}"; do echo "gateway http://$gateway"; done
    for index in 0 1; do echo "operators http://127.0.0.1:$((base + 500 + index))"; done
    echo "store http://$store"
    wait
else
    status=0
    standin trial --gateways "${gateways[0]},${gateways[1]}" || status=$?
    stop_all
    exit "$status"
fi
