#!/usr/bin/env bash
# Runs the curl examples of docs/INTERFACE.md unchanged against one instance. Then checks the documented
# responses to malformed and oversized requests, with an ordinary request after each.
#
# interface_page.sh SOURCE_FOLDER DAEMON STANDIN
set -u
source=$1 daemon=$2 standin=$3
folder=$(mktemp -d)
pids=()
failed=0
stop_all () {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$folder"
}
trap stop_all EXIT

# Six ports below the kernel's ephemeral ports and below those of tests/sessions.
base=$((10000 + $$ % 200 * 10))
cat >"$folder/one.ini" <<INI
[instance]
name = one
zone = malda
[listen]
caller = 127.0.0.1:$((base + 3))
operator = 127.0.0.1:$((base + 4))
peer = 127.0.0.1:$((base + 5))
[platform]
kv = http://127.0.0.1:$base
prefix = page/
[limits]
body_bytes = 64K
json_depth = 16
[backend engine-1]
kind = engine
target = hiring
address = 127.0.0.1:$((base + 1))
zone = malda
[backend gate-1]
kind = service
target = gate
address = 127.0.0.1:$((base + 2))
zone = malda
INI
"$standin" platform --listen "127.0.0.1:$base" >"$folder/platform.log" 2>&1 & pids+=($!)
"$standin" engine --listen "127.0.0.1:$((base + 1))" --name engine-1 --model hiring >"$folder/engine.log" 2>&1 & pids+=($!)
"$standin" tool --listen "127.0.0.1:$((base + 2))" --name gate >"$folder/gate.log" 2>&1 & pids+=($!)
"$daemon" serve --config "$folder/one.ini" 2>"$folder/one.log" & pids+=($!)

url="http://127.0.0.1:$((base + 3))"
for stand_in in "$((base + 1))/load" "$((base + 2))/counts"; do
  for _ in $(seq 300); do
    curl -s -o /dev/null --max-time 2 "http://127.0.0.1:$stand_in" && break
    sleep 0.1
  done
done
for _ in $(seq 300); do
  curl -s --max-time 2 "$url/v1/connect" 2>/dev/null | grep -q addresses && break
  sleep 0.1
done

expect () { # arguments: what, wanted status, curl arguments
  local what=$1 wanted=$2 status
  shift 2
  status=$(curl -s -o "$folder/answer" -w '%{http_code}' --max-time 30 "$@")
  if [ "$status" != "$wanted" ]; then
    echo "$what: status $status, expected $wanted: $(head -c 300 "$folder/answer")"
    failed=$((failed + 1))
  fi
}

# The examples are indented lines that begin with curl; a backslash continues them.
sed -n '/^    curl/,/[^\\]$/p' "$source/docs/INTERFACE.md" | sed 's/^ *//' \
  | sed -e ':a' -e '/\\$/{N;s/\\\n//;ba' -e '}' >"$folder/examples"
n_examples=$(grep -c '^curl' "$folder/examples")
while read -r line; do
  case "$line" in curl*) ;; *) continue ;; esac
  line=${line//127.0.0.1:8080/127.0.0.1:$((base + 3))}
  status=$(bash -c "${line/curl /curl -o \"$folder/answer\" -w '%{http_code\}' --max-time 30 }" 2>/dev/null)
  case "$status" in
    200 | 201) ;;
    *) echo "example: $line: status $status: $(head -c 300 "$folder/answer")"; failed=$((failed + 1)) ;;
  esac
done <"$folder/examples"
[ "$n_examples" -ge 4 ] || { echo "only $n_examples examples were found"; failed=$((failed + 1)); }

program="$url/v1/programs"
good () { expect "ordinary request after $1" 200 "$program/p-1"; }
deep=$(printf '[%.0s' $(seq 40))$(printf ']%.0s' $(seq 40))
head -c 100000 /dev/zero | tr '\0' 'x' >"$folder/large"
expect "body too large" 413 -d "@$folder/large" "$program"; good "body too large"
expect "no JSON" 400 -d '{"service":' "$program"; good "no JSON"
expect "JSON too deep" 400 -d "{\"service\":\"x\",\"x\":$deep}" "$program"; good "JSON too deep"
expect "key twice" 400 -d '{"service":"a","service":"b"}' "$program"; good "key twice"
expect "not an object" 400 -d '[1]' "$program"; good "not an object"
expect "no sequence number" 400 -d '{"model":"hiring","messages":[]}' "$program/p-1/calls"; good "no sequence"
expect "sequence 0" 400 -d '{"model":"hiring","messages":[]}' "$program/p-1/calls?sequence=0"; good "sequence 0"
expect "sequence out of order" 409 -d '{"model":"hiring","messages":[]}' "$program/p-1/calls?sequence=9"; good "order"
expect "Idempotent maybe" 400 -H 'Idempotent: maybe' -d '{"model":"hiring","messages":[]}' "$program/p-1/calls?sequence=2"
expect "unknown program" 404 "$program/nobody"; good "unknown program"
expect "unknown path" 404 "$url/v2/anything"; good "unknown path"
expect "lone call without key" 400 -d '{}' "$url/v1/services/gate/arrivals"; good "no key"
expect "path with a space" 400 -H 'X-Target-Service: gate' -H 'X-Target-Path: /a b' -d '{}' "$program/p-1/calls?sequence=2"
# Headers above the limit: a 4xx response or a closed connection, and the next request is served.
status=$(curl -s -o /dev/null -w '%{http_code}' --max-time 30 -H "X-Large: $(head -c 60000 /dev/zero | tr '\0' 'h')" "$program/p-1")
case "$status" in 4?? | 000) ;; *) echo "header too large: status $status"; failed=$((failed + 1)) ;; esac
good "header too large"

echo "$n_examples examples, $failed failures"
[ "$failed" = 0 ] || cat "$folder"/gate.log
[ "$failed" = 0 ]
