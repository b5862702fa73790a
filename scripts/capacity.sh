#!/usr/bin/env bash
# Measures what an entry VM spends on control at several sizes, with real daemons on loopback, and prints the slopes.
#
#   scripts/capacity.sh                       all sizes below, then the slopes
#   scripts/capacity.sh --points "8x50 64x50" only these (entry VMs x workers)
#   scripts/capacity.sh --seconds 20          length of each window
#   scripts/capacity.sh --rate 2              each entry VM gets that many requests a second meanwhile (short answers)
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib/fleet.sh

points="4x50 8x50 16x50 32x50 64x50 8x250 8x550 8x1100"
seconds=10
rate=0
target_entries=380
target_workers=1100
while [ $# -gt 0 ]; do
    case $1 in
    --points) points=$2 ;;
    --seconds) seconds=$2 ;;
    --rate) rate=$2 ;;
    *) echo "unknown option $1" >&2; exit 2 ;;
    esac
    shift 2
done
start_work_folder
ticks=$(getconf CLK_TCK)

# page_sum SUFFIX NAME...: the sum of these gauges over all entry VMs.
page_sum()
{
    local suffix=$1 name files=()
    shift
    for name in "${entry_names[@]}"; do
        files+=("$work/$name.$suffix")
    done
    awk -v names="$*" 'BEGIN { count = split(names, list, " "); for (i = 1; i <= count; i++) wanted["cardamomlift_" list[i]] = 1 }
        $1 in wanted { sum += $2 } END { printf "%.0f", sum }' "${files[@]}"
}

grown() # NAME...: growth of gauges over the window, a second and an entry VM
{
    awk -v a="$(page_sum before "$@")" -v b="$(page_sum after "$@")" -v s="$elapsed" -v n="${#entry_names[@]}" 'BEGIN { printf "%.2f", (b - a) / s / n }'
}

total_ticks()
{
    local name sum=0
    for name in "${entry_names[@]}"; do
        sum=$((sum + $(cpu_ticks "$name")))
    done
    echo "$sum"
}

average_resident()
{
    for name in "${entry_names[@]}"; do
        resident_kilobytes "$name"
    done | awk '{ sum += $1 } END { printf "%.1f", sum / NR / 1024 }'
}

# wire_bytes all|peers: bytes that left and reached all open TCP connections of the daemons, or those to peers only; 0
# without ss (Debian's iproute2). What closed connections carried is missing, but calls of control keep theirs open.
wire_bytes()
{
    command -v ss > /dev/null || { echo 0; return 0; }
    local name pids="" ports=""
    for name in "${entry_names[@]}"; do
        pids+=" ${pid_of[$name]}"
        ports+=" $(field "$name" peers)"
    done
    ss -tinpHO 2> /dev/null | awk -v pids="$pids" -v ports="$ports" -v which="$1" '
        function port(address) { sub(/^.*:/, "", address); return address }
        BEGIN {
            count = split(pids, list, " "); for (i = 1; i <= count; i++) mine[list[i]] = 1
            count = split(ports, list, " "); for (i = 1; i <= count; i++) peer[list[i]] = 1
        }
        match($0, /pid=[0-9]+/) && (substr($0, RSTART + 4, RLENGTH - 4) in mine) && (which == "all" || (port($4) in peer) || (port($5) in peer)) {
            for (i = 1; i <= NF; i++) if ($i ~ /^bytes_(sent|received):/) { split($i, part, ":"); sum += part[2] }
        }
        END { printf "%.0f", sum }'
}

platform_total() # KEY FILE
{
    grep -oE "\"$1\":[0-9]+" "$2" | cut -d: -f2
}

has_version() # VERSION FILE
{
    tr -d '\n' < "$2" | grep -q "\"print-co-op\":$1[,}]"
}

# Time from the tool's start until every entry VM shows the new version, asked one after the other.
edit_in_force()
{
    local begin
    sed "s/\"requestsPerSecond\": 200/\"requestsPerSecond\": 201/" examples/co-op/contract.json > "$work/edit.json"
    begin=$(date +%s%N)
    apply_contract "$work/edit.json"
    await_all /v1/status status has_version 2
    awk -v a="$begin" -v b="$(date +%s%N)" 'BEGIN { printf "%.2f", (b - a) / 1e9 }'
}

# start_load: offers the rate to each entry VM until after the window.
start_load()
{
    local name arguments=()
    for name in "${entry_names[@]}"; do
        arguments+=(--entry "http://127.0.0.1:$(field "$name" callers)=1" --operators "http://127.0.0.1:$(field "$name" operators)")
    done
    launch load "$build/bench-load" "${arguments[@]}" --rate $((rate * ${#entry_names[@]})) --seconds $((seconds + 6)) --token-scale 0.05
}

# topics POINT: calls and payload bytes, a second and an entry VM, that each topic's callers made in the window.
topics()
{
    local name files=()
    for name in "${entry_names[@]}"; do
        files+=("$work/$name.before" "$work/$name.after")
    done
    awk -v s="$elapsed" -v n="${#entry_names[@]}" -v point="$1" '
        match($1, /^cardamomlift_peer_topic_(calls|bytes)_total/) {
            split($1, part, "\""); sign = FILENAME ~ /after$/ ? 1 : -1
            if ($1 ~ /calls_total/) { calls[part[2]] += sign * $2 } else { bytes[part[2]] += sign * $2 }
        }
        END { for (topic in calls) printf "%s\t%s\t%.2f\t%.1f\n", point, topic, calls[topic] / s / n, bytes[topic] / s / n }' "${files[@]}" | sort
}

measure() # ENTRIES WORKERS
{
    local before_ticks after_ticks begin wire_before wire_after peers_before peers_after services=0
    start_platform
    start_engines "$2"
    if [ "$rate" -gt 0 ]; then
        services=2
        start_services "$services"
    fi
    start_entries "$1"
    await_all /v1/status status knows_vms $(($1 + $2 + services))
    [ "$rate" -eq 0 ] || start_load
    sleep 3
    fetch_all /metrics before
    curl -s "$platform/totals" > "$work/totals.before"
    wire_before=$(wire_bytes all)
    peers_before=$(wire_bytes peers)
    before_ticks=$(total_ticks)
    begin=$(date +%s%N)
    sleep "$seconds"
    after_ticks=$(total_ticks)
    wire_after=$(wire_bytes all)
    peers_after=$(wire_bytes peers)
    elapsed=$(awk -v a="$begin" -v b="$(date +%s%N)" 'BEGIN { printf "%.3f", (b - a) / 1e9 }')
    curl -s "$platform/totals" > "$work/totals.after"
    fetch_all /metrics after
    local cpu
    cpu=$(awk -v t=$((after_ticks - before_ticks)) -v c="$ticks" -v s="$elapsed" -v n="$1" 'BEGIN { printf "%.3f", 100 * t / c / s / n }')
    local reads writes
    reads=$(awk -v a="$(platform_total reads "$work/totals.before")" -v b="$(platform_total reads "$work/totals.after")" -v s="$elapsed" 'BEGIN { printf "%.2f", (b - a) / s }')
    writes=$(awk -v a="$(platform_total writeRequests "$work/totals.before")" -v b="$(platform_total writeRequests "$work/totals.after")" -v s="$elapsed" 'BEGIN { printf "%.2f", (b - a) / s }')
    printf '%s %s %s %s %s %s %s %s %s %s %s %s %s %s\n' "$1" "$2" "$cpu" "$(average_resident)" \
        "$(grown vm_list_bytes_sent_total vm_list_bytes_received_total)" \
        "$(grown table_bytes_sent_total table_bytes_received_total)" \
        "$(grown peer_bytes_sent_total peer_bytes_received_total)" \
        "$(awk -v a="$wire_before" -v b="$wire_after" -v s="$elapsed" -v n="$1" 'BEGIN { printf "%.2f", (b - a) / s / n }')" \
        "$(awk -v a="$peers_before" -v b="$peers_after" -v s="$elapsed" -v n="$1" 'BEGIN { printf "%.2f", (b - a) / s / n }')" \
        "$(grown peer_calls_sent_total)" "$(grown vm_list_reads_total)" "$reads" "$writes" "$(edit_in_force)"
    topics "$1x$2" >> "$work/topics"
    stop_fleet
}

columns="entries workers cpu_percent resident_mb list_bytes_s table_bytes_s peer_bytes_s wire_bytes_s peer_wire_bytes_s peer_calls_s list_reads_s table_reads_s_all table_writes_s_all edit_s"
echo "$columns" | tr ' ' '\t'
for point in $points; do
    measure "${point%x*}" "${point#*x}" | tr ' ' '\t' | tee -a "$work/rows"
done

printf '\npoint\ttopic\tcalls_s\tpayload_bytes_s (sent by the callers and answered)\n'
cat "$work/topics"

# Least squares: value = base + perEntry * entries + perWorker * workers, and the value it gives at the target size.
echo
awk -v columns="$columns" -v te="$target_entries" -v tw="$target_workers" '
    function solve(column,    i, e, w, y, d, da, db, dc) {
        n = se = sw = see = sww = sew = sy = sey = swy = 0
        for (i = 1; i <= rows; i++) {
            e = cell[i, 1]; w = cell[i, 2]; y = cell[i, column]
            n++; se += e; sw += w; see += e * e; sww += w * w; sew += e * w; sy += y; sey += e * y; swy += w * y
        }
        d = n * (see * sww - sew * sew) - se * (se * sww - sew * sw) + sw * (se * sew - see * sw)
        if (d == 0) { return 0 }
        da = sy * (see * sww - sew * sew) - se * (sey * sww - sew * swy) + sw * (sey * sew - see * swy)
        db = n * (sey * sww - swy * sew) - sy * (se * sww - sew * sw) + sw * (se * swy - sey * sw)
        dc = n * (see * swy - sew * sey) - se * (se * swy - sey * sw) + sy * (se * sew - see * sw)
        base = da / d; slope_entry = db / d; slope_worker = dc / d
        return 1
    }
    { rows++; for (i = 1; i <= NF; i++) cell[rows, i] = $i }
    END {
        count = split(columns, name, " ")
        printf "%-20s %12s %14s %14s %16s\n", "slope of", "base", "per entry VM", "per worker", "at " te "x" tw
        for (c = 3; c <= count; c++) {
            if (solve(c)) {
                printf "%-20s %12.3f %14.5f %14.5f %16.2f\n", name[c], base, slope_entry, slope_worker, base + slope_entry * te + slope_worker * tw
            }
        }
    }' "$work/rows"
