#!/usr/bin/env bash
# Measures the figures of docs/CAPACITY.md.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/fleet.sh

OUTPUT="${OUTPUT:-capacity-results}"
WINDOW_S="${WINDOW_S:-20}"

# begin_fleet DAEMONS ZONES SERVICES TARGETS: an idle fleet in steady state.
begin_fleet() {
    local count="$1" zones="$2" services="$3" targets="$4" number names=()
    fleet_begin
    ZONES=()
    for number in $(seq 1 "$zones"); do
        ZONES+=("zone-$number")
    done
    start targets "$BIN/python" -m sardinepier.workbench.capacity.targets_main \
        "$FLEET/port" "$targets"
    await_file "$FLEET/port/targets"
    rm "$FLEET/port/targets"
    write_fleet_file ''
    for number in $(seq 1 "$services"); do
        write_service_file "service-$number" 3 '' \
            $(seq -f 't%03g' 1 "$targets")
    done
    start_platform
    start_many "$count"
}

# start_many COUNT: like start_daemons, but a few at a time with few seeds, as
# many interpreters that start at once would be measured by nobody's patience.
start_many() {
    local number name names=() ports seeds=''
    for number in $(seq 1 "$1"); do
        names+=("$(printf 'd%03d' "$number")")
    done
    choose_daemon_ports "${names[@]}"
    for number in 1 2 3; do
        name="${names[$((number - 1))]}"
        seeds+="
    127.0.1.$number:$(cat "$FLEET/port/$name-peer")"
    done
    number=0
    for name in "${names[@]}"; do
        number=$((number + 1))
        cat >"$FLEET/settings/$name.ini" <<SETTINGS
[instance]
daemon_id = $name
zone = ${ZONES[$(((number - 1) % ${#ZONES[@]}))]}
region = metro
address_ip = 127.0.1.$number
http_port = $(cat "$FLEET/port/$name")
peer_port = $(cat "$FLEET/port/$name-peer")
platform_urls = http://127.0.0.1:$(cat "$FLEET/port/platform")
log_level = ${LOG_LEVEL:-WARNING}
seeds =$seeds
SETTINGS
        start "$name" "$BIN/sardinepierd" --settings "$FLEET/settings/$name.ini"
        sleep "${STAGGER_S:-0.3}"
    done
    for number in $(seq 1 "$1"); do
        name="${names[$((number - 1))]}"
        "$BIN/python" scripts/http_helper.py await \
            "$(daemon_url "$number" "$name")/v1/status" service/ 30
    done
}

measure() {
    "$BIN/sardinepier-workbench" capacity "--output_directory=$OUTPUT" \
        "--fleet=$FLEET" "$@"
}

# idle LABEL DAEMONS ZONES SERVICES TARGETS
idle() {
    (
        begin_fleet "$2" "$3" "$4" "$5"
        sleep "${SETTLE_S:-12}"
        measure "--label=$1" "--zones=$3" "--services=$4" "--targets=$5" \
            "--window_s=$WINDOW_S"
    )
}

"$@"
