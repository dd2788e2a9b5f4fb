#!/usr/bin/env bash
# Prints the table of faults: for each case it starts a new fleet of separate
# processes, and the workbench injects the fault under load and prints a row.
#
#   scripts/faults.sh                 all cases
#   scripts/faults.sh 'home killed'   only the named cases
#
# OPTIONS=--json prints rows as JSON; KEEP_LOGS=DIR keeps the logs.
# Exits with 1 if a guarantee was broken.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/fleet.sh

DAEMONS=(d1 d2 d3)
TARGETS=(t1 t2 t3 t4 t5 t6)

# start_relay LISTENER...: t1 relays to a target, d1 to the peer port of a
# daemon and d1-http to its HTTP port. A case gets only the relays that it cuts:
# a relay accepts a connection before it can know that the process behind it has
# ended, which would hide that nothing was sent.
start_relay() {
    local name daemon ip port separator=''
    {
        printf '{"listeners":['
        for name in "$@"; do
            daemon="${name%-http}"
            case "$name" in
                t*) ip=127.0.0.1 port="$name" ;;
                *-http) ip="$NETWORK.${daemon#d}" port="$daemon" ;;
                *) ip="$NETWORK.${daemon#d}" port="$name-peer" ;;
            esac
            printf '%s{"name":"%s","ip":"%s","port":%s}' "$separator" \
                "$name" "$ip" "$(cat "$FLEET/port/$port")"
            separator=','
        done
        printf ']}'
    } >"$FLEET/relay.json"
    start relay "$BIN/python" -m sardinepier.workbench.faults.relay_main \
        "$FLEET"
    await_file "$FLEET/port/relay"
}

run_case() {
    fleet_begin
    local name relays
    for name in "${TARGETS[@]}"; do
        start_target "$name" --slots=3 --service_ms=15 --jitter_percent=50 \
            --drain_ms=5000 --poison=poison-pill
    done
    for name in "${TARGETS[@]}"; do
        await_file "$FLEET/port/$name"
    done
    choose_daemon_ports "${DAEMONS[@]}"
    relays="$("$BIN/sardinepier-workbench" faults --relays --case="$1")"
    if [ -n "$relays" ]; then
        # shellcheck disable=SC2086  # one word per relay
        start_relay $relays
    fi
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
    # One subshell per case: its exit trap ends the processes of its fleet. It
    # must not be part of a condition, which would disable `set -e` within it.
    set +e
    (
        set -e
        run_case "$case"
    )
    [ "$?" -eq 0 ] || BROKEN=1
    set -e
done
exit "$BROKEN"
