# Functions for the scripts of the review; to be sourced from bash. Starts nodes as deploy/system.toml does, on loopback
# and free ports, and ends only processes that it started.
cd "$(dirname "${BASH_SOURCE[0]}")/.."
root=$PWD
work=$(mktemp -d "${TMPDIR:-/tmp}/bergamot-review.XXXXXX")
declare -A drawn
declare -A node_pid
platform_pid=""

draw_port() { # sets `port`: a free port below the ephemeral range, never the same twice
    while :; do
        port=$((10000 + (RANDOM * 32768 + RANDOM + $$) % 20000))
        if [ -z "${drawn[$port]:-}" ] && ! (exec 9<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
            drawn[$port]=yes
            return
        fi
    done
}

write_settings() { # index zone; what deploy/node.conf gives for a small machine
    cat >"$work/node-$1.conf" <<C
instance = frontend-$2-$1
zone = $2
listen = ${callers[$1]}
ready-listen = ${ready[$1]}
metrics-listen = ${metrics[$1]}
peer-listen = ${peers[$1]}
store = $store
store-record-bytes = 262144
store-call-bytes = 2097152
cpu-share = 0.5
grace-s = 8
results-kept-s = 120
order-lease-ms = 3000
store-partitions = 12
C
}

prepare() { # number of nodes
    local index
    draw_port && store=127.0.0.1:$port
    for index in $(seq 1 "$1"); do
        draw_port && callers[$index]=127.0.0.1:$port
        draw_port && ready[$index]=127.0.0.1:$port
        draw_port && metrics[$index]=127.0.0.1:$port
        draw_port && peers[$index]=127.0.0.1:$port
        write_settings "$index" a
    done
}

joined() { local IFS=,; echo "$*"; }

start_node() { # index; sets `started` to the process id
    "$root/target/bin/bergamot-node" --settings "$work/node-$1.conf" >>"$work/node-$1.log" 2>&1 3>&- &
    started=$!
    node_pid[$1]=$started
}

start_platform() { # case, further flags; its record goes to $record
    local flags=()
    [ "${TROUBLE:-1}" = 0 ] || flags+=(--trouble)
    mkfifo "$work/pids"
    exec 3<>"$work/pids"
    "$root/build-review/bin/review-platform" --case "$1" --store "$store" --nodes "$(joined "${callers[@]}")" \
        --ready "$(joined "${ready[@]}")" "${flags[@]}" "${@:2}" <"$work/pids" >"$record" 2>&1 &
    platform_pid=$!
    for _ in $(seq 1 50); do
        grep -q 'store ready' "$record" 2>/dev/null && return
        sleep 0.1
    done
    exit 2
}

restart_ended() { # starts the nodes again that have ended, as the platform does
    local index
    for index in "${!node_pid[@]}"; do
        if ! kill -0 "${node_pid[$index]}" 2>/dev/null; then
            wait "${node_pid[$index]}" 2>/dev/null || true
            start_node "$index"
        fi
    done
}

stop_all() {
    local pid
    for pid in "${node_pid[@]}" $platform_pid; do
        kill -CONT "$pid" 2>/dev/null || true
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    if [ -n "${KEEP_LOGS:-}" ]; then echo "logs in $work"; else rm -rf "$work"; fi
}

run_case() { # case, number of nodes; exits with the verdict
    local index result=0
    record=$(dirname "$script")/record.txt
    callers=() ready=() metrics=() peers=()
    trap stop_all EXIT
    [ -x target/bin/bergamot-node ] && [ -x build-review/bin/review-platform ] || exit 2
    prepare "$2"
    start_platform "$1"
    for index in $(seq 1 "$2"); do
        start_node "$index"
        echo "$started" >&3
    done
    while kill -0 "$platform_pid" 2>/dev/null; do
        restart_ended
        sleep 0.2
    done
    wait "$platform_pid" || result=$?
    [ "$result" -le 2 ] || result=2
    tail -n 1 "$record"
    exit "$result"
}
