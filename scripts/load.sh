#!/usr/bin/env bash
# Starts a fleet on loopback and runs the load tool against it. What follows -- goes to bench-load (see its --help).
#
#   scripts/load.sh --entries 3 --engines 6 --services 2 --token-ms 5 --weights "4 2 1" -- --rate 100 --seconds 10
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib/fleet.sh

entries=3
engines=6
services=2
token_ms=5
weights=""
while [ $# -gt 0 ]; do
    case $1 in
    --entries) entries=$2 ;;
    --engines) engines=$2 ;;
    --services) services=$2 ;;
    --token-ms) token_ms=$2 ;;
    --weights) weights=$2 ;;
    --) shift; break ;;
    *) echo "unknown option $1" >&2; exit 2 ;;
    esac
    shift 2
done
engines_per_process=$(((engines + 2) / 3))
start_work_folder
start_platform
start_engines "$engines" --token-ms "$token_ms"
start_services "$services"
start_entries "$entries"
await_all /v1/status status knows_vms $((entries + engines + services))

declare -a arguments=()
read -r -a weight_list <<< "$weights"
number=0
for name in "${entry_names[@]}"; do
    arguments+=(--entry "http://127.0.0.1:$(field "$name" callers)=${weight_list[$number]:-1}")
    arguments+=(--operators "http://127.0.0.1:$(field "$name" operators)")
    number=$((number + 1))
done
for port in $(grep -hoE '"instance":"[^"]+","port":[0-9]+' "$work"/engines-*.ready | grep -oE '[0-9]+$'); do
    arguments+=(--engine "http://127.0.0.1:$port")
done
"$build/bench-load" "${arguments[@]}" "$@"
