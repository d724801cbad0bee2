#!/usr/bin/env bash
# Demonstration of the admin API and mjmctl: three zones with two entry hosts each, one process with six
# targets. Exits 0 when every check holds. MJM_ADMIN_DEMO_PORT sets the first port, MJM_DEMO_BIN the
# directory with the programs (mjm_entry, mjmctl and the stand-ins, built before).
set -eu
cd "$(dirname "$0")/.."
base=${MJM_ADMIN_DEMO_PORT:-23000}
bin=${MJM_DEMO_BIN:-build/bin}
out=out/admin-demo
# Beyond this the demonstration is ended, whatever hangs.
time_bound=120
entries=6
rm -rf "$out"
mkdir -p "$out"
out=$(cd "$out" && pwd)

declare -a pids=()
stop_all() {
    local pid
    trap - TERM
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    sleep 1
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
}
trap stop_all EXIT
trap 'exit 1' INT TERM
(sleep "$time_bound" & sleeper=$!; trap 'kill "$sleeper"; exit 0' TERM; wait "$sleeper"
    echo "the demonstration took longer than $time_bound s"; kill -TERM $$) &
pids+=("$!")

# start NAME COMMAND...: runs a process in the background, with its output in NAME.log.
start() {
    local name=$1
    shift
    "$@" >"$out/$name.log" 2>&1 &
    pids+=("$!")
}
# wait_for SECONDS COMMAND...: repeats the command until it succeeds.
wait_for() {
    local until=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$until" ] || return 1
        sleep 0.1
    done
}
failures=0
# check TEXT COMMAND...: prints whether the check holds.
check() {
    local text=$1
    shift
    if "$@"; then
        echo "holds   $text"
    else
        echo "FAILS   $text"
        failures=$((failures + 1))
    fi
}
# gives CODE COMMAND...: whether the command ends with this exit code.
gives() {
    local expected=$1 code=0
    shift
    "$@" >>"$out/mjmctl.log" 2>&1 || code=$?
    [ "$code" = "$expected" ]
}
request() { curl -sS --max-time 5 "$@"; }
caller_port() { echo $((base + 10 + $1 * 3)); }
peer_port() { echo $((base + 11 + $1 * 3)); }
admin_port() { echo $((base + 12 + $1 * 3)); }
zone_of() { echo "z$(($1 / 2 + 1))"; }

ann_key=$(openssl rand -hex 16)
bob_key=$(openssl rand -hex 16)
olga_key=$(openssl rand -hex 16)
token=$(openssl rand -hex 16)
# key_record KEY: the salt and hash that the configuration holds for a key.
key_record() {
    local salt hash
    salt=$(openssl rand -hex 16)
    hash=$(printf %s "$1" | openssl dgst -sha256 -mac HMAC -macopt "hexkey:$salt" | sed 's/.* //')
    echo "{\"k\":{\"salt\":\"$salt\",\"hash\":\"$hash\"}}"
}
month=$(date -u +%Y-%m)
next_month=$(date -u -d "$month-01 +1 month" +%Y-%m)
targets=""
hosts=""
for ((t = 0; t < 6; ++t)); do
    targets+=",\"t$t\":{\"address\":\"127.0.0.1\",\"port\":$((base + 40 + t)),\"zone\":\"$(zone_of "$t")\",\"rack\":\"r1\",\"pool\":\"main\",\"capacity\":{\"milli_cpu\":8000,\"memory_mib\":8192,\"slots\":8}}"
    hosts+=",{\"id\":\"t$t\",\"state\":\"live\"}"
done
cat >"$out/first.json" <<EOF
{"authority_month": "$month", "calendar": {"$month": "ann", "$next_month": "bob"},
 "owners": {"ann": {"keys": $(key_record "$ann_key")}, "bob": {"keys": $(key_record "$bob_key")}},
 "operators": {"olga": {"keys": $(key_record "$olga_key")}},
 "teams": {"red": {"owner": "ann", "share": 1.0, "limit": 10, "keys": {}},
           "blue": {"owner": "bob", "share": 1.0, "limit": 10, "keys": {}}},
 "services": {"book": {"pool": "main"}}, "pools": {"main": {"min_available": 3}},
 "targets": {${targets:1}}}
EOF

echo "== start"
start platform "$bin/mjm_platform_standin" --port "$base" --admin-port "$((base + 1))"
start targets "$bin/mjm_target_standin" --first-port "$((base + 40))" --count 6
wait_for 10 grep -q listening "$out/platform.log"
wait_for 10 grep -q listening "$out/targets.log"
request -X PUT "http://127.0.0.1:$((base + 1))/admin/hosts" -d "{\"hosts\":[${hosts:1}]}" >/dev/null
servers=""
for ((n = 0; n < entries; ++n)); do
    cat >"$out/e$n.json" <<EOF
{"host": "e$n", "zone": "$(zone_of "$n")", "caller_port": $(caller_port "$n"), "peer_port": $(peer_port "$n"),
 "admin_port": $(admin_port "$n"), "store_port": $base, "bootstrap_token": "$token"}
EOF
    start "e$n" "$bin/mjm_entry" --settings "$out/e$n.json"
    servers+=",{\"address\":\"127.0.0.1\",\"port\":$(admin_port "$n")}"
done
echo "{\"servers\":[${servers:1}]}" >"$out/ctl.json"
# ctl KEY ARGUMENT...: mjmctl with an operator's or owner's key.
ctl() {
    local key=$1
    shift
    MJM_KEY=$key "$bin/mjmctl" --settings "$out/ctl.json" --timeout 20 "$@"
}
responds() { request "http://127.0.0.1:$1/healthz"; }
is_ready() { request -f "http://127.0.0.1:$1/readyz"; }
for ((n = 0; n < entries; ++n)); do wait_for 10 responds "$(admin_port "$n")"; done

echo "== bootstrap"
check "a wrong bootstrap token is refused (3)" gives 3 ctl "$bob_key" config bootstrap "$out/first.json" --yes
check "the first configuration is created (0)" gives 0 ctl "$token" config bootstrap "$out/first.json" --yes
check "a second bootstrap is refused (3)" gives 3 ctl "$token" config bootstrap "$out/first.json" --yes
for ((n = 0; n < entries; ++n)); do
    check "entry host e$n is ready" wait_for 30 is_ready "$(admin_port "$n")"
done

# propose ARGUMENT...: the identifier of a proposal made by olga.
propose() { ctl "$olga_key" --output json "$@" 2>>"$out/mjmctl.log" | tee "$out/proposal.json" | jq -r .proposal; }
accept() { ctl "$ann_key" config accept "$@" --yes --wait; }

echo "== a key, a share and a limit"
id=$(propose keys grant red --key-id k1)
team_key=$(jq -r .key "$out/proposal.json")
check "the grant is accepted and in force everywhere (0)" gives 0 accept "$id"
id=$(propose team set-share red 2.5)
check "the share is accepted (0)" gives 0 accept "$id"
id=$(propose team set-limit red 20)
check "the limit is accepted (0)" gives 0 accept "$id"
team_is() {
    ctl "$olga_key" --output json team list |
        jq -e '.teams[] | select(.id == "red") | .share == 2.5 and .limit == 20' >/dev/null
}
check "the team has the new share and limit" team_is

# submit HOST: the status and body of a request of the team at an entry host.
submit() {
    request -o "$out/answer$1.json" -w '%{http_code}' -H "Authorization: Bearer $team_key" \
        -d '{"idempotent":true,"timeout_ms":4000,"payload":{"run_ms":5}}' \
        "http://127.0.0.1:$(caller_port "$1")/v1/services/book/requests" 2>/dev/null || true
}
completes() { [ "$(submit "$1")" = 200 ]; }
for ((n = 0; n < entries; ++n)); do
    check "a request with the key is completed at e$n" wait_for 10 completes "$n"
done

echo "== the key is withdrawn"
id=$(propose keys withdraw red k1)
withdrawn=$(date +%s%N)
check "the withdrawal is accepted (0)" gives 0 ctl "$ann_key" config accept "$id" --yes
is_refused() { submit "$1" >/dev/null; [ "$(jq -r .reason "$out/answer$1.json")" = key_invalid ]; }
for ((n = 0; n < entries; ++n)); do
    refused_in_time() {
        wait_for 8 is_refused "$n" || return 1
        local elapsed=$((($(date +%s%N) - withdrawn) / 1000000))
        echo "e$n refuses the key $elapsed ms after the withdrawal began"
        [ "$elapsed" -le 7000 ]
    }
    check "the key is refused at e$n in $(zone_of "$n") within 7 s" refused_in_time
done
for ((n = 0; n < entries; ++n)); do
    check "the key is still refused at e$n" is_refused "$n"
done

echo "== two patches on one version"
first=$(propose team set-limit red 30)
second=$(propose team set-limit red 40)
declare -a codes=()
# Accepted at the same time through entry hosts of different zones.
ctl "$ann_key" --server "127.0.0.1:$(admin_port 0)" config accept "$first" --yes >"$out/race1.log" 2>&1 &
race1=$!
ctl "$ann_key" --server "127.0.0.1:$(admin_port 5)" config accept "$second" --yes >"$out/race2.log" 2>&1 &
race2=$!
for pid in "$race1" "$race2"; do
    code=0
    wait "$pid" || code=$?
    codes+=("$code")
done
echo "exit codes: ${codes[*]}"
loser_moved() { grep -q '^mjmctl: version_moved' "$out/race1.log" "$out/race2.log"; }
one_wins() { [ "$(printf '%s\n' "${codes[@]}" | sort | xargs)" = "0 3" ]; }
check "exactly one is accepted (0) and the other refused (3)" one_wins
winner_in_force() {
    local limit=30
    [ "${codes[0]}" = 0 ] || limit=40
    ctl "$olga_key" --output json team list |
        jq -e --argjson limit "$limit" '.teams[] | select(.id == "red") | .limit == $limit' >/dev/null
}
check "the refusal tells that the version has moved" loser_moved
check "the limit of the accepted patch is in force" wait_for 5 winner_in_force

echo "== the wrong owner"
id=$(propose team set-share blue 3)
check "the acceptance by bob, who is not the authority, is refused (3)" \
    gives 3 ctl "$bob_key" config accept "$id" --yes
still_open() { [ "$(ctl "$olga_key" config status "$id")" = open ]; }
check "the proposal is still open" still_open
check "the acceptance by an operator is refused (3)" gives 3 ctl "$olga_key" config accept "$id" --yes

echo "== state"
ctl "$olga_key" status
ctl "$olga_key" config history
check "the time line of all hosts is fetched" gives 0 ctl "$olga_key" timeline
if grep -qE "$ann_key|$bob_key|$olga_key|$token" "$out"/*.log; then
    check "no log holds a key" false
fi
echo "$failures checks failed"
[ "$failures" = 0 ]
