#!/usr/bin/env bash
# A small fleet as separate processes: a platform, six targets in three zones
# and three daemons. Traffic runs while one target has a gray failure and one
# daemon is killed. Exits with 0 only if every guarantee was kept.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/fleet.sh

DAEMONS=(d1 d2 d3)
TARGETS=(t1 t2 t3 t4 t5 t6)

say() {
    printf '\n== %s\n' "$*"
}

fleet_begin
say 'Starting 6 targets in 3 zones, a platform and 3 daemons'
for name in "${TARGETS[@]}"; do
    start_target "$name" --slots=3 --service_ms=15 --jitter_percent=50 \
        --cold_requests=3 --cold_factor=3
done
for name in "${TARGETS[@]}"; do
    await_file "$FLEET/port/$name"
done
choose_daemon_ports "${DAEMONS[@]}"
write_fleet_file 'addresses_valid_s = 5
platform_reads_per_s = 10'
write_service_file deposits 3 'floor_percent = 50
caller_requests_per_s = 1000
caller_burst_requests = 1000
probe_interval_ms = 500' "${TARGETS[@]}"
"$BIN/sardinepier" check "$FLEET/platform/fleet.ini" \
    "$FLEET/platform/services/deposits.ini"
start_platform
start_daemons "${DAEMONS[@]}"
D1="$NETWORK.1:$(cat "$FLEET/port/d1")"
D2="$NETWORK.2:$(cat "$FLEET/port/d2")"
D3="$NETWORK.3:$(cat "$FLEET/port/d3")"

say 'The addresses for a caller'
"$BIN/sardinepier" addresses --service=deposits --daemon="$D1"

say 'Traffic for 10 s: idempotent searches, and deposits that run once'
EXECUTIONS="$(printf '%s,' "${TARGETS[@]/#/$FLEET/executions/}")"
"$BIN/sardinepier-workbench" traffic "--daemons=$D1,$D2,$D3" \
    --service=deposits --rate_per_s=60 --duration_s=10 \
    --least_completed_percent=90 "--executions=${EXECUTIONS%,}" \
    >"$FLEET/report" 2>&1 &
TRAFFIC="$!"
sleep 3
echo 't1 becomes 40 times slower; its health endpoint still reports healthy'
"$BIN/python" scripts/http_helper.py post \
    "http://127.0.0.1:$(cat "$FLEET/port/t1")/control/fault" \
    '{"slow_factor": 40}'
sleep 3
echo 'd2 is killed'
touch "$FLEET/hold/d2"
kill -KILL "$(cat "$FLEET/pid/d2")"
CODE=0
wait "$TRAFFIC" || CODE=$?

say 'The time line of the remaining daemons'
"$BIN/sardinepier" timeline "--daemons=$D1,$D3" || CODE=1

say 'The status of the remaining daemons'
"$BIN/sardinepier" status "--daemons=$D1,$D3" || CODE=1

say 'The outcomes at the callers, and the executions at the targets'
cat "$FLEET/report"
for name in "${TARGETS[@]}"; do
    echo "executions on $name    $(wc -l <"$FLEET/executions/$name")"
done

if [ "$CODE" -eq 0 ]; then
    say 'All guarantees kept: no key ran twice, no outcome was misreported'
else
    say "A guarantee was broken (exit code $CODE)"
fi
exit "$CODE"
