#!/usr/bin/env bash
# Starts a fleet on loopback and runs the load tool against it. What follows -- goes to bench-load (see its --help).
#
#   scripts/load.sh --entries 3 --engines 6 --services 2 --token-ms 5 --weights "4 2 1" \
#       --engine-arguments "--max-batch 8" -- --rate 100 --seconds 10
#
# What may befall the fleet meanwhile, all at seconds after the first request:
#   --reclaim-engines 2     a third of the engines gets a notice, and is killed half a second later
#   --stop-entry 2          the last entry VM gets SIGTERM and drains
#   --table-outage "2 4"    the table is down from second 2 for 4 s
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib/fleet.sh

entries=3
engines=6
services=2
token_ms=5
weights=""
reclaim_engines=""
stop_entry=""
engine_arguments=""
table_outage=""
while [ $# -gt 0 ]; do
    case $1 in
    --entries) entries=$2 ;;
    --engines) engines=$2 ;;
    --services) services=$2 ;;
    --token-ms) token_ms=$2 ;;
    --weights) weights=$2 ;;
    --reclaim-engines) reclaim_engines=$2 ;;
    --engine-arguments) engine_arguments=$2 ;;
    --stop-entry) stop_entry=$2 ;;
    --table-outage) table_outage=$2 ;;
    --) shift; break ;;
    *) echo "unknown option $1" >&2; exit 2 ;;
    esac
    shift 2
done
engines_per_process=$(((engines + 2) / 3))
start_work_folder
start_platform
# shellcheck disable=SC2086 # Several arguments.
start_engines "$engines" --token-ms "$token_ms" $engine_arguments
start_services "$services"
start_entries "$entries"
await_all /v1/status status knows_vms $((entries + engines + services))

# The engines of process 0 stand for one failure domain.
reclaim_first_engines()
{
    local instance port
    sleep "$1"
    while read -r instance port; do
        curl -s -o /dev/null -X POST "$platform/control/reclaim" -d "{\"instance\":\"$instance\",\"secondsLeft\":1}"
        curl -s -o /dev/null -X POST "http://127.0.0.1:$port/control" -d '{"leaving":true}'
    done < <(engine_ports engines-0)
    sleep 0.5
    kill -KILL "${pid_of[engines-0]}"
}

stop_last_entry()
{
    sleep "$1"
    kill -TERM "${pid_of[entry-$entries]}"
}

break_table()
{
    sleep "$1"
    curl -s -o /dev/null -X POST "$platform/control/table" -d '{"down":true}'
    sleep "$2"
    curl -s -o /dev/null -X POST "$platform/control/table" -d '{"down":false}'
}

declare -a arguments=()
read -r -a weight_list <<< "$weights"
number=0
for name in "${entry_names[@]}"; do
    arguments+=(--entry "http://127.0.0.1:$(field "$name" callers)=${weight_list[$number]:-1}")
    arguments+=(--operators "http://127.0.0.1:$(field "$name" operators)")
    number=$((number + 1))
done
for ready in "$work"/engines-*.ready; do
    while read -r _ port; do
        arguments+=(--engine "http://127.0.0.1:$port")
    done < <(engine_ports "$(basename "$ready" .ready)")
done
[ -z "$reclaim_engines" ] || reclaim_first_engines "$reclaim_engines" &
[ -z "$stop_entry" ] || stop_last_entry "$stop_entry" &
# shellcheck disable=SC2086 # Two numbers.
[ -z "$table_outage" ] || break_table $table_outage &
"$build/bench-load" "${arguments[@]}" "$@"
