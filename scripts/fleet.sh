# Functions that start and stop a small fleet of separate processes.
# Sourced by the other scripts, which run in the root of the repository.
#
# FLEET is a directory with one file for each process and purpose:
#   pid/NAME         its process id, while it runs
#   port/NAME        the port on which it listens
#   log/NAME         its standard output and error
#   hold/NAME        while this exists, NAME is not restarted
#   executions/NAME  the executions of a target, one line each
#   platform/        the files that the platform publishes
#   network          the first three numbers of the daemons' addresses
#
# Every process is started by this shell and ended by its recorded id.

BIN="${BIN:-.venv/bin}"
ZONES=(north centre south)
SUPERVISORS=()

fleet_begin() {
    FLEET="$(mktemp -d)"
    mkdir -p "$FLEET"/{pid,port,log,hold,executions,settings,platform/services}
    touch "$FLEET/running"
    # A random subnet of 127.0.0.0/8 for the daemons of this fleet: no other
    # process is likely to bind a chosen port there before the daemon does.
    NETWORK="127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))"
    echo "$NETWORK" >"$FLEET/network"
    trap fleet_end EXIT
    trap 'exit 130' INT TERM
}

fleet_end() {
    trap '' INT TERM
    rm -f "$FLEET/running"
    local tries
    # Repeated, because a supervisor may have started a process whose id is not
    # recorded yet.
    for tries in {1..50}; do
        kill_recorded
        any_supervisor_runs || break
        sleep 0.1
    done
    if [ -n "${KEEP_LOGS:-}" ]; then
        mkdir -p "$KEEP_LOGS"
        cp -r "$FLEET/." "$KEEP_LOGS/"
    fi
    rm -rf "$FLEET"
}

kill_recorded() {
    local file pid
    for file in "$FLEET"/pid/*; do
        pid="$(cat "$file" 2>/dev/null)" || continue
        # A process that a signal has stopped must continue so that it can end.
        kill -CONT "$pid" 2>/dev/null || true
        kill -KILL "$pid" 2>/dev/null || true
    done
}

# any_supervisor_runs: succeeds if any supervisor still runs.
any_supervisor_runs() {
    local pid
    for pid in "${SUPERVISORS[@]}"; do
        if kill -0 "$pid" 2>/dev/null; then
            return 0
        fi
    done
    return 1
}

# start NAME COMMAND...: runs COMMAND and restarts it whenever it has ended.
start() {
    local name="$1"
    shift
    supervise "$name" "$@" &
    SUPERVISORS+=("$!")
}

supervise() {
    trap - EXIT
    trap '' INT TERM
    local name="$1" status
    shift
    while [ -e "$FLEET/running" ]; do
        if [ -e "$FLEET/hold/$name" ]; then
            sleep 0.05
            continue
        fi
        "$@" 2>>"$FLEET/log/$name" >>"$FLEET/log/$name" &
        echo "$!" >"$FLEET/pid/.$name"
        mv "$FLEET/pid/.$name" "$FLEET/pid/$name"
        status=0
        # A failure of the process must not end this loop, which restarts it.
        wait "$!" 2>/dev/null || status=$?
        echo "# ended with status $status" >>"$FLEET/log/$name"
        rm -f "$FLEET/pid/$name"
        # Avoids a busy loop if the process cannot start.
        sleep 0.2
    done
}

# await_file FILE: waits until another process has written FILE.
await_file() {
    local tries=0
    until [ -s "$1" ]; do
        tries=$((tries + 1))
        if [ "$tries" -gt 400 ]; then
            echo "$1 was not written in 20 s" >&2
            tail -n 5 "$FLEET/log/$(basename "$1")" >&2 || true
            return 1
        fi
        sleep 0.05
    done
}

# start_target NAME OPTION...: starts one target; its port stays the same when
# it is restarted.
start_target() {
    local name="$1"
    shift
    start "$name" run_at_port "$name" "$BIN/sardinepier-target-standin" \
        "--target_id=$name" "--executions_path=$FLEET/executions/$name" "$@"
}

start_platform() {
    start platform run_at_port platform "$BIN/sardinepier-platform-standin" \
        "--directory=$FLEET/platform"
    await_file "$FLEET/port/platform"
}

# run_at_port NAME COMMAND...: replaces the shell by COMMAND, on the previous
# port of NAME or else on one that the system chooses: on a busy machine another
# process may take a port that was chosen before it is bound.
run_at_port() {
    local name="$1" port=0
    shift
    if [ -s "$FLEET/port/$name" ]; then
        port="$(cat "$FLEET/port/$name")"
    fi
    exec "$@" "--port=$port" "--port_file=$FLEET/port/$name"
}

# write_fleet_file EXTRA_LINES: writes the operators' file for the fleet.
write_fleet_file() {
    {
        echo '[fleet]'
        echo 'name = workbench'
        echo "$1"
        local zone
        for zone in "${ZONES[@]}"; do
            echo
            echo "[zone $zone]"
            echo 'region = metro'
        done
    } >"$FLEET/platform/fleet.ini"
}

# write_service_file SERVICE SLOTS EXTRA_LINES TARGET...: writes the operators'
# file for one service. The port of a target is that of its relay, if any.
write_service_file() {
    local service="$1" slots="$2" extra="$3" number=0 name port
    shift 3
    {
        cat <<SERVICE_FILE
[service]
name = $service
$extra

[shed-reply]
status = 503
header_name = Shed
header_value = not-run

[route search]
method = POST
path = /search
idempotent = yes
deadline_ms = 2000

[route deposit]
method = POST
path = /deposits
idempotent = no
deadline_ms = 4000

[route replace]
method = PUT
path = /records/{number}
idempotent = no
deadline_ms = 4000
SERVICE_FILE
        for name in "$@"; do
            port="$(cat "$FLEET/port/$name-relay" 2>/dev/null ||
                cat "$FLEET/port/$name")"
            cat <<TARGET

[target $name]
ip = 127.0.0.1
port = $port
zone = ${ZONES[$((number % ${#ZONES[@]}))]}
slots = $slots
TARGET
            number=$((number + 1))
        done
    } >"$FLEET/platform/services/.$service"
    mv "$FLEET/platform/services/.$service" \
        "$FLEET/platform/services/$service.ini"
}

# choose_daemon_ports NAME...: writes port/NAME and port/NAME-peer.
choose_daemon_ports() {
    local ports name
    ports="$("$BIN/python" scripts/free_ports.py $((2 * $#)))"
    for name in "$@"; do
        echo "$ports" | head -n 1 >"$FLEET/port/$name"
        echo "$ports" | sed -n 2p >"$FLEET/port/$name-peer"
        ports="$(echo "$ports" | tail -n +3)"
    done
}

# start_daemons NAME...: writes the settings of each daemon and starts it.
# Daemon number n listens on $NETWORK.n: relays distinguish daemons by address.
start_daemons() {
    local names=("$@") number=0 name seeds=''
    for name in "${names[@]}"; do
        number=$((number + 1))
        seeds+="
    $(peer_ip "$name" "$number"):$(peer_port "$name")"
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
advertised_peer_ip = $(peer_ip "$name" "$number")
advertised_peer_port = $(peer_port "$name")
platform_urls = http://127.0.0.1:$(cat "$FLEET/port/platform")
log_level = ${LOG_LEVEL:-INFO}
seeds =$seeds
SETTINGS
        start "$name" "$BIN/sardinepierd" --settings "$FLEET/settings/$name.ini"
    done
    number=0
    for name in "${names[@]}"; do
        number=$((number + 1))
        "$BIN/python" scripts/http_helper.py await \
            "$(daemon_url "$number" "$name")/v1/status" service/ 20 || {
            tail -n 3 "$FLEET/log/$name" >&2
            return 1
        }
    done
}

daemon_url() {
    echo "http://$NETWORK.$1:$(cat "$FLEET/port/$2")"
}

peer_ip() {
    if [ -e "$FLEET/port/$1-relay" ]; then
        echo 127.0.0.1
    else
        echo "$NETWORK.$2"
    fi
}

peer_port() {
    cat "$FLEET/port/$1-relay" 2>/dev/null || cat "$FLEET/port/$1-peer"
}
