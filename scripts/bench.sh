#!/usr/bin/env bash
# Measures what one daemon adds to a request, with one target and one platform.
# Options go to `sardinepier-workbench bench`, for example --json.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/fleet.sh

fleet_begin
start_target t1 --slots=1000 --service_ms=2
await_file "$FLEET/port/t1"
choose_daemon_ports d1
write_fleet_file 'platform_reads_per_s = 10'
write_service_file deposits 1000 'caller_requests_per_s = 100000
caller_burst_requests = 100000
connections_per_target = 400' t1
start_platform
LOG_LEVEL=WARNING start_daemons d1
"$BIN/sardinepier-workbench" bench \
    "--daemon=$NETWORK.1:$(cat "$FLEET/port/d1")" \
    "--target=127.0.0.1:$(cat "$FLEET/port/t1")" --service=deposits "$@"
