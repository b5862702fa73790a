#!/usr/bin/env bash
# Runs every decision bench against its checked-in bounds, then short loads against real daemons, and prints one table.
# Bounds are on ratios and counts, never on wall-clock times. Exits 0 if all hold.
set -uo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
logs=$(mktemp -d)
trap 'rm -rf "$logs"' EXIT
bench_timeout=120
broken=0
declare -a rows=()

# run_bench NAME COMMAND...: runs one bench and keeps its verdict.
run_bench()
{
    local name=$1 begin code verdict
    shift
    begin=$SECONDS
    timeout "$bench_timeout" "$@" > "$logs/$name" 2>&1
    code=$?
    verdict=holds
    if [ "$code" -ne 0 ]; then
        verdict="BROKEN (exit code $code)"
        broken=$((broken + 1))
    fi
    rows+=("$(printf '%-24s %4d s  %s' "$name" $((SECONDS - begin)) "$verdict")")
    echo "=== $name"
    cat "$logs/$name"
}

for program in "$build"/bench-*; do
    name=$(basename "$program")
    if [ "$name" != bench-load ] && [ -x "$program" ]; then
        run_bench "$name" "$program" --check
    fi
done

# The same offered load each time, over entry VMs of which one gets four times the requests of another.
load=(scripts/load.sh --entries 3 --engines 6 --services 2 --token-ms 6 --weights "4 2 1")
offered=(--rate 40 --seconds 8 --token-scale 0.6)
run_bench load "${load[@]}" -- "${offered[@]}" --direct 0.4 --bounds bench/baselines/load.json
run_bench load-reclaim "${load[@]}" --reclaim-engines 2 -- "${offered[@]}" --bounds bench/baselines/reclaim.json
run_bench load-stop-entry "${load[@]}" --stop-entry 2 -- "${offered[@]}" --bounds bench/baselines/stop-entry.json
run_bench load-table-outage "${load[@]}" --table-outage "2 3" -- "${offered[@]}" --bounds bench/baselines/table-outage.json

echo
echo "=== make bench: bounds on ratios and counts"
printf '%s\n' "${rows[@]}"
[ "$broken" -eq 0 ]
