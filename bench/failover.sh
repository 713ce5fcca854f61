#!/usr/bin/env bash
# Measures the time from a kill -9 of a program's home to the first successful response to its next
# call through another instance. Prints one JSON line per run.
#
# bench/failover.sh BUILD LEASE RUNS       e.g. bench/failover.sh build 2s 3
set -eu
build=$1 lease=$2 runs=$3
base=${BENCH_PORT:-23000}
standin="$build/tests/standins/buckthornhead-standin"
zones=(zone-a zone-b zone-c)
pids=()
stop_all () { for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done; wait 2>/dev/null || true; rm -rf "$folder"; }
folder=$(mktemp -d)
trap stop_all EXIT

start_instance () {
  cat >"$folder/i-$1.ini" <<INI
[instance]
name = i-$1
zone = ${zones[$(($1 % 3))]}
[listen]
caller = 127.0.0.1:$((base + 10 * $1))
operator = 127.0.0.1:$((base + 10 * $1 + 1))
peer = 127.0.0.1:$((base + 10 * $1 + 2))
[platform]
kv = http://127.0.0.1:$base
prefix = bench/
[homes]
partitions = 16
group_size = 4
lease = $lease
[backend desk-1]
kind = service
target = desk
address = 127.0.0.1:$((base + 1))
zone = zone-a
INI
  "$build/daemon/buckthornhead" serve --config "$folder/i-$1.ini" 2>>"$folder/i-$1.log" &
  instance[$1]=$!
  pids+=($!)
}

call () { # port program sequence
  curl -s -o "$folder/answer" -w '%{http_code}' --max-time 20 -H 'X-Target-Service: desk' -H 'X-Target-Path: /x' \
    -H 'Idempotent: true' -d '{}' "http://127.0.0.1:$1/v1/programs/$2/calls?sequence=$3"
}
now_ms () { date +%s%3N; }

"$standin" platform --listen "127.0.0.1:$base" >/dev/null 2>&1 & pids+=($!)
"$standin" tool --listen "127.0.0.1:$((base + 1))" --name desk >/dev/null 2>&1 & pids+=($!)
declare -a instance
for i in 1 2 3; do start_instance "$i"; done
sleep 5
for run in $(seq "$runs"); do
  program="failover-$run"
  curl -s -o /dev/null -d "{\"service\":\"bench\",\"program\":\"$program\"}" "http://127.0.0.1:$((base + 10))/v1/programs"
  call $((base + 10)) "$program" 1 >/dev/null
  home=$(curl -s "http://127.0.0.1:$((base + 10))/v1/connect?program=$program" | jq -r '.addresses[0]' | sed 's/.*://')
  number=$(((home - base) / 10))
  other=$((number % 3 + 1))
  kill -9 "${instance[$number]}"
  start=$(now_ms)
  tries=0
  until [ "$(call $((base + 10 * other)) "$program" 2)" = 200 ]; do tries=$((tries + 1)); done
  echo "{\"lease\":\"$lease\",\"run\":$run,\"kill_to_answer_ms\":$(($(now_ms) - start)),\"refused\":$tries}"
  start_instance "$number"
  sleep 6
done
