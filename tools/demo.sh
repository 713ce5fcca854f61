#!/usr/bin/env bash
# Starts the stand-ins of the external systems and three instances on loopback, applies two profiles,
# runs a hiring negotiation and a menu review to their ends, prints their outcomes and the operators'
# status, and stops the instances as planned. Usage: demo.sh BUILD
set -eu
build=$1
folder=$(mktemp -d)
started=()
instances=()

stop_all () {
  for pid in "${instances[@]}" "${started[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$folder"
}
trap stop_all EXIT

standin="$build/tests/standins/buckthornhead-standin"
daemon="$build/daemon/buckthornhead"
base=${DEMO_PORT:-18700}

start_standin () {
  "$standin" "$@" >>"$folder/standins.log" 2>&1 &
  started+=($!)
}

wait_for () {
  for _ in $(seq 100); do
    curl -s -o "$folder/answer" --max-time 1 "$1" && return 0
    sleep 0.1
  done
  echo "demo: no response from $1; ends of the logs:"
  tail -5 "$folder"/*.log
  exit 1
}

write_settings () { # arguments: number, zone
  local n=$1
  cat >"$folder/entry-$n.ini" <<INI
[instance]
name = entry-$n
zone = $2

[listen]
caller = 127.0.0.1:$((base + 10 * n))
operator = 127.0.0.1:$((base + 10 * n + 1))
peer = 127.0.0.1:$((base + 10 * n + 2))

[platform]
kv = http://127.0.0.1:$base
instances = http://127.0.0.1:$base/instances
prefix = demo/

[homes]
partitions = 16
group_size = 4
lease = 3s

[backend engine-1]
kind = engine
target = negotiation
address = 127.0.0.1:$((base + 1))
zone = malda

[backend engine-2]
kind = engine
target = menus
address = 127.0.0.1:$((base + 2))
zone = zg-a

[backend field-desk-1]
kind = service
target = field-desk
address = 127.0.0.1:$((base + 3))
zone = malda

[backend kitchen-1]
kind = service
target = kitchen-api
address = 127.0.0.1:$((base + 4))
zone = zg-a
INI
}

start_standin platform --listen "127.0.0.1:$base"
start_standin engine --listen "127.0.0.1:$((base + 1))" --name engine-1 --model negotiation
start_standin engine --listen "127.0.0.1:$((base + 2))" --name engine-2 --model menus
start_standin tool --listen "127.0.0.1:$((base + 3))" --name field-desk
start_standin tool --listen "127.0.0.1:$((base + 4))" --name kitchen-api
wait_for "http://127.0.0.1:$base/instances"

zones=(malda muzaffar-hall siliguri)
for n in 1 2 3; do
  write_settings "$n" "${zones[$((n - 1))]}"
  "$daemon" serve --config "$folder/entry-$n.ini" 2>>"$folder/entry-$n.log" &
  instances+=($!)
done
for n in 1 2 3; do wait_for "http://127.0.0.1:$((base + 10 * n))/v1/connect"; done

ctl=("$daemon" ctl --operator "127.0.0.1:$((base + 11))")
for profile in hiring menu; do "${ctl[@]}" profile apply "examples/$profile.ini" --reason demo; done
"${ctl[@]}" service set hiring-agents --profile hiring
"${ctl[@]}" service set menu-agents --profile menu

status=0
for program in hiring menu; do
  echo
  echo "== $program program, calls through instance 2, one line per step"
  "$standin" caller --entry "127.0.0.1:$((base + 20))" --script "examples/programs/$program.json" || status=1
done
echo
echo "== status for operators"
"${ctl[@]}" status

echo
echo "== planned stop"
for pid in "${instances[@]}"; do kill -TERM "$pid"; done
for pid in "${instances[@]}"; do wait "$pid" || status=1; done
instances=()
[ "$status" = 0 ] && echo "demo: both programs ended, all instances stopped as planned"
exit "$status"
