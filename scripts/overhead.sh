#!/usr/bin/env bash
# The same requests sent directly to a target stand-in and through an entry host, in turn. Arguments are
# passed on to `mjm_load overhead`. MJM_DEMO_PORT sets the first port, MJM_DEMO_BIN a directory with programs
# built before.
set -eu
cd "$(dirname "$0")/.."
# shellcheck source=scripts/demo_lib.sh
. scripts/demo_lib.sh
# shellcheck disable=SC2034
base=${MJM_DEMO_PORT:-23000}
bin=${MJM_DEMO_BIN:-build/bin}
out=out/overhead
rm -rf "$out"
mkdir -p "$out"
trap stop_all EXIT
trap 'exit 1' INT TERM

start platform "$bin/mjm_platform_standin" --port "$(platform_port)" --admin-port "$(platform_admin_port)"
start targets "$bin/mjm_target_standin" --first-port "$(target_port 0)" --count 3
start direct "$bin/mjm_target_standin" --first-port "$(target_port 10)" --id-prefix direct
for name in platform targets direct; do wait_for 10 is_listening "$name"; done
"$bin/mjm_load" make-config --store "127.0.0.1:$(platform_port)" \
    --platform-admin "127.0.0.1:$(platform_admin_port)" --zones 1 --first-port "$(target_port 0)" \
    --targets-per-shard 3 --service lens --plan "$out/plan.json"
start_entry 0 z1 z1h1
wait_for 20 is_ready "$(admin_port 0)"
# The shard gets its owner some time after the host is ready.
sleep 3
"$bin/mjm_load" overhead --plan "$out/plan.json" --entry "127.0.0.1:$(caller_port 0)" \
    --target "127.0.0.1:$(target_port 10)" "$@"
