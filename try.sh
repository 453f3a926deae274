#!/usr/bin/env bash
# Builds the jars if one is missing, runs a small copy of both sites on loopback and sends requests of every kind.
#   ./try.sh         sends the requests, prints each answer and the route it took, and stops all processes
#   ./try.sh --keep  sends no requests and keeps all processes running until SIGTERM or SIGINT
set -eu
root=$(cd "$(dirname "$0")" && pwd)
cd "$root"
mode=${1:-}
run_directory="$root/.run/try-$$"
port_base=${ACACIAFLOW_PORT_BASE:-21000}
store_address=127.0.0.1:$((port_base + 1))
host_list_address=127.0.0.1:$((port_base + 2))
pids=()

stop_all() {
    trap - EXIT TERM INT
    # Signals in reverse start order: gateways, sidecars, stand-ins. Gateways and sidecars drain before they exit.
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
mkdir -p "$run_directory"

start_process() { # NAME COMMAND...
    local name=$1
    shift
    "$@" >"$run_directory/$name.log" 2>&1 &
    pids+=($!)
    echo "$name $!" >>"$run_directory/pids"
}

standin() { java -Xmx256m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -jar standin/target/acaciaflow-standin-all.jar "$@"; }

# Backend servers: name, pool, data centre, kind
backends=(
    "loom-1 loom-models chapinero engine"
    "loom-2 loom-models usaquen engine"
    "register-1 register-app chapinero service"
    "pond-1 pond-assistant savelugu engine"
    "pond-2 pond-assistant tolon engine"
    "works-1 works-orders savelugu service"
)
standin_arguments=()
for index in "${!backends[@]}"; do
    read -r name pool data_centre kind <<<"${backends[index]}"
    standin_arguments+=(
        "--$kind" "$name=127.0.0.1:$((port_base + 100 + index))"
        --host "127.0.0.1:$((port_base + 200 + index))=$data_centre"
    )
done
start_process standins \
    java -Xmx256m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -jar standin/target/acaciaflow-standin-all.jar \
    standins --store "$store_address" --host-list "$host_list_address" "${standin_arguments[@]}"

for index in "${!backends[@]}"; do
    read -r name pool data_centre kind <<<"${backends[index]}"
    cat >"$run_directory/$name.ini" <<INI
[sidecar]
links = 127.0.0.1:$((port_base + 200 + index))
operators = 127.0.0.1:$((port_base + 300 + index))
data-centre = $data_centre
pool = $pool

[backend]
address = 127.0.0.1:$((port_base + 100 + index))
probe-path = /health
kind = $([ "$kind" = engine ] && echo model-engine || echo plain-service)
capacity = 16

[platform]
store = $store_address
INI
    start_process "sidecar-$name" ./acaciaflow sidecar --settings "$run_directory/$name.ini"
done

gateway_addresses=()
for index in 0 1; do
    data_centre=$([ "$index" = 0 ] && echo chapinero || echo savelugu)
    gateway_addresses+=("127.0.0.1:$((port_base + 400 + index))")
    cat >"$run_directory/gateway-$index.ini" <<INI
[gateway]
callers = ${gateway_addresses[index]}
operators = 127.0.0.1:$((port_base + 500 + index))
data-centre = $data_centre

[platform]
store = $store_address
host-list = $host_list_address
INI
    start_process "gateway-$index" ./acaciaflow gateway --settings "$run_directory/gateway-$index.ini"
done

wait_for_url() { # URL
    for _ in $(seq 1 150); do
        curl -fs -o /dev/null --max-time 1 "$1" && return 0
        sleep 0.1
    done
    echo "no successful response from $1 after 150 attempts; logs are in $run_directory" >&2
    return 1
}

wait_for_url "http://$host_list_address/hosts"
./acaciaflow deployment apply --store "$store_address" examples/two-sites.json
for index in "${!backends[@]}"; do wait_for_url "http://127.0.0.1:$((port_base + 300 + index))/ready"; done
for index in 0 1; do wait_for_url "http://127.0.0.1:$((port_base + 500 + index))/ready"; done
for index in 0 1; do
    for _ in $(seq 1 100); do
        serving_count=$(curl -fs "http://127.0.0.1:$((port_base + 500 + index))/status" |
            grep -o '"availability":"Serving"' | wc -l)
        [ "$serving_count" -eq "${#backends[@]}" ] && break
        sleep 0.1
    done
done

if [ "$mode" = --keep ]; then
    for gateway in "${gateway_addresses[@]}"; do echo "gateway http://$gateway"; done
    for index in 0 1; do echo "operators http://127.0.0.1:$((port_base + 500 + index))"; done
    echo "store http://$store_address"
    wait
else
    status=0
    standin trial --gateways "${gateway_addresses[0]},${gateway_addresses[1]}" || status=$?
    stop_all
    exit "$status"
fi
