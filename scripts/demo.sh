#!/usr/bin/env bash
# Demonstration: three availability zones on this machine under load, with faults. Exits 0 when every check
# holds. MJM_DEMO_PORT sets the first port, MJM_DEMO_BIN a directory with programs built before.
set -eu
cd "$(dirname "$0")/.."
# shellcheck source=scripts/demo_lib.sh
. scripts/demo_lib.sh
# shellcheck disable=SC2034
base=${MJM_DEMO_PORT:-21000}
bin=${MJM_DEMO_BIN:-build/bin}
out=out
jobs=${MJM_JOBS:-$(nproc)}
zones=3
hosts_per_zone=2
targets_per_zone=6
# Targets t0 to t2 serve lens in z1, t3 to t5 crew in z1, and so on.
failing=1
leaving=12
load_seconds=36
# Beyond this the demonstration is ended, whatever hangs.
time_bound=150

if [ -z "${MJM_DEMO_BIN:-}" ]; then
    echo "== build"
    mkdir -p "$out"
    {
        bash .ci/setup
        cmake -S . -B build -G Ninja -DMJM_WITH_TESTS=ON
        cmake --build build -j "$jobs" --target mjm_entry mjm_platform_standin mjm_target_standin \
            mjm_load mjm_timeline
    } >"$out/build.log" 2>&1 || { tail -n 30 "$out/build.log"; exit 1; }
fi

rm -rf "$out/demo"
mkdir -p "$out/demo"
timeline=$out/timeline.html
out=$out/demo
trap stop_all EXIT
trap 'exit 1' INT TERM
(sleep "$time_bound"; echo "the demonstration took longer than $time_bound s"; kill -TERM $$) &
pids+=("$!")

began=$SECONDS
say() { printf '%3d s  %s\n' "$((SECONDS - began))" "$*"; }
failures=0
# verdict TEXT COMMAND...: prints whether the check holds.
verdict() {
    local text=$1
    shift
    if "$@"; then
        echo "holds   $text"
    else
        echo "FAILS   $text"
        failures=$((failures + 1))
    fi
}

# host_list LEAVING: the platform's list with this target leaving.
host_list() {
    local i entries_text=""
    for ((i = 0; i < zones * targets_per_zone; ++i)); do
        entries_text+=",{\"id\":\"t$i\",\"state\":\"$([ "$i" = "$1" ] && echo leaving || echo live)\"}"
    done
    echo "{\"hosts\":[${entries_text:1}]}"
}

echo "== start"
start platform "$bin/mjm_platform_standin" --port "$(platform_port)" --admin-port "$(platform_admin_port)"
for ((z = 0; z < zones; ++z)); do
    start "targets-z$((z + 1))" "$bin/mjm_target_standin" --first-port "$(target_port $((z * targets_per_zone)))" \
        --count "$targets_per_zone" --first-index $((z * targets_per_zone)) --seed $((z + 1))
done
wait_for 10 is_listening platform
for ((z = 1; z <= zones; ++z)); do wait_for 10 is_listening "targets-z$z"; done
"$bin/mjm_load" make-config --store "127.0.0.1:$(platform_port)" \
    --platform-admin "127.0.0.1:$(platform_admin_port)" --zones "$zones" --first-port "$(target_port 0)" \
    --targets-per-shard $((targets_per_zone / 2)) --plan "$out/plan.json" \
    --team ann:1:12 --team bob:1:12 --team cat:2:24 --team dan:1:12
entries=()
number=0
for ((z = 1; z <= zones; ++z)); do
    for ((h = 1; h <= hosts_per_zone; ++h)); do
        start_entry "$number" "z$z" "z${z}h$h"
        entries+=(--entry "127.0.0.1:$(caller_port "$number")")
        number=$((number + 1))
    done
done
for ((n = 0; n < number; ++n)); do
    wait_for 20 is_ready "$(admin_port "$n")" || { echo "entry host $n is not ready"; exit 1; }
done
say "$number entry hosts in $zones zones are ready"

echo "== load of $load_seconds s, with faults"
start load "$bin/mjm_load" run --plan "$out/plan.json" "${entries[@]}" --seconds "$load_seconds" --rate 6 \
    --seed "${MJM_DEMO_SEED:-1}" --requests-file "$out/requests.jsonl"
sleep 4
http POST "$(target_port "$failing")" /admin/faults '{"fail_all":true}' >/dev/null
say "target t$failing fails everything from now on"
sleep 4
kill -KILL "${pid_of[z1h1]}"
wait "${pid_of[z1h1]}" 2>/dev/null || true
say "entry host z1h1 killed"
sleep 6
kill -TERM "${pid_of[z2h1]}"
drain_began=$SECONDS
say "entry host z2h1 begins to drain"
sleep 3
http POST "$(target_port "$leaving")" /admin/leaving '{"on":true}' >/dev/null
http PUT "$(platform_admin_port)" /admin/hosts "$(host_list "$leaving")" >/dev/null
say "target t$leaving leaves"
sleep 3
starts_of() { http GET "$(target_port "$1")" /admin/state | grep -o '"/v1/tasks/start":[0-9]*' | cut -d: -f2; }
starts_after_leaving=$(starts_of "$leaving")
http POST "$(platform_admin_port)" /admin/faults '{"outage":"refuse"}' >/dev/null
say "the platform's service is down"
sleep 5
http POST "$(platform_admin_port)" /admin/faults '{"outage":"none"}' >/dev/null
say "the platform's service is back"
sleep 3
http POST "$(platform_admin_port)" /admin/faults '{"lose_answers":0.2}' >/dev/null
say "the platform loses 20% of the answers to writes"
sleep 5
http POST "$(platform_admin_port)" /admin/faults '{"lose_answers":0.0}' >/dev/null
http POST "$(target_port "$failing")" /admin/faults '{"fail_all":false}' >/dev/null
say "no more faults; waiting for the outcomes"
load_code=0
wait "${pid_of[load]}" || load_code=$?
say "the load has ended"

drain_code=timeout
has_ended() { ! kill -0 "$1" 2>/dev/null; }
if wait_for 30 has_ended "${pid_of[z2h1]}"; then
    drain_code=0
    wait "${pid_of[z2h1]}" || drain_code=$?
fi
starts_at_end=$(starts_of "$leaving")
for name in z1h2 z2h2 z3h1 z3h2; do kill -TERM "${pid_of[$name]}"; done
stops=0
for name in z1h2 z2h2 z3h1 z3h2; do
    if wait_for 20 has_ended "${pid_of[$name]}" && wait "${pid_of[$name]}"; then stops=$((stops + 1)); fi
done

echo "== what happened"
cat "$out/load.log"
echo "drained host z2h1: asked at $((drain_began - began)) s, exit code $drain_code," \
    "$(grep -c . "$out/z2h1.timeline") events"
echo "events of the entry hosts:"
cat "$out"/*.timeline | grep -o '"kind":"[a-z_]*"' | cut -d'"' -f4 | sort | uniq -c

echo "== checks"
verdict "mjm_load: every outcome is true, limits hold (exit code $load_code)" [ "$load_code" = 0 ]
verdict "the drained host ended by itself with exit code 0" [ "$drain_code" = 0 ]
only_killed_host_cut() {
    ! grep '^entry ' "$out/load.log" | grep -v "^entry 127.0.0.1:$(caller_port 0): " | grep -qv ' 0 cut,'
}
verdict "no request was cut, but at the killed host" only_killed_host_cut
verdict "the leaving target was sent no task after 3 s ($starts_after_leaving starts, then $starts_at_end)" \
    [ "$starts_after_leaving" = "$starts_at_end" ]
no_violation() { ! grep -l invariant_violated "$out"/z*.log; }
verdict "no entry host found a violation of its own invariants" no_violation
verdict "the other entry hosts stopped gracefully ($stops of 4)" [ "$stops" = 4 ]

"$bin/mjm_timeline" --format html "$out"/*.timeline >"$timeline" || failures=$((failures + 1))
echo "time line: $timeline"
[ "$failures" = 0 ]
