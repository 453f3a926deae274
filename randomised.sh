#!/usr/bin/env bash
# Runs both sites while a seeded schedule of faults is injected, and checks what must always hold.
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
base=${ACACIAFLOW_PORT_BASE:-21000}
export ACACIAFLOW_PORT_BASE=$base
seconds=$((minutes * 60))
RANDOM=$seed
output=$(mktemp)
./try.sh --keep >"$output" 2>&1 &
site=$!
run=".run/try-$site"
started=()

finish() {
    trap - EXIT
    for pid in "${started[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    kill -TERM "$site" 2>/dev/null || true
    wait 2>/dev/null || true
    rm -f "$output"
}
trap finish EXIT

for _ in $(seq 1 600); do
    grep -q '^store ' "$output" && break
    sleep 0.1
done

java -Xmx256m -jar standin/target/acaciaflow-standin-all.jar exercise --seed "$seed" --seconds "$seconds" \
    --gateways "127.0.0.1:$((base + 400)),127.0.0.1:$((base + 401))" \
    --services "127.0.0.1:$((base + 102)),127.0.0.1:$((base + 105))" &
exercise=$!

declare -A faults
names=(gateway-0 gateway-1 sidecar-loom-1 sidecar-loom-2 sidecar-register-1 sidecar-pond-1 sidecar-pond-2 sidecar-works-1)
pid_of() { awk -v name="$1" '$1 == name { pid = $2 } END { print pid }' "$run/pids"; }
count() { faults[$1]=$((${faults[$1]:-0} + 1)); }
store_faults() { curl -s -o /dev/null --max-time 2 -X POST "http://127.0.0.1:$((base + 1))/standin/faults?$1" || true; }

restart() { # NAME
    local role=${1%%-*}
    ./acaciaflow "$role" --settings "$run/${1#sidecar-}.ini" >>"$run/$1.log" 2>&1 &
    started+=($!)
    echo "$1 $!" >>"$run/pids"
}

end=$((SECONDS + seconds - 10))
while [ $SECONDS -lt $end ]; do
    sleep $((1 + RANDOM % 3))
    name=${names[RANDOM % ${#names[@]}]}
    pid=$(pid_of "$name")
    case $((RANDOM % 7)) in
        0)
            count kill
            kill -KILL "$pid" 2>/dev/null || true
            sleep 0.$((RANDOM % 9 + 1))
            restart "$name"
            ;;
        1)
            count "planned stop"
            kill -TERM "$pid" 2>/dev/null || true
            for _ in $(seq 1 100); do
                kill -0 "$pid" 2>/dev/null || break
                sleep 0.1
            done
            restart "$name"
            ;;
        2)
            count pause
            kill -STOP "$pid" 2>/dev/null || true
            sleep $((1 + RANDOM % 6))
            kill -CONT "$pid" 2>/dev/null || true
            ;;
        3)
            count "store outage"
            store_faults "down=true"
            sleep $((1 + RANDOM % 5))
            store_faults ""
            ;;
        4)
            count "slow store"
            store_faults "delay=$((100 + RANDOM % 900))"
            sleep $((1 + RANDOM % 4))
            store_faults ""
            ;;
        5)
            count "lost store answers"
            store_faults "lose=$((1 + RANDOM % 10))"
            ;;
        6)
            count "cut answers of a backend server"
            curl -s -o /dev/null --max-time 2 -X POST \
                "http://127.0.0.1:$((base + 100 + RANDOM % 6))/standin/faults?cut=$((1 + RANDOM % 3))" || true
            ;;
    esac
done
status=0
wait "$exercise" || status=$?
echo "faults injected:"
for kind in "${!faults[@]}"; do echo "  $kind: ${faults[$kind]}"; done
grep -h 'AF1901' "$run"/*.log | sort | uniq -c | sort -rn | head -5 || true
exit "$status"
