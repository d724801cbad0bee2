#!/usr/bin/env bash
# A load under harder faults than the demonstration's: damaged and lost answers of targets, a paused and a
# killed entry host, a rebooted target, a hanging platform that then loses answers. Exits with the code of
# mjm_load. usage: load_faults.sh [SEED]. MJM_DEMO_PORT sets the first port, MJM_DEMO_BIN a directory with
# programs built before.
set -eu
cd "$(dirname "$0")/.."
# shellcheck source=scripts/demo_lib.sh
. scripts/demo_lib.sh
seed=${1:-7}
# shellcheck disable=SC2034
base=${MJM_DEMO_PORT:-24000}
bin=${MJM_DEMO_BIN:-build/bin}
out=out/load_faults
targets=18
time_bound=120
rm -rf "$out"
mkdir -p "$out"
trap stop_all EXIT
trap 'exit 1' INT TERM
(sleep "$time_bound"; echo "the load took longer than $time_bound s"; kill -TERM $$) &
pids+=("$!")

start platform "$bin/mjm_platform_standin" --port "$(platform_port)" --admin-port "$(platform_admin_port)"
start targets "$bin/mjm_target_standin" --first-port "$(target_port 0)" --count "$targets" --seed "$seed"
for name in platform targets; do wait_for 10 is_listening "$name"; done
"$bin/mjm_load" make-config --store "127.0.0.1:$(platform_port)" \
    --platform-admin "127.0.0.1:$(platform_admin_port)" --zones 3 --first-port "$(target_port 0)" \
    --targets-per-shard 3 --plan "$out/plan.json" --team ann:1:12 --team bob:1:12 --team cat:2:24 --team dan:1:12
entries=()
number=0
for zone in z1 z2 z3; do
    for name in "${zone}h1" "${zone}h2"; do
        start_entry "$number" "$zone" "$name"
        entries+=(--entry "127.0.0.1:$(caller_port "$number")")
        number=$((number + 1))
    done
done
for ((n = 0; n < number; ++n)); do wait_for 20 is_ready "$(admin_port "$n")"; done
# The shards get their owners some time after the hosts are ready.
sleep 2
for ((n = 0; n < targets; ++n)); do
    http POST "$(target_port "$n")" /admin/faults \
        '{"truncate":0.03,"cross":0.03,"drop_after_start":0.03,"drop_before_start":0.03}' >/dev/null
done
start load "$bin/mjm_load" run --plan "$out/plan.json" "${entries[@]}" --seconds 30 --rate 6 --seed "$seed" \
    --requests-file "$out/requests.jsonl"
sleep 5
kill -STOP "${pid_of[z3h1]}"
echo "z3h1 paused"
sleep 4
kill -KILL "${pid_of[z1h1]}"
wait "${pid_of[z1h1]}" 2>/dev/null || true
echo "z1h1 killed"
sleep 6
kill -CONT "${pid_of[z3h1]}"
echo "z3h1 resumed"
sleep 2
http POST "$(target_port 4)" /admin/reboot '{"down_ms":1000}' >/dev/null
echo "t4 rebooted"
sleep 2
start_entry 0 z1 z1h1
echo "z1h1 started again"
sleep 3
http POST "$(platform_admin_port)" /admin/faults '{"outage":"hang"}' >/dev/null
echo "the platform hangs"
sleep 5
http POST "$(platform_admin_port)" /admin/faults '{"outage":"none","lose_answers":0.3}' >/dev/null
echo "the platform answers again and loses 30% of the answers to writes"
code=0
wait "${pid_of[load]}" || code=$?
cat "$out/load.log"
grep -h invariant_violated "$out"/z*.log || true
exit "$code"
