#!/usr/bin/env bash
# Runs all tests. Failures that are listed in KNOWN-RED.txt are printed and do not fail the run.
# Usage: run_tests.sh BUILD
set -u
build=$1
log=$(mktemp)
trap 'rm -f "$log"' EXIT
meson test -C "$build" --no-rebuild --print-errorlogs --num-processes 4 | tee "$log"
passed=$(grep -cE '^ *[0-9]+/[0-9]+ .* OK ' "$log")
mapfile -t failed < <(sed -nE 's#^ *[0-9]+/[0-9]+ (\S+) +(FAIL|TIMEOUT|ERROR|UNEXPECTEDPASS).*#\1#p' "$log" | sort -u)
unexpected=0
for name in "${failed[@]}"; do
  if [ -f KNOWN-RED.txt ] && line=$(grep -E "^$name[ |:]" KNOWN-RED.txt); then
    echo "known red: $line"
  else
    echo "failed: $name"
    unexpected=$((unexpected + 1))
  fi
done
echo "$passed passed, ${#failed[@]} failed"
[ "$unexpected" = 0 ] && [ "$passed" -gt 0 ]
