#!/usr/bin/env bash
# The table of faults: starts a fresh fleet of separate processes for each
# case, lets the workbench break it under load, and prints a row a case.
#
#   scripts/faults.sh                 all cases
#   scripts/faults.sh 'home killed'   only these
#
# OPTIONS=--json prints rows as JSON; KEEP_LOGS=DIR keeps the logs.
# Ends with 1 when a guarantee was broken.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/fleet.sh

DAEMONS=(d1 d2 d3)
TARGETS=(t1 t2 t3 t4 t5 t6)

# Relays stand before each target and before both ports of each daemon.
start_relay() {
    local name number=0 separator=''
    {
        printf '{"listeners":['
        for name in "${TARGETS[@]}"; do
            printf '%s{"name":"%s","ip":"127.0.0.1","port":%s}' \
                "$separator" "$name" "$(cat "$FLEET/port/$name")"
            separator=','
        done
        for name in "${DAEMONS[@]}"; do
            number=$((number + 1))
            printf ',{"name":"%s","ip":"127.0.1.%s","port":%s}' \
                "$name" "$number" "$(cat "$FLEET/port/$name-peer")"
            printf ',{"name":"%s-http","ip":"127.0.1.%s","port":%s}' \
                "$name" "$number" "$(cat "$FLEET/port/$name")"
        done
        printf ']}'
    } >"$FLEET/relay.json"
    start relay "$BIN/python" -m sardinepier.workbench.faults.relay_main \
        "$FLEET"
    await_file "$FLEET/port/relay"
}

run_case() {
    fleet_begin
    local name
    for name in "${TARGETS[@]}"; do
        start_target "$name" --slots=3 --service_ms=15 --jitter_percent=50 \
            --drain_ms=5000 --poison=poison-pill
    done
    for name in "${TARGETS[@]}"; do
        await_file "$FLEET/port/$name"
    done
    choose_daemon_ports "${DAEMONS[@]}"
    start_relay
    write_fleet_file 'addresses_valid_s = 2
ticket_epoch_s = 2
shutdown_grace_s = 6
platform_reads_per_s = 10'
    write_service_file deposits 3 'floor_percent = 50
queue_length = 64
caller_requests_per_s = 1000
caller_burst_requests = 1000
probe_interval_ms = 500' "${TARGETS[@]}"
    start_platform
    start_daemons "${DAEMONS[@]}"
    "$BIN/sardinepier-workbench" faults --case="$1" --directory="$FLEET" \
        ${OPTIONS:-}
}

if [ "$#" -eq 0 ]; then
    mapfile -t CASES < <("$BIN/sardinepier-workbench" faults --names)
else
    CASES=("$@")
fi
BROKEN=0
[ -n "${OPTIONS:-}" ] || "$BIN/sardinepier-workbench" faults --heading
for case in "${CASES[@]}"; do
    # A subshell a case: its exit trap ends the processes of its own fleet.
    (run_case "$case") || BROKEN=1
done
exit "$BROKEN"
