# Functions that start the programs of a demonstration fleet. Sourced by demo.sh and footprint.sh, which set
# `bin` (directory of the programs), `out` (directory for files) and `base` (first port).
# shellcheck shell=bash disable=SC2154,SC2034

pids=()
declare -A pid_of

# start NAME PROGRAM ARGS...: background process with its output in $out/NAME.log.
start() {
    local name=$1
    shift
    "$@" >"$out/$name.log" 2>&1 &
    pid_of[$name]=$!
    pids+=("$!")
}

# Ends the processes that were started, by their recorded identifiers.
stop_all() {
    local pid
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    wait "${pids[@]}" 2>/dev/null || true
}

# http METHOD PORT PATH [BODY]: prints the answer's status line, headers and body.
http() {
    local body=${4:-}
    {
        printf '%s %s HTTP/1.1\r\nhost: 127.0.0.1\r\nconnection: close\r\ncontent-length: %d\r\n\r\n%s' \
            "$1" "$3" "${#body}" "$body" >&9
        cat <&9
    } 9<>"/dev/tcp/127.0.0.1/$2"
} 2>/dev/null

# wait_for SECONDS COMMAND...: repeats the command until it succeeds.
wait_for() {
    local end=$((SECONDS + $1))
    shift
    until "$@"; do
        [ "$SECONDS" -lt "$end" ] || return 1
        sleep 0.1
    done
}

is_ready() { http GET "$1" /readyz | grep -q '"ready":true'; }
is_listening() { grep -q '"event":"listening"' "$out/$1.log" 2>/dev/null; }

platform_port() { echo "$base"; }
platform_admin_port() { echo $((base + 1)); }
# Entry hosts are numbered from 0 over all zones.
caller_port() { echo $((base + 10 + 3 * $1)); }
peer_port() { echo $((base + 11 + 3 * $1)); }
admin_port() { echo $((base + 12 + 3 * $1)); }
target_port() { echo $((base + 200 + $1)); }

# start_entry NUMBER ZONE NAME
start_entry() {
    cat >"$out/$3.json" <<END
{"host": "$3", "zone": "$2", "caller_port": $(caller_port "$1"), "peer_port": $(peer_port "$1"),
 "admin_port": $(admin_port "$1"), "store_port": $(platform_port), "timeline_capacity": 100000,
 "timeline_file": "$out/$3.timeline"}
END
    start "$3" "$bin/mjm_entry" --settings "$out/$3.json"
}
