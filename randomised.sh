#!/usr/bin/env bash
# Runs both sites under load, injects a seeded random sequence of faults and checks the system's invariants.
#   ./randomised.sh --seed N --minutes M
set -eu
cd "$(dirname "$0")"
seed=1
minutes=1
while [ $# -gt 0 ]; do
    case "$1" in
        --seed) seed=$2 ;;
        --minutes) minutes=$2 ;;
        *) echo "usage: ./randomised.sh --seed N --minutes M" >&2; exit 2 ;;
    esac
    shift 2
done
port_base=${ACACIAFLOW_PORT_BASE:-21000}
export ACACIAFLOW_PORT_BASE=$port_base
seconds=$((minutes * 60))
RANDOM=$seed
output=$(mktemp)
./try.sh --keep >"$output" 2>&1 &
site_pid=$!
run_directory=".run/try-$site_pid"
restarted_pids=()

stop_all() {
    trap - EXIT
    for pid in "${restarted_pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    kill -TERM "$site_pid" 2>/dev/null || true
    wait 2>/dev/null || true
    rm -f "$output"
}
trap stop_all EXIT

for _ in $(seq 1 600); do
    grep -q '^store ' "$output" && break
    sleep 0.1
done

java -Xmx256m -jar standin/target/acaciaflow-standin-all.jar exercise --seed "$seed" --seconds "$seconds" \
    --gateways "127.0.0.1:$((port_base + 400)),127.0.0.1:$((port_base + 401))" \
    --services "127.0.0.1:$((port_base + 102)),127.0.0.1:$((port_base + 105))" &
exercise_pid=$!

declare -A fault_counts
process_names=(
    gateway-0 gateway-1
    sidecar-loom-1 sidecar-loom-2 sidecar-register-1 sidecar-pond-1 sidecar-pond-2 sidecar-works-1
)
pid_of() { awk -v name="$1" '$1 == name { pid = $2 } END { print pid }' "$run_directory/pids"; }
count_fault() { fault_counts[$1]=$((${fault_counts[$1]:-0} + 1)); }
set_store_faults() { # QUERY
    curl -s -o /dev/null --max-time 2 -X POST "http://127.0.0.1:$((port_base + 1))/standin/faults?$1" || true
}

restart() { # NAME
    local role=${1%%-*}
    ./acaciaflow "$role" --settings "$run_directory/${1#sidecar-}.ini" >>"$run_directory/$1.log" 2>&1 &
    restarted_pids+=($!)
    echo "$1 $!" >>"$run_directory/pids"
}

injection_end=$((SECONDS + seconds - 10))
while [ $SECONDS -lt $injection_end ]; do
    sleep $((1 + RANDOM % 3))
    name=${process_names[RANDOM % ${#process_names[@]}]}
    pid=$(pid_of "$name")
    case $((RANDOM % 7)) in
        0)
            count_fault kill
            kill -KILL "$pid" 2>/dev/null || true
            sleep 0.$((RANDOM % 9 + 1))
            restart "$name"
            ;;
        1)
            count_fault "planned stop"
            kill -TERM "$pid" 2>/dev/null || true
            for _ in $(seq 1 100); do
                kill -0 "$pid" 2>/dev/null || break
                sleep 0.1
            done
            restart "$name"
            ;;
        2)
            count_fault pause
            kill -STOP "$pid" 2>/dev/null || true
            sleep $((1 + RANDOM % 6))
            kill -CONT "$pid" 2>/dev/null || true
            ;;
        3)
            count_fault "store outage"
            set_store_faults "down=true"
            sleep $((1 + RANDOM % 5))
            set_store_faults ""
            ;;
        4)
            count_fault "slow store"
            set_store_faults "delay=$((100 + RANDOM % 900))"
            sleep $((1 + RANDOM % 4))
            set_store_faults ""
            ;;
        5)
            count_fault "lost store answers"
            set_store_faults "lose=$((1 + RANDOM % 10))"
            ;;
        6)
            count_fault "truncated answers of a backend server"
            curl -s -o /dev/null --max-time 2 -X POST \
                "http://127.0.0.1:$((port_base + 100 + RANDOM % 6))/standin/faults?cut=$((1 + RANDOM % 3))" || true
            ;;
    esac
done
status=0
wait "$exercise_pid" || status=$?
echo "faults injected:"
for kind in "${!fault_counts[@]}"; do echo "  $kind: ${fault_counts[$kind]}"; done
grep -h 'AF1901' "$run_directory"/*.log | sort | uniq -c | sort -rn | head -5 || true
exit "$status"
