# Shell functions to start a platform, engines, services and daemons on loopback; sourced by the measuring scripts.
# Everything started is ended by stop_fleet, by process id.
build=${BUILD:-build}
engines_per_process=275
zones=11
regions=4

declare -A pid_of=()
declare -a entry_names=()

start_work_folder()
{
    work=$(mktemp -d)
    trap 'stop_fleet; rm -rf "$work"' EXIT
}

stop_fleet()
{
    local name
    for name in "${!pid_of[@]}"; do
        kill -KILL "${pid_of[$name]}" 2>/dev/null || true
        wait "${pid_of[$name]}" 2>/dev/null || true
    done
    pid_of=()
    entry_names=()
}

# launch NAME COMMAND...: starts a process; its ready line goes to $work/NAME.ready.
launch()
{
    local name=$1
    shift
    : > "$work/$name.ready"
    "$@" > "$work/$name.ready" 2> "$work/$name.log" &
    pid_of[$name]=$!
}

await_ready()
{
    local name=$1
    for _ in $(seq 1200); do
        [ -s "$work/$name.ready" ] && return 0
        kill -0 "${pid_of[$name]}" 2>/dev/null || break
        sleep 0.05
    done
    echo "$name did not get ready:" >&2
    cat "$work/$name.log" >&2
    exit 1
}

# field NAME KEY: a number of the ready line.
field()
{
    sed -E "s/.*\"$2\":([0-9]+).*/\1/" "$work/$1.ready"
}

start_platform()
{
    launch platform "$build/standin-platform"
    await_ready platform
    platform=http://127.0.0.1:$(field platform port)
}

zone_of() # NUMBER
{
    echo "zone-$(($1 % zones + 1))"
}

# vm_request INSTANCE ROLE PORT PEERPORT NUMBER SERVES: one PUT of the VM list for a curl configuration file.
vm_request()
{
    local vm
    vm="{\"instance\":\"$1\",\"address\":\"127.0.0.1\",\"role\":\"$2\",\"port\":$3,\"peerPort\":$4"
    vm+=",\"zone\":\"zone-$(($5 % zones + 1))\",\"region\":\"region-$(($5 % zones % regions + 1))\",\"serves\":[$6]"
    vm+=",\"machineClass\":\"accelerator-8\",\"microsPerHour\":$((1000000 + $5 % zones * 50000))}"
    printf 'next\nurl = "%s/control/vms/%s"\nrequest = "PUT"\nsilent\noutput = "/dev/null"\ndata = "%s"\n' "$platform" "$1" "${vm//\"/\\\"}"
}

# put_vms FILE: sends the requests that vm_request wrote.
put_vms()
{
    sed -i '1{/^next$/d}' "$1"
    curl -s -K "$1"
}

# engine_ports NAME: a line "INSTANCE PORT" for each engine of a process.
engine_ports()
{
    grep -oE '"instance":"[^"]+","port":[0-9]+' "$work/$1.ready" | sed -E 's/"instance":"([^"]+)","port":([0-9]+)/\1 \2/'
}

# start_engines COUNT [ARGUMENT...]: COUNT engines in few processes, all put into the VM list.
start_engines()
{
    local left=$1 number=0 process=0 count line
    shift
    : > "$work/engines.curl"
    while [ "$left" -gt 0 ]; do
        count=$((left < engines_per_process ? left : engines_per_process))
        launch "engines-$process" "$build/standin-engine" --instance "engine-$process" --count "$count" "$@"
        await_ready "engines-$process"
        while read -r line; do
            vm_request "${line%% *}" model "${line##* }" 0 "$number" '"proofreader","leaflet-writer","crew-desk","dossier-writer"' >> "$work/engines.curl"
            number=$((number + 1))
        done < <(engine_ports "engines-$process")
        left=$((left - count))
        process=$((process + 1))
    done
    put_vms "$work/engines.curl"
}

# start_services COUNT: plain services, put into the VM list.
start_services()
{
    local number
    : > "$work/services.curl"
    for number in $(seq "$1"); do
        launch "service-$number" "$build/standin-service" --instance "service-$number"
        await_ready "service-$number"
        vm_request "service-$number" service "$(field "service-$number" port)" 0 "$number" '"orders","bookings"' >> "$work/services.curl"
    done
    put_vms "$work/services.curl"
}

write_settings() # INSTANCE NUMBER
{
    cat > "$work/$1.json" <<SETTINGS
{
    "instance": "$1",
    "zone": "$(zone_of "$2")",
    "operatorTokenSha256": "$(printf operator-token | sha256sum | cut -d' ' -f1)",
    "peerToken": "peer-token-of-the-bench",
    "logLevel": "warn",
    "platform": {
        "tableEndpoint": "$platform",
        "accessKey": "bench",
        "secretKey": "bench",
        "vmListEndpoint": "$platform",
        "noticeEndpoint": "$platform"
    }
}
SETTINGS
}

# start_entries COUNT: daemons, put into the VM list, with the two example contracts applied.
start_entries()
{
    local number name
    echo operator-token > "$work/token"
    for number in $(seq "$1"); do
        name=entry-$number
        write_settings "$name" "$number"
        launch "$name" "$build/cardamomliftd" --config "$work/$name.json"
        entry_names+=("$name")
    done
    : > "$work/entries.curl"
    for number in $(seq "$1"); do
        name=entry-$number
        await_ready "$name"
        vm_request "$name" entry "$(field "$name" callers)" "$(field "$name" peers)" "$number" '' >> "$work/entries.curl"
    done
    put_vms "$work/entries.curl"
    apply_contract examples/co-op/contract.json
    apply_contract examples/department/contract.json
}

apply_contract() # FILE
{
    "$build/cardamomlift" --daemon "http://127.0.0.1:$(field entry-1 operators)" --token-file "$work/token" --author bench apply "$1" > "$work/apply.out" 2>&1 || {
        cat "$work/apply.out" >&2
        return 1
    }
}

# fetch_all PATH SUFFIX: the operators' page at PATH of every entry VM, into $work/NAME.SUFFIX.
fetch_all()
{
    local name
    : > "$work/fetch.curl"
    for name in "${entry_names[@]}"; do
        printf 'next\nurl = "http://127.0.0.1:%s%s"\nsilent\noutput = "%s"\nheader = "Authorization: Bearer operator-token"\n' \
            "$(field "$name" operators)" "$1" "$work/$name.$2" >> "$work/fetch.curl"
    done
    sed -i '1{/^next$/d}' "$work/fetch.curl"
    # NOTE curl shows a progress meter of parallel transfers even when silent.
    curl -s --parallel --parallel-max 32 -K "$work/fetch.curl" 2> /dev/null
}

# await_all PATH SUFFIX CONDITION...: until the command CONDITION holds for the page of every entry VM.
await_all()
{
    local path=$1 suffix=$2 name missing
    shift 2
    for _ in $(seq 600); do
        fetch_all "$path" "$suffix"
        missing=0
        for name in "${entry_names[@]}"; do
            "$@" "$work/$name.$suffix" || missing=$((missing + 1))
        done
        [ "$missing" -eq 0 ] && return 0
        sleep 0.05
    done
    echo "$missing of ${#entry_names[@]} entry VMs never showed: $*" >&2
    return 1
}

knows_vms() # COUNT FILE
{
    [ "$(grep -o '"leaving":' "$2" | wc -l)" -ge "$1" ] && grep -q '"crew-movement":' "$2" && grep -q '"print-co-op":' "$2"
}

# cpu_ticks NAME: user and system time of a process in clock ticks.
cpu_ticks()
{
    awk '{ sub(/^.*\) /, ""); print $12 + $13 }' "/proc/${pid_of[$1]}/stat"
}

resident_kilobytes() # NAME
{
    awk '/^VmRSS:/ { print $2 }' "/proc/${pid_of[$1]}/status"
}
