#!/usr/bin/env bash
# Measures the figures of docs/CAPACITY.md with fleets of real processes.
#
#   scripts/capacity.sh                          everything, about 20 minutes
#   scripts/capacity.sh idle LABEL 48 3 1 6      one idle fleet
#
# Results go to the directory OUTPUT. WINDOW_S and SETTLE_S set the seconds of
# a window and those before it.
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
    write_service_file service-1 3 'queue_length = 64' \
        $(seq -f 't%03g' 1 "$targets")
    for number in $(seq 2 "$services"); do
        sed "s/^name = service-1\$/name = service-$number/" \
            "$FLEET/platform/services/service-1.ini" \
            >"$FLEET/platform/services/service-$number.ini"
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
    $NETWORK.$number:$(cat "$FLEET/port/$name-peer")"
    done
    number=0
    for name in "${names[@]}"; do
        number=$((number + 1))
        cat >"$FLEET/settings/$name.ini" <<SETTINGS
[instance]
daemon_id = $name
zone = ${ZONES[$(((number - 1) % ${#ZONES[@]}))]}
region = metro
address_ip = $NETWORK.$number
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
            "$(daemon_url "$number" "$name")/v1/status" service/ 30 || exit 1
    done
}

# measure KIND OPTION...: one measurement of the running fleet.
measure() {
    local kind="$1"
    shift
    "$BIN/sardinepier-workbench" capacity "--output_directory=$OUTPUT" \
        "--fleet=$FLEET" "--measure=$kind" "--window_s=$WINDOW_S" "$@"
}

# idle LABEL DAEMONS ZONES SERVICES TARGETS [KIND...]: starts a fleet, and
# measures it while nobody sends requests, then each KIND.
idle() {
    (
        local shape kind
        shape=("--label=$1" "--zones=$3" "--services=$4" "--targets=$5")
        begin_fleet "$2" "$3" "$4" "$5"
        sleep "${SETTLE_S:-12}"
        measure steady "${shape[@]}"
        for kind in "${@:6}"; do
            sleep 5
            measure "$kind" "${shape[@]}"
        done
    ) || echo "not measured: $*" >&2
}

# loaded LABEL DAEMONS ZONES SERVICES TARGETS RATE: the same under requests,
# all to the first service, spread over a few daemons of its group.
loaded() {
    (
        local number daemons=''
        begin_fleet "$2" "$3" "$4" "$5"
        for number in $(seq 1 "$2"); do
            daemons+="$NETWORK.$number:$(cat "$FLEET/port/$(printf 'd%03d' "$number")"),"
        done
        "$BIN/sardinepier-workbench" traffic "--daemons=${daemons%,}" \
            --service=service-1 "--rate_per_s=$6" \
            "--duration_s=$((${SETTLE_S:-12} + WINDOW_S + 4))" >"$FLEET/traffic" &
        sleep "${SETTLE_S:-12}"
        measure steady "--label=$1" "--zones=$3" "--services=$4" \
            "--targets=$5" "--requests_per_s=$6"
        wait "$!" || true
    ) || echo "not measured: $*" >&2
}

# The slopes: targets, services and observers, then fleets of growing size.
slopes() {
    idle targets 9 9 1 6
    idle targets 9 9 1 47
    idle targets 9 9 4 47
    idle observers 27 9 1 6
    idle observers 27 9 1 47
}

fleets() {
    idle daemons 3 3 1 6 changes start
    idle daemons 12 3 1 6 changes start platform
    idle daemons 48 3 1 6 changes start zone
    idle daemons 100 3 1 6 changes start
}

# A daemon in the groups of all services: what one is that sees itself alone.
crowded() {
    SETTLE_S=25 idle crowded 3 3 340 47
}

# Both deployments as they are today: three services on 48 daemons.
today() {
    idle today 48 3 3 14
    loaded today 48 3 3 14 200
}

everything() {
    rm -f "$OUTPUT"/*.jsonl
    slopes
    fleets
    today
    "$BIN/sardinepier-workbench" capacity "--output_directory=$OUTPUT"
}

"${@:-everything}"; exit
