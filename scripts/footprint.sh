#!/usr/bin/env bash
# Memory, threads, idle processor time and bytes sent of each of three entry processes over 30 s of idling,
# without and with 50 targets. MJM_DEMO_PORT sets the first port, MJM_DEMO_BIN a directory with programs built
# before, MJM_FOOTPRINT_SECONDS the time of observation.
set -eu
cd "$(dirname "$0")/.."
# shellcheck source=scripts/demo_lib.sh
. scripts/demo_lib.sh
# shellcheck disable=SC2034
base=${MJM_DEMO_PORT:-22000}
bin=${MJM_DEMO_BIN:-build/bin}
seconds=${MJM_FOOTPRINT_SECONDS:-30}
hosts=(z1h1 z1h2 z1h3)
# From the requirements: per entry process.
max_kb=32768
max_core_percent=2.2
max_bytes_per_second=2048
out=out/footprint
rm -rf "$out"
mkdir -p "$out"
trap stop_all EXIT
trap 'exit 1' INT TERM

# User and system time of a process, in clock ticks.
cpu_ticks() { sed 's/.*) //' "/proc/$1/stat" | awk '{print $12 + $13}'; }
status_field() { awk -v name="$2:" '$1 == name {print $2}' "/proc/$1/status"; }
# Bytes sent on each open connection of a process. The kernel counts them per connection and shows them
# through ss; /proc/PID/io does not count sends.
sent_per_connection() {
    ss -tinpH 2>/dev/null | awk -v pid="pid=$1," '
        /users:/ { mine = index($0, pid); key = $4 "-" $5; next }
        mine && match($0, /bytes_sent:[0-9]+/) { print key, substr($0, RSTART + 11, RLENGTH - 11) }'
}
# sent_between BEFORE AFTER: total over connections open at the end; one that was closed is left out.
sent_between() {
    awk 'NR == FNR { before[$1] = $2; next } { total += $2 - before[$1] } END { print total + 0 }' "$1" "$2"
}

# measure LABEL SERVICES TARGETS_PER_SERVICE TARGETS_RUNNING
measure() {
    local label=$1 services=$2 per_service=$3 running=$4 name number pid list clk sent
    local -A ticks
    start platform "$bin/mjm_platform_standin" --port "$(platform_port)" \
        --admin-port "$(platform_admin_port)"
    wait_for 10 is_listening platform
    if [ "$running" -gt 0 ]; then
        start targets "$bin/mjm_target_standin" --first-port "$(target_port 0)" --count "$running"
        wait_for 10 is_listening targets
    fi
    list=()
    for ((number = 1; number <= services; ++number)); do list+=("s$number"); done
    "$bin/mjm_load" make-config --store "127.0.0.1:$(platform_port)" \
        --platform-admin "127.0.0.1:$(platform_admin_port)" --zones 1 --first-port "$(target_port 0)" \
        --targets-per-shard "$per_service" --service "${list[@]}" --plan "$out/plan.json" >/dev/null
    number=0
    for name in "${hosts[@]}"; do
        start_entry "$number" z1 "$name"
        wait_for 20 is_ready "$(admin_port "$number")"
        number=$((number + 1))
    done
    # Leases are opened and shards are divided among the hosts before the observation.
    sleep 10
    clk=$(getconf CLK_TCK)
    for name in "${hosts[@]}"; do
        pid=${pid_of[$name]}
        ticks[$name]=$(cpu_ticks "$pid")
        sent_per_connection "$pid" >"$out/$name.before"
    done
    sleep "$seconds"
    for name in "${hosts[@]}"; do
        pid=${pid_of[$name]}
        sent_per_connection "$pid" >"$out/$name.after"
        sent=$(sent_between "$out/$name.before" "$out/$name.after")
        command -v ss >/dev/null || sent=-1
        awk -v label="$label, $name" -v rss="$(status_field "$pid" VmRSS)" \
            -v peak="$(status_field "$pid" VmHWM)" -v threads="$(status_field "$pid" Threads)" \
            -v ticks="$(($(cpu_ticks "$pid") - ticks[$name]))" -v clk="$clk" -v s="$seconds" -v sent="$sent" \
            -v max_kb="$max_kb" -v max_cpu="$max_core_percent" -v max_bytes="$max_bytes_per_second" '
            function verdict(ok) { if (!ok) bad = 1; return ok ? "holds" : "FAILS" }
            BEGIN {
                cpu = 100 * ticks / clk / s
                printf "%s: memory %.1f MB, peak %.1f, of %.0f: %s; ", label, rss / 1024, peak / 1024, max_kb / 1024, verdict(rss <= max_kb)
                printf "%d threads; processor %.2f%% of a core, of %.1f: %s; ", threads, cpu, max_cpu, verdict(cpu <= max_cpu)
                if (sent < 0) print "bytes sent not measured (no ss)"
                else printf "sent %.0f bytes/s, of %d: %s\n", sent / s, max_bytes, verdict(sent / s <= max_bytes)
                exit bad
            }' || failed=1
    done
    stop_all
    pids=()
    rm -f "$out"/*.log "$out"/*.timeline
}

failed=0
# A configuration needs a target; this one does not exist.
measure "without targets" 1 1 0
measure "with 50 targets" 5 10 50
exit "$failed"
