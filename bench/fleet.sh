#!/usr/bin/env bash
# Measures the resource usage of a fleet: starts N instances with the stand-ins on loopback, lets them
# settle, and measures for SECONDS, idle or under load. Prints one JSON line: processor time, resident
# memory, and bytes to peers per instance; reads, writes, and watches per second at the platform.
#
# bench/fleet.sh BUILD N SECONDS [CALLERS PAUSE_MS]
set -eu
build=$1 n=$2 seconds=$3 callers=${4:-0} pause_ms=${5:-100}
folder=$(mktemp -d)
pids=()
instances=()
stop_all () {
  for pid in "${instances[@]}" "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$folder"
}
trap stop_all EXIT
base=${BENCH_PORT:-21000}
standin="$build/tests/standins/buckthornhead-standin"
zones=(zone-a zone-b zone-c)

"$standin" platform --listen "127.0.0.1:$base" >"$folder/platform.log" 2>&1 & pids+=($!)
"$standin" tool --listen "127.0.0.1:$((base + 1))" --name desk >"$folder/tool.log" 2>&1 & pids+=($!)
sleep 0.5
for i in $(seq "$n"); do
  cat >"$folder/i-$i.ini" <<INI
[instance]
name = i-$i
zone = ${zones[$((i % 3))]}
[listen]
caller = 127.0.0.1:$((base + 10 * i))
operator = 127.0.0.1:$((base + 10 * i + 1))
peer = 127.0.0.1:$((base + 10 * i + 2))
[platform]
kv = http://127.0.0.1:$base
instances = http://127.0.0.1:$base/instances
prefix = bench/
[threads]
caller = 2
backend = 1
[homes]
partitions = ${PARTITIONS:-64}
group_size = 16
lease = 5s
[backend desk-1]
kind = service
target = desk
address = 127.0.0.1:$((base + 1))
zone = zone-a
INI
  "$build/daemon/buckthornhead" serve --config "$folder/i-$i.ini" 2>"$folder/i-$i.log" &
  instances+=($!)
done
sleep "${SETTLE:-8}"

ticks () { for pid in "${instances[@]}"; do awk '{s = $14 + $15; print s}' "/proc/$pid/stat"; done | awk '{s += $1} END {print s}'; }
peer_bytes () {
  for i in $(seq "$n"); do curl -s "http://127.0.0.1:$((base + 10 * i + 1))/metrics"; done \
    | awk '/^buckthornhead_peer_bytes_total/ {s += $2} END {printf "%d", s}'
}
stats () { curl -s "http://127.0.0.1:$base/control/stats"; }

bytes0=$(peer_bytes); ticks0=$(ticks); stats0=$(stats)
load='null'
if [ "$callers" -gt 0 ]; then
  through=()
  for i in $(seq "$n"); do through+=("127.0.0.1:$((base + 10 * i))"); done
  loads=()
  for address in "${through[@]}"; do
    "$build/bench/path_bench" --direct "127.0.0.1:$((base + 1))" --service desk --through "$address" \
      --callers "$callers" --calls $((seconds * 1000 / (pause_ms + 10))) --pause-ms "$pause_ms" \
      >"$folder/load-${#loads[@]}.json" &
    loads+=($!)
  done
  for pid in "${loads[@]}"; do wait "$pid"; done
  load=$(cat "$folder"/load-*.json | jq -s '[.[] | select(.direct | not)]
    | {calls: (map(.calls) | add), failed: (map(.failed) | add), p50_us: (map(.p50_us) | add / length), p99_us: (map(.p99_us) | max)}')
else
  sleep "$seconds"
fi
elapsed_note=$([ "$callers" -gt 0 ] && echo "the measured time includes the direct run" || echo "")
stats1=$(stats); ticks1=$(ticks); bytes1=$(peer_bytes)
rss=$(for pid in "${instances[@]}"; do awk '/VmRSS/ {print $2}' "/proc/$pid/status"; done | sort -n | tail -1)
jq -nc --argjson n "$n" --argjson s "$seconds" --argjson a "$stats0" --argjson b "$stats1" --argjson load "$load" \
  --argjson cpu "$((ticks1 - ticks0))" --argjson rss "$rss" --argjson bytes "$((bytes1 - bytes0))" --arg note "$elapsed_note" \
  '{instances: $n, seconds: $s, core_percent_each: ($cpu / $s / $n | . * 100 | round / 100), rss_kb_max: $rss,
    peer_bytes_per_s_each: ($bytes / $s / $n | round),
    platform: ($a | with_entries(select(.value | type == "number")) | to_entries
      | map({key, value: ((($b[.key] // 0) - .value) / $s | . * 10 | round / 10)}) | from_entries), load: $load, note: $note}'
